package core_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/norun"
)

func TestAnnouncedLeavingOutlivesList(t *testing.T) {
	// An engine says in an answer that it leaves; the platform's list shows it as live for a while. Requests go to the other
	// one, also one that was held back just before it was sent.
	in := newInstance(t)
	in.listEngines("lyric-0", "lyric-1")
	sent := only[effect.Send](t, in.arriveLyric(1, 1))
	leaving := sent.Upstreams[0].Name
	in.reduce(event.UpstreamAnnounced{Upstream: leaving, Address: leaving + ":1", Leaving: true})
	in.listEngines("lyric-0", "lyric-1")
	in.reduce(event.AttemptEnded{ID: 1, Attempt: 1, Upstream: leaving, Result: event.ResultHeld, Proof: norun.Unwritten})
	in.now = in.now.Add(10 * time.Millisecond)
	again, ok := find[effect.Send](in.reduce(event.Ticked{}))
	assert.Assert(t, ok, "not sent again")
	assert.Assert(t, again.Upstreams[0].Name != leaving)
	for id := event.RequestID(2); id < 20; id++ {
		sent := only[effect.Send](t, in.arriveLyric(id, byte(id)))
		assert.Assert(t, sent.Upstreams[0].Name != leaving)
	}
}

func TestRestBindsPlacement(t *testing.T) {
	// An engine asks for two seconds of rest. It gets nothing until then, then one request, and the rest of them once that one
	// has its first token.
	in := newInstance(t)
	in.listEngines("lyric-0", "lyric-1")
	in.reduce(event.UpstreamAnnounced{Upstream: "lyric-0", Address: "lyric-0:1", RestUntil: in.now.Add(2 * time.Second)})
	in.reduce(event.UpstreamAnnounced{Upstream: "lyric-0", Address: "lyric-0:1", RestUntil: in.now.Add(time.Second)})
	toResting := func(id event.RequestID) (trial effect.Send, found bool) {
		for range 40 {
			id++
			sent, ok := find[effect.Send](in.arriveLyric(id, byte(id)))
			if ok && sent.Upstreams[0].Name == "lyric-0" {
				return sent, true
			}
			if ok {
				in.reduce(event.AttemptEnded{ID: id, Attempt: 1, Upstream: sent.Upstreams[0].Name, Result: event.ResultDone})
			}
		}
		return effect.Send{}, false
	}
	in.now = in.now.Add(1900 * time.Millisecond)
	in.reduce(event.Ticked{})
	_, found := toResting(100)
	assert.Assert(t, !found, "sent during the rest")
	in.now = in.now.Add(200 * time.Millisecond)
	in.reduce(event.Ticked{})
	trial, found := toResting(200)
	assert.Assert(t, found, "nothing sent after the rest")
	_, found = toResting(300)
	assert.Assert(t, !found, "a second one sent before the first had an answer")
	in.reduce(event.AnswerStarted{ID: trial.ID, Attempt: trial.Attempt})
	_, found = toResting(400)
	assert.Assert(t, found, "nothing sent after the first had its answer")
}

func TestWaitingRequestsAreRefusedWhenAllEnginesLeave(t *testing.T) {
	// A request waits since its attempt was refused, when the last engine says that it leaves. It is refused as not run at once.
	in := newInstance(t)
	in.listEngines("lyric-0")
	only[effect.Send](t, in.arriveLyric(1, 1))
	in.reduce(event.AttemptEnded{ID: 1, Attempt: 1, Upstream: "lyric-0", Result: event.ResultNotRun, Proof: norun.Refused, RetryAfter: time.Second})
	finish, ok := find[effect.Finish](in.reduce(event.UpstreamAnnounced{Upstream: "lyric-0", Address: "lyric-0:1", Leaving: true}))
	assert.Assert(t, ok, "still waiting")
	assert.Equal(t, finish.Refusal.Reason, effect.ReasonNoUpstream)
	assert.Equal(t, finish.Refusal.RunState, effect.NotRun)
	refused := only[effect.Finish](t, in.arriveLyric(2, 2))
	assert.Equal(t, refused.Refusal.Reason, effect.ReasonNoUpstream)
}

func TestAnnouncementOfAnotherAddressIsIgnored(t *testing.T) {
	in := newInstance(t)
	in.listEngines("lyric-0")
	in.reduce(event.UpstreamAnnounced{Upstream: "lyric-0", Address: "elsewhere:1", Leaving: true})
	in.reduce(event.UpstreamAnnounced{Upstream: "unlisted", Address: "lyric-0:1", Leaving: true})
	only[effect.Send](t, in.arriveLyric(1, 1))
}
