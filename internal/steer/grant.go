package steer

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
)

// Grants. One instance grants the sends to a limited replica, the first by rendezvous hashing of the replica's name, so
// that nobody need be elected. It keeps one schedule for all: a request that wants the replica asks for a send, and is told
// when it may go or when there will be room. So the limit follows demand from one request to the next, and may be lower
// than the instances are many. Where instances do not agree on who grants, each of the two hears of the other's sends and
// counts them; one that hears only some of the others grants only their share.

const (
	// silentTime is how long an instance that did not answer is passed over.
	silentTime = time.Second
	// askersPerSend is how many of those that are refused come back for each send that gets free: with all of them, the
	// asks would grow with the instances.
	askersPerSend = 4
	// substituteShare is the part of a limit that is granted until it shows that the instance that should grant is gone: where
	// instances were cut off from each other instead, it grants the whole to its part.
	substituteShare = 0.25
	// longestQueue bounds how far ahead sends are granted.
	longestQueue = 4 * time.Second
	// topMemory is for how long the highest worth that was asked for holds others back.
	topMemory = 2 * time.Second
	// lesserEach is every which grant goes by arrival alone, so that requests of little worth do not starve.
	lesserEach = 4
	// grantMemory is how long after its time a grant is remembered for the note of its send.
	grantMemory = time.Second
)

// Ask asks for a send to a limited replica.
type Ask struct {
	Job     JobID  `cbor:"1,keyasint,omitempty"`
	Replica string `cbor:"2,keyasint,omitempty"`
	// WaitMs is the longest wait that is accepted, little more than was reckoned when the replica was chosen, MostMs the longest
	// that makes sense. Value is the request's worth.
	WaitMs int32   `cbor:"3,keyasint,omitempty"`
	MostMs int32   `cbor:"4,keyasint,omitempty"`
	Value  float32 `cbor:"5,keyasint,omitempty"`
	// Recent counts the sends of all instances in limitSpan that the one that asks knows of: an instance that takes over the
	// granting, or one whose notes are lost, may know of fewer.
	Recent int `cbor:"6,keyasint,omitempty"`
}

// maxValue bounds what an ask may claim to be worth, far above the longest prompt.
const maxValue = 1e6

// Grant answers an Ask.
type Grant struct {
	Job     JobID  `cbor:"1,keyasint,omitempty"`
	Replica string `cbor:"2,keyasint,omitempty"`
	// AfterMs is when the request may be sent, or if it was refused when there will be room.
	AfterMs int32 `cbor:"3,keyasint,omitempty"`
	Refused bool  `cbor:"4,keyasint,omitempty"`
}

func (an *Ask) valid() bool {
	return an.Replica != "" && an.WaitMs >= 0 && an.MostMs >= 0 && an.Value >= 0 && an.Value <= maxValue && an.Recent >= 0
}

func (gr *Grant) valid() bool { return gr.Replica != "" && gr.AfterMs >= 0 }

// granters names the instances of which one grants sends to the replica: those that may use it.
func (st *State) granters(rep *replica) subset {
	svc := st.serviceOf(rep.Service)
	if svc.engine == nil {
		return subset{}
	}
	return st.layoutOf(svc).ofReplica(rep)
}

// granter is the instance that grants sends to the replica, by all that is known here.
func (st *State) granter(rep *replica) string { return st.firstGranter(rep, true) }

// firstGranter is the first by rank of those that may grant sends to the replica; passing leaves out those that were silent.
func (st *State) firstGranter(rep *replica, passing bool) string {
	sub := st.granters(rep)
	best, highest := "", uint64(0)
	consider := func(name string) {
		if hash := xxhash.Sum64String(name + "/" + rep.Name); best == "" || hash > highest {
			best, highest = name, hash
		}
	}
	if svc := st.serviceOf(rep.Service); svc.engine == nil || sub == st.ownSubset(svc) {
		consider(st.Options.Name)
	}
	for _, name := range st.othersUsing(sub) {
		if !passing || st.now.Sub(st.silent[name]) >= silentTime {
			consider(name)
		}
	}
	return cmp.Or(best, st.Options.Name)
}

// substitutes tells that this instance grants in the place of one that was heard lately: that may be gone, or grant to others
// from whom this one was just cut off.
func (st *State) substitutes(rep *replica) bool {
	first := st.firstGranter(rep, false)
	_, heard := st.peers[first]
	return first != st.Options.Name && heard
}

