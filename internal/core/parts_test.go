package core_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/cause"
	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
)

// arriveWith submits a prompt of its own content with the features.
func (in *instance) arriveWith(id event.RequestID, features ...cause.Feature) []effect.Effect {
	return in.reduce(event.Arrived{
		ID: id, Service: "lyric", Organisation: "parish", PromptTokens: 1000, Idempotent: true, Digest: event.Digest{byte(id), 1}, Features: features,
		Deadline: in.now.Add(10 * time.Second),
	})
}

// crashesWith sends a prompt with the features, reports that the engine that runs it crashed and lets the caller leave. It returns the effects of
// the crash.
func (in *instance) crashesWith(id event.RequestID, features ...cause.Feature) []effect.Effect {
	// Those that have crashed are listed under other names.
	in.listEngines(fmt.Sprintf("lyric-%d-0", id), fmt.Sprintf("lyric-%d-1", id), fmt.Sprintf("lyric-%d-2", id))
	sent := only[effect.Send](in.t, in.arriveWith(id, features...))
	effects := in.reduce(event.AttemptEnded{ID: id, Attempt: 1, Upstream: sent.Upstreams[0].Name, Result: event.ResultFailed})
	effects = append([]effect.Effect(nil), effects...)
	in.reduce(event.CallerGone{ID: id})
	in.reduce(event.AttemptEnded{ID: id, Attempt: 2, Result: event.ResultCancelled})
	in.now = in.now.Add(800 * time.Millisecond)
	in.reduce(event.Ticked{})
	return effects
}

// isRefusedWith reports whether a prompt with the features is refused as quarantined and not run.
func (in *instance) isRefusedWith(id event.RequestID, features ...cause.Feature) bool {
	fin, ok := find[effect.Finish](in.arriveWith(id, features...))
	return ok && fin.Refusal != nil && fin.Refusal.Reason == effect.ReasonQuarantine && fin.Refusal.RunState == effect.NotRun
}

func TestMessageThatCrashedEnginesIsRefused(t *testing.T) {
	// Conversations of which no two are alike share one message, and each engine that begins an answer on it crashes. Once three have, the next
	// one must be refused, and conversations that share the other messages served.
	in := newInstance(t)
	for id := range event.RequestID(3) {
		in.crashesWith(id+1, 1, 2)
	}
	assert.Assert(t, in.isRefusedWith(10, 1, 2))
	assert.Assert(t, !in.isRefusedWith(11, 1))
	assert.Assert(t, !in.isRefusedWith(12))
}

func TestPeerLearnsOfMessageThatCrashedEngines(t *testing.T) {
	// The engines crash under prompts that one instance has sent. A peer that gets its announcements must refuse the next one.
	in, peer := newInstance(t), newInstance(t)
	peer.listEngines("lyric-0", "lyric-1")
	for id := range event.RequestID(3) {
		for _, eff := range in.crashesWith(id+1, 1, 2) {
			if ann, ok := eff.(effect.AnnounceQuarantine); ok {
				peer.reduce(ann.Quarantined)
			}
		}
		peer.now = in.now
	}
	assert.Assert(t, peer.isRefusedWith(10, 1, 2))
	assert.Assert(t, !peer.isRefusedWith(11, 1))
}

func TestAnswerEndsDoubtAboutMessage(t *testing.T) {
	// Engines crash for another reason under prompts that share a message. Each time a prompt with the message has been answered since, so that none
	// may be refused for it.
	in := newInstance(t)
	for id := range event.RequestID(5) {
		in.crashesWith(2*id+1, 1, 2)
		sent, ok := find[effect.Send](in.arriveWith(2*id+2, 1, 2))
		if !ok {
			continue
		}
		in.reduce(event.AttemptEnded{ID: 2*id + 2, Attempt: 1, Upstream: sent.Upstreams[0].Name, Result: event.ResultDone})
	}
	assert.Assert(t, !in.isRefusedWith(20, 1, 2))
}
