package steer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/norun"
	"dandelionsail.example/dandelionsail/internal/notice"
	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// newSlowInstance returns an instance whose services have slow start.
func newSlowInstance(t *testing.T, engines int) *instance {
	in := newInstance(t, "one", engines)
	in.reduce(steer.Configured{Routing: slowStartRouting(2)})
	return in
}

// coldLeft returns for how long the instance still takes the replica for cold.
func (in *instance) coldLeft(replica string) time.Duration {
	for _, status := range in.st.InForce(in.now) {
		if status.Replica == replica && status.Announcement == notice.Warming {
			return status.EndsAt.Sub(in.now)
		}
	}
	return 0
}

// entry reads the entry of lyric-0, which was written since it was last read.
func (in *instance) entry(born, coldMs int64) {
	entry := replicas(1)[0]
	entry.Born, entry.ColdMs = born, coldMs
	in.reduce(steer.ListChanged{Replicas: []steer.Replica{entry}})
}

// list reads the whole list with the entry of lyric-0.
func (in *instance) list(coldMs int64) {
	list := replicas(1)
	list[0].ColdMs = coldMs
	in.reduce(steer.Listed{Replicas: list})
}

// answer receives an answer of lyric-0 to a request that was sent the given time ago.
func (in *instance) answer(cold, sentAgo time.Duration) {
	in.reduce(steer.ResponseReceived{Replica: "lyric-0", Born: 1, Sent: in.now.Add(-sentAgo), Announced: notice.Announced{ColdKnown: true, Cold: cold}})
}

// note receives a note of the instance two.
func (in *instance) note(nt steer.Note) {
	nt.From, nt.Run = "two", 1
	in.reduce(steer.NoteReceived{Note: nt})
}

// fail sends a request to lyric-0, the only engine, and ends the attempt.
func (in *instance) fail(ended steer.AttemptEnded) {
	sent := find[steer.Send](in.t, in.arrive(&short, 5000))
	ended.ID, ended.Attempt = sent.ID, sent.Attempt
	in.reduce(ended)
}

