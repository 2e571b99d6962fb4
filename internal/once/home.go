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

// homeTable holds the home of each shard, the instance that batches the shard's writes. Two instances that both act as a
// shard's home make some of each other's swaps fail, and do no other harm.
type homeTable struct {
	// Transport sends messages to peers. Without peers it is nil, and each instance writes for itself. Set it before Run.
	Transport peers.Transport
	// homeAddrs holds the peer address of each shard's home, empty for this instance. It is nil until members are known.
	homeAddrs atomic.Pointer[[ShardCount]string]
}

// SetMembers computes the homes from the entry instances that are believed to be alive.
func (cs *Claims) SetMembers(instances []event.Instance) {
	var addresses [ShardCount]string
	for shard := range addresses {
		addresses[shard] = cs.chooseHome(shard, instances)
	}
	cs.homeAddrs.Store(&addresses)
}

// chooseHome returns the peer address of the instance with the highest rendezvous hash for the shard, empty for this one.
func (cs *Claims) chooseHome(shard int, instances []event.Instance) string {
	bestScore := rendezvousHash(shard, cs.name)
	address := ""
	for _, inst := range instances {
		if inst.Leaving || inst.Peer == "" || inst.Name == cs.name {
			continue
		}
		if score := rendezvousHash(shard, inst.Name); score > bestScore {
			bestScore = score
			address = inst.Peer
		}
	}
	return address
}

func rendezvousHash(shard int, name string) uint64 {
	return xxhash.Sum64String("claim/" + strconv.Itoa(shard) + "/" + name)
}

// homeAddress returns the peer address of the shard's home, empty if this instance writes the shard itself.
func (cs *Claims) homeAddress(shard int) string {
	addresses := cs.homeAddrs.Load()
	if cs.Transport == nil || addresses == nil {
		return ""
	}
	return addresses[shard]
}

// isUnavailable reports whether the store gave no valid response, as opposed to refusing the call.
func isUnavailable(err error) bool {
	return errorx.IsOfType(err, store.Unavailable)
}

// forwardClaim sends the claim to the shard's home. It returns false if this instance has to write the claim itself. The
// home may have recorded the claim although its response was lost; the nonce in the record shows it then.
func (cs *Claims) forwardClaim(ctx context.Context, shard int, op *claimOp) (claimResult, bool) {
	address := cs.homeAddress(shard)
	if address == "" {
		return claimResult{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	wait := forwardTimeout
	if deadline, ok := ctx.Deadline(); ok {
		wait = time.Until(deadline)
	}
	answer, err := cs.Transport.Request(ctx, address, wire.ClaimRequest{
		Shard: shard, Hash: op.hash, Digest: op.digest, Nonce: op.nonce, TimeLeft: time.Until(op.deadline), Wait: wait,
	})
	if err != nil {
		return claimResult{}, false
	}
	got, ok := answer.(wire.ClaimResponse)
	if !ok || got.Result == int(event.ClaimUnavailable) {
		return claimResult{}, false
	}
	return claimResult{result: event.ClaimResult(got.Result), out: event.Outcome(got.Outcome)}, true
}

// forwardSettle sends the outcome or release to the shard's home and reports whether the home recorded it.
func (cs *Claims) forwardSettle(ctx context.Context, shard int, op *settleOp) bool {
	address := cs.homeAddress(shard)
	if address == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	answer, err := cs.Transport.Request(ctx, address, wire.ClaimSettle{
		Shard: shard, Hash: op.hash, Nonce: op.nonce, Outcome: wire.ClaimOutcome(op.out), Release: op.release, Wait: forwardTimeout,
	})
	got, ok := answer.(wire.ClaimResponse)
	return err == nil && ok && got.Result == int(event.ClaimWon)
}

// Handle answers a peer that considers this instance a shard's home. It returns nil for other kinds of messages.
func (cs *Claims) Handle(ctx context.Context, msg wire.Message) wire.Message {
	switch msg := msg.(type) {
	case wire.ClaimRequest:
		return cs.handleClaim(ctx, msg)
	case wire.ClaimSettle:
		return cs.handleSettle(ctx, msg)
	}
	return nil
}

func (cs *Claims) handleClaim(ctx context.Context, msg wire.ClaimRequest) wire.ClaimResponse {
	if msg.Shard < 0 || msg.Shard >= ShardCount {
		return wire.ClaimResponse{Result: int(event.ClaimUnavailable)}
	}
	ctx, cancel := context.WithTimeout(ctx, min(msg.Wait, forwardTimeout))
	defer cancel()
	timeLeft := min(msg.TimeLeft, cs.retention())
	// If need be the requesting instance releases the claim, since it alone knows whether the request runs.
	res := cs.claimHere(ctx, msg.Shard, &claimOp{
		hash: msg.Hash, digest: msg.Digest, nonce: msg.Nonce, deadline: time.Now().Add(timeLeft), reply: make(chan claimResult, 1),
	})
	return wire.ClaimResponse{Result: int(res.result), Outcome: wire.ClaimOutcome(res.out)}
}

func (cs *Claims) handleSettle(ctx context.Context, msg wire.ClaimSettle) wire.ClaimResponse {
	if msg.Shard < 0 || msg.Shard >= ShardCount {
		return wire.ClaimResponse{Result: int(event.ClaimUnavailable)}
	}
	ctx, cancel := context.WithTimeout(ctx, min(msg.Wait, forwardTimeout))
	defer cancel()
	if len(msg.Outcome.Body) > MaxStoredBody {
		msg.Outcome.Body, msg.Outcome.Truncated = nil, true
	}
	op := &settleOp{hash: msg.Hash, nonce: msg.Nonce, out: event.Outcome(msg.Outcome), release: msg.Release, done: make(chan struct{})}
	if cs.settleHere(ctx, msg.Shard, op) != nil {
		return wire.ClaimResponse{Result: int(event.ClaimUnavailable)}
	}
	return wire.ClaimResponse{Result: int(event.ClaimWon)}
}
