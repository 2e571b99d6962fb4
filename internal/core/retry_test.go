package core_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/norun"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// find returns the first effect of the given type.
func find[Effect effect.Effect](effects []effect.Effect) (Effect, bool) {
	for _, eff := range effects {
		if found, ok := eff.(Effect); ok {
			return found, true
		}
	}
	var none Effect
	return none, false
}

// arriveLyric sends the event of a request's arrival. Requests with the same content have the same digest.
func (in *instance) arriveLyric(id event.RequestID, content byte) []effect.Effect {
	return in.reduce(event.Arrived{
		ID: id, Service: "lyric", PromptTokens: 1000, Idempotent: true,
		Digest: event.Digest{content}, Deadline: in.now.Add(10 * time.Second),
	})
}

// listEngines sends a list of engines with these names.
func (in *instance) listEngines(names ...string) {
	var listed event.UpstreamsListed
	for _, name := range names {
		listed.Upstreams = append(listed.Upstreams, event.Upstream{Name: name, Service: "lyric", Address: name + ":1", FailureDomain: "a"})
	}
	in.reduce(listed)
}

func TestRequestThatCrashesTwoUpstreamsIsQuarantined(t *testing.T) {
	// A request crashes each engine that runs it, and its caller sends it again under a new ID. It is retried once and
	// refused with "ran" after the second crash. The resend must be refused with "not run" at once, or it crashes more engines.
	in := newInstance(t)
	in.listEngines("lyric-0", "lyric-1", "lyric-2")
	sent := only[effect.Send](t, in.arriveLyric(1, 7))
	first := in.reduce(event.AttemptEnded{ID: 1, Attempt: 1, Upstream: sent.Upstreams[0].Name, Result: event.ResultFailed})
	reported, ok := find[effect.AnnounceQuarantine](first)
	assert.Assert(t, ok)
	assert.Equal(t, reported.Quarantined.Deaths, 1)
	again, ok := find[effect.Send](first)
	assert.Assert(t, ok)
	second := in.reduce(event.AttemptEnded{ID: 1, Attempt: 2, Upstream: again.Upstreams[0].Name, Result: event.ResultFailed})
	finish, ok := find[effect.Finish](second)
	assert.Assert(t, ok)
	assert.Equal(t, finish.Refusal.Reason, effect.ReasonQuarantine)
	resent := only[effect.Finish](t, in.arriveLyric(2, 7))
	assert.Equal(t, resent.Refusal.Reason, effect.ReasonQuarantine)
	assert.Equal(t, resent.Refusal.RunState, effect.NotRun)
}

func TestClosedConnectionIsNotCountedAsCrash(t *testing.T) {
	// An engine's idle timeout closes connections just as requests are sent on them, several times in a row. The request
	// must be retried each time, and its content must not be counted as having crashed the engine.
	in := newInstance(t)
	sent := only[effect.Send](t, in.arriveLyric(1, 7))
	for attempt := 1; attempt <= 3; attempt++ {
		effects := in.reduce(event.AttemptEnded{ID: 1, Attempt: attempt, Upstream: sent.Upstreams[0].Name, Result: event.ResultFailed, Alive: true})
		_, reported := find[effect.AnnounceQuarantine](effects)
		assert.Assert(t, !reported)
		next, ok := find[effect.Send](effects)
		assert.Assert(t, ok)
		sent = next
	}
}

func TestSuspicionIsClearedAfterSuccess(t *testing.T) {
	// An engine crashes with two requests in flight, one of which caused it. They are retried on different engines, so that
	// the next crash shows which one it was. The innocent request completes and is no longer suspect.
	in := newInstance(t)
	in.listEngines("lyric-0")
	only[effect.Send](t, in.arriveLyric(1, 1))
	only[effect.Send](t, in.arriveLyric(2, 2))
	in.listEngines("lyric-0", "lyric-1", "lyric-2")
	guilty, ok := find[effect.Send](in.reduce(event.AttemptEnded{ID: 1, Attempt: 1, Upstream: "lyric-0", Result: event.ResultBroken}))
	assert.Assert(t, ok)
	innocent, ok := find[effect.Send](in.reduce(event.AttemptEnded{ID: 2, Attempt: 1, Upstream: "lyric-0", Result: event.ResultBroken}))
	assert.Assert(t, ok)
	assert.Assert(t, guilty.Upstreams[0].Name != innocent.Upstreams[0].Name)
	in.reduce(event.AttemptEnded{ID: 2, Attempt: 2, Upstream: innocent.Upstreams[0].Name, Result: event.ResultDone})
	// Another engine crashes with the innocent content in flight; a single crash must not quarantine it.
	sent := only[effect.Send](t, in.arriveLyric(3, 2))
	_, retried := find[effect.Send](in.reduce(event.AttemptEnded{ID: 3, Attempt: 1, Upstream: sent.Upstreams[0].Name, Result: event.ResultBroken}))
	assert.Assert(t, retried)
}