func TestColdStateFollowsItsSigns(t *testing.T) {
	// Guards against a cold replica that is taken for warm, which crashes, and a warm one that is taken for cold for longer than
	// the signs warrant, whose capacity is lost.
	cases := map[string]struct {
		do   func(in *instance)
		want time.Duration
	}{
		"entry":                  {func(in *instance) { in.entry(1, 1800) }, 1800 * time.Millisecond},
		"warm entry":             {func(in *instance) { in.entry(1, 0) }, 0},
		"entry without a value":  {func(in *instance) { in.entry(1, steer.ColdUnknown) }, 0},
		"new start without it":   {func(in *instance) { in.entry(2, steer.ColdUnknown) }, coldTime},
		"new start that says 0":  {func(in *instance) { in.entry(2, 0) }, 0},
		"earlier start":          {func(in *instance) { in.entry(0, 1800) }, 0},
		"entry of absurd length": {func(in *instance) { in.entry(1, 1<<60) }, notice.MaxCold},
		"same list again": {func(in *instance) {
			in.list(1800)
			in.advance(time.Second)
			in.list(1800)
		}, 800 * time.Millisecond},
		"same value written again": {func(in *instance) {
			in.entry(1, 1800)
			in.advance(time.Second)
			in.entry(1, 1800)
		}, 1800 * time.Millisecond},
		"later entry says 0": {func(in *instance) {
			in.entry(2, steer.ColdUnknown)
			in.advance(time.Second)
			in.entry(2, 0)
		}, 0},
		"new start read again": {func(in *instance) {
			in.entry(2, steer.ColdUnknown)
			in.advance(time.Second)
			in.entry(2, steer.ColdUnknown)
		}, 2 * time.Second},
		"answer": {func(in *instance) { in.answer(2*time.Second, 0) }, 2 * time.Second},
		"later answer says 0": {func(in *instance) {
			in.answer(2*time.Second, 0)
			in.advance(time.Second)
			in.answer(0, 100*time.Millisecond)
		}, 0},
		"overtaken answer says 0": {func(in *instance) {
			in.answer(2*time.Second, 0)
			in.advance(time.Second)
			in.answer(0, 1200*time.Millisecond)
		}, time.Second},
		"answer replaces entry": {func(in *instance) {
			in.entry(1, 2400)
			in.advance(time.Second)
			in.answer(200*time.Millisecond, 100*time.Millisecond)
		}, 200 * time.Millisecond},
		"entry may be older than the answer": {func(in *instance) {
			in.answer(3*time.Second, 0)
			in.advance(time.Second)
			in.entry(1, 0)
		}, 2 * time.Second},
		"entry is newer than the answer": {func(in *instance) {
			in.answer(10*time.Second, 0)
			in.advance(2100 * time.Millisecond)
			in.entry(1, 0)
		}, 0},
		"same list again after an answer": {func(in *instance) {
			in.answer(10*time.Second, 0)
			in.advance(2100 * time.Millisecond)
			in.list(0)
		}, 7900 * time.Millisecond},
		"died": {func(in *instance) {
			in.fail(steer.AttemptEnded{Result: steer.ResultBroken, Died: true, Unreachable: true})
		}, 700*time.Millisecond + coldTime},
		"unreachable": {func(in *instance) {
			in.fail(steer.AttemptEnded{Result: steer.ResultNotSent, Proof: norun.Unwritten})
		}, 700*time.Millisecond + coldTime},
		"fell silent and refuses connections": {func(in *instance) {
			in.fail(steer.AttemptEnded{Result: steer.ResultSilent, Unreachable: true})
		}, 700*time.Millisecond + coldTime},
		"not reached by another instance either": {func(in *instance) {
			in.fail(steer.AttemptEnded{Result: steer.ResultNotSent, Proof: norun.Unwritten, Via: "two"})
		}, 700*time.Millisecond + coldTime},
		"fell silent, but accepts connections": {func(in *instance) {
			in.fail(steer.AttemptEnded{Result: steer.ResultSilent})
		}, 0},
		"refused": {func(in *instance) { in.fail(steer.AttemptEnded{Result: steer.ResultNotRun, Proof: norun.Refused}) }, 0},
		"entry is newer than the failure": {func(in *instance) {
			in.fail(steer.AttemptEnded{Result: steer.ResultNotSent, Proof: norun.Unwritten})
			in.advance(2100 * time.Millisecond)
			in.entry(1, 0)
		}, 0},
		"reported failure": {func(in *instance) {
			in.note(steer.Note{Down: []string{"lyric-0"}, Cold: []steer.Cold{{Replica: "lyric-0", Born: 1, LeftMs: 3700, Failed: true}}})
		}, 3700 * time.Millisecond},
		"reported refusal": {func(in *instance) { in.note(steer.Note{Down: []string{"lyric-0"}}) }, 0},
		"report of a failure that does not count": {func(in *instance) {
			in.answer(0, 0)
			in.note(steer.Note{Down: []string{"lyric-0"}, Cold: []steer.Cold{{Replica: "lyric-0", Born: 1, LeftMs: 3700, Failed: true}}})
		}, 0},
		"reporter has lost its path": {func(in *instance) {
			in.note(steer.Note{Down: []string{"lyric-0"}, Cold: []steer.Cold{{Replica: "lyric-0", Born: 1, LeftMs: 3700, Failed: true}}})
			in.note(steer.Note{UptimeMs: 1, LostPaths: []string{"lyric"}})
		}, 0},
		"note": {func(in *instance) {
			in.note(steer.Note{Cold: []steer.Cold{{Replica: "lyric-0", Born: 1, LeftMs: 2000}}})
		}, 2 * time.Second},
		"note about an earlier incarnation": {func(in *instance) {
			in.note(steer.Note{Cold: []steer.Cold{{Replica: "lyric-0", Born: 0, LeftMs: 2000}}})
		}, 0},
		"note about a later incarnation": {func(in *instance) {
			in.note(steer.Note{Cold: []steer.Cold{{Replica: "lyric-0", Born: 9, LeftMs: 2000}}})
		}, 2 * time.Second},
		"note that is older than an answer": {func(in *instance) {
			in.answer(0, 0)
			in.note(steer.Note{Cold: []steer.Cold{{Replica: "lyric-0", Born: 1, LeftMs: 2000, AgeMs: 10, ProvenAgeMs: 10}}})
		}, 0},
		"note that is newer than an entry": {func(in *instance) {
			in.entry(1, 0)
			in.note(steer.Note{Cold: []steer.Cold{{Replica: "lyric-0", Born: 1, LeftMs: 2000, AgeMs: 500, ProvenAgeMs: 500}}})
		}, 2 * time.Second},
		"note that ends it": {func(in *instance) {
			in.answer(2*time.Second, 0)
			in.advance(time.Second)
			in.note(steer.Note{Cold: []steer.Cold{{Replica: "lyric-0", Born: 1}}})
		}, 0},
		"repeated late": {func(in *instance) {
			in.answer(2*time.Second, 0)
			in.advance(time.Second)
			in.note(steer.Note{Cold: []steer.Cold{{Replica: "lyric-0", Born: 1, LeftMs: 1090, AgeMs: 990, ProvenAgeMs: 990}}})
		}, time.Second},
		"end of an evacuation": {func(in *instance) { in.st.WarmAfterEvacuation("lyric-0") }, coldTime},
		"service without slow start": {func(in *instance) {
			in.reduce(steer.Configured{Routing: &decl.Routing{Version: 3, Services: map[string]decl.Pool{"lyric": {Engine: &figures}}}})
			in.entry(1, 1800)
			in.answer(2*time.Second, 0)
			in.st.WarmAfterEvacuation("lyric-0")
			in.fail(steer.AttemptEnded{Result: steer.ResultNotSent, Proof: norun.Unwritten})
		}, 0},
		"slow start configured later": {func(in *instance) {
			in.reduce(steer.Configured{Routing: &decl.Routing{Version: 3, Services: map[string]decl.Pool{"lyric": {Engine: &figures}}}})
			in.entry(1, 1800)
			in.reduce(steer.Configured{Routing: slowStartRouting(4)})
		}, 1800 * time.Millisecond},
		"ends by time": {func(in *instance) {
			in.answer(2*time.Second, 0)
			in.advance(2 * time.Second)
		}, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			in := newSlowInstance(t, 1)
			tc.do(in)
			assert.Equal(t, in.coldLeft("lyric-0"), tc.want)
		})
	}
}

