package relay

import (
	"context"
	"maps"
	"net"
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/internal/delay"
	"dandelionsail.example/dandelionsail/internal/steer"
)

const (
	// askShare and hearShare are the parts of the time in which a change must be in force that pass between two questions
	// to the store, by the few that ask it, and between two questions to those, by all others.
	askShare  = 0.3
	hearShare = 0.35
	// oldShare is the part of that time from which a confirmation is too old to go by: the instance that gave it is itself
	// out of the store's reach, and would keep back every change that the store has taken since.
	oldShare = 0.4
	// askTimeout bounds one call of the store, so that a connection that fell silent costs little more.
	askTimeout = 600 * time.Millisecond
	// changesTimeout and changesFactor bound the question for changes: so long, and so many times what the question before
	// it took. The store may keep changes back and then does not answer at all.
	changesTimeout = 150 * time.Millisecond
	changesFactor  = 3
	// pageTimeout bounds the reading of a page of at most a megabyte, which takes half a second over the slowest link and
	// more when many read. A page that fails is read again up to pageTries times over all pages.
	pageTimeout = 2500 * time.Millisecond
	pageTries   = 3
	// askAgain is the wait after a question that was not answered, which doubles up to askSeldom: each question is paid
	// for, refused ones too. emptyPause is the wait while there is no configuration.
	askAgain   = 150 * time.Millisecond
	askSeldom  = time.Second
	emptyPause = 400 * time.Millisecond
	// announceTime is how long an announcement lasts, announceEvery when it is made again.
	announceTime  = 40 * time.Second
	announceEvery = 15 * time.Second
	// announceAgain is the wait after one that failed, which doubles up to announceMost: it lasts on meanwhile, and each
	// call is paid for, refused ones too.
	announceAgain = time.Second
	announceMost  = 8 * time.Second
	// readyAge is the part of a token's life after which a store out of reach makes the instance unready, so that
	// callers go where tokens are still good.
	readyAge = 0.55
)

// follower keeps the configuration and the lists up to date. A few instances ask the store for its revision, and the
// others ask them; what has changed comes with the answer. There is no watch: it could be silent or cut without a sign, and
// would prove nothing about the tokens.
type follower struct {
	in *Instance
	// peers are the other instances that are registered, by name.
	peers map[string]Peer
	// away tells that the last question was not answered, read that there was an answer at all.
	away, read bool
	// again is the wait after the next question that is not answered.
	again time.Duration
	// refusedAt is when the store last refused the configuration.
	refusedAt time.Time
}

func (fl *follower) run(ctx context.Context) error {
	pause := fl.follow(ctx)
	for ctx.Err() == nil {
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-timer.C:
			pause = fl.follow(ctx)
		case from := <-fl.in.notes.news:
			pause = fl.followNews(ctx, from)
		}
		timer.Stop()
	}
	return ctx.Err()
}

// follow brings the store's state here once and returns when it should again. An instance that the store turns away, or
// whose askers it turns away, takes the other way.
func (fl *follower) follow(ctx context.Context) time.Duration {
	lag := float64(fl.in.opts.ConfigLag)
	hears := fl.hears()
	if hears && !fl.in.notes.asksStore() && fl.hear(ctx) {
		return time.Duration(hearShare * lag)
	}
	answered := fl.ask(ctx)
	switch {
	case answered && !fl.in.configured():
		return emptyPause
	case answered || hears && fl.in.notes.asksStore() && fl.hear(ctx):
		return time.Duration(askShare * lag)
	}
	pause := max(fl.again, askAgain)
	fl.again = min(2*pause, askSeldom)
	return pause
}

// followNews asks the instance that told of a newer revision what has changed. Instances that ask the store do so too:
// each change would cost as many questions to the store as there are of them.
func (fl *follower) followNews(ctx context.Context, from *net.UDPAddr) time.Duration {
	if !fl.hears() || !fl.hearFrom(ctx, from) {
		return fl.follow(ctx)
	}
	return time.Duration(askShare * float64(fl.in.opts.ConfigLag))
}

// hears tells that other instances can be asked: who knows nothing yet reads the store itself.
func (fl *follower) hears() bool {
	return fl.read && fl.in.configured() && fl.in.notes.hasAskers()
}

// hear lets another instance confirm the state and reports whether that was possible.
func (fl *follower) hear(ctx context.Context) bool {
	for _, from := range fl.in.notes.shuffledAskers() {
		if fl.hearFrom(ctx, from) {
			return true
		}
	}
	return false
}

// hearRounds bounds the answers that one confirmation takes where many changes do not fit into one.
const hearRounds = 256

