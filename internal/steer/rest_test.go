package steer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/notice"
	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// refuse makes the replica refuse the attempt and ask for rest.
func (in *instance) refuse(sent steer.Send, rest time.Duration) []steer.Effect {
	in.announce(sent.Replica.Name, notice.Announced{Rest: rest})
	return in.end(sent, steer.ResultNotRun)
}

func TestRestIsNotEndedEarly(t *testing.T) {
	// A replica asks for three seconds of rest while its other requests go on. Neither their success, nor a refusal without a
	// time, nor a shorter rest asked for later may end it.
	in := newInstance(t, "one", 1)
	running := in.waitForSend(time.Second, in.arrive(&short, 5000))
	refused := in.waitForSend(time.Second, in.arrive(&short, 5000))
	in.refuse(refused, 3*time.Second)
	in.advance(500 * time.Millisecond)
	in.announce("lyric-0", notice.Announced{})
	in.end(running, steer.ResultDone)
	in.announce("lyric-0", notice.Announced{Rest: 100 * time.Millisecond})
	for range 24 {
		none[steer.Send](t, in.advance(100*time.Millisecond))
		none[steer.Send](t, in.arrive(&short, 5000))
		assert.Equal(t, in.verdict("lyric-0", notice.First, false).HeldBy, notice.Resting)
	}
	in.advance(100 * time.Millisecond)
	assert.Assert(t, !in.verdict("lyric-0", notice.First, false).Held())
}

func TestRestBindsOnlyTheInstanceThatWasRefused(t *testing.T) {
	// The others may have room at the replica: they are told neither of the rest nor of a failure.
	in := newInstance(t, "one", 2)
	in.reduce(steer.Peered{Instances: []steer.Instance{{Name: "two", FailureDomain: "a"}}, Listed: true})
	sent := in.waitForSend(time.Second, in.arrive(&short, 5000))
	effects := append(in.announce(sent.Replica.Name, notice.Announced{Rest: 2 * time.Second}), in.end(sent, steer.ResultNotRun)...)
	for _, eff := range effects {
		if note, ok := eff.(steer.SendNote); ok {
			assert.Assert(t, len(note.Note.Down) == 0 && len(note.Note.Departures) == 0, "%+v", note.Note)
		}
	}
	again := in.waitForSend(time.Second, effects)
	assert.Assert(t, again.Replica.Name != sent.Replica.Name)
}

func TestOneRequestTriesReplicaAfterRest(t *testing.T) {
	// Many requests wait for the end of a replica's rest. One goes first. The others follow once it was answered, or if it has
	// no answer for a while; if it is refused, they wait for the next rest to end.
	cases := map[string]struct {
		answer func(in *instance, sent steer.Send)
		follow time.Duration
	}{
		"answered": {func(in *instance, sent steer.Send) {
			in.reduce(steer.Began{ID: sent.ID, Attempt: sent.Attempt})
		}, 20 * time.Millisecond},
		"failed": {func(in *instance, sent steer.Send) {
			in.reduce(steer.AttemptEnded{ID: sent.ID, Attempt: sent.Attempt, Result: steer.ResultBroken})
		}, 20 * time.Millisecond},
		"refused again": {func(in *instance, sent steer.Send) { in.refuse(sent, 500*time.Millisecond) }, 520 * time.Millisecond},
		"no answer":     {func(*instance, steer.Send) {}, 1020 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			patient := long
			patient.Goal = seconds(8)
			in := newInstance(t, "one", 1)
			in.refuse(in.waitForSend(time.Second, in.arrive(&short, 5000)), 500*time.Millisecond)
			for range 5 {
				none[steer.Send](t, in.arrive(&patient, 5000))
			}
			trial := in.waitForSend(2*time.Second, nil)
			target := steer.Target{Replica: trial.Replica, Kind: trial.Kind}
			for range 2 {
				// The second check is the one after the connection was opened.
				vd := find[steer.Verdict](t, in.reduce(steer.Sending{ID: trial.ID, Targets: []steer.Target{target}}))
				assert.Assert(t, !vd.Held())
			}
			assert.Equal(t, in.verdict("lyric-0", notice.First, false).HeldBy, notice.Returning)
			since := in.now
			tc.answer(in, trial)
			for in.verdict("lyric-0", notice.First, false).Held() {
				in.advance(10 * time.Millisecond)
				assert.Assert(t, in.now.Sub(since) <= tc.follow, "held back for longer")
			}
			assert.Assert(t, in.now.Sub(since) >= tc.follow-20*time.Millisecond, "%s", in.now.Sub(since))
		})
	}
}