func TestAnswerWithoutLimitLeavesReplicaCold(t *testing.T) {
	// An answer that states no rate limit ends a limit. It must not end the slow start, whose rate is known from the configuration,
	// and the lower of both rates applies while there are both.
	in := newSlowInstance(t, 1)
	in.answer(2*time.Second, 0)
	in.advance(10 * time.Millisecond)
	in.reduce(steer.ResponseReceived{Replica: "lyric-0", Born: 1, Sent: in.now})
	assert.Equal(t, in.verdict("lyric-0", notice.First, false).HeldBy, notice.Warming)
	assert.Equal(t, in.sendsIn(time.Second, 30), coldPerS+1)

	in = newSlowInstance(t, 1)
	in.announce("lyric-0", notice.Announced{Limited: true, PerS: 3, ColdKnown: true, Cold: 3 * time.Second})
	assert.Assert(t, in.sendsIn(time.Second, 30) <= 5)
	in.advance(10 * time.Millisecond)
	in.reduce(steer.ResponseReceived{Replica: "lyric-0", Born: 1, Sent: in.now, Announced: notice.Announced{ColdKnown: true, Cold: time.Second}})
	assert.Equal(t, len(in.st.Limits(in.now)), 0)
	sent := in.sendsIn(900*time.Millisecond, 30)
	assert.Assert(t, sent >= 10 && sent <= coldPerS, sent)
}

