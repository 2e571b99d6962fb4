package steer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/notice"
	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// announce passes an answer of the replica that announces something to the reducer.
func (in *instance) announce(replica string, ann notice.Announced) []steer.Effect {
	return in.reduce(steer.ResponseReceived{Replica: replica, Born: 1, Sent: in.now, Announced: ann})
}

// verdict asks whether a message of the kind may be sent to the replica.
func (in *instance) verdict(replica string, kind notice.Kind, granted bool) steer.Verdict {
	in.t.Helper()
	target := steer.Target{Replica: steer.Replica{Name: replica, Born: 1}, Kind: kind, Granted: granted}
	in.next++
	return find[steer.Verdict](in.t, in.reduce(steer.Sending{ID: in.next, Targets: []steer.Target{target}}))
}

// announcers put each kind of announcement in force at lyric-0.
var announcers = map[notice.Announcement]func(in *instance){
	notice.Unlisted: func(in *instance) { in.reduce(steer.ListChanged{Gone: []string{"lyric-0"}}) },
	notice.Leaving:  func(in *instance) { in.announce("lyric-0", notice.Announced{Leaving: true}) },
	notice.Resting:  func(in *instance) { in.announce("lyric-0", notice.Announced{Rest: time.Second}) },
	notice.Returning: func(in *instance) {
		in.announce("lyric-0", notice.Announced{Rest: time.Second})
		in.now = in.now.Add(time.Second)
		assert.Assert(in.t, !in.verdict("lyric-0", notice.First, false).Held(), "no trial")
	},
	notice.RateLimited: func(in *instance) {
		in.announce("lyric-0", notice.Announced{Limited: true, PerS: 2})
	},
	notice.Warming: func(in *instance) {
		in.reduce(steer.Configured{Routing: slowStartRouting(2)})
		in.announce("lyric-0", notice.Announced{ColdKnown: true, Cold: time.Second})
	},
	notice.Evacuated: func(in *instance) { in.reduce(steer.Evacuated{FailureDomains: []string{"a"}}) },
	notice.Failing: func(in *instance) {
		in.reduce(steer.NoteReceived{Note: steer.Note{From: "two", Run: 1, Down: []string{"lyric-0"}}})
	},
	notice.Misdirecting: func(in *instance) {
		in.end(find[steer.Send](in.t, in.arrive(&short, 5000)), steer.ResultMisdirected)
	},
	notice.Refusing: func(in *instance) {
		in.end(find[steer.Send](in.t, in.arrive(&short, 5000)), steer.ResultNotRun)
	},
}

// passing lists, for each kind of announcement, the kinds of messages that it lets pass to the replica.
var passing = map[notice.Announcement][]notice.Kind{
	notice.Unlisted:     {notice.Renewal, notice.Release, notice.Probe},
	notice.Leaving:      {notice.Renewal, notice.Release, notice.Probe},
	notice.Resting:      {notice.Probe},
	notice.Returning:    {notice.Renewal, notice.Release, notice.LoadQuery, notice.Order, notice.Probe},
	notice.RateLimited:  {notice.Renewal, notice.Release, notice.Probe},
	notice.Warming:      {notice.Renewal, notice.Release, notice.Probe},
	notice.Evacuated:    {notice.Renewal, notice.Release},
	notice.Failing:      {notice.Renewal, notice.Release, notice.LoadQuery, notice.Order, notice.Probe},
	notice.Misdirecting: {notice.Renewal, notice.Release, notice.LoadQuery, notice.Order, notice.Probe},
	notice.Refusing:     {notice.Renewal, notice.Release, notice.LoadQuery, notice.Order, notice.Probe},
}

func TestEachKindOfMessageHeedsEachAnnouncement(t *testing.T) {
	// Guards against a way to a replica that some announcement does not close: one that is added later, too, since a kind of
	// message without an entry is held back.
	for ann := notice.None + 1; ann < notice.Announcements; ann++ {
		for kind := range notice.Kinds {
			t.Run(fmt.Sprint(ann, " ", kind), func(t *testing.T) {
				in := newInstance(t, "one", 1)
				announcer, ok := announcers[ann]
				assert.Assert(t, ok, "no test puts this announcement in force")
				assert.Assert(t, !in.verdict("lyric-0", kind, false).Held(), "held back before the announcement")
				announcer(in)
				vd := in.verdict("lyric-0", kind, false)
				assert.Equal(t, vd.Held(), !slices.Contains(passing[ann], kind))
				if vd.Held() {
					assert.Equal(t, vd.HeldBy, ann)
				}
			})
		}
	}
}

