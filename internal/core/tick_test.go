package core_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/event"
)

func TestTickDelay(t *testing.T) {
	in := newInstance(t)
	idle := in.st.TickDelay()
	assert.Assert(t, idle > event.TickPeriod)
	in.reduce(event.UpstreamsListed{Upstreams: []event.Upstream{{Name: "lyric-0", Service: "lyric", Address: "127.0.0.1:1"}}})
	for id := range 100 {
		ev := event.Arrived{ID: event.RequestID(id + 1), Service: "lyric", PromptTokens: 90_000, Idempotent: true, Deadline: in.now.Add(time.Hour)}
		in.reduce(ev)
	}
	assert.Equal(t, in.st.TickDelay(), event.TickPeriod, "requests are queued")

	alone := newInstance(t)
	alone.reduce(event.Arrived{ID: 1, Service: "board", Key: "k", Deadline: alone.now.Add(20 * time.Millisecond)})
	assert.Equal(t, alone.st.TickDelay(), 20*time.Millisecond, "the next tick is due at the deadline")
}
