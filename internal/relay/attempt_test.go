package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPassedBy(t *testing.T) {
	// A connection falls silent midway while the replica goes on to serve others. Its stream was believed to be under way
	// for as long as anybody heard the replica, eight seconds and more, until its caller left. Its engine sends the events of
	// all streams together, so that one that has none while others have is given up.
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	const limit = 1100 * time.Millisecond
	cases := map[string]struct {
		last   *time.Time
		heard  time.Time
		passed bool
	}{
		"others heard it a second later":         {&start, start.Add(time.Second), true},
		"all wait for the same long pass":        {&start, start.Add(2 * time.Millisecond), false},
		"others were heard before":               {&start, start.Add(-time.Second), false},
		"nobody heard it":                        {&start, time.Time{}, false},
		"this one has no event yet, others have": {nil, start, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, passedBy(tc.last, tc.heard, limit), tc.passed)
		})
	}
}
