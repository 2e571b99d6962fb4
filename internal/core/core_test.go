package core_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/core"
	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// instance drives one reducer.
type instance struct {
	t   *testing.T
	st  *core.State
	now time.Time
}

// newInstance returns an instance that has been listed alone for long.
func newInstance(t *testing.T) *instance {
	in := newNamedInstance(t, "entry-0")
	in.now = start.Add(-time.Minute)
	for in.now.Before(start) {
		in.now = in.now.Add(time.Second)
		in.reduce(event.InstancesListed{Instances: []event.Instance{{Name: "entry-0"}}})
	}
	return in
}

// newNamedInstance returns an instance that has just started.
func newNamedInstance(t *testing.T, name string) *instance {
	in := &instance{t: t, st: core.New(core.Options{Name: name, FailureDomain: "a", Seed: 1}), now: start}
	in.reduce(event.ConfigAccepted{Config: &decl.Config{
		Version: 1,
		Services: map[string]decl.Service{
			"lyric": {Kind: decl.KindModel, Models: []decl.Model{{Name: "lyric"}}, MemoryTokens: 400_000},
			"board": {Kind: decl.KindPlain, Path: "/board/"},
		},
	}})
	in.reduce(event.UpstreamsListed{Upstreams: []event.Upstream{
		{Name: "lyric-0", Service: "lyric", Address: "127.0.0.1:1", FailureDomain: "a"},
		{Name: "lyric-1", Service: "lyric", Address: "127.0.0.1:2", FailureDomain: "a"},
		{Name: "board-0", Service: "board", Address: "127.0.0.1:3", FailureDomain: "a"},
	}})
	return in
}

// reduce applies the event and returns its effects, except for those that count and log.
func (in *instance) reduce(ev event.Event) []effect.Effect {
	var effects []effect.Effect
	for _, eff := range in.st.Reduce(in.now, ev) {
		if _, ok := eff.(effect.CountAndLog); !ok {
			effects = append(effects, eff)
		}
	}
	return effects
}

func (in *instance) arrive(ev event.Arrived) []effect.Effect {
	ev.ID = 1
	ev.Deadline = in.now.Add(10 * time.Second)
	return in.reduce(ev)
}

func only[Effect effect.Effect](t *testing.T, effects []effect.Effect) Effect {
	t.Helper()
	assert.Equal(t, len(effects), 1, "%#v", effects)
	eff, ok := effects[0].(Effect)
	assert.Assert(t, ok, "%#v", effects[0])
	return eff
}

func TestFinishedRequestIsReleased(t *testing.T) {
	in := newInstance(t)
	sent := only[effect.Send](t, in.arrive(event.Arrived{Service: "lyric", PromptTokens: 1000, Idempotent: true}))
	end := in.reduce(event.AttemptEnded{ID: 1, Attempt: 1, Upstream: sent.Upstreams[0].Name, Result: event.ResultDone})
	assert.Assert(t, only[effect.Finish](t, end).Refusal == nil)
	assert.Equal(t, len(in.st.Requests), 0)
	assert.Equal(t, in.st.Route.Replicas[sent.Upstreams[0].Name].Running, int64(0))
}

func TestBrokenStreamResumesOnAnotherUpstream(t *testing.T) {
	// An engine crashes after the caller has received three tokens, so that the stream ends without its end marker. The
	// request must be resumed on the other engine from the fourth token on, or the caller's answer is incomplete.
	in := newInstance(t)
	sent := only[effect.Send](t, in.arrive(event.Arrived{Service: "lyric", PromptTokens: 1000, Idempotent: true}))
	var resumed effect.Send
	for _, eff := range in.reduce(event.AttemptEnded{ID: 1, Attempt: 1, Upstream: sent.Upstreams[0].Name, Result: event.ResultBroken, Offset: 3}) {
		if send, ok := eff.(effect.Send); ok {
			resumed = send
		}
	}
	assert.Equal(t, resumed.Offset, int64(3))
	assert.Assert(t, resumed.Upstreams[0].Name != sent.Upstreams[0].Name)
	assert.Assert(t, resumed.NewConnection)
}

