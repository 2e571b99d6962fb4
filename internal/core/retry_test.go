package core_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// find returns the first effect of a kind.
func find[Effect effect.Effect](effects []effect.Effect) (Effect, bool) {
	for _, eff := range effects {
		if found, ok := eff.(Effect); ok {
			return found, true
		}
	}
	var none Effect
	return none, false
}

// lyric arrives as request id with content of its own or shared.
func (in *instance) lyric(id event.RequestID, content byte) []effect.Effect {
	return in.reduce(event.Arrived{
		ID: id, Service: "lyric", PromptTokens: 1000, Idempotent: true,
		Digest: event.Digest{content}, Deadline: in.now.Add(10 * time.Second),
	})
}

// engines lists as many engines.
func (in *instance) engines(names ...string) {
	var listed event.UpstreamsListed
	for _, name := range names {
		listed.Upstreams = append(listed.Upstreams, event.Upstream{Name: name, Service: "lyric", Address: name + ":1", FailureDomain: "a"})
	}
	in.reduce(listed)
}

func TestPoisonKillsTwoAtMost(t *testing.T) {
	// A caller's request crashes each engine that runs it, and the caller sends it again under a new id.
	// It is retried once; after the second death it is refused with "ran", and a resend with "not run", at once.
	in := newInstance(t)
	in.engines("lyric-0", "lyric-1", "lyric-2")
	sent := only[effect.Send](t, in.lyric(1, 7))
	first := in.reduce(event.AttemptEnded{ID: 1, Attempt: 1, Upstream: sent.Upstreams[0].Name, Result: event.ResultFailed})
	told, ok := find[effect.TellQuarantine](first)
	assert.Assert(t, ok)
	assert.Equal(t, told.Quarantined.Deaths, 1)
	again, ok := find[effect.Send](first)
	assert.Assert(t, ok)
	second := in.reduce(event.AttemptEnded{ID: 1, Attempt: 2, Upstream: again.Upstreams[0].Name, Result: event.ResultFailed})
	finish, ok := find[effect.Finish](second)
	assert.Assert(t, ok)
	assert.Equal(t, finish.Refusal.Reason, effect.ReasonQuarantine)
	resent := only[effect.Finish](t, in.lyric(2, 7))
	assert.Equal(t, resent.Refusal.Reason, effect.ReasonQuarantine)
	assert.Equal(t, resent.Refusal.Ran, effect.NotRun)
}

func TestClosedConnectionIsNoDeath(t *testing.T) {
	// An engine closes kept connections after their idle time, just when requests are sent on them, again and again.
	// The caller gets its answer from a retry, and the content is not put under quarantine for it.
	in := newInstance(t)
	sent := only[effect.Send](t, in.lyric(1, 7))
	for attempt := 1; attempt <= 3; attempt++ {
		effects := in.reduce(event.AttemptEnded{ID: 1, Attempt: attempt, Upstream: sent.Upstreams[0].Name, Result: event.ResultFailed, Alive: true})
		_, told := find[effect.TellQuarantine](effects)
		assert.Assert(t, !told)
		next, ok := find[effect.Send](effects)
		assert.Assert(t, ok)
		sent = next
	}
}

func TestInnocentInFlightIsCleared(t *testing.T) {
	// An engine dies with two requests in flight, one of which killed it. Both are retried, on engines of their own, so
	// that the next death shows which one it was. The innocent one ends well and is free of blame.
	in := newInstance(t)
	in.engines("lyric-0")
	only[effect.Send](t, in.lyric(1, 1))
	only[effect.Send](t, in.lyric(2, 2))
	in.engines("lyric-0", "lyric-1", "lyric-2")
	guilty, ok := find[effect.Send](in.reduce(event.AttemptEnded{ID: 1, Attempt: 1, Upstream: "lyric-0", Result: event.ResultBroken}))
	assert.Assert(t, ok)
	innocent, ok := find[effect.Send](in.reduce(event.AttemptEnded{ID: 2, Attempt: 1, Upstream: "lyric-0", Result: event.ResultBroken}))
	assert.Assert(t, ok)
	assert.Assert(t, guilty.Upstreams[0].Name != innocent.Upstreams[0].Name)
	in.reduce(event.AttemptEnded{ID: 2, Attempt: 2, Upstream: innocent.Upstreams[0].Name, Result: event.ResultDone})
	// Another engine dies with the innocent content in flight again; one death alone refuses nothing.
	sent := only[effect.Send](t, in.lyric(3, 2))
	_, retried := find[effect.Send](in.reduce(event.AttemptEnded{ID: 3, Attempt: 1, Upstream: sent.Upstreams[0].Name, Result: event.ResultBroken}))
	assert.Assert(t, retried)
}

