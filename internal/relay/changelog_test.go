package relay

import (
	"context"
	"math"
	"net"
	"strconv"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dandelionsail.example/dandelionsail/internal/posit"
	"dandelionsail.example/dandelionsail/internal/steer"
)

// era is the era of the positions in these tests.
var era = posit.Position{Era: 3}

func TestChangeLogReturnsEachChangeOnce(t *testing.T) {
	// An Instance that requests changes from its revision until there are no more must receive every later change once
	// and in order, however many there are and however many share a revision. Otherwise it misses one for good or
	// applies it twice.
	rapid.Check(t, func(rt *rapid.T) {
		first := rapid.Int64Range(0, 5).Draw(rt, "first")
		var chl changeLog
		chl.reset(era.At(first))
		var all []Change
		revision := first
		for range rapid.IntRange(0, 200).Draw(rt, "revisions") {
			revision++
			var batch []Change
			for range rapid.IntRange(1, 3).Draw(rt, "changes") {
				batch = append(batch, Change{Revision: revision})
			}
			chl.add(batch, era.At(revision))
			all = append(all, batch...)
		}
		assert.Equal(rt, chl.position(), era.At(revision))
		have := rapid.Int64Range(first, revision).Draw(rt, "have")
		var wanted, got int
		for _, chg := range all {
			if chg.Revision > have {
				wanted++
			}
		}
		for have < revision {
			changes, at := chl.since(era.At(have))
			upTo := at.Revision
			assert.Assert(rt, at.SameEra(era) && upTo > have && len(changes) > 0)
			assert.Assert(rt, changes[0].Revision == have+1 && changes[len(changes)-1].Revision == upTo)
			got += len(changes)
			have = upTo
		}
		assert.Equal(rt, got, wanted)
	})
}

func TestChangeLogOmitsDiscardedChanges(t *testing.T) {
	// An Instance that missed more changes than the log holds must receive none, since it would take the rest for all of
	// them.
	var chl changeLog
	chl.reset(era.At(0))
	for revision := range int64(changeLogSize + 10) {
		chl.add([]Change{{Revision: revision + 1}}, era.At(revision+1))
	}
	changes, upTo := chl.since(era.At(5))
	assert.Equal(t, len(changes), 0)
	assert.Equal(t, upTo, era.At(5))
	changes, _ = chl.since(era.At(10))
	assert.Equal(t, changes[0].Revision, int64(11))
}

func TestChangeLogKnowsNoOtherEra(t *testing.T) {
	// The store has returned from a copy. An Instance that has not noticed it asks for the changes after a revision that the log
	// holds as well: those are not all that it lacks.
	var chl changeLog
	chl.reset(era.At(5))
	chl.add([]Change{{Revision: 6}}, era.At(6))
	before := posit.Position{Era: era.Era - 1, Revision: 5}
	changes, upTo := chl.since(before)
	assert.Equal(t, len(changes), 0)
	assert.Equal(t, upTo, before)
}

func TestLongEntriesReachOtherInstances(t *testing.T) {
	// The entries of replicas have the longest names that are accepted. If a response with the changes were too long for a datagram, it would not be
	// sent, and every Instance that asks for it would be left without confirmations and changes.
	dir := newFakeDirectory()
	one, two := newTestInstance(t, "one", dir), newTestInstance(t, "two", dir)
	registerAll(dir, one, two)
	first, second := &follower{in: one}, &follower{in: two}
	assert.NilError(t, first.readAll(t.Context(), false))
	assert.NilError(t, second.readAll(t.Context(), false))
	long := strings.Repeat("x", maxNameBytes-3)
	for i := range 3 * changesPerResponse {
		dir.addChange(Change{Replica: &steer.Replica{Name: strconv.Itoa(100+i) + long, Service: "abc" + long, Address: "10.0.0.1:8080", FailureDomain: strings.Repeat("y", maxDomainName), Slots: maxSlots, Born: maxBornMs, ColdMs: math.MaxInt64}})
	}
	assert.Assert(t, first.pollStore(t.Context()))
	reads := dir.fullReads.Load()
	assert.Assert(t, second.confirmsBy(t.Context(), localAddress(one)))
	assert.Equal(t, second.position(), first.position())
	assert.Equal(t, dir.fullReads.Load(), reads)
}

// confirmsBy reports whether the Instance at the address confirms the state within some tries. On a busy machine an answer may come after confirmTimeout.
func (fl *follower) confirmsBy(ctx context.Context, from *net.UDPAddr) bool {
	for range 20 {
		if fl.confirmByPeer(ctx, from) {
			return true
		}
	}
	return false
}

func TestSizeOfChangesIsBounded(t *testing.T) {
	// Whatever is in the changes, a response with them must fit into a datagram.
	rapid.Check(t, func(rt *rapid.T) {
		var chl changeLog
		chl.reset(era.At(0))
		text := func(limit int) string { return strings.Repeat("x", rapid.IntRange(0, limit).Draw(rt, "length")) }
		for revision := range int64(rapid.IntRange(1, 40).Draw(rt, "revisions")) {
			chg := Change{Revision: math.MaxInt64 - 50 + revision}
			switch rapid.IntRange(0, 4).Draw(rt, "kind") {
			case 0:
				chg.Replica = &steer.Replica{Name: text(maxNameBytes), Service: text(maxNameBytes), Address: text(60), FailureDomain: text(maxDomainName), Slots: maxSlots, Born: maxBornMs, ColdMs: math.MaxInt64, Leaving: true}
			case 1:
				chg.Peer = &Peer{Name: text(maxNameBytes), Address: text(60), FailureDomain: text(maxDomainName)}
			case 2:
				chg.Quarantine = &Quarantine{Crashes: math.MaxInt64, LastCrashMs: math.MaxInt64, Ended: true, Callers: []uint64{math.MaxUint64, math.MaxUint64}}
				for range rapid.IntRange(1, 600).Draw(rt, "parts") {
					chg.Quarantine.Parts = append(chg.Quarantine.Parts, math.MaxUint64)
				}
			case 3:
				chg.Evacuation = &Evacuation{FailureDomain: text(maxDomainName), Ended: true}
			case 4:
				at := chg.Revision
				chg = InvalidChange(InvalidEntry{EntryReplica, text(2 * maxNameBytes), text(200)})
				chg.Revision = at
			}
			chl.add([]Change{chg}, era.At(chg.Revision))
		}
		changes, upTo := chl.since(era.At(0))
		conf := confirmation{Nonce: math.MaxUint64, Revision: math.MaxInt64, AgeMs: math.MaxInt64, Changes: changes, UpTo: upTo.Revision, Era: math.MaxInt64, Version: math.MaxInt64, Evacuations: true}
		for range maxKeptEvacuations {
			conf.Kept = append(conf.Kept, keptEvacuation{strings.Repeat("z", maxDomainName), math.MaxInt64})
		}
		raw, err := cbor.Marshal(packet{Confirmation: &conf})
		assert.NilError(rt, err)
		assert.Assert(rt, len(raw) <= maxDatagram, len(raw))
		size := 0
		for i := range chl.changes[:1] {
			size += chl.changes[i].size()
		}
		assert.Assert(rt, len(changes) > 0 || size > maxChangesBytes)
	})
}
