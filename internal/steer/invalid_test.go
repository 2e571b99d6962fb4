package steer_test

import (
	"testing"
	"time"

	"dandelionsail.example/dandelionsail/internal/steer"
)

func TestPromptsOfNoLengthKeepRequestsFromNoReplica(t *testing.T) {
	// Callers state no length of their prompts, or a job of such a request is known from a note. The work that is left of it is 0, not 0 divided by 0.
	in := newInstance(t, "one", 2)
	for range 4 {
		in.waitForSend(time.Second, in.arrive(&short, 0))
	}
	in.reduce(steer.NoteReceived{Note: steer.Note{From: "two", Run: 1, Jobs: []steer.Job{{ID: 1, Replicas: []string{"lyric-0", "lyric-1"}}, {ID: 2, Replicas: []string{"lyric-1", "lyric-0"}}}}})
	for range 8 {
		sent := in.waitForSend(time.Second, in.arrive(&short, 5000))
		in.advance(10 * time.Millisecond)
		in.end(sent, steer.ResultDone)
	}
	in.waitForSend(time.Second, in.arrive(&long, 50_000))
}