func TestGrantedAttemptPassesLimit(t *testing.T) {
	in := newInstance(t, "one", 1)
	in.announce("lyric-0", notice.Announced{Limited: true, PerS: 2})
	assert.Assert(t, !in.verdict("lyric-0", notice.First, true).Held())
	in.announce("lyric-0", notice.Announced{Limited: true, PerS: 2, Leaving: true})
	assert.Equal(t, in.verdict("lyric-0", notice.First, true).HeldBy, notice.Leaving)
}

func TestLeavingOutlivesLists(t *testing.T) {
	// A replica says in an answer that it leaves, while the store shows older states. No list may bring it back: not one that
	// says that it is ready, nor one without it followed by one with it, nor one with an earlier incarnation.
	in := newInstance(t, "one", 1)
	in.announce("lyric-0", notice.Announced{Leaving: true})
	ready := replicas(1)
	earlier := replicas(1)
	earlier[0].Born = 0
	for _, list := range [][]steer.Replica{ready, earlier, ready[1:], ready, earlier} {
		in.reduce(steer.Listed{Replicas: list})
		in.advance(time.Second)
		none[steer.Send](t, in.arrive(&short, 5000))
	}
	later := replicas(1)
	later[0].Born = 2
	in.reduce(steer.Listed{Replicas: later})
	in.waitForSend(time.Second, in.arrive(&short, 5000))
}

func TestDepartureIsToldOnce(t *testing.T) {
	// Many answers say that a replica leaves. The others are notified once, by an instance that received such an answer itself, so that the cost
	// does not grow with the requests.
	departures := func(effects []steer.Effect) (count int) {
		for _, eff := range effects {
			if note, ok := eff.(steer.SendNote); ok {
				count += len(note.Note.Departures)
			}
		}
		return count
	}
	in := newInstance(t, "one", 2)
	in.reduce(steer.Peered{Instances: []steer.Instance{{Name: "two", FailureDomain: "a"}}, Listed: true})
	sent := 0
	for range 50 {
		sent += departures(in.announce("lyric-0", notice.Announced{Leaving: true}))
		sent += departures(in.advance(100 * time.Millisecond))
		sent += departures(in.reduce(steer.Summarized{}))
	}
	assert.Equal(t, sent, 1)
	in = newInstance(t, "one", 2)
	leaves := steer.Note{From: "two", Run: 1, Departures: []steer.Departure{{Replica: "lyric-0", Born: 1}}}
	assert.Equal(t, departures(in.reduce(steer.NoteReceived{Note: leaves})), 0)
	assert.Equal(t, departures(in.announce("lyric-0", notice.Announced{Leaving: true})), 0)
	assert.Assert(t, in.verdict("lyric-0", notice.First, false).Held())
	stale := steer.Note{From: "two", Run: 1, Departures: []steer.Departure{{Replica: "lyric-1", Born: 0}, {Replica: "nobody", Born: 1}}}
	in.reduce(steer.NoteReceived{Note: stale})
	assert.Assert(t, !in.verdict("lyric-1", notice.First, false).Held())
}