// sendsIn submits as many requests as given, spread over the period, and counts those that are sent.
func (in *instance) sendsIn(period time.Duration, requests int) (sent int) {
	count := func(effects []steer.Effect) {
		for _, eff := range effects {
			if eff, ok := eff.(steer.Send); ok {
				sent++
				assert.Assert(in.t, !in.verdict(eff.Replica.Name, eff.Kind, eff.Granted).Held())
				in.end(eff, steer.ResultDone)
			}
		}
	}
	pause := period / time.Duration(requests)
	for range requests {
		count(in.arrive(&short, 5000))
		count(in.advance(pause / 2))
		count(in.advance(pause - pause/2))
	}
	return sent
}

func TestSendsBeforeColdStateCount(t *testing.T) {
	// Guards against a burst at the start of the cold state: what was sent within the second before it still runs at the replica.
	in := newSlowInstance(t, 1)
	before := in.sendsIn(500*time.Millisecond, 20)
	assert.Equal(t, before, 20)
	in.answer(3*time.Second, 0)
	assert.Equal(t, in.sendsIn(400*time.Millisecond, 10), 0)
	sent := in.sendsIn(time.Second, 30)
	assert.Assert(t, sent >= 9 && sent <= coldPerS+1, sent)
}

func TestRequestBeyondTheRateIsRefusedWithItsTurn(t *testing.T) {
	// A request that cannot go within the bound in its time must be refused at once, with a time to retry at when there is
	// capacity, at the latest when the replica is warm. The callers must not all get the same time.
	in := newSlowInstance(t, 1)
	in.answer(time.Second, 0)
	refused := map[time.Duration]bool{}
	for range 150 {
		for _, eff := range append(in.arrive(&short, 5000), in.advance(time.Millisecond)...) {
			fin, ok := eff.(steer.Finish)
			if !ok {
				continue
			}
			assert.Equal(t, fin.Refusal.Reason, steer.ReasonLimited)
			assert.Assert(t, fin.Refusal.NotRun && fin.Refusal.RetryAfter > 0)
			assert.Assert(t, fin.Refusal.RetryAfter <= in.coldLeft("lyric-0")+1500*time.Millisecond, fin.Refusal.RetryAfter)
			refused[fin.Refusal.RetryAfter] = true
		}
	}
	assert.Assert(t, len(refused) > 75, len(refused))
}

func TestRequestThatCanWaitForTheEndIsNotRefused(t *testing.T) {
	// The queue of grants is longer than requests may wait, but the replica is warm long before. They must not be refused.
	in := newSlowInstance(t, 1)
	in.announce("board-0", coldAnswer(100*time.Millisecond))
	in.announce("board-1", coldAnswer(100*time.Millisecond))
	for range 40 {
		none[steer.Finish](t, append(in.arrive(&lookup, 0), in.advance(time.Millisecond)...))
	}
	assert.Assert(t, in.st.Waiting() > 20)
}

func TestSendsToEarlierIncarnationCount(t *testing.T) {
	// Guards against a burst right after a restart: what was sent to the address just before may arrive at the new process.
	in := newSlowInstance(t, 1)
	assert.Equal(t, in.sendsIn(500*time.Millisecond, 20), 20)
	in.entry(2, 3000)
	assert.Equal(t, in.sendsIn(400*time.Millisecond, 10), 0)
}

func TestHugeRateOfSlowStartIsUsable(t *testing.T) {
	// A rate that no number of requests reaches overflows the count of sends in a second.
	in := newInstance(t, "one", 1)
	slow := decl.SlowStart{Duration: decl.Duration(coldTime), PerS: 1e300}
	in.reduce(steer.Configured{Routing: &decl.Routing{Version: 2, Services: map[string]decl.Pool{"lyric": {Engine: &figures, SlowStart: slow}}}})
	in.answer(coldTime, 0)
	assert.Equal(t, in.sendsIn(100*time.Millisecond, 10), 10)
}

