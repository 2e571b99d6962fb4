package conf

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"dandelionsail.example/dandelionsail/internal/delay"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/peers"
	"dandelionsail.example/dandelionsail/internal/store"
	"dandelionsail.example/dandelionsail/internal/wire"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

const (
	// WatchersPerDomain is how many instances of a failure domain keep a watch, which counts as a call of the store
	// all the time; the others hear from peers.
	WatchersPerDomain = 2
	// rereadPeriod is how often a watcher reads the log and a listener asks a peer although nothing was heard. It
	// bounds how long a patch stays unseen behind a silent watch or a lost message.
	rereadPeriod = 5 * time.Second
	// retryPause is the wait after the store failed a watcher.
	retryPause = 500 * time.Millisecond
	// askTimeout bounds one question to a peer.
	askTimeout = time.Second
	// newsWithin and newsOutside are how many peers of the own failure domain and of the others hear of a new version
	// from each instance that it is new to.
	newsWithin  = 4
	newsOutside = 1
	// keptRaw is how many patches are kept as they came, to pass on.
	keptRaw = 512
)

// Follower keeps one instance's version in force up to date, from the store if it is a watcher and from peers if not.
type Follower struct {
	// Transport reaches the peers; nil where there are none, then the instance watches. It is set before Run.
	Transport peers.Transport
	lg        *Log
	self      event.Instance
	accept    func(*decl.Config)
	members   atomic.Pointer[[]event.Instance]
	// changed is told when the members changed, heard holds the newest news not yet looked at.
	changed chan struct{}
	heard   chan wire.ConfigNews

	// version is cfg's, readable without the lock.
	version atomic.Int64
	mu      sync.Mutex
	cfg     *decl.Config
	// raws holds the newest patches as they came, ending with cfg's own.
	raws [][]byte
	// whole is the encoded form of cfg, made when a peer asks for it and dropped with the next version.
	whole []byte
}

// NewFollower returns a follower that calls accept with every newer version, one at a time and rising.
func NewFollower(lg *Log, self event.Instance, accept func(*decl.Config)) *Follower {
	fl := &Follower{
		lg:      lg,
		self:    self,
		accept:  accept,
		changed: make(chan struct{}, 1),
		heard:   make(chan wire.ConfigNews, 1),
		cfg:     &decl.Config{},
	}
	fl.members.Store(&[]event.Instance{})
	return fl
}

// SetPeer gives the address under which this instance tells its peers of news. It is set before Run.
func (fl *Follower) SetPeer(address string) {
	fl.self.Peer = address
}

// SetMembers takes the entry instances that are thought to live, this one among them or not.
func (fl *Follower) SetMembers(instances []event.Instance) {
	live := make([]event.Instance, 0, len(instances))
	for _, inst := range instances {
		if !inst.Leaving {
			live = append(live, inst)
		}
	}
	fl.members.Store(&live)
	offer(fl.changed, struct{}{})
}

func offer[Value any](to chan Value, value Value) {
	select {
	case to <- value:
	default:
	}
}

// Version returns the version in force.
func (fl *Follower) Version() int64 {
	return fl.version.Load()
}

// Watches reports whether this instance is one of its failure domain's watchers. Each instance decides it alone from
// the members it knows; where views differ a domain has some watchers more or less for a while.
func (fl *Follower) Watches() bool {
	if fl.Transport == nil {
		return true
	}
	own := rank(fl.self)
	before := 0
	for _, inst := range *fl.members.Load() {
		if inst.Name != fl.self.Name && inst.FailureDomain == fl.self.FailureDomain && rank(inst) > own {
			before++
		}
	}
	return before < WatchersPerDomain
}

func rank(inst event.Instance) uint64 {
	return xxhash.Sum64String("config/" + inst.FailureDomain + "/" + inst.Name)
}

// Run follows until the context ends.
func (fl *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return fl.fetchNews(ctx) })
	group.Go(func() error { return fl.keepUp(ctx) })
	return group.Wait()
}

func (fl *Follower) keepUp(ctx context.Context) error {
	for ctx.Err() == nil {
		if fl.Version() == 0 {
			// A peer answers also while the store is down.
			fl.askAny(ctx)
		}
		if fl.Version() == 0 {
			// Peers that are being replaced themselves answer nothing or have nothing, and news comes only with the next
			// version: without a reading of the store callers would wait here for seconds.
			_ = fl.advance(ctx)
		}
		if fl.Watches() {
			fl.watch(ctx)
		} else {
			fl.listen(ctx)
		}
	}
	return ctx.Err()
}