func TestRequestsPlacedAtLeavingReplicaAreMoved(t *testing.T) {
	// Requests were placed at a replica, with a claim on its last slot or with parts of their prompts, when it says that it
	// leaves. They go elsewhere.
	t.Run("claim", func(t *testing.T) {
		in := newInstance(t, "one", 2)
		in.reduce(steer.Peered{Instances: []steer.Instance{{Name: "two", FailureDomain: "a"}}, Listed: true})
		list := replicas(2)
		list[0].Slots, list[1].Slots = 1, 1
		in.reduce(steer.Listed{Replicas: list})
		none[steer.Send](t, in.arrive(&short, 5000))
		claimed := in.claimedReplicas()[0]
		in.announce(claimed, notice.Announced{Leaving: true})
		sent := in.waitForSend(time.Second, nil)
		assert.Assert(t, sent.Replica.Name != claimed)
	})
	t.Run("helper of a claim", func(t *testing.T) {
		in := newInstance(t, "one", 3)
		in.reduce(steer.Peered{Instances: []steer.Instance{{Name: "two", FailureDomain: "a"}}, Listed: true})
		list := replicas(3)
		for i := range 3 {
			list[i].Slots = 1
		}
		in.reduce(steer.Listed{Replicas: list})
		none[steer.Send](t, in.arrive(&long, 200_000))
		placed := in.claimedReplicas()
		assert.Assert(t, len(placed) > 1, "no helper")
		in.announce(placed[1], notice.Announced{Leaving: true})
		sent := in.waitForSend(3*time.Second, nil)
		assert.Assert(t, sent.Replica.Name != placed[1])
		for _, helper := range sent.Helpers {
			assert.Assert(t, helper.Name != placed[1])
		}
	})
	t.Run("held back before it was sent", func(t *testing.T) {
		in := newInstance(t, "one", 2)
		sent := find[steer.Send](t, in.arrive(&update, 0))
		in.announce(sent.Replica.Name, notice.Announced{Leaving: true})
		assert.Equal(t, in.verdict(sent.Replica.Name, sent.Kind, false).HeldBy, notice.Leaving)
		again := in.waitForSend(time.Second, in.end(sent, steer.ResultHeld))
		assert.Assert(t, again.Replica.Name != sent.Replica.Name)
		assert.Equal(t, again.Kind, notice.First)
	})
}

// claimedReplicas returns the replicas of the first open job in the instance's summary.
func (in *instance) claimedReplicas() []string {
	in.t.Helper()
	for _, eff := range in.reduce(steer.Summarized{}) {
		if note, ok := eff.(steer.SendNote); ok && len(note.Note.Jobs) > 0 {
			return note.Note.Jobs[0].Replicas
		}
	}
	in.t.Fatal("no claim")
	return nil
}

func TestAttemptHeldBackIsNoTry(t *testing.T) {
	// An update may be sent once. Attempts of which nothing was sent must neither use up its tries nor count as runs: its
	// refusal still says that it did not run.
	in := newInstance(t, "one", 1)
	effects := in.arrive(&update, 0)
	for range 8 {
		sent := in.waitForSend(time.Second, effects)
		effects = in.end(sent, steer.ResultHeld)
	}
	sent := in.waitForSend(time.Second, effects)
	fin := find[steer.Finish](t, in.reduce(steer.AttemptEnded{ID: sent.ID, Attempt: sent.Attempt, Result: steer.ResultDone}))
	assert.Assert(t, fin.Refusal == nil)
	effects = in.arrive(&update, 0)
	for until := in.now.Add(update.Timeout.Std() + time.Second); in.now.Before(until); effects = in.advance(10 * time.Millisecond) {
		for i := 0; i < len(effects); i++ {
			switch eff := effects[i].(type) {
			case steer.Send:
				effects = append(effects, in.end(eff, steer.ResultHeld)...)
			case steer.Finish:
				assert.Assert(t, eff.Refusal.NotRun)
				return
			}
		}
	}
	t.Fatal("the request has no end")
}

func TestOutdatedDecisionIsNotCarriedOut(t *testing.T) {
	// The process stood still between the decision to send and the send. What replicas have announced since may be unread.
	in := newInstance(t, "one", 1)
	sent := find[steer.Send](t, in.arrive(&update, 0))
	in.now = in.now.Add(1500 * time.Millisecond)
	target := steer.Target{Replica: sent.Replica, Kind: sent.Kind}
	vd := find[steer.Verdict](t, in.reduce(steer.Sending{Targets: []steer.Target{target}, DecidedAt: sent.DecidedAt}))
	assert.Assert(t, vd.Held() && vd.Outdated)
	vd = find[steer.Verdict](t, in.reduce(steer.Sending{Targets: []steer.Target{target}, DecidedAt: in.now}))
	assert.Assert(t, !vd.Held())
}

