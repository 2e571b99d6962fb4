package steer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/steer"
)

func TestReregisteredReplicaIsUsed(t *testing.T) {
	// Guards against a replica that gets no request after its entry expired while it could not reach the store and was
	// written again a moment later. It is the same incarnation and so counts as known; left out of its service, it would
	// stay unused until the instance is replaced.
	cases := map[string]steer.Event{
		"in an update":    steer.ListChanged{Replicas: replicas(1)[:1]},
		"in a whole list": steer.Listed{Replicas: replicas(1)},
	}
	for name, back := range cases {
		t.Run(name, func(t *testing.T) {
			in := newInstance(t, "one", 1)
			in.reduce(steer.ListChanged{Gone: []string{"lyric-0"}})
			none[steer.Send](t, in.arrive(&short, 5000))
			sent := in.waitForSend(time.Second, in.reduce(back))
			assert.Equal(t, sent.Replica.Name, "lyric-0")
		})
	}
}
