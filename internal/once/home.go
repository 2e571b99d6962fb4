package once

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/peers"
	"dandelionsail.example/dandelionsail/internal/store"
	"dandelionsail.example/dandelionsail/internal/wire"
)

// homes knows which instance batches the writes of each shard. Two instances that both believe to be a shard's home
// cost each other swaps and nothing else.
type homes struct {
	// Transport reaches the peers; nil where there are none, then each instance writes for itself. Set before Run.
	Transport peers.Transport
	// byShard holds the peer address of each shard's home, empty for this instance; nil while no members are known.
	byShard atomic.Pointer[[Shards]string]
}

// SetMembers takes the entry instances that are thought to live.
func (cs *Claims) SetMembers(instances []event.Instance) {
	var addresses [Shards]string
	for shard := range addresses {
		addresses[shard] = cs.home(shard, instances)
	}
	cs.byShard.Store(&addresses)
}

func (cs *Claims) home(shard int, instances []event.Instance) string {
	best := rank(shard, cs.name)
	address := ""
	for _, inst := range instances {
		if inst.Leaving || inst.Peer == "" || inst.Name == cs.name {
			continue
		}
		if own := rank(shard, inst.Name); own > best {
			best = own
			address = inst.Peer
		}
	}
	return address
}

func rank(shard int, name string) uint64 {
	return xxhash.Sum64String("claim/" + strconv.Itoa(shard) + "/" + name)
}

// homeOf returns the peer address of the shard's home, empty if this instance writes itself.
func (cs *Claims) homeOf(shard int) string {
	addresses := cs.byShard.Load()
	if cs.Transport == nil || addresses == nil {
		return ""
	}
	return addresses[shard]
}

// unanswered tells a store that gave no answer from one that refused.
func unanswered(err error) bool {
	return errorx.IsOfType(err, store.Unavailable)
}

// forwardClaim asks the shard's home; ok is false if this instance has to write itself. The home may have recorded the
// claim although its answer was lost; the nonce shows it.
func (cs *Claims) forwardClaim(ctx context.Context, shard int, op *claimOp) (claimed, bool) {
	address := cs.homeOf(shard)
	if address == "" {
		return claimed{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	wait := forwardTimeout
	if ends, ok := ctx.Deadline(); ok {
		wait = time.Until(ends)
	}
	answer, err := cs.Transport.Ask(ctx, address, wire.ClaimAsk{
		Shard: shard, Hash: op.hash, Digest: op.digest, Nonce: op.nonce, Lasts: time.Until(op.ends), Wait: wait,
	})
	if err != nil {
		return claimed{}, false
	}
	got, ok := answer.(wire.ClaimAnswer)
	if !ok || got.Result == int(event.ClaimUnavailable) {
		return claimed{}, false
	}
	return claimed{result: event.ClaimResult(got.Result), out: event.Outcome(got.Outcome)}, true
}

func (cs *Claims) forwardSettle(ctx context.Context, shard int, op *settleOp) bool {
	address := cs.homeOf(shard)
	if address == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	answer, err := cs.Transport.Ask(ctx, address, wire.ClaimSettle{
		Shard: shard, Hash: op.hash, Nonce: op.nonce, Outcome: wire.ClaimOutcome(op.out), Release: op.release, Wait: forwardTimeout,
	})
	got, ok := answer.(wire.ClaimAnswer)
	return err == nil && ok && got.Result == int(event.ClaimWon)
}

// Handle answers a peer that takes this instance for a shard's home, nil if the message is about something else.
func (cs *Claims) Handle(ctx context.Context, msg wire.Message) wire.Message {
	switch msg := msg.(type) {
	case wire.ClaimAsk:
		return cs.claimFor(ctx, msg)
	case wire.ClaimSettle:
		return cs.settleFor(ctx, msg)
	}
	return nil
}

func (cs *Claims) claimFor(ctx context.Context, msg wire.ClaimAsk) wire.ClaimAnswer {
	if msg.Shard < 0 || msg.Shard >= Shards {
		return wire.ClaimAnswer{Result: int(event.ClaimUnavailable)}
	}
	ctx, cancel := context.WithTimeout(ctx, min(msg.Wait, forwardTimeout))
	defer cancel()
	lasts := min(msg.Lasts, cs.retention())
	// The one who asked gives the claim up and releases it if need be, since it alone knows whether the request runs.
	res := cs.claimHere(ctx, msg.Shard, &claimOp{
		hash: msg.Hash, digest: msg.Digest, nonce: msg.Nonce, ends: time.Now().Add(lasts), given: make(chan claimed, 1),
	})
	return wire.ClaimAnswer{Result: int(res.result), Outcome: wire.ClaimOutcome(res.out)}
}

func (cs *Claims) settleFor(ctx context.Context, msg wire.ClaimSettle) wire.ClaimAnswer {
	if msg.Shard < 0 || msg.Shard >= Shards {
		return wire.ClaimAnswer{Result: int(event.ClaimUnavailable)}
	}
	ctx, cancel := context.WithTimeout(ctx, min(msg.Wait, forwardTimeout))
	defer cancel()
	if len(msg.Outcome.Body) > KeptBody {
		msg.Outcome.Body, msg.Outcome.Truncated = nil, true
	}
	op := &settleOp{hash: msg.Hash, nonce: msg.Nonce, out: event.Outcome(msg.Outcome), release: msg.Release, done: make(chan struct{})}
	if cs.settleHere(ctx, msg.Shard, op) != nil {
		return wire.ClaimAnswer{Result: int(event.ClaimUnavailable)}
	}
	return wire.ClaimAnswer{Result: int(event.ClaimWon)}
}