func TestFailureOnDeadUpstreamIsNotCountedAgainstRequest(t *testing.T) {
	// An engine has crashed, and something in front of it still accepts connections and closes them. A request that is sent
	// there afterwards must not be counted as having crashed it. Once the engine has reported again, the next crash counts.
	in := newInstance(t)
	in.listEngines("lyric-0")
	counted := func(id event.RequestID) bool {
		only[effect.Send](t, in.arriveLyric(id, byte(id)))
		in.now = in.now.Add(time.Second)
		effects := in.reduce(event.AttemptEnded{ID: id, Attempt: 1, Upstream: "lyric-0", Result: event.ResultFailed})
		in.reduce(event.CallerGone{ID: id})
		in.reduce(event.AttemptEnded{ID: id, Attempt: 2, Upstream: "lyric-0", Result: event.ResultCancelled})
		_, reported := find[effect.AnnounceQuarantine](effects)
		return reported
	}
	assert.Assert(t, counted(1))
	assert.Assert(t, !counted(2))
	in.now = in.now.Add(time.Second)
	in.reduce(event.LoadReported{Upstream: "lyric-0", At: in.now})
	assert.Assert(t, counted(3))
}

func TestProgressResetsAttemptLimit(t *testing.T) {
	// A long answer's connection breaks after every token. Attempts that make progress must not count against the maximum, or
	// the answer would never be completed; consecutive attempts without progress end the request.
	in := newInstance(t)
	only[effect.Send](t, in.arriveLyric(1, 7))
	attempt := 1
	for ; attempt <= 50; attempt++ {
		_, sent := find[effect.Send](in.reduce(event.AttemptEnded{ID: 1, Attempt: attempt, Upstream: "lyric-0", Result: event.ResultBroken, Offset: int64(attempt), Alive: true}))
		assert.Assert(t, sent)
	}
	noProgress := 0
	for ; len(in.st.Requests) > 0; attempt++ {
		in.reduce(event.AttemptEnded{ID: 1, Attempt: attempt, Upstream: "lyric-0", Result: event.ResultBroken, Offset: 50, Alive: true})
		noProgress++
	}
	assert.Equal(t, noProgress, 6)
}

func TestRefusalReportsWhetherRequestRan(t *testing.T) {
	// Callers act on "ran" and "not run", so a refusal may report either only if it is certain. An engine that sent no byte of
	// an answer may or may not have run the request.
	cases := map[string]struct {
		result   event.Result
		proof    norun.Proof
		answered bool
		ran      effect.RunState
	}{
		"expired before an answer": {event.ResultExpired, norun.None, false, effect.Unknown},
		"expired within an answer": {event.ResultExpired, norun.None, true, effect.HasRun},
		"never sent":               {event.ResultNotSent, norun.Unwritten, false, effect.NotRun},
		"refused":                  {event.ResultNotRun, norun.Refused, false, effect.NotRun},
		"never sent, no proof":     {event.ResultNotSent, norun.None, false, effect.Unknown},
		"refused, no proof":        {event.ResultNotRun, norun.None, false, effect.Unknown},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			in := newInstance(t)
			only[effect.Send](t, in.arriveLyric(1, 7))
			if tc.answered {
				in.reduce(event.AnswerStarted{ID: 1, Attempt: 1})
			}
			in.now = in.now.Add(10 * time.Second)
			finish := only[effect.Finish](t, in.reduce(event.AttemptEnded{ID: 1, Attempt: 1, Upstream: "lyric-0", Result: tc.result, Proof: tc.proof}))
			assert.Equal(t, finish.Refusal.RunState, tc.ran)
			assert.Equal(t, finish.Refusal.Reason, effect.ReasonDeadline)
		})
	}
}