func TestRequestIsRefusedAtOnceIfAllReplicasLeave(t *testing.T) {
	// All replicas of a service have said that they leave. Callers must not wait for their deadline: they are told at once that
	// their requests did not run, and when to come back, not all at the same moment.
	in := newInstance(t, "one", 2)
	for _, name := range []string{"lyric-0", "lyric-1", "board-0", "board-1"} {
		in.announce(name, notice.Announced{Leaving: true})
	}
	for name, route := range map[string]*decl.Route{"stream": &short, "update": &update, "long prompt": &long} {
		t.Run(name, func(t *testing.T) {
			times := map[time.Duration]bool{}
			for range 20 {
				effects := in.arrive(route, prompt(route))
				effects = append(effects, in.advance(10*time.Millisecond)...)
				ref := find[steer.Finish](t, effects).Refusal
				assert.Equal(t, ref.Reason, steer.ReasonLeaving)
				assert.Assert(t, ref.NotRun && ref.RetryAfter >= time.Second, ref.RetryAfter)
				times[ref.RetryAfter] = true
			}
			assert.Assert(t, len(times) > 10)
		})
	}
	in.reduce(steer.ListChanged{Replicas: []steer.Replica{{Name: "lyric-9", Born: 9, Service: "lyric", Address: "a9", FailureDomain: "a", Slots: 16}}})
	in.waitForSend(time.Second, in.arrive(&short, 5000))
}

func TestUnusableAnnouncementIsLoggedOnce(t *testing.T) {
	in := newInstance(t, "one", 1)
	lines := 0
	for range 100 {
		for _, eff := range in.st.Reduce(in.now, steer.ResponseReceived{Replica: "lyric-0", Born: 1, Sent: in.now, Announced: notice.Announced{Invalid: []string{"Leaving: soon"}}}) {
			if _, ok := eff.(steer.LogLine); ok {
				lines++
			}
		}
	}
	assert.Equal(t, lines, 1)
	assert.Assert(t, !in.verdict("lyric-0", notice.First, false).Held())
	for i := range 100 {
		for _, eff := range in.st.Reduce(in.now, steer.ResponseReceived{Replica: "lyric-0", Born: 1, Sent: in.now, Announced: notice.Announced{Invalid: []string{fmt.Sprint("Leaving: ", i)}}}) {
			if _, ok := eff.(steer.LogLine); ok {
				lines++
			}
		}
	}
	assert.Assert(t, lines <= 10, lines)
}

func TestUnusedGrantIsGivenBack(t *testing.T) {
	// A limited replica says that it leaves, or the caller of a request with a grant leaves, before the granted send is made.
	// The send must be available to others again.
	in := newInstance(t, "one", 1)
	in.reduce(steer.Peered{Instances: []steer.Instance{{Name: "two", FailureDomain: "a"}}, Listed: true})
	limited := notice.Announced{Limited: true, PerS: 1}
	in.announce("lyric-0", limited)
	granted := func(job steer.JobID) time.Duration {
		request := steer.GrantRequest{Job: job, Replica: "lyric-0", AcceptedWaitMs: 4000, MaxWaitMs: 4000, Value: 1}
		for _, eff := range in.reduce(steer.NoteReceived{Note: steer.Note{From: "two", Run: 1, GrantRequests: []steer.GrantRequest{request}}}) {
			if note, ok := eff.(steer.SendNote); ok && len(note.Note.Grants) > 0 && !note.Note.Grants[0].Refused {
				return time.Duration(note.Note.Grants[0].AfterMs) * time.Millisecond
			}
		}
		return time.Hour
	}
	granted(1)
	granted(2)
	third := granted(3)
	assert.Assert(t, third > 0 && third < time.Hour, third)
	in.reduce(steer.NoteReceived{Note: steer.Note{From: "two", Run: 1, GrantReturns: []steer.GrantReturn{{Job: 3, Replica: "lyric-0"}}}})
	assert.Assert(t, granted(4) <= third, "the returned send was not granted again")
	in.reduce(steer.NoteReceived{Note: steer.Note{From: "two", Run: 1, GrantReturns: []steer.GrantReturn{{Job: 99, Replica: "lyric-0"}, {Job: 1, Replica: "nobody"}}}})
}