func TestClaimOnReplicaThatTurnsColdIsWithdrawn(t *testing.T) {
	// A request has claimed the last slot of an engine when that becomes cold. It must not be sent there without a grant.
	in := newSlowInstance(t, 2)
	in.reduce(steer.Peered{Instances: []steer.Instance{{Name: "two", FailureDomain: "a"}}, Listed: true})
	list := replicas(2)
	list[0].Slots, list[1].Slots = 1, 1
	in.reduce(steer.Listed{Replicas: list})
	none[steer.Send](t, in.arrive(&short, 5000))
	claimed := in.claimedReplicas()[0]
	in.announce(claimed, coldAnswer(coldTime))
	sent := in.waitForSend(time.Second, nil)
	assert.Assert(t, sent.Granted || sent.Replica.Name != claimed)
}

// grantFor asks the instance for a send to lyric-0 as the instance two and returns the answer, nil if there is none.
func (in *instance) grantFor(gq steer.GrantRequest, cold ...steer.Cold) *steer.Note {
	gq.Replica, gq.AcceptedWaitMs, gq.MaxWaitMs, gq.Value = "lyric-0", 4000, 4000, 1
	for _, eff := range in.reduce(steer.NoteReceived{Note: steer.Note{From: "two", Run: 1, Cold: cold, GrantRequests: []steer.GrantRequest{gq}}}) {
		if note, ok := eff.(steer.SendNote); ok && len(note.Note.Grants) > 0 {
			return &note.Note
		}
	}
	return nil
}

func TestGrantRequestsCarryTheColdState(t *testing.T) {
	// The granting instance may know less than the one that asks, such as after its own restart or without contact to the list's store.
	cold := steer.Cold{Replica: "lyric-0", Born: 1, LeftMs: 2000}
	t.Run("learns it", func(t *testing.T) {
		in := newSlowInstance(t, 1)
		answer := in.grantFor(steer.GrantRequest{Job: 1}, cold)
		assert.Assert(t, answer != nil && !answer.Grants[0].Refused && answer.Grants[0].AfterMs == 0)
		assert.Equal(t, in.coldLeft("lyric-0"), 2*time.Second)
	})
	t.Run("learns of sends", func(t *testing.T) {
		in := newSlowInstance(t, 1)
		answer := in.grantFor(steer.GrantRequest{Job: 1, RecentCold: coldPerS + 1}, cold)
		assert.Assert(t, answer != nil && answer.Grants[0].AfterMs > 1000/coldPerS)
	})
	t.Run("reports sends", func(t *testing.T) {
		in := newSlowInstance(t, 8)
		in.reduce(steer.Peered{Instances: []steer.Instance{{Name: "two", FailureDomain: "a"}}, Listed: true})
		in.note(steer.Note{UptimeMs: 1})
		for range 24 {
			for _, eff := range in.arrive(&short, 5000) {
				if sent, ok := eff.(steer.Send); ok {
					in.end(sent, steer.ResultDone)
				}
			}
		}
		asked, counted := 0, 0
		for i := range 8 {
			in.announce(fmt.Sprint("lyric-", i), coldAnswer(coldTime))
		}
		for range 8 {
			for _, eff := range in.arrive(&short, 5000) {
				if note, ok := eff.(steer.SendNote); ok && len(note.Note.GrantRequests) > 0 {
					asked++
					counted += note.Note.GrantRequests[0].RecentCold
				}
			}
		}
		assert.Assert(t, asked > 0 && counted >= asked, "%d asked, %d counted", asked, counted)
	})
	t.Run("knows better", func(t *testing.T) {
		in := newSlowInstance(t, 1)
		in.answer(0, 0)
		old := cold
		old.AgeMs, old.ProvenAgeMs = 200, 200
		answer := in.grantFor(steer.GrantRequest{Job: 1}, old)
		assert.Assert(t, answer != nil && !answer.Grants[0].Refused && answer.Grants[0].AfterMs == 0)
		assert.DeepEqual(t, answer.Cold, []steer.Cold{{Replica: "lyric-0", Born: 1}})
	})
	t.Run("no slow start", func(t *testing.T) {
		in := newInstance(t, "one", 1)
		assert.Assert(t, in.grantFor(steer.GrantRequest{Job: 1}, cold) == nil)
	})
}

