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
	"dandelionsail.example/dandelionsail/internal/tasks"
	"dandelionsail.example/dandelionsail/internal/wire"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

const (
	// WatchersPerDomain is how many instances of a failure domain watch the store. A watch counts as a store call for
	// as long as it is open, so the other instances learn of patches from peers.
	WatchersPerDomain = 2
	// pollPeriod is how often a watcher rereads the log, and on average how often any other instance polls a peer, even
	// if no change was announced. It bounds how long a patch stays unseen when a watch goes silent or a message is
	// lost.
	pollPeriod = 5 * time.Second
	// retryDelay is the wait of a watcher after a failed store call, and between polls of peers while there is no
	// configuration.
	retryDelay = 500 * time.Millisecond
	// queryTimeout bounds one request to a peer.
	queryTimeout = time.Second
	// localFanout is how many peers of its own failure domain an instance announces a new version to.
	localFanout = 4
	// remoteFanout is how many peers of other failure domains an instance announces a new version to.
	remoteFanout = 1
	// retainedPatches is how many of the newest patches are kept in encoded form for peers that lag behind.
	retainedPatches = 512
)

// Follower keeps the configuration of one instance up to date: from the store if the instance is a watcher, otherwise
// from peers.
type Follower struct {
	// Transport reaches the peers. If it is nil, there are no peers and the instance watches the store. It must be set
	// before Run.
	Transport peers.Transport
	// OnReturn, unless nil, is called after each return of the store, once this instance has written what the store had lost. It
	// must be set before Run.
	OnReturn func(ReturnStats)
	lg       *Log
	self     event.Instance
	accept   func(*decl.Config)
	members  atomic.Pointer[[]event.Instance]
	// membersChanged signals that members was replaced.
	membersChanged chan struct{}
	// announced holds one announcement that has not been handled yet; further ones are dropped while it is full.
	announced chan wire.ConfigAnnouncement

	// version is cfg.Version, readable without the lock.
	version atomic.Int64
	mu      sync.Mutex
	cfg     *decl.Config
	// rawPatches holds the newest patches in encoded form, ending with the one that produced cfg. It is empty after
	// applySnapshot.
	rawPatches [][]byte
	// configJSON is the JSON form of cfg. It is encoded when a peer first asks for it and dropped with the next
	// version.
	configJSON []byte
}

// NewFollower returns a follower that calls accept with every newer configuration, one call at a time and in rising
// order of versions.
func NewFollower(lg *Log, self event.Instance, accept func(*decl.Config)) *Follower {
	fl := &Follower{
		lg:             lg,
		self:           self,
		accept:         accept,
		membersChanged: make(chan struct{}, 1),
		announced:      make(chan wire.ConfigAnnouncement, 1),
		cfg:            &decl.Config{},
	}
	fl.members.Store(&[]event.Instance{})
	return fl
}

// SetPeer sets the address under which peers reach this instance; its announcements carry it. It must be called before
// Run.
func (fl *Follower) SetPeer(address string) {
	fl.self.Peer = address
}

// SetMembers sets the entry instances that are believed to be alive. Leaving ones are ignored, and this instance need
// not be among them.
func (fl *Follower) SetMembers(instances []event.Instance) {
	live := make([]event.Instance, 0, len(instances))
	for _, inst := range instances {
		if !inst.Leaving {
			live = append(live, inst)
		}
	}
	fl.members.Store(&live)
	trySend(fl.membersChanged, struct{}{})
}

// trySend sends the value unless the channel is full.
func trySend[Value any](to chan Value, value Value) {
	select {
	case to <- value:
	default:
	}
}

// Version returns the version of the configuration in force, 0 if there is none yet.
func (fl *Follower) Version() int64 {
	return fl.version.Load()
}

// IsWatcher reports whether this instance is one of its failure domain's watchers. Each instance decides this from its
// own list of members; while the lists differ, a domain may have more or fewer watchers than WatchersPerDomain.
func (fl *Follower) IsWatcher() bool {
	if fl.Transport == nil {
		return true
	}
	own := rank(fl.self)
	higher := 0
	for _, inst := range *fl.members.Load() {
		if inst.Name != fl.self.Name && inst.FailureDomain == fl.self.FailureDomain && rank(inst) > own {
			higher++
		}
	}
	return higher < WatchersPerDomain
}

// rank orders instances by a hash of failure domain and name. The highest ranks of a failure domain watch the store,
// and the highest rank of all writes snapshots.
func rank(inst event.Instance) uint64 {
	return xxhash.Sum64String("config/" + inst.FailureDomain + "/" + inst.Name)
}

// Run keeps the configuration up to date until the context ends.
func (fl *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(tasks.GuardError("follower announcements", func() error { return fl.fetchAnnounced(ctx) }))
	group.Go(tasks.GuardError("follower returns", func() error { return fl.followReturns(ctx) }))
	group.Go(tasks.GuardError("follower", func() error { return fl.follow(ctx) }))
	return group.Wait()
}