func TestInstancesReturnFromRestAtDifferentTimes(t *testing.T) {
	// A replica refuses all instances at the same moment. They must not all return at the same moment, nor before its time.
	const rest = 2 * time.Second
	ends := map[time.Duration]bool{}
	for seed := range uint64(9) {
		in := newInstance(t, "one", 1)
		in.st = steer.New(steer.Options{Name: "one", FailureDomain: "a", Run: 1, Seed: seed + 1})
		in.reduce(steer.Configured{Routing: &decl.Routing{Version: 1, Services: map[string]decl.Pool{"lyric": {Engine: &figures}}}})
		in.reduce(steer.Peered{Instances: []steer.Instance{{Name: "two", FailureDomain: "a"}}, Listed: true})
		in.reduce(steer.Listed{Replicas: replicas(1)})
		in.announce("lyric-0", notice.Announced{Rest: rest})
		for in.verdict("lyric-0", notice.First, false).Held() {
			in.advance(time.Millisecond)
		}
		assert.Assert(t, in.now.Sub(start) >= rest && in.now.Sub(start) <= rest*5/4)
		ends[in.now.Sub(start)] = true
	}
	assert.Assert(t, len(ends) >= 8, "%d different times", len(ends))
}

func TestReservationIsRenewedOnceDuringRest(t *testing.T) {
	// A replica that holds memory for a running request asks for rest. The reservation is renewed when it would expire
	// otherwise, so that the request is not cut off, but no more often: renewals reach the replica like requests.
	in := newInstance(t, "one", 1)
	renewal := func(expires time.Duration) bool {
		target := steer.Target{Replica: steer.Replica{Name: "lyric-0", Born: 1}, Kind: notice.Renewal, ExpiresAt: in.now.Add(expires)}
		return !find[steer.Verdict](t, in.reduce(steer.Sending{ID: 7, Targets: []steer.Target{target}})).Held()
	}
	assert.Assert(t, renewal(3500*time.Millisecond))
	in.announce("lyric-0", notice.Announced{Rest: 6 * time.Second})
	assert.Assert(t, !renewal(2300*time.Millisecond), "renewed too early")
	in.advance(time.Second)
	assert.Assert(t, renewal(1300*time.Millisecond), "not renewed in time")
	target := steer.Target{Replica: steer.Replica{Name: "lyric-0", Born: 1}, Kind: notice.Renewal, ExpiresAt: in.now.Add(1300 * time.Millisecond)}
	again := find[steer.Verdict](t, in.reduce(steer.Sending{ID: 7, Targets: []steer.Target{target}, Repeated: true}))
	assert.Assert(t, !again.Held(), "held back after its connection was opened")
	in.announce("lyric-0", notice.Announced{Rest: 6 * time.Second})
	assert.Assert(t, !renewal(time.Second), "renewed twice")
	in.announce("lyric-0", notice.Announced{Rest: time.Second})
	in.advance(5500 * time.Millisecond)
	assert.Assert(t, !renewal(1400*time.Millisecond), "renewed although the rest ends first")
	in.advance(time.Second)
	assert.Assert(t, renewal(time.Second))
}