func TestNonIdempotentNeverSentTwice(t *testing.T) {
	// The upstream fails while it handles a request that is not idempotent and has no key. The request may have run, so it
	// must not be sent again, and the refusal must report "unknown" and not "not run".
	cases := map[string]struct {
		result event.Result
		ran    effect.RunState
	}{
		"failed before an answer": {event.ResultFailed, effect.Unknown},
		"silent":                  {event.ResultSilent, effect.Unknown},
		"deadline":                {event.ResultExpired, effect.Unknown},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			in := newInstance(t)
			only[effect.Send](t, in.arrive(event.Arrived{Service: "board"}))
			var finish effect.Finish
			for _, eff := range in.reduce(event.AttemptEnded{ID: 1, Attempt: 1, Upstream: "board-0", Result: tc.result}) {
				switch eff := eff.(type) {
				case effect.Send:
					t.Fatal("sent again")
				case effect.Finish:
					finish = eff
				}
			}
			assert.Assert(t, finish.Refusal != nil)
			assert.Equal(t, finish.Refusal.RunState, tc.ran)
		})
	}
}

func TestDeadlineWhileClaiming(t *testing.T) {
	// The store is down and a keyed request's deadline passes while its claim is pending. The caller is refused with "not
	// run". The claim is recorded afterwards and has to be released, or every resend would be refused with "unknown".
	in := newInstance(t)
	only[effect.Claim](t, in.arrive(event.Arrived{Service: "board", Key: "k"}))
	in.now = in.now.Add(11 * time.Second)
	finish := only[effect.Finish](t, in.reduce(event.Ticked{}))
	assert.Equal(t, finish.Refusal.RunState, effect.NotRun)
	record := only[effect.RecordOutcome](t, in.reduce(event.ClaimSettled{ID: 1, Result: event.ClaimWon}))
	assert.Assert(t, record.Release)
	assert.Equal(t, len(in.st.Requests), 0)
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	in := newInstance(t)
	in.reduce(event.ConfigAccepted{Config: &decl.Config{Version: 3}})
	in.reduce(event.ConfigAccepted{Config: &decl.Config{Version: 2}})
	assert.Equal(t, in.st.Config.Version, int64(3))
}

func TestSettledClaimRemovesRequest(t *testing.T) {
	// A request with a key ends when its claim settles, with the recorded outcome or a refusal. Its entry must be removed:
	// an entry kept for a claim that has already settled would never be removed.
	cases := map[string]event.ClaimSettled{
		"repeated with recorded outcome": {ID: 1, Result: event.ClaimRepeated, Outcome: event.Outcome{Known: true, Status: 200}},
		"repeated while running":         {ID: 1, Result: event.ClaimRepeated, Outcome: event.Outcome{Running: true}},
		"different content":              {ID: 1, Result: event.ClaimConflict},
		"store down":                     {ID: 1, Result: event.ClaimUnavailable},
	}
	for name, settled := range cases {
		t.Run(name, func(t *testing.T) {
			in := newInstance(t)
			only[effect.Claim](t, in.arrive(event.Arrived{Service: "board", Key: "k"}))
			only[effect.Finish](t, in.reduce(settled))
			assert.Equal(t, len(in.st.Requests), 0)
		})
	}
}

func TestPromptLargerThanAnEngineIsRefusedAtOnce(t *testing.T) {
	// A prompt is larger than any engine's memory, and permits for several engines are off. It must be refused on arrival;
	// otherwise an engine is sent megabytes that it can only refuse.
	in := newInstance(t)
	finish := only[effect.Finish](t, in.arrive(event.Arrived{Service: "lyric", PromptTokens: 400_000, MaxTokens: 1, Idempotent: true}))
	assert.Equal(t, finish.Refusal.Reason, effect.ReasonPromptTooLong)
	assert.Equal(t, finish.Refusal.RunState, effect.NotRun)
}

func TestRequestThatCannotMeetDeadlineIsRefusedOnArrival(t *testing.T) {
	// All engines are full and the queue holds more work than can be done before the deadline of 30 s. Another request must
	// be refused at once, with "not run" and a delay for the retry, instead of waiting for its deadline.
	in := newInstance(t)
	var last []effect.Effect
	for id := event.RequestID(1); id < 1000; id++ {
		last = in.reduce(event.Arrived{
			ID: id, Service: "lyric", PromptTokens: 4000, MaxTokens: 100, Idempotent: true, Deadline: in.now.Add(30 * time.Second),
		})
	}
	finish := only[effect.Finish](t, last)
	assert.Equal(t, finish.Refusal.Reason, effect.ReasonOverloaded)
	assert.Equal(t, finish.Refusal.RunState, effect.NotRun)
	assert.Assert(t, finish.Refusal.RetryAfter >= time.Second)
}