// hearFrom lets the instance at the address confirm the state here after it has told what has changed. The confirmation
// counts from the question here less the age that the other one gave, so that neither a frozen process nor a late datagram
// can stretch a token's life, and what one instance heard from another it never passes on as newer than it was.
func (fl *follower) hearFrom(ctx context.Context, from *net.UDPAddr) bool {
	oldest := time.Duration(oldShare * float64(fl.in.opts.ConfigLag))
	for range hearRounds {
		asked := bootTime()
		conf, ok := fl.in.notes.ask(ctx, from, fl.in.view.revision())
		if !ok {
			fl.in.count("Peers.Unanswered")
			return false
		}
		if conf.AgeMs > oldest.Milliseconds() {
			fl.in.count("Peers.Old")
			return false
		}
		if err := fl.catchUp(ctx, from, &conf); err != nil {
			fl.in.count("Peers.NotFollowed")
			return false
		}
		if fl.in.view.revision() >= conf.Revision {
			fl.reached()
			fl.confirm(asked - time.Duration(conf.AgeMs)*time.Millisecond)
			return true
		}
	}
	return false
}

// catchUp takes the changes that another instance told. If it has forgotten them, everything is read.
func (fl *follower) catchUp(ctx context.Context, from *net.UDPAddr, conf *confirmation) error {
	have := fl.in.view.revision()
	if conf.Revision <= have {
		return nil
	}
	if conf.follows(have) {
		return fl.change(ctx, from, conf.Changes, conf.UpTo)
	}
	if err := fl.readAll(ctx, true); err != nil || fl.in.view.revision() > have {
		return err
	}
	return fl.readAll(ctx, false)
}

// ask asks the store itself and reports whether it answered.
func (fl *follower) ask(ctx context.Context) bool {
	limited, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	// The confirmation counts from before the question: a change that the store took after its answer is not in it.
	asked := bootTime()
	fl.in.count("Store.Questions")
	revision, err := fl.in.directory.Revision(limited)
	if err == nil {
		err = fl.take(ctx, revision, changesTimeout+changesFactor*(bootTime()-asked))
	}
	if err != nil {
		fl.failed(ctx, err)
		return false
	}
	fl.reached()
	fl.confirm(asked)
	return true
}

// reached notes that the state here is the store's again, by whichever way. Were the outage taken to last on, each replica
// that leaves would be used for as long as one that an outage hides.
func (fl *follower) reached() {
	if fl.away {
		fl.in.log.Info().Int64("Revision", fl.in.view.revision()).Msg("store in reach again")
	}
	fl.away = false
	fl.again = 0
}

// confirm notes that the state here was the store's at the boot time.
func (fl *follower) confirm(at time.Duration) {
	if int64(at) > fl.in.confirmed.Load() {
		fl.in.confirmed.Store(int64(at))
	}
}

// take brings the state to the revision at least, and tells the others that there is something new. What has changed is
// asked for, and everything is read only where that is not to be had: the cost of a change must not grow with the fleet.
func (fl *follower) take(ctx context.Context, revision int64, limit time.Duration) error {
	if fl.read && revision <= fl.in.view.revision() {
		return nil
	}
	if err := fl.bring(ctx, revision, limit); err != nil {
		return err
	}
	fl.in.notes.spread()
	return nil
}

func (fl *follower) bring(ctx context.Context, revision int64, limit time.Duration) error {
	asks := fl.read
	if asks && fl.takeChanges(ctx, revision, limit) {
		return nil
	}
	if err := fl.readAll(ctx, true); err != nil || fl.in.view.revision() >= revision {
		return err
	}
	// What was not told before is not told now either.
	if !asks && fl.takeChanges(ctx, revision, limit) {
		return nil
	}
	return fl.readAll(ctx, false)
}

// takeChanges brings the state to the revision by what has changed and reports whether that was possible.
func (fl *follower) takeChanges(ctx context.Context, revision int64, limit time.Duration) bool {
	for fl.in.view.revision() < revision {
		if err := fl.takeSome(ctx, limit); err != nil {
			fl.in.count("Store.ChangesMissed")
			fl.in.log.Info().Err(err).Int64("Revision", revision).Msg("changes not told; everything is read")
			return false
		}
	}
	return true
}

// takeSome takes the next changes that the store tells.
func (fl *follower) takeSome(ctx context.Context, limit time.Duration) error {
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	fl.in.count("Store.Changes")
	changes, upTo, err := fl.in.directory.Changes(limited, fl.in.view.revision())
	if err != nil {
		return err
	}
	return fl.change(ctx, nil, changes, upTo)
}