// heardShare is the part of the instances that are heard of those that are registered and tell this one of their work. Cut
// off from the others, an instance cannot know what they send.
func (st *State) heardShare() float64 {
	registered, heard := 1, 1
	for _, svc := range st.services {
		if svc.engine == nil {
			continue
		}
		for _, name := range st.othersUsing(st.ownSubset(svc)) {
			registered++
			if _, ok := st.peers[name]; ok {
				heard++
			}
		}
	}
	return float64(heard) / float64(registered)
}

// grantRate is how many sends a second this instance grants.
func (st *State) grantRate(rep *replica) float64 {
	perS := rep.limit.perS - ticketRate*float64(rep.tickets())
	if st.substitutes(rep) {
		perS *= substituteShare
	}
	return max(leastRate, perS) * st.heardShare()
}

// grant books a send if there is room within the wait; after is when it may go, or when there is room.
func (st *State) grant(rep *replica, key jobKey, wish *Ask) (after time.Duration, ok bool) {
	rl := rep.limit
	if turn, known := rl.granted[key]; known {
		// The answer was lost.
		return max(0, turn.Sub(st.now)), true
	}
	perS := st.grantRate(rep)
	rl.bucket.SetLimitAt(st.now, rate.Limit(perS))
	reserved := rl.bucket.ReserveN(st.now, 1)
	after = reserved.DelayFrom(st.now)
	// No span holds more than the rate allows, what was sent before the limit was heard included.
	holds := int(perS*limitSpan.Seconds()) + 1
	if len(rep.sends) >= holds {
		after = max(after, rep.sends[len(rep.sends)-holds].Add(limitSpan).Sub(st.now))
	} else if wish.Recent >= holds {
		after = max(after, duration(1000/perS))
	}
	value := float64(wish.Value)
	most := min(time.Duration(wish.MostMs)*time.Millisecond, rl.queueFor(st.now, value))
	if after > min(most, time.Duration(wish.WaitMs)*time.Millisecond) {
		reserved.CancelAt(st.now)
		if after <= most {
			return after, false
		}
		rl.refused++
		return after + min(limitSpan, duration(1000*float64(rl.refused)/(askersPerSend*perS))), false
	}
	rl.refused = 0
	rl.lesser++
	if value < rl.top {
		rl.lesser = 0
	}
	rep.sent(st.now, st.now.Add(after))
	if key.from != "" {
		rl.granted[key] = st.now.Add(after)
	}
	return after, true
}

// queueFor is how far ahead a send of the worth may be granted. The far end of the queue is left to what is worth most: by
// arrival alone, many short requests would keep out the few that are worth more.
func (rl *rateLimit) queueFor(now time.Time, value float64) time.Duration {
	if value >= rl.top || now.Sub(rl.topAt) > topMemory {
		rl.top, rl.topAt = value, now
		return longestQueue
	}
	if rl.lesser >= lesserEach {
		return longestQueue
	}
	return time.Duration(value / rl.top * float64(longestQueue))
}

// forgetGrants drops the grants whose sends were not heard of, and what is known of instances that were silent.
func (st *State) forgetGrants() {
	for name, at := range st.silent {
		if st.now.Sub(at) >= silentTime {
			delete(st.silent, name)
		}
	}
	for _, rep := range st.replicas {
		if rep.limit == nil {
			continue
		}
		for key, turn := range rep.limit.granted {
			if st.now.Sub(turn) > grantMemory {
				delete(rep.limit.granted, key)
			}
		}
	}
}

// asked answers another instance's asks.
func (st *State) asked(from string, wishes []Ask) {
	for i := range wishes {
		wish := &wishes[i]
		rep, ok := st.replicas[wish.Replica]
		if !ok || rep.limit == nil && rep.limitEnded.IsZero() {
			// The one that asks knows of another incarnation; the next by rank may know it too.
			continue
		}
		reply := Note{}
		grant := Grant{Job: wish.Job, Replica: wish.Replica}
		if rep.limit == nil {
			reply.Limits = []Limit{st.limitOf(rep)}
		} else {
			after, ok := st.grant(rep, jobKey{from, wish.Job}, wish)
			grant.AfterMs, grant.Refused = millis(after+time.Millisecond-1), !ok
		}
		reply.Grants = []Grant{grant}
		st.emit(Tell{Note: st.note(reply), To: []string{from}})
	}
}