// watch follows the store until the watch ends or this instance is no watcher any more.
func (fl *Follower) watch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The watch is open before the log is read, so no patch falls between the two.
	changes, err := fl.lg.st.Watch(ctx, Prefix, 0)
	if err == nil {
		err = fl.advance(ctx)
	}
	if err != nil {
		fl.askAny(ctx)
		delay.For(ctx, retryPause)
		return
	}
	reread := time.NewTicker(rereadPeriod)
	defer reread.Stop()
	for fl.Watches() && err == nil {
		select {
		case <-ctx.Done():
			return
		case <-fl.changed:
		case <-reread.C:
			err = fl.advance(ctx)
		case change, open := <-changes:
			if !open {
				return
			}
			err = fl.take(ctx, change)
		}
	}
}

// take applies the patch that a watch told of, or reads the log if it is not the next one.
func (fl *Follower) take(ctx context.Context, change store.Change) error {
	if change.Deleted {
		return nil
	}
	next := fl.Version() + 1
	if change.Pair.Key == key(next) && fl.apply(next, change.Pair.Value) == nil {
		return nil
	}
	if change.Pair.Key < key(next) {
		return nil
	}
	return fl.advance(ctx)
}

// listen hears from peers until this instance is a watcher.
func (fl *Follower) listen(ctx context.Context) {
	for ctx.Err() == nil && !fl.Watches() {
		timer := time.NewTimer(fl.listenPause())
		select {
		case <-ctx.Done():
		case <-fl.changed:
		case <-timer.C:
			if !fl.askWatcher(ctx) && !fl.askAny(ctx) {
				// Peers cannot be reached; the store still may.
				_ = fl.advance(ctx)
			}
		}
		timer.Stop()
	}
}

// listenPause is how long to wait for news before asking: not long where there is no version at all.
func (fl *Follower) listenPause() time.Duration {
	if fl.Version() == 0 {
		return retryPause
	}
	return rereadPeriod/2 + rand.N(rereadPeriod)
}

// advance reads what is new in the store.
func (fl *Follower) advance(ctx context.Context) error {
	for {
		base, raws, err := fl.lg.after(ctx, fl.Version())
		if err != nil {
			return err
		}
		if base != nil {
			fl.jump(base.Config)
		}
		if err := fl.applyAll(fl.Version()+1, raws); err != nil {
			return err
		}
		if len(raws) < listLimit {
			return nil
		}
	}
}

func (fl *Follower) applyAll(first int64, raws [][]byte) error {
	for i, raw := range raws {
		if err := fl.apply(first+int64(i), raw); err != nil {
			return err
		}
	}
	return nil
}

// apply brings the patch that made the version into force if it is the next one.
func (fl *Follower) apply(version int64, raw []byte) error {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if version != fl.cfg.Version+1 {
		return nil
	}
	patch, err := decodePatch(raw)
	if err != nil {
		return err
	}
	cfg, err := Apply(fl.cfg, patch)
	if err != nil {
		return err
	}
	fl.raws = append(fl.raws, raw)
	if len(fl.raws) > 2*keptRaw {
		fl.raws = slices.Clone(fl.raws[keptRaw:])
	}
	fl.enforce(cfg)
	return nil
}

// jump brings a whole configuration into force if it is newer.
func (fl *Follower) jump(cfg *decl.Config) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if cfg.Version <= fl.cfg.Version {
		return
	}
	fl.raws = nil
	fl.enforce(cfg)
}

func (fl *Follower) enforce(cfg *decl.Config) {
	fl.cfg = cfg
	fl.whole = nil
	fl.version.Store(cfg.Version)
	fl.accept(cfg)
	fl.spread(cfg.Version)
}

// spread tells a few peers of the version. Each of them tells a few more when it is new to them, so that each
// instance sends the same few messages for a patch whatever the fleet's size.
func (fl *Follower) spread(version int64) {
	if fl.Transport == nil {
		return
	}
	news := wire.ConfigNews{Version: version, Teller: fl.self.Peer}
	for _, inst := range fl.choose(newsWithin, true) {
		fl.Transport.Tell(inst.Peer, news)
	}
	for _, inst := range fl.choose(newsOutside, false) {
		fl.Transport.Tell(inst.Peer, news)
	}
}

// choose draws peers of the own failure domain or of the others.
func (fl *Follower) choose(count int, within bool) []event.Instance {
	var from []event.Instance
	for _, inst := range *fl.members.Load() {
		if inst.Name != fl.self.Name && inst.Peer != "" && (inst.FailureDomain == fl.self.FailureDomain) == within {
			from = append(from, inst)
		}
	}
	rand.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	return from[:min(count, len(from))]
}

