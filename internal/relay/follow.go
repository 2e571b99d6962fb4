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
