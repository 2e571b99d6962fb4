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

func newInstance(t *testing.T) *instance {
	in := &instance{t: t, st: core.New(core.Options{Name: "entry-0", FailureDomain: "a", Seed: 1}), now: start}
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

// reduce returns the effects of the event without the notes.
func (in *instance) reduce(ev event.Event) []effect.Effect {
	var effects []effect.Effect
	for _, eff := range in.st.Reduce(in.now, ev) {
		if _, ok := eff.(effect.Note); !ok {
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

func TestAnsweredRequestHoldsNothing(t *testing.T) {
	in := newInstance(t)
	sent := only[effect.Send](t, in.arrive(event.Arrived{Service: "lyric", PromptTokens: 1000, Idempotent: true}))
	end := in.reduce(event.AttemptEnded{ID: 1, Attempt: 1, Upstream: sent.Upstreams[0].Name, Result: event.ResultDone})
	assert.Assert(t, only[effect.Finish](t, end).Refusal == nil)
	assert.Equal(t, len(in.st.Requests), 0)
	assert.Equal(t, in.st.Route.Replicas[sent.Upstreams[0].Name].Running, int64(0))
}

func TestBrokenStreamResumesElsewhere(t *testing.T) {
	// The caller has three tokens when its engine dies.
	// The stream ends without its marker, and the rest comes from the other engine from the fourth token on, so the
	// caller gets one whole answer.
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
	assert.Assert(t, resumed.Fresh)
}

func TestNonIdempotentNeverSentTwice(t *testing.T) {
	// A sacristan's board update has no key and its service dies with the request.
	// Whether it ran cannot be known, so it is not sent again and the caller is told so, never "not run".
	cases := map[string]struct {
		result event.Result
		ran    effect.Ran
	}{
		"died without an answer": {event.ResultFailed, effect.Unknown},
		"silent":                 {event.ResultSilent, effect.Unknown},
		"deadline":               {event.ResultExpired, effect.Unknown},
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
			assert.Equal(t, finish.Refusal.Ran, tc.ran)
		})
	}
}

func TestDeadlineWhileClaiming(t *testing.T) {
	// The store is down when a keyed redemption arrives, and its deadline passes.
	// The caller hears "not run". The claim is recorded later all the same and has to be given back, or a resend
	// would hear "unknown" for ever.
	in := newInstance(t)
	only[effect.Claim](t, in.arrive(event.Arrived{Service: "board", Key: "k"}))
	in.now = in.now.Add(11 * time.Second)
	finish := only[effect.Finish](t, in.reduce(event.Ticked{}))
	assert.Equal(t, finish.Refusal.Ran, effect.NotRun)
	record := only[effect.RecordOutcome](t, in.reduce(event.ClaimSettled{ID: 1, Result: event.ClaimWon}))
	assert.Assert(t, record.Release)
	assert.Equal(t, len(in.st.Requests), 0)
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	in := newInstance(t)
	in.reduce(event.ConfigAccepted{Config: &decl.Config{Version: 3}})
	in.reduce(event.ConfigAccepted{Config: &decl.Config{Version: 2}})
	assert.Equal(t, in.st.Config.Version, int64(3))
}

func TestSettledClaimLeavesNothingBehind(t *testing.T) {
	// A caller resends a redemption that ran before, and hears the recorded answer, or a refusal.
	// The request is over with that: an entry kept for a claim still under way would stay for good.
	cases := map[string]event.ClaimSettled{
		"repeated with its outcome": {ID: 1, Result: event.ClaimRepeated, Outcome: event.Outcome{Known: true, Status: 200}},
		"repeated while running":    {ID: 1, Result: event.ClaimRepeated, Outcome: event.Outcome{Running: true}},
		"other content":             {ID: 1, Result: event.ClaimConflict},
		"store down":                {ID: 1, Result: event.ClaimUnavailable},
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
	// A prompt that no engine of its service can hold arrives while prompts over several engines are not served.
	// The caller hears so at once, and no engine is sent megabytes that it can only refuse.
	in := newInstance(t)
	finish := only[effect.Finish](t, in.arrive(event.Arrived{Service: "lyric", PromptTokens: 400_000, MaxTokens: 1, Idempotent: true}))
	assert.Equal(t, finish.Refusal.Reason, effect.ReasonTooLong)
	assert.Equal(t, finish.Refusal.Ran, effect.NotRun)
}

func TestWhatCannotEndInTimeIsRefusedAtOnce(t *testing.T) {
	// All engines are full and a minute's work waits. Another request has half a minute.
	// It hears at once that it was not run and when to come back, instead of waiting for its deadline.
	in := newInstance(t)
	var last []effect.Effect
	for id := event.RequestID(1); id < 1000; id++ {
		last = in.reduce(event.Arrived{
			ID: id, Service: "lyric", PromptTokens: 4000, MaxTokens: 100, Idempotent: true, Deadline: in.now.Add(30 * time.Second),
		})
	}
	finish := only[effect.Finish](t, last)
	assert.Equal(t, finish.Refusal.Reason, effect.ReasonBusy)
	assert.Equal(t, finish.Refusal.Ran, effect.NotRun)
	assert.Assert(t, finish.Refusal.RetryAfter >= time.Second)
}