// Handle answers a peer's message about the configuration, nil if it is about something else.
func (fl *Follower) Handle(msg wire.Message) wire.Message {
	switch msg := msg.(type) {
	case wire.ConfigNews:
		if msg.Version > fl.Version() {
			offer(fl.heard, msg)
		}
		return wire.Ack{}
	case wire.ConfigWant:
		return fl.answer(msg.After)
	}
	return nil
}

// maxAnswered bounds the patches in one answer to a peer, in bytes.
const maxAnswered = 1 << 20

func (fl *Follower) answer(after int64) wire.ConfigPatches {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	behind := fl.cfg.Version - after
	if behind <= 0 {
		return wire.ConfigPatches{First: after + 1}
	}
	if behind > int64(len(fl.raws)) {
		return wire.ConfigPatches{First: fl.cfg.Version + 1, Snapshot: fl.encoded()}
	}
	answer := wire.ConfigPatches{First: after + 1}
	total := 0
	for _, raw := range fl.raws[int64(len(fl.raws))-behind:] {
		total += len(raw)
		if total > maxAnswered && len(answer.Patches) > 0 {
			break
		}
		answer.Patches = append(answer.Patches, raw)
	}
	return answer
}

func (fl *Follower) encoded() []byte {
	if fl.whole == nil {
		fl.whole, _ = json.Marshal(fl.cfg)
	}
	return fl.whole
}

// fetchNews asks whoever told of a newer version for its patches.
func (fl *Follower) fetchNews(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case news := <-fl.heard:
			fl.fetch(ctx, news)
		}
	}
}

// fetch asks until the version is in force or the teller has nothing more, whatever it told.
func (fl *Follower) fetch(ctx context.Context, news wire.ConfigNews) {
	for news.Version > fl.Version() {
		before := fl.Version()
		if !fl.ask(ctx, news.Teller) || fl.Version() == before {
			return
		}
	}
}

// askAny asks some peer for what is new; it returns whether one answered.
func (fl *Follower) askAny(ctx context.Context) bool {
	if fl.Transport == nil {
		return false
	}
	asked := slices.Concat(fl.choose(2, true), fl.choose(1, false))
	rand.Shuffle(len(asked), func(i, j int) { asked[i], asked[j] = asked[j], asked[i] })
	for _, inst := range asked {
		before := fl.Version()
		if fl.ask(ctx, inst.Peer) || fl.Version() > before {
			return true
		}
	}
	return false
}

// askWatcher asks a watcher of the own failure domain, who is the first to know. With told messages lost a patch is
// thereby one question away from every instance, however many there are.
func (fl *Follower) askWatcher(ctx context.Context) bool {
	var near []event.Instance
	for _, inst := range *fl.members.Load() {
		if inst.FailureDomain == fl.self.FailureDomain && inst.Name != fl.self.Name {
			near = append(near, inst)
		}
	}
	slices.SortFunc(near, func(one, two event.Instance) int { return cmp.Compare(rank(two), rank(one)) })
	near = near[:min(WatchersPerDomain, len(near))]
	return len(near) > 0 && fl.ask(ctx, near[rand.IntN(len(near))].Peer)
}

// ask fetches what the peer has above the version in force. It returns whether the peer answered with something new
// or has nothing.
func (fl *Follower) ask(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := fl.Transport.Ask(ctx, address, wire.ConfigWant{After: fl.Version()})
	if err != nil {
		return false
	}
	patches, ok := answer.(wire.ConfigPatches)
	if !ok {
		return false
	}
	if len(patches.Snapshot) > 0 {
		cfg, err := decl.Parse(patches.Snapshot)
		if err != nil {
			return false
		}
		fl.jump(cfg)
	}
	return fl.applyAll(patches.First, patches.Patches) == nil
}

// compactPeriod is how often a watcher of its failure domain looks whether a snapshot is due.
const compactPeriod = 15 * time.Second

// RunCompaction writes snapshots while this instance is the first of all in rank, until the context ends.
func (fl *Follower) RunCompaction(ctx context.Context) error {
	for ctx.Err() == nil {
		delay.For(ctx, compactPeriod)
		if ctx.Err() == nil && fl.first() && fl.Version() > 0 {
			// What fails here is tried again at the next look; nobody waits for it.
			_ = fl.lg.Compact(ctx)
		}
	}
	return ctx.Err()
}

func (fl *Follower) first() bool {
	own := rank(fl.self)
	for _, inst := range *fl.members.Load() {
		if inst.Name != fl.self.Name && rank(inst) > own {
			return false
		}
	}
	return true
}