func TestDeadReplicasKillNobody(t *testing.T) {
	// An engine has died, and something before it still accepts connections and ends them. A request that is sent there
	// afterwards killed nothing, and its caller must not be told that it did; once the engine has reported again, the
	// next death is one.
	in := newInstance(t)
	in.engines("lyric-0")
	blamed := func(id event.RequestID) bool {
		only[effect.Send](t, in.lyric(id, byte(id)))
		in.now = in.now.Add(time.Second)
		effects := in.reduce(event.AttemptEnded{ID: id, Attempt: 1, Upstream: "lyric-0", Result: event.ResultFailed})
		in.reduce(event.CallerGone{ID: id})
		in.reduce(event.AttemptEnded{ID: id, Attempt: 2, Upstream: "lyric-0", Result: event.ResultCancelled})
		_, told := find[effect.TellQuarantine](effects)
		return told
	}
	assert.Assert(t, blamed(1))
	assert.Assert(t, !blamed(2))
	in.now = in.now.Add(time.Second)
	in.reduce(event.LoadReported{Upstream: "lyric-0", At: in.now})
	assert.Assert(t, blamed(3))
}

func TestLongStreamOutlivesManyBreaks(t *testing.T) {
	// A long translation's connection breaks every few tokens. Each attempt brings the answer forward, so the caller gets
	// all of it; only attempts without progress are counted, and those end the request.
	in := newInstance(t)
	only[effect.Send](t, in.lyric(1, 7))
	attempt := 1
	for ; attempt <= 50; attempt++ {
		_, sent := find[effect.Send](in.reduce(event.AttemptEnded{ID: 1, Attempt: attempt, Upstream: "lyric-0", Result: event.ResultBroken, Offset: int64(attempt), Alive: true}))
		assert.Assert(t, sent)
	}
	fruitless := 0
	for ; len(in.st.Requests) > 0; attempt++ {
		in.reduce(event.AttemptEnded{ID: 1, Attempt: attempt, Upstream: "lyric-0", Result: event.ResultBroken, Offset: 50, Alive: true})
		fruitless++
	}
	assert.Equal(t, fruitless, 6)
}

func TestWhatIsSaidOfARun(t *testing.T) {
	// A caller that hears "ran" or "not run" acts on it, so either is said only if it is certain. An engine that gave no
	// byte of an answer may have run the request or not.
	cases := map[string]struct {
		result   event.Result
		answered bool
		ran      effect.Ran
	}{
		"no byte of an answer": {event.ResultExpired, false, effect.Unknown},
		"part of an answer":    {event.ResultExpired, true, effect.HasRun},
		"never sent":           {event.ResultNotSent, false, effect.NotRun},
		"refused":              {event.ResultNotRun, false, effect.NotRun},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			in := newInstance(t)
			only[effect.Send](t, in.lyric(1, 7))
			if tc.answered {
				in.reduce(event.Answering{ID: 1, Attempt: 1})
			}
			in.now = in.now.Add(10 * time.Second)
			finish := only[effect.Finish](t, in.reduce(event.AttemptEnded{ID: 1, Attempt: 1, Upstream: "lyric-0", Result: tc.result}))
			assert.Equal(t, finish.Refusal.Ran, tc.ran)
			assert.Equal(t, finish.Refusal.Reason, effect.ReasonDeadline)
		})
	}
}