func TestColdStateIsRepeatedWhileItLasts(t *testing.T) {
	// The note that a replica is cold may be lost. The granting instance repeats it until the end, and not longer.
	in := newSlowInstance(t, 1)
	in.reduce(steer.Peered{Instances: []steer.Instance{{Name: "two", FailureDomain: "a"}}, Listed: true})
	for i := range 9 {
		in.announce("lyric-0", coldAnswer(coldTime-time.Duration(i)*time.Millisecond))
		in.announce(fmt.Sprint("board-", i%2), coldAnswer(coldTime-time.Duration(i)*time.Millisecond))
	}
	in.now = in.now.Add(time.Second)
	repeated := coldNotes(in.reduce(steer.Summarized{}))
	in.advance(coldTime)
	assert.Equal(t, coldNotes(in.reduce(steer.Summarized{})), 0)
	assert.Assert(t, repeated == 1, repeated)
}

// coldNotes counts the notes about cold states without grant requests.
func coldNotes(effects []steer.Effect) (count int) {
	for _, eff := range effects {
		if note, ok := eff.(steer.SendNote); ok && len(note.Note.Cold) > 0 && len(note.Note.GrantRequests) == 0 {
			count++
		}
	}
	return count
}

func TestLostPathIsNoRestart(t *testing.T) {
	// An instance that has lost its links to all engines sees each of them fail. They have not restarted.
	in := newSlowInstance(t, 6)
	in.reduce(steer.Peered{Instances: []steer.Instance{{Name: "two", FailureDomain: "a"}}, Listed: true})
	in.note(steer.Note{UptimeMs: 1})
	for range 6 {
		for _, eff := range in.arrive(&short, 5000) {
			if sent, ok := eff.(steer.Send); ok {
				in.reduce(steer.AttemptEnded{ID: sent.ID, Attempt: sent.Attempt, Result: steer.ResultNotSent, Proof: norun.Unwritten})
			}
		}
	}
	assert.Assert(t, len(in.st.LostPaths(in.now)) == 1, "the path is not lost")
	for _, rep := range replicas(6) {
		assert.Equal(t, in.coldLeft(rep.Name), time.Duration(0), rep.Name)
	}
}

func TestRequestThatWaitsReturnsToPlacement(t *testing.T) {
	// A request waits for a grant of the only replica, which is cold. When the cold state ends, also before its time, the request
	// goes at once instead of at the granted time.
	for name, end := range map[string]func(in *instance){
		"by time": func(in *instance) { none[steer.Send](t, in.advance(295*time.Millisecond)) },
		"by answer": func(in *instance) {
			none[steer.Send](t, in.advance(20*time.Millisecond))
			in.answer(0, 10*time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			in := newSlowInstance(t, 1)
			assert.Assert(t, in.sendsIn(100*time.Millisecond, 16) == 16)
			in.answer(300*time.Millisecond, 0)
			effects := in.arrive(&long, 20_000)
			none[steer.Send](t, effects)
			end(in)
			in.waitForSend(15*time.Millisecond, in.advance(10*time.Millisecond))
		})
	}
}

func TestRequestMovesToReplicaThatIsWarm(t *testing.T) {
	// Two engines are cold, and a request waits for a granted send to one of them. When the other one is warm, the request must
	// not wait on: it goes there at once, and its grant is given back.
	for _, warm := range []string{"lyric-0", "lyric-1"} {
		in := newSlowInstance(t, 2)
		in.announce("lyric-0", coldAnswer(coldTime))
		in.announce("lyric-1", coldAnswer(coldTime))
		for in.st.Waiting() == 0 {
			in.arrive(&long, 2000)
		}
		in.now = in.now.Add(5 * time.Millisecond)
		in.announce(warm, coldAnswer(0))
		sent := in.waitForSend(20*time.Millisecond, in.advance(10*time.Millisecond))
		assert.Equal(t, sent.Replica.Name, warm)
	}
}

