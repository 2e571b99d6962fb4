package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestConnectionStalled(t *testing.T) {
	// Guards against a stream that hangs until its caller leaves, eight seconds and more: its connection dies midway
	// while the replica continues to serve others, whose events make the replica look alive. The engine sends the
	// events of all streams together, so a stream without events while others have some is given up.
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	const limit = 1100 * time.Millisecond
	cases := map[string]struct {
		last     *time.Time
		lastSeen time.Time
		stalled  bool
	}{
		"event for others a second later":     {&start, start.Add(time.Second), true},
		"same long pass for all":              {&start, start.Add(2 * time.Millisecond), false},
		"event for others earlier":            {&start, start.Add(-time.Second), false},
		"no event for others":                 {&start, time.Time{}, false},
		"event for others, none yet for this": {nil, start, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, connectionStalled(tc.last, tc.lastSeen, limit), tc.stalled)
		})
	}
}
