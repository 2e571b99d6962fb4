package relay

import (
	"context"
	"time"

	"dandelionsail.example/dandelionsail/internal/delay"
	"dandelionsail.example/dandelionsail/internal/steer"
)

const (
	// followShare is the part of the time in which a change must be in force that passes between two questions.
	followShare = 0.5
	// askTimeout bounds one question to the store, so that a connection that fell silent costs little more.
	askTimeout = 600 * time.Millisecond
	// askAgain is the wait after a question that was not answered.
	askAgain = 150 * time.Millisecond
	// announceTime is how long an announcement lasts, announceEvery when it is made again.
	announceTime  = 40 * time.Second
	announceEvery = 15 * time.Second
	// readyAge is the part of a token's life after which a store out of reach makes the instance unready, so that
	// callers go where tokens are still good.
	readyAge = 0.55
)

// follower keeps the configuration and the lists up to date. It asks the store for its revision, and reads only when
// that has changed: a watch could be silent or cut without a sign, and would prove nothing about the tokens.
type follower struct {
	in       *Instance
	revision int64
	// away tells that the last question was not answered.
	away bool
	// read tells that there was an answer at all.
	read bool
}

func (fl *follower) run(ctx context.Context) error {
	period := time.Duration(followShare * float64(fl.in.opts.ConfigLag))
	for ctx.Err() == nil {
		pause := period
		if !fl.ask(ctx) || !fl.in.configured() {
			pause = askAgain
		}
		delay.For(ctx, pause)
	}
	return ctx.Err()
}

// ask brings the store's state here and reports whether it answered.
func (fl *follower) ask(ctx context.Context) bool {
	limited, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	// The confirmation counts from before the question: a change that the store took after its answer is not in it.
	asked := bootTime()
	fl.in.count("Store.Questions")
	revision, err := fl.in.directory.Revision(limited)
	if err == nil && (!fl.read || revision != fl.revision) {
		asked = bootTime()
		err = fl.take(limited)
	}
	if err != nil {
		fl.failed(ctx, err)
		return false
	}
	if fl.away {
		fl.in.log.Info().Int64("Revision", fl.revision).Msg("store answers again")
	}
	fl.away = false
	fl.in.confirmed.Store(int64(asked))
	return true
}

func (fl *follower) take(ctx context.Context) error {
	fl.in.count("Store.Reads")
	snap, err := fl.in.directory.Read(ctx)
	if err != nil {
		return err
	}
	fl.read = true
	fl.revision = snap.Revision
	fl.in.install(snap.Routing)
	fl.in.setPeers(snap.Peers)
	fl.in.apply(steer.Listed{Replicas: snap.Replicas, Away: fl.away})
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