func (fl *Follower) follow(ctx context.Context) error {
	for ctx.Err() == nil {
		if fl.Version() == 0 {
			// A peer can answer even while the store is down.
			fl.queryPeers(ctx)
		}
		if fl.Version() == 0 {
			// Peers that are being replaced themselves may not answer or have no configuration, and the next
			// announcement comes only with the next version. Without this read of the store, callers would wait here
			// for seconds.
			_ = fl.catchUp(ctx)
		}
		if fl.IsWatcher() {
			fl.watchStore(ctx)
		} else {
			fl.followPeers(ctx)
		}
	}
	return ctx.Err()
}

// watchStore follows the store until the watch ends or this instance is no longer a watcher.
func (fl *Follower) watchStore(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The watch is opened before the log is read; otherwise a patch written between the two would be missed.
	changes, err := fl.lg.st.Watch(ctx, Prefix)
	if err == nil {
		err = fl.catchUp(ctx)
	}
	if err != nil {
		fl.queryPeers(ctx)
		delay.For(ctx, retryDelay)
		return
	}
	poll := time.NewTicker(pollPeriod)
	defer poll.Stop()
	for fl.IsWatcher() && err == nil {
		select {
		case <-ctx.Done():
			return
		case <-fl.membersChanged:
		case <-poll.C:
			err = fl.catchUp(ctx)
		case change, open := <-changes:
			if !open {
				return
			}
			err = fl.handleChange(ctx, change)
		}
	}
}

// handleChange applies the patch of a watch event, or reads the log if the event is not for the next version. Deletions
// and older versions are ignored.
func (fl *Follower) handleChange(ctx context.Context, change store.Change) error {
	if change.Deleted {
		return nil
	}
	next := fl.Version() + 1
	if change.Pair.Key == patchKey(next) && fl.apply(next, change.Pair.Value) == nil {
		return nil
	}
	if change.Pair.Key < patchKey(next) {
		return nil
	}
	return fl.catchUp(ctx)
}

// followPeers polls peers until this instance is a watcher. Announcements are handled by fetchAnnounced.
func (fl *Follower) followPeers(ctx context.Context) {
	for ctx.Err() == nil && !fl.IsWatcher() {
		timer := time.NewTimer(fl.pollDelay())
		select {
		case <-ctx.Done():
		case <-fl.membersChanged:
		case <-timer.C:
			if !fl.queryWatcher(ctx) && !fl.queryPeers(ctx) {
				// No peer can be reached; the store may still be available.
				_ = fl.catchUp(ctx)
			}
		}
		timer.Stop()
	}
}

// pollDelay returns the wait before the next poll of a peer: short while there is no configuration, otherwise random
// around pollPeriod.
func (fl *Follower) pollDelay() time.Duration {
	if fl.Version() == 0 {
		return retryDelay
	}
	return pollPeriod/2 + rand.N(pollPeriod)
}

// catchUp applies everything in the store that is newer than the version in force.
func (fl *Follower) catchUp(ctx context.Context) error {
	for {
		// Peers may hand over later versions while the store is read. The patches are numbered from what was asked for.
		after := fl.Version()
		base, raws, err := fl.lg.readAfter(ctx, after)
		if err != nil {
			return err
		}
		if base != nil {
			fl.applySnapshot(base.Config)
			after = base.version()
		}
		if err := fl.applyAll(after+1, raws); err != nil {
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

// apply applies an encoded patch and puts its version in force. A patch that is not for the next version is ignored.
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
	fl.rawPatches = append(fl.rawPatches, raw)
	if len(fl.rawPatches) > 2*retainedPatches {
		fl.rawPatches = slices.Clone(fl.rawPatches[retainedPatches:])
	}
	fl.activate(cfg)
	return nil
}

// applySnapshot puts a whole configuration in force if it is newer.
func (fl *Follower) applySnapshot(cfg *decl.Config) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if cfg.Version <= fl.cfg.Version {
		return
	}
	fl.rawPatches = nil
	fl.activate(cfg)
}

func (fl *Follower) activate(cfg *decl.Config) {
	fl.cfg = cfg
	fl.configJSON = nil
	fl.version.Store(cfg.Version)
	fl.accept(cfg)
	fl.announce(cfg.Version)
}

// announce sends the version to a few peers. Each peer that did not have it announces it in turn, so that each instance
// sends the same few messages for a patch however large the fleet is.
func (fl *Follower) announce(version int64) {
	if fl.Transport == nil {
		return
	}
	announcement := wire.ConfigAnnouncement{Version: version, Announcer: fl.self.Peer, Era: fl.lg.st.Era().Number}
	for _, inst := range fl.samplePeers(localFanout, true) {
		fl.Transport.Send(inst.Peer, announcement)
	}
	for _, inst := range fl.samplePeers(remoteFanout, false) {
		fl.Transport.Send(inst.Peer, announcement)
	}
}

// samplePeers returns up to count random peers, either of the own failure domain or of the others.
func (fl *Follower) samplePeers(count int, sameDomain bool) []event.Instance {
	var candidates []event.Instance
	for _, inst := range *fl.members.Load() {
		if inst.Name != fl.self.Name && inst.Peer != "" && (inst.FailureDomain == fl.self.FailureDomain) == sameDomain {
			candidates = append(candidates, inst)
		}
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(count, len(candidates))]
}

// Handle answers a peer's message about the configuration. It returns nil for any other message.
func (fl *Follower) Handle(msg wire.Message) wire.Message {
	switch msg := msg.(type) {
	case wire.ConfigAnnouncement:
		if msg.Version > fl.Version() || msg.Era > fl.lg.st.Era().Number {
			trySend(fl.announced, msg)
		}
		return wire.Ack{}
	case wire.ConfigRequest:
		return fl.patchesAfter(msg.After)
	}
	return nil
}

// maxPatchesBytes bounds the total size of the patches in one answer to a peer, in bytes. A single larger patch is sent
// alone.
const maxPatchesBytes = 1 << 20

func (fl *Follower) patchesAfter(after int64) wire.ConfigPatches {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	behind := fl.cfg.Version - after
	if behind <= 0 {
		return wire.ConfigPatches{First: after + 1}
	}
	if behind > int64(len(fl.rawPatches)) {
		return wire.ConfigPatches{First: fl.cfg.Version + 1, Snapshot: fl.encodeConfig()}
	}
	answer := wire.ConfigPatches{First: after + 1}
	total := 0
	for _, raw := range fl.rawPatches[int64(len(fl.rawPatches))-behind:] {
		total += len(raw)
		if total > maxPatchesBytes && len(answer.Patches) > 0 {
			break
		}
		answer.Patches = append(answer.Patches, raw)
	}
	return answer
}

func (fl *Follower) encodeConfig() []byte {
	if fl.configJSON == nil {
		fl.configJSON, _ = json.Marshal(fl.cfg)
	}
	return fl.configJSON
}

// fetchAnnounced requests the patches of each announced version from the peer that announced it.
func (fl *Follower) fetchAnnounced(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case announcement := <-fl.announced:
			fl.fetch(ctx, announcement)
		}
	}
}

