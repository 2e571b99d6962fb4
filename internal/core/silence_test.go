package core_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/cutoff"
	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
)

func TestSilenceEndsNoAnswer(t *testing.T) {
	// Guards against an attempt that is ended since its upstream is silent, although no other attempt can follow: the caller's answer ends early, or
	// the caller gets an error, while the upstream may be sound and at work.
	cases := map[string]struct {
		arrival  event.Arrived
		answered bool
		// list are the engines that are listed.
		engines []string
		before  func(in *instance)
		moved   bool
	}{
		"model, begun":          {event.Arrived{Service: "lyric", PromptTokens: 1000, Idempotent: true}, true, []string{"lyric-0", "lyric-1"}, nil, true},
		"model, not begun":      {event.Arrived{Service: "lyric", PromptTokens: 1000, Idempotent: true}, false, []string{"lyric-0", "lyric-1"}, nil, true},
		"model, one engine":     {event.Arrived{Service: "lyric", PromptTokens: 1000, Idempotent: true}, true, []string{"lyric-0"}, nil, true},
		"model, engine is gone": {event.Arrived{Service: "lyric", PromptTokens: 1000, Idempotent: true}, true, []string{"lyric-0"}, func(in *instance) { in.listEngines() }, false},
		"model, no time left": {event.Arrived{Service: "lyric", PromptTokens: 1000, Idempotent: true}, true, []string{"lyric-0", "lyric-1"}, func(in *instance) {
			in.now = in.now.Add(10 * time.Second)
		}, false},
		"plain, begun":                          {event.Arrived{Service: "board", Idempotent: true}, true, nil, nil, false},
		"plain, not begun":                      {event.Arrived{Service: "board", Idempotent: true}, false, nil, nil, true},
		"plain, may not be repeated":            {event.Arrived{Service: "board"}, false, nil, nil, false},
		"plain, may not be repeated, has begun": {event.Arrived{Service: "board"}, true, nil, nil, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			in := newInstance(t)
			if tc.engines != nil {
				in.listEngines(tc.engines...)
			}
			tc.arrival.ID, tc.arrival.Deadline = 1, in.now.Add(10*time.Second)
			sent := only[effect.Send](t, in.reduce(tc.arrival))
			if tc.answered {
				in.reduce(event.AnswerStarted{ID: 1, Attempt: 1})
			}
			if tc.before != nil {
				tc.before(in)
			}
			upstream := sent.Upstreams[0].Name
			silent := event.FellSilent{ID: 1, Attempt: 1, Upstream: upstream, Offset: 3, Silent: 5 * time.Second}
			effects := in.reduce(silent)
			_, finished := find[effect.Finish](effects)
			assert.Assert(t, !finished)
			abort, aborted := find[effect.Abort](effects)
			assert.Equal(t, aborted, tc.moved)
			_, abortedAgain := find[effect.Abort](in.reduce(silent))
			assert.Assert(t, !abortedAgain)
			if !tc.moved {
				finish, ok := find[effect.Finish](in.reduce(event.AttemptEnded{ID: 1, Attempt: 1, Upstream: upstream, Result: event.ResultDone}))
				assert.Assert(t, ok && finish.Refusal == nil)
				return
			}
			assert.Equal(t, abort.Proof, cutoff.Resumed)
			again, ok := find[effect.Send](in.reduce(event.AttemptEnded{ID: 1, Attempt: 1, Upstream: upstream, Result: event.ResultSilent, End: abort.Proof, Offset: 3}))
			assert.Assert(t, ok)
			assert.Assert(t, again.NewConnection)
		})
	}
}
