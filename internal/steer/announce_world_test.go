package steer_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dandelionsail.example/dandelionsail/internal/notice"
	"dandelionsail.example/dandelionsail/internal/steer"
)

// Parameters of the operators' rules on what replicas announce.
const (
	// drainBound is how long after an instance has passed on an answer that says that its replica leaves requests that it
	// receives may still reach the replica from it.
	drainBound = 2 * time.Second
	// restSettle is the time after a refusal with a time of rest in which requests on their way do not count.
	restSettle = 500 * time.Millisecond
	// maxInRest is how many requests may reach the replica from the instance in the rest of that time.
	maxInRest = 2
)

// announceWorld is a fleet whose replicas leave and ask for rest, with a record of what each instance was told.
type announceWorld struct {
	*limitWorld
	// leaving holds the replicas that leave.
	leaving map[string]bool
	// shedding holds, by replica, the share of requests that it refuses, and how long it then asks for rest.
	shedding map[string]shedding
	// toldAt holds when each instance was first told that a replica leaves.
	toldAt map[pair]time.Time
	// rests holds the rests that each replica has asked each instance for.
	rests map[pair][]span
	// shareRests makes each rest known to all instances, to compare that with the rule that binds only one.
	shareRests bool
}

type shedding struct {
	share float64
	rest  time.Duration
}

// pair is an instance and a replica.
type pair struct {
	node    *limitNode
	replica string
}

type span struct{ from, to time.Time }

func newAnnounceWorld(seed uint64, instances int, list []steer.Replica) *announceWorld {
	aw := &announceWorld{
		limitWorld: newLimitWorld(seed, instances, list, usualBudget), leaving: map[string]bool{}, shedding: map[string]shedding{},
		toldAt: map[pair]time.Time{}, rests: map[pair][]span{},
	}
	aw.announced, aw.told = aw.answer, aw.record
	return aw
}

// answer returns what the replica announces, and whether it refuses the request.
func (aw *announceWorld) answer(replica string) (ann notice.Announced, refused bool) {
	ann.Leaving = aw.leaving[replica]
	if shed, ok := aw.shedding[replica]; ok && aw.random.Float64() < shed.share {
		ann.Rest = shed.rest
	}
	return ann, ann.Rest > 0
}

// record records what the instance has just been told.
func (aw *announceWorld) record(node *limitNode, replica string, ann notice.Announced) {
	key := pair{node, replica}
	if _, ok := aw.toldAt[key]; ann.Leaving && !ok {
		aw.toldAt[key] = aw.now
	}
	if ann.Rest == 0 {
		return
	}
	aw.rests[key] = append(aw.rests[key], span{aw.now, aw.now.Add(ann.Rest)})
	if !aw.shareRests {
		return
	}
	for _, other := range aw.nodes {
		aw.reduce(other, steer.ResponseReceived{Replica: replica, Born: 1, Sent: aw.now, Announced: ann})
	}
}

// check returns a violation of the rules, empty if there is none. Restarts and freezes since the announcement excuse an
// instance; cuts excuse it from the rule on rests only.
func (aw *announceWorld) check() string {
	byPair := map[pair][]time.Time{}
	for _, got := range aw.received {
		key := pair{got.node, got.replica}
		byPair[key] = append(byPair[key], got.at)
		if told, ok := aw.toldAt[key]; ok && got.at.Sub(told) > drainBound && !got.node.disturbedUntil.After(told) {
			return fmt.Sprintf("%s sent a request to %s %s after it was told that it leaves", got.node.name, got.replica, got.at.Sub(told))
		}
	}
	for key, spans := range aw.rests {
		for _, sp := range spans {
			count := 0
			for _, at := range byPair[key] {
				if at.Sub(sp.from) > restSettle && at.Before(sp.to) {
					count++
				}
			}
			if count > maxInRest && !key.node.disturbedUntil.After(sp.from) {
				return fmt.Sprintf("%s sent %d requests to %s in a rest of %s", key.node.name, count, key.replica, sp.to.Sub(sp.from))
			}
		}
	}
	return ""
}

func TestAnnouncementsHoldUnderRandomFaults(t *testing.T) {
	// Replicas leave and ask for rest while lists are late or show an older state, notes are lost, and instances restart, freeze
	// and are cut off. Each instance must keep what it was told itself.
	rapid.Check(t, func(rt *rapid.T) {
		list := replicas(rapid.IntRange(1, 5).Draw(rt, "engines"))
		aw := newAnnounceWorld(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(1, 6).Draw(rt, "instances"), list)
		aw.loss = rapid.SampledFrom([]float64{0, 0.05, 0.5}).Draw(rt, "loss")
		const lasts = 14 * time.Second
		aw.load(float64(rapid.IntRange(2, 60).Draw(rt, "streams")), lasts, &short, 5000)
		aw.load(float64(rapid.IntRange(1, 30).Draw(rt, "updates")), lasts, &update, 0)
		aw.load(0.5, lasts, &long, 150_000)
		for aw.now.Sub(start) < lasts {
			aw.advance(time.Duration(rapid.IntRange(100, 1500).Draw(rt, "pause")) * time.Millisecond)
			replica := rapid.SampledFrom(list).Draw(rt, "replica").Name
			switch rapid.SampledFrom([]string{"leave", "shed", "shed", "recover", "list", "list", "fault"}).Draw(rt, "step") {
			case "leave":
				aw.leaving[replica] = true
			case "shed":
				rest := time.Duration(rapid.IntRange(1, 5000).Draw(rt, "rest")) * time.Millisecond
				aw.shedding[replica] = shedding{rapid.Float64Range(0.2, 1).Draw(rt, "share"), rest}
			case "recover":
				delete(aw.shedding, replica)
			case "list":
				aw.showList(rt, list)
			case "fault":
				aw.disturb(rt)
			}
		}
		if broken := aw.check(); broken != "" {
			rt.Fatal(broken)
		}
	})
}

// showList shows an instance a list of some older state: with all replicas ready, or with one missing or of an earlier
// incarnation.
func (aw *announceWorld) showList(rt *rapid.T, list []steer.Replica) {
	node := rapid.SampledFrom(aw.nodes).Draw(rt, "instance")
	shown := append([]steer.Replica{}, list...)
	place := rapid.IntRange(0, len(list)-1).Draw(rt, "place")
	switch rapid.IntRange(0, 2).Draw(rt, "state") {
	case 1:
		shown[place].Born = 0
	case 2:
		shown = append(shown[:place], shown[place+1:]...)
	}
	aw.reduce(node, steer.Listed{Replicas: shown})
}

func TestTellingOthersOfRestsTakesCapacity(t *testing.T) {
	// Compares two ways: a rest binds the instance that was refused, or all. Several engines refuse a third of what they get for
	// a while. If all instances rested, capacity would lie idle that the replicas still grant: callers are refused or wait.
	served := func(shared bool) (count int) {
		for seed := range uint64(4) {
			aw := newAnnounceWorld(seed+1, 6, replicas(5))
			aw.shareRests = shared
			for i := range 5 {
				aw.shedding[fmt.Sprint("lyric-", i)] = shedding{0.3, 2 * time.Second}
			}
			aw.load(40, 12*time.Second, &short, 5000)
			aw.advance(14 * time.Second)
			count += aw.served["short"]
		}
		return count
	}
	one, all := served(false), served(true)
	t.Logf("served %d if a rest binds one instance, %d if it binds all", one, all)
	if one <= all {
		t.Fatalf("served %d if a rest binds one instance, %d if it binds all", one, all)
	}
}