// fetch queries the announcing peer until the announced version is in force or the peer has nothing more, so that a
// wrong announcement does not keep it in a loop.
func (fl *Follower) fetch(ctx context.Context, announcement wire.ConfigAnnouncement) {
	if announcement.Era > fl.lg.st.Era().Number {
		// If the service does not answer, the next announcement leads to another try.
		_ = fl.lg.st.CheckEra(ctx)
	}
	for announcement.Version > fl.Version() {
		before := fl.Version()
		if !fl.queryPeer(ctx, announcement.Announcer) || fl.Version() == before {
			return
		}
	}
}

// queryPeers queries a few random peers for newer versions, one after the other, and reports whether one answered.
func (fl *Follower) queryPeers(ctx context.Context) bool {
	if fl.Transport == nil {
		return false
	}
	candidates := slices.Concat(fl.samplePeers(2, true), fl.samplePeers(1, false))
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	for _, inst := range candidates {
		before := fl.Version()
		if fl.queryPeer(ctx, inst.Peer) || fl.Version() > before {
			return true
		}
	}
	return false
}

// queryWatcher queries a watcher of the own failure domain, since watchers learn of a patch first. Even when
// announcements are lost, every instance is thus one query away from a patch, however large the fleet is. It reports
// whether the watcher answered.
func (fl *Follower) queryWatcher(ctx context.Context) bool {
	var local []event.Instance
	for _, inst := range *fl.members.Load() {
		if inst.FailureDomain == fl.self.FailureDomain && inst.Name != fl.self.Name {
			local = append(local, inst)
		}
	}
	slices.SortFunc(local, func(a, b event.Instance) int { return cmp.Compare(rank(b), rank(a)) })
	local = local[:min(WatchersPerDomain, len(local))]
	return len(local) > 0 && fl.queryPeer(ctx, local[rand.IntN(len(local))].Peer)
}

// queryPeer requests everything newer than the version in force from the peer and applies it. It reports whether the
// peer answered, possibly with nothing new, and the answer could be applied.
func (fl *Follower) queryPeer(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	answer, err := fl.Transport.Request(ctx, address, wire.ConfigRequest{After: fl.Version()})
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
		fl.applySnapshot(cfg)
	}
	return fl.applyAll(patches.First, patches.Patches) == nil
}

// compactPeriod is how often the first-ranked instance checks whether a snapshot is due.
const compactPeriod = 15 * time.Second

// RunCompaction writes snapshots while this instance has the highest rank of all members, until the context ends.
func (fl *Follower) RunCompaction(ctx context.Context) error {
	for ctx.Err() == nil {
		delay.For(ctx, compactPeriod)
		if ctx.Err() == nil && fl.ranksFirst() && fl.Version() > 0 {
			// The error is dropped: the next check tries again, and no caller waits for the result.
			_ = fl.lg.Compact(ctx)
		}
	}
	return ctx.Err()
}

func (fl *Follower) ranksFirst() bool {
	own := rank(fl.self)
	for _, inst := range *fl.members.Load() {
		if inst.Name != fl.self.Name && rank(inst) > own {
			return false
		}
	}
	return true
}
