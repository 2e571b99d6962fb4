package relay

import (
	"context"
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
	// askTimeout bounds one question to the store, so that a connection that fell silent costs little more.
	askTimeout = 600 * time.Millisecond
	// askAgain is the wait after a question that was not answered, which doubles up to askSeldom: each question is paid
	// for, refused ones too. emptyPause is the wait while there is no configuration.
	askAgain   = 150 * time.Millisecond
	askSeldom  = time.Second
	emptyPause = 400 * time.Millisecond
	// announceTime is how long an announcement lasts, announceEvery when it is made again.
	announceTime  = 40 * time.Second
	announceEvery = 15 * time.Second
	// readyAge is the part of a token's life after which a store out of reach makes the instance unready, so that
	// callers go where tokens are still good.
	readyAge = 0.55
)

// follower keeps the configuration and the lists up to date. A few instances ask the store for its revision, and the
// others ask them; who hears of a newer one reads. There is no watch: it could be silent or cut without a sign, and would
// prove nothing about the tokens.
type follower struct {
	in       *Instance
	revision int64
	// away tells that the last question was not answered, read that there was an answer at all.
	away, read bool
	// again is the wait after the next question that is not answered.
	again time.Duration
}

func (fl *follower) run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := fl.follow(ctx)
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-fl.in.notes.news:
		}
		timer.Stop()
	}
	return ctx.Err()
}

// follow brings the store's state here once and returns when it should again. An instance that the store turns away, or
// whose askers it turns away, takes the other way.
func (fl *follower) follow(ctx context.Context) time.Duration {
	lag := float64(fl.in.opts.ConfigLag)
	hears := fl.read && fl.in.configured() && fl.in.notes.hasAskers()
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

// hear lets another instance confirm the state and reports whether that was possible. The confirmation counts from the
// question here less the age that the other one gave, so that neither a frozen process nor a late datagram can stretch a
// token's life, and what one instance heard from another it never passes on as newer than it was.
func (fl *follower) hear(ctx context.Context) bool {
	asked := bootTime()
	conf, ok := fl.in.notes.ask(ctx, time.Duration(oldShare*float64(fl.in.opts.ConfigLag)))
	if !ok {
		return false
	}
	limited, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if err := fl.take(limited, conf.Revision); err != nil {
		return false
	}
	fl.reached()
	fl.confirm(asked - time.Duration(conf.AgeMs)*time.Millisecond)
	return true
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
		err = fl.take(limited, revision)
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
		fl.in.log.Info().Int64("Revision", fl.revision).Msg("store in reach again")
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

// take brings the state to the revision at least. A stale read is enough if it is new enough.
func (fl *follower) take(ctx context.Context, revision int64) error {
	if fl.read && revision <= fl.revision {
		return nil
	}
	fl.in.count("Store.StaleReads")
	snap, err := fl.in.directory.Read(ctx, true)
	if err == nil && snap.Revision < revision {
		fl.in.count("Store.Reads")
		snap, err = fl.in.directory.Read(ctx, false)
	}
	if err != nil {
		return err
	}
	fl.read = true
	fl.revision = snap.Revision
	fl.in.revision.Store(snap.Revision)
	fl.in.install(snap.Routing)
	fl.in.setPeers(snap.Peers)
	fl.in.apply(steer.Listed{Replicas: snap.Replicas, Away: fl.away})
	fl.in.notes.spread()
	return nil
}

func (fl *follower) failed(ctx context.Context, err error) {
	fl.in.count("Store.Failures")
	if ctx.Err() != nil || fl.away {
		return
	}
	fl.away = true
	fl.in.log.Warn().Err(err).Int64("Revision", fl.revision).Msg("store out of reach; the last state stays in use")
}

// announce tells the other instances where this one is.
func (in *Instance) announce(ctx context.Context) error {
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, askTimeout)
		err := in.directory.Announce(limited, in.self, announceTime)
		cancel()
		pause := announceEvery
		if err != nil {
			pause = time.Second
		}
		delay.For(ctx, pause)
	}
	return ctx.Err()
}

// fresh reports whether the store confirmed the configuration within the part of a token's life.
func (in *Instance) fresh(part float64) bool {
	return in.confirmed.Load() != 0 && in.confirmedAge() < time.Duration(part*float64(in.opts.TokenLife))
}