func TestRequestErrorIsNotRetried(t *testing.T) {
	// An engine answers 400 to an invalid request. The request must be refused at once and not be retried, since other engines
	// would answer the same.
	in := newInstance(t)
	only[effect.Send](t, in.arriveLyric(1, 7))
	finish := only[effect.Finish](t, in.reduce(event.AttemptEnded{ID: 1, Attempt: 1, Upstream: "lyric-0", Result: event.ResultNotRun, Proof: norun.Refused, Status: 400}))
	assert.Equal(t, finish.Refusal.Reason, effect.ReasonRejected)
	assert.Equal(t, finish.Refusal.RunState, effect.NotRun)
}

func TestCallerDisconnectsDoNotEjectUpstream(t *testing.T) {
	// Callers disconnect while connections to their engine are being opened. These attempts must not count as failures of the
	// engine, which would be ejected after three of them.
	in := newInstance(t)
	in.listEngines("lyric-0", "lyric-1", "lyric-2")
	for id := event.RequestID(1); id <= 30; id++ {
		sent := only[effect.Send](t, in.arriveLyric(id, byte(id)))
		in.reduce(event.CallerGone{ID: id})
		in.reduce(event.AttemptEnded{ID: id, Attempt: 1, Upstream: sent.Upstreams[0].Name, Result: event.ResultNotSent, Proof: norun.Unwritten})
	}
	for name, rep := range in.st.Route.Replicas {
		assert.Equal(t, rep.Failures+rep.Ejections, 0, name)
		assert.Equal(t, rep.Running, int64(0), name)
	}
}

func TestSilentAttemptClosesIdleConnectionsOfItsAddress(t *testing.T) {
	// A stream makes no progress. The engine's idle connections must be closed too, and they are identified by its address.
	in := newInstance(t)
	in.listEngines("lyric-0")
	only[effect.Send](t, in.arriveLyric(1, 7))
	closed, ok := find[effect.CloseIdle](in.reduce(event.AttemptEnded{ID: 1, Attempt: 1, Upstream: "lyric-0", Result: event.ResultSilent}))
	assert.Assert(t, ok)
	assert.Equal(t, closed.Address, "lyric-0:1")
}

func TestLongPrefillIsNotSilence(t *testing.T) {
	// The prefill of a million tokens takes 50 s at 20,000 a second. A ProgressTimeout of 5 s must not end it and start it
	// over. Silence after a short prompt must still be detected within 6 s.
	in := newInstance(t)
	in.reduce(event.ConfigAccepted{Config: &decl.Config{
		Version: 2,
		// The engine's memory has to hold the prompt, which would otherwise be refused on arrival.
		Services: map[string]decl.Service{"lyric": {Kind: decl.KindModel, Models: []decl.Model{{Name: "lyric"}}, MemoryTokens: 1_200_000}},
	}})
	sent := only[effect.Send](t, in.reduce(event.Arrived{
		ID: 1, Service: "lyric", PromptTokens: 1_000_000, Idempotent: true, Deadline: in.now.Add(time.Hour),
	}))
	assert.Assert(t, sent.FirstProgressTimeout > 50*time.Second, "%s", sent.FirstProgressTimeout)
	assert.Equal(t, sent.ProgressTimeout, 5*time.Second)
	in.reduce(event.AttemptEnded{ID: 1, Attempt: 1, Upstream: sent.Upstreams[0].Name, Result: event.ResultDone})
	short := only[effect.Send](t, in.arriveLyric(2, 7))
	assert.Assert(t, short.FirstProgressTimeout < 6*time.Second, "%s", short.FirstProgressTimeout)
}

func TestDeadlineExpiresInQueue(t *testing.T) {
	// All engines are full until a queued request's deadline passes. It must be refused then, with "not run", and be removed
	// from the queue.
	in := newInstance(t)
	in.listEngines("lyric-0")
	id := event.RequestID(1)
	for ; ; id++ {
		if _, sent := find[effect.Send](in.arriveLyric(id, byte(id))); !sent {
			break
		}
	}
	in.now = in.now.Add(10 * time.Second)
	finish := only[effect.Finish](t, in.reduce(event.Ticked{}))
	assert.Equal(t, finish.ID, id)
	assert.Equal(t, finish.Refusal.Reason, effect.ReasonDeadline)
	assert.Equal(t, finish.Refusal.RunState, effect.NotRun)
	items, _ := in.st.Admit.Waiting("lyric")
	assert.Equal(t, items, 0)
}