func TestRejectedIsNotRetried(t *testing.T) {
	// The engine answers 400 to a request that is wrong by itself. The caller hears so at once; other engines would
	// answer the same.
	in := newInstance(t)
	only[effect.Send](t, in.lyric(1, 7))
	finish := only[effect.Finish](t, in.reduce(event.AttemptEnded{ID: 1, Attempt: 1, Upstream: "lyric-0", Result: event.ResultNotRun, Status: 400}))
	assert.Equal(t, finish.Refusal.Reason, effect.ReasonRejected)
	assert.Equal(t, finish.Refusal.Ran, effect.NotRun)
}

func TestLeavingCallersDoNotEject(t *testing.T) {
	// Callers leave while connections to their engine are being opened. That says nothing about the engine, which
	// would be ejected after three of them.
	in := newInstance(t)
	in.engines("lyric-0", "lyric-1", "lyric-2")
	for id := event.RequestID(1); id <= 30; id++ {
		sent := only[effect.Send](t, in.lyric(id, byte(id)))
		in.reduce(event.CallerGone{ID: id})
		in.reduce(event.AttemptEnded{ID: id, Attempt: 1, Upstream: sent.Upstreams[0].Name, Result: event.ResultNotSent})
	}
	for name, rep := range in.st.Route.Replicas {
		assert.Equal(t, rep.Failures+rep.Ejections, 0, name)
		assert.Equal(t, rep.Running, int64(0), name)
	}
}

func TestSilenceClosesTheConnectionsOfItsAddress(t *testing.T) {
	// A stream went silent. The engine's other kept connections are closed, which are known by the address.
	in := newInstance(t)
	in.engines("lyric-0")
	only[effect.Send](t, in.lyric(1, 7))
	closed, ok := find[effect.CloseIdle](in.reduce(event.AttemptEnded{ID: 1, Attempt: 1, Upstream: "lyric-0", Result: event.ResultSilent}))
	assert.Assert(t, ok)
	assert.Equal(t, closed.Address, "lyric-0:1")
}

func TestLongPrefillIsNotSilence(t *testing.T) {
	// A prompt of a million tokens at 20,000 a second has its first token after 50 s; a ProgressTimeout of 5 s must not
	// start it over. A short prompt's silence is still found in little more than 5 s.
	in := newInstance(t)
	in.reduce(event.ConfigAccepted{Config: &decl.Config{
		Version: 2,
		// An engine that holds such a prompt; a smaller one's would be refused on arrival.
		Services: map[string]decl.Service{"lyric": {Kind: decl.KindModel, Models: []decl.Model{{Name: "lyric"}}, MemoryTokens: 1_200_000}},
	}})
	sent := only[effect.Send](t, in.reduce(event.Arrived{
		ID: 1, Service: "lyric", PromptTokens: 1_000_000, Idempotent: true, Deadline: in.now.Add(time.Hour),
	}))
	assert.Assert(t, sent.FirstSilence > 50*time.Second, "%s", sent.FirstSilence)
	assert.Equal(t, sent.Silence, 5*time.Second)
	in.reduce(event.AttemptEnded{ID: 1, Attempt: 1, Upstream: sent.Upstreams[0].Name, Result: event.ResultDone})
	short := only[effect.Send](t, in.lyric(2, 7))
	assert.Assert(t, short.FirstSilence < 6*time.Second, "%s", short.FirstSilence)
}

func TestDeadlineInTheQueue(t *testing.T) {
	// All engines are full until a request's time is over. Its caller hears so then, with "not run", and the queue
	// holds nothing of it.
	in := newInstance(t)
	in.engines("lyric-0")
	id := event.RequestID(1)
	for ; ; id++ {
		if _, sent := find[effect.Send](in.lyric(id, byte(id))); !sent {
			break
		}
	}
	in.now = in.now.Add(10 * time.Second)
	finish := only[effect.Finish](t, in.reduce(event.Ticked{}))
	assert.Equal(t, finish.ID, id)
	assert.Equal(t, finish.Refusal.Reason, effect.ReasonDeadline)
	assert.Equal(t, finish.Refusal.Ran, effect.NotRun)
	items, _ := in.st.Admit.Waiting("lyric")
	assert.Equal(t, items, 0)
}
