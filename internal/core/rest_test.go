package core_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/event"
)

func TestRest(t *testing.T) {
	in := newInstance(t)
	idle := in.st.Rest()
	assert.Assert(t, idle > event.TickPeriod)
	in.reduce(event.UpstreamsListed{Upstreams: []event.Upstream{{Name: "lyric-0", Service: "lyric", Address: "127.0.0.1:1"}}})
	for id := range 100 {
		ev := event.Arrived{ID: event.RequestID(id + 1), Service: "lyric", PromptTokens: 90_000, Idempotent: true, Deadline: in.now.Add(time.Hour)}
		in.reduce(ev)
	}
	assert.Equal(t, in.st.Rest(), event.TickPeriod, "some wait")

	alone := newInstance(t)
	alone.reduce(event.Arrived{ID: 1, Service: "board", Key: "k", Deadline: alone.now.Add(20 * time.Millisecond)})
	assert.Equal(t, alone.st.Rest(), 20*time.Millisecond, "a deadline is kept to the tick")
}
