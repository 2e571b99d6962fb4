package relay

import (
	"context"
	"net"
	"time"

	"dandelionsail.example/dandelionsail/internal/delay"
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
	// askAgain is the wait after a question that was not answered, which doubles up to askSeldom: each question is paid
	// for, refused ones too. lonelyAgain is the wait between those of an instance in the place of others.
	askAgain    = 150 * time.Millisecond
	askSeldom   = time.Second
	lonelyAgain = 3 * time.Second
	// emptyPause is the wait while there is no configuration, which the store's stale copy is read for so many times before
	// the store itself is asked: stale reads cost a tenth, and all instances start at once.
	emptyPause  = 400 * time.Millisecond
	staleBegins = 10
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
	// begins counts the stale reads before there was a configuration.
	begins int
	// pollers is how many instances are taken to ask the store: more while none of the first can confirm anything.
	pollers int
	// lonelyUntil is until when this instance does not ask the store in their place.
	lonelyUntil time.Time
	// refusedAt is when the store last refused the configuration.
	refusedAt time.Time
}

func (fl *follower) run(ctx context.Context) error {
	pause := fl.begin(ctx)
	for ctx.Err() == nil {
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-timer.C:
			pause = fl.begin(ctx)
		case from := <-fl.in.notes.news:
			pause = fl.followNews(ctx, from)
		}
		timer.Stop()
	}
	return ctx.Err()
}

// begin reads the store's stale copy until that holds a configuration, and follows from then on. Load pattern: all instances
// of a large fleet start at once, and each question of each to the store itself counts against its rate.
func (fl *follower) begin(ctx context.Context) time.Duration {
	if !fl.in.configured() && fl.begins < staleBegins {
		fl.begins++
		if err := fl.readAll(ctx, true); err != nil {
			fl.failed(ctx, err)
		}
		if !fl.in.configured() {
			return emptyPause
		}
	}
	return fl.follow(ctx)
}

// follow brings the store's state here once and returns when it should again. An instance that the store turns away, or
// whose pollers it turns away, takes the other way.
func (fl *follower) follow(ctx context.Context) time.Duration {
	lag := float64(fl.in.opts.ConfigLag)
	hears := fl.hears()
	asks := !hears || fl.in.notes.pollsStore(fl.polling())
	if !asks && fl.hear(ctx) {
		return time.Duration(hearShare * lag)
	}
	if !asks && !fl.lonely() {
		return askAgain
	}
	answered := fl.ask(ctx)
	switch {
	case answered && !fl.in.configured():
		return emptyPause
	case answered || hears && asks && fl.hear(ctx):
		return time.Duration(askShare * lag)
	}
	fl.widen()
	pause := max(fl.again, askAgain)
	fl.again = min(2*pause, askSeldom)
	return pause
}

// lonely tells that an instance that is none of those that ask the store should ask it all the same, since none of them
// answers or is in the store's reach itself. At first others take their place: while the store is away from all, hundreds
// of instances would ask it in vain each second, and each call is paid for.
func (fl *follower) lonely() bool {
	if fl.widen() || time.Now().Before(fl.lonelyUntil) {
		return false
	}
	fl.lonelyUntil = time.Now().Add(lonelyAgain)
	return true
}

// widen takes more instances to ask the store and reports whether there were more to take.
func (fl *follower) widen() bool {
	before := fl.polling()
	fl.pollers = min(2*before, mostPollers)
	if fl.pollers == before {
		return false
	}
	fl.in.log.Info().Int("Pollers", fl.pollers).Int64("Revision", fl.in.view.revision()).Msg("no confirmation; more instances ask the store")
	return true
}

// polling is how many instances ask the store. It falls back step by step once they can confirm again.
func (fl *follower) polling() int { return max(fl.pollers, storePollers) }

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
	return fl.read && fl.in.configured() && fl.in.notes.knowsOthers()
}

// hear lets another instance confirm the state and reports whether that was possible.
func (fl *follower) hear(ctx context.Context) bool {
	for _, from := range fl.in.notes.somePollers(fl.polling()) {
		if fl.hearFrom(ctx, from) {
			fl.pollers = fl.polling() / 2
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
	if fl.in.configured() {
		fl.in.beginOnce.Do(func() { close(fl.in.begun) })
	}
}

func (fl *follower) failed(ctx context.Context, err error) {
	fl.in.count("Store.Failures")
	if ctx.Err() != nil || fl.away {
		return
	}
	fl.away = true
	fl.in.log.Warn().Err(err).Int64("Revision", fl.in.view.revision()).Msg("store out of reach; the last state stays in use")
}

// announce tells the other instances where this one is. An instance that starts again takes over the entry that it had:
// when all start at once, as after a power failure, a new one for each is most of what they ask of the store.
func (in *Instance) announce(ctx context.Context) error {
	self := in.self
	select {
	case <-ctx.Done():
	case self = <-in.entry:
	case <-time.After(announceAgain):
	}
	again := announceAgain
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, askTimeout)
		in.count("Store.Announcements")
		err := in.directory.Announce(limited, self, announceTime)
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