func TestColdPromptGetsNoHelpers(t *testing.T) {
	// Each part of a prompt counts as a request. While engines are cold a prompt that many would read together goes to one.
	in := newSlowInstance(t, 8)
	sent := in.waitForSend(3*time.Second, in.arrive(&long, 150_000))
	assert.Assert(t, len(sent.Helpers) > 0, "no helpers when warm")
	in = newSlowInstance(t, 8)
	list := replicas(8)
	for i := range list {
		list[i].ColdMs = 3000
	}
	in.reduce(steer.Listed{Replicas: list})
	sent = in.waitForSend(2*time.Second, in.arrive(&long, 150_000))
	assert.Equal(t, len(sent.Helpers), 0)
}

func TestNoteOfColdStateIsSentOnce(t *testing.T) {
	// Many answers say that a replica is cold. The number of notes to the others must not grow with the answers, nor with the
	// instances that read the same entry.
	in := newSlowInstance(t, 1)
	in.reduce(steer.Peered{Instances: []steer.Instance{{Name: "two", FailureDomain: "a"}, {Name: "three", FailureDomain: "a"}}, Listed: true})
	count := 0
	for i := range 50 {
		left := 3*time.Second - time.Duration(i)*10*time.Millisecond
		count += coldNotes(in.reduce(steer.ResponseReceived{Replica: "lyric-0", Born: 1, Sent: in.now, Announced: notice.Announced{ColdKnown: true, Cold: left}}))
		in.advance(10 * time.Millisecond)
	}
	assert.Equal(t, count, 1)

	// An engine that is cold and warm in turn.
	in, count = newSlowInstance(t, 1), 0
	in.reduce(steer.Peered{Instances: []steer.Instance{{Name: "two", FailureDomain: "a"}, {Name: "three", FailureDomain: "a"}}, Listed: true})
	for i := range 50 {
		left := time.Duration(i%2) * coldTime
		count += coldNotes(in.reduce(steer.ResponseReceived{Replica: "lyric-0", Born: 1, Sent: in.now, Announced: coldAnswer(left)}))
		in.advance(10 * time.Millisecond)
	}
	assert.Assert(t, count >= 1 && count <= 3, count)

	// The others read the entries, too, so only one of the three instances sends notes.
	in, count = newSlowInstance(t, 30), 0
	in.reduce(steer.Peered{Instances: []steer.Instance{{Name: "two", FailureDomain: "a"}, {Name: "three", FailureDomain: "a"}}, Listed: true})
	for _, entry := range replicas(30) {
		entry.ColdMs = 3000
		count += coldNotes(in.reduce(steer.ListChanged{Replicas: []steer.Replica{entry}}))
	}
	assert.Assert(t, count >= 3 && count <= 20, count)
}

func TestNotesWithUnusableColdStatesAreDropped(t *testing.T) {
	for name, cold := range map[string]steer.Cold{
		"no replica":     {LeftMs: 1},
		"negative":       {Replica: "lyric-0", LeftMs: -1},
		"absurdly long":  {Replica: "lyric-0", LeftMs: 1 << 60},
		"negative age":   {Replica: "lyric-0", AgeMs: -1},
		"negative proof": {Replica: "lyric-0", ProvenAgeMs: -1},
	} {
		t.Run(name, func(t *testing.T) {
			nt := steer.Note{From: "two", Cold: []steer.Cold{cold, {Replica: "lyric-1", LeftMs: 5}}}
			dropped, usable := nt.DropInvalid()
			assert.Assert(t, usable && dropped == 1 && len(nt.Cold) == 1)
		})
	}
}
