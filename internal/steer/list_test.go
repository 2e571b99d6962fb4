package steer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/steer"
)

func TestReplicaThatIsBackIsUsed(t *testing.T) {
	// A replica's entry ends while it cannot reach the store, and is back a moment later, the replica being the same all the
	// while. It counts as registered; left out of its service it would get no request until the instance is replaced.
	cases := map[string]steer.Event{
		"in a change":     steer.Relisted{Replicas: replicas(1)[:1]},
		"in a whole list": steer.Listed{Replicas: replicas(1)},
	}
	for name, back := range cases {
		t.Run(name, func(t *testing.T) {
			in := newInstance(t, "one", 1)
			in.reduce(steer.Relisted{Gone: []string{"lyric-0"}})
			none[steer.Send](t, in.arrive(&short, 5000))
			sent := in.within(time.Second, in.reduce(back))
			assert.Equal(t, sent.Replica.Name, "lyric-0")
		})
	}
}