// readAll takes the store's whole state unless it is older than the one here. A stale read may be.
func (fl *follower) readAll(ctx context.Context, stale bool) error {
	fl.in.count("Store.Reads")
	snap, err := fl.pages(ctx, stale)
	if err != nil {
		return err
	}
	if fl.read && snap.Revision <= fl.in.view.revision() {
		return nil
	}
	fl.peers = make(map[string]Peer, len(snap.Peers))
	for _, peer := range snap.Peers {
		fl.peers[peer.Name] = peer
	}
	fl.read = true
	fl.in.view.reset(snap.Revision)
	fl.in.install(snap.Routing)
	fl.in.setPeers(fl.peers)
	fl.in.apply(steer.Listed{Replicas: snap.Replicas, Away: fl.away})
	return nil
}

// pages reads all pages and puts them together. A page that fails is asked for again by itself: when all instances of a
// large fleet start at once, their reading takes the store's link for seconds, and if each began anew after a failure none
// would ever have all. What later pages miss of the first one's time comes with the changes after its revision.
func (fl *follower) pages(ctx context.Context, stale bool) (Snapshot, error) {
	var whole Snapshot
	after, failures := "", 0
	for {
		page, next, err := fl.page(ctx, stale, after)
		if err != nil {
			failures++
			if failures > pageTries || !delay.For(ctx, askAgain<<failures) {
				return Snapshot{}, err
			}
			continue
		}
		if after == "" {
			whole.Revision = page.Revision
		}
		if page.Routing != nil {
			whole.Routing = page.Routing
		}
		whole.Replicas = append(whole.Replicas, page.Replicas...)
		whole.Peers = append(whole.Peers, page.Peers...)
		if next == "" {
			return whole, nil
		}
		after = next
	}
}

func (fl *follower) page(ctx context.Context, stale bool, after string) (Snapshot, string, error) {
	limited, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	return fl.in.directory.Read(limited, stale, after)
}

// change takes all changes up to the revision, which a failure leaves undone: half of them would count as none missing. They
// came from another instance, or from the store where from is nil.
func (fl *follower) change(ctx context.Context, from *net.UDPAddr, changes []Change, upTo int64) error {
	relisted, peersChanged, routingAt := fl.sort(changes)
	if routingAt > 0 {
		routing, err := fl.routingAt(ctx, from, routingAt)
		if err != nil {
			return err
		}
		fl.in.install(routing)
	}
	if peersChanged {
		fl.in.setPeers(fl.peers)
	}
	fl.in.view.add(changes, upTo)
	fl.in.apply(relisted)
	return nil
}

// sort parts the changes by what they concern: replicas, other instances, the configuration and since which revision.
func (fl *follower) sort(changes []Change) (relisted steer.Relisted, peersChanged bool, routingAt int64) {
	latest := map[string]*steer.Replica{}
	for i := range changes {
		chg := &changes[i]
		switch {
		case chg.Routing:
			routingAt = chg.Revision
		case chg.Replica != nil:
			latest[chg.Replica.Name] = chg.Replica
		case chg.LeftReplica != "":
			latest[chg.LeftReplica] = nil
		case chg.Peer != nil:
			fl.peers[chg.Peer.Name] = *chg.Peer
			peersChanged = true
		case chg.LeftPeer != "":
			delete(fl.peers, chg.LeftPeer)
			peersChanged = true
		}
	}
	relisted.Away = fl.away
	for _, name := range slices.Sorted(maps.Keys(latest)) {
		if rep := latest[name]; rep != nil {
			relisted.Replicas = append(relisted.Replicas, *rep)
		} else {
			relisted.Gone = append(relisted.Gone, name)
		}
	}
	return relisted, peersChanged, routingAt
}

func (fl *follower) failed(ctx context.Context, err error) {
	fl.in.count("Store.Failures")
	if ctx.Err() != nil || fl.away {
		return
	}
	fl.away = true
	fl.in.log.Warn().Err(err).Int64("Revision", fl.in.view.revision()).Msg("store out of reach; the last state stays in use")
}

// announce tells the other instances where this one is.
func (in *Instance) announce(ctx context.Context) error {
	again := announceAgain
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, askTimeout)
		err := in.directory.Announce(limited, in.self, announceTime)
		cancel()
		if err == nil {
			again = announceAgain
			delay.For(ctx, announceEvery)
			continue
		}
		delay.For(ctx, again)
		again = min(2*again, announceMost)
	}
	return ctx.Err()
}

// fresh reports whether the store confirmed the configuration within the part of a token's life.
func (in *Instance) fresh(part float64) bool {
	return in.confirmed.Load() != 0 && in.confirmedAge() < time.Duration(part*float64(in.opts.TokenLife))
}
