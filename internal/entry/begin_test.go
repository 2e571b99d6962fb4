package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/cutoff"
	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
)

func TestGrantAndBeginOfAPlainAnswerExcludeEachOther(t *testing.T) {
	// Guards against an answer of a plain service that is cut: it begins in the moment in which another run is granted for the silence of its upstream,
	// and cannot be resumed once its header is sent.
	cases := map[string]struct {
		grantedFirst, begins bool
	}{
		"granted first": {true, false},
		"begun first":   {false, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			ctx, end, release := cutoff.Context(t.Context(), time.Now().Add(time.Minute))
			defer release()
			cl := &call{id: 1, attempt: 1, cancel: end}
			in := &Instance{calls: map[event.RequestID]*call{1: cl}}
			grant := effect.Abort{ID: 1, Attempt: 1, Proof: cutoff.OfGrant(true)}
			if tc.grantedFirst {
				in.abort(grant)
			}
			begins := cl.beginPlain(ctx)
			in.abort(grant)
			assert.Equal(t, begins, tc.begins)
			assert.Equal(t, ctx.Err() == nil, tc.begins)
		})
	}
}