func TestRequestIsRefusedAtOnceIfAllReplicasRest(t *testing.T) {
	// All replicas of a service have asked for rest. A request that cannot be in time is refused at once, as not run, with the
	// end of the first rest as the time to return. One that can wait for it is not refused.
	in := newInstance(t, "one", 2)
	for name, rest := range map[string]time.Duration{"lyric-0": 3 * time.Second, "lyric-1": 4 * time.Second, "board-0": 2 * time.Second, "board-1": time.Hour} {
		in.announce(name, notice.Announced{Rest: rest})
	}
	times := map[time.Duration]bool{}
	for range 20 {
		effects := append(in.arrive(&short, 5000), in.reduce(steer.Ticked{})...)
		ref := find[steer.Finish](t, effects).Refusal
		assert.Equal(t, ref.Reason, steer.ReasonResting)
		assert.Assert(t, ref.NotRun && ref.RetryAfter >= 3*time.Second && ref.RetryAfter < 5*time.Second, ref.RetryAfter)
		times[ref.RetryAfter] = true
	}
	assert.Assert(t, len(times) > 10)
	ref := find[steer.Finish](t, append(in.arrive(&update, 0), in.reduce(steer.Ticked{})...)).Refusal
	assert.Assert(t, ref.RetryAfter >= 2*time.Second && ref.RetryAfter < 4*time.Second, ref.RetryAfter)
	patient := long
	patient.Goal = seconds(8)
	none[steer.Finish](t, append(in.arrive(&patient, 5000), in.reduce(steer.Ticked{})...))
	in.now = in.now.Add(2900 * time.Millisecond)
	sent := in.waitForSend(200*time.Millisecond, nil)
	assert.Equal(t, sent.Replica.Name, "lyric-0")
}

func TestRestOfOneReplicaLeavesTheOthersInUse(t *testing.T) {
	in := newInstance(t, "one", 3)
	in.announce("lyric-0", notice.Announced{Rest: time.Hour})
	for range 20 {
		sent := in.waitForSend(time.Second, in.arrive(&short, 5000))
		assert.Assert(t, sent.Replica.Name != "lyric-0")
		in.end(sent, steer.ResultDone)
	}
	list := replicas(3)
	list[0].Born = 2
	in.reduce(steer.Listed{Replicas: list})
	target := steer.Target{Replica: list[0], Kind: notice.First}
	assert.Assert(t, !find[steer.Verdict](t, in.reduce(steer.Sending{ID: 99, Targets: []steer.Target{target}})).Held(), "a new incarnation has not asked for rest")
}

func TestGrantForRestingReplicaIsGivenBack(t *testing.T) {
	// A request has a grant for a limited replica, which then asks this instance for rest. The request goes elsewhere, and the
	// granting instance learns that the send is free. That instance may rest itself and still grant.
	in := newInstance(t, "one", 6)
	in.reduce(steer.Peered{Instances: []steer.Instance{{Name: "two", FailureDomain: "a"}}, Listed: true})
	for _, rep := range replicas(6)[:6] {
		in.announce(rep.Name, notice.Announced{Limited: true, PerS: 1})
	}
	var asked *steer.GrantRequest
	for range 20 {
		for _, eff := range append(in.arrive(&long, 5000), in.advance(time.Millisecond)...) {
			if note, ok := eff.(steer.SendNote); ok && len(note.Note.GrantRequests) > 0 {
				asked = &note.Note.GrantRequests[0]
			}
		}
		if asked != nil {
			break
		}
	}
	assert.Assert(t, asked != nil, "no grant was requested")
	in.reduce(steer.NoteReceived{Note: steer.Note{From: "two", Run: 1, Grants: []steer.Grant{{Job: asked.Job, Replica: asked.Replica, AfterMs: 500}}}})
	in.announce(asked.Replica, notice.Announced{Limited: true, PerS: 1, Rest: 2 * time.Second})
	for range 20 {
		for _, eff := range in.advance(10 * time.Millisecond) {
			if note, ok := eff.(steer.SendNote); ok && len(note.Note.GrantReturns) > 0 {
				assert.Equal(t, note.Note.GrantReturns[0].Job, asked.Job)
				return
			}
		}
	}
	t.Fatal("the grant was not given back")
}
