package core_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
)

// isQuarantined reports whether a request with the content is refused as quarantined.
func (in *instance) isQuarantined(id event.RequestID, content byte) bool {
	fin, ok := find[effect.Finish](in.arriveLyric(id, content))
	return ok && fin.Refusal != nil && fin.Refusal.Reason == effect.ReasonQuarantine
}

// crashes sends a request with the content and reports that the engine that runs it crashed.
func (in *instance) crashes(id event.RequestID, content byte) []effect.Effect {
	sent := only[effect.Send](in.t, in.arriveLyric(id, content))
	return in.reduce(event.AttemptEnded{ID: id, Attempt: 1, Upstream: sent.Upstreams[0].Name, Result: event.ResultFailed})
}

func TestPeerWithFewerDeathsDoesNotLiftQuarantine(t *testing.T) {
	// Two engines crashed while they ran the content. A peer has seen one of the crashes only, but later. Its report must not
	// replace what is known here, or the next resend crashes a third engine.
	in := newInstance(t)
	digest := event.Digest{7}
	in.reduce(event.QuarantineReported{Digest: digest, Deaths: 2, Until: in.now.Add(5 * time.Minute)})
	in.reduce(event.QuarantineReported{Digest: digest, Deaths: 1, Until: in.now.Add(10 * time.Minute)})
	assert.Assert(t, in.isQuarantined(1, 7))
}

func TestDeathsOfExpiredSuspicionDoNotCount(t *testing.T) {
	// An engine crashed with the content in flight, and the time for which that makes it suspect is over. Another crash must
	// not quarantine it: two crashes in hours do not show that the content causes them.
	in := newInstance(t)
	in.listEngines("lyric-0", "lyric-1")
	in.crashes(1, 7)
	in.reduce(event.CallerGone{ID: 1})
	in.now = in.now.Add(11 * time.Minute)
	in.listEngines("lyric-2", "lyric-3")
	in.crashes(2, 7)
	assert.Assert(t, !in.isQuarantined(3, 7))
}

func TestQueuedRequestIsRefusedOnceQuarantined(t *testing.T) {
	// A request waits for an engine while its content is quarantined because of crashes at a peer. It must be refused, not sent
	// to the first engine that has room.
	in := newInstance(t)
	in.listEngines("lyric-0")
	arrive := func(id event.RequestID, content byte) []effect.Effect {
		return in.reduce(event.Arrived{
			ID: id, Service: "lyric", PromptTokens: 300_000, Idempotent: true, Digest: event.Digest{content}, Deadline: in.now.Add(10 * time.Second),
		})
	}
	only[effect.Send](t, arrive(1, 1))
	_, sent := find[effect.Send](arrive(2, 7))
	assert.Assert(t, !sent, "the engine's memory is full")
	in.reduce(event.QuarantineReported{Digest: event.Digest{7}, Deaths: 2, Until: in.now.Add(30 * time.Minute)})
	effects := in.reduce(event.AttemptEnded{ID: 1, Attempt: 1, Upstream: "lyric-0", Result: event.ResultDone})
	_, sent = find[effect.Send](effects)
	assert.Assert(t, !sent)
	fin, ok := find[effect.Finish](slices.DeleteFunc(effects, func(eff effect.Effect) bool {
		end, ok := eff.(effect.Finish)
		return ok && end.ID == 1
	}))
	assert.Assert(t, ok)
	assert.Equal(t, fin.Refusal.Reason, effect.ReasonQuarantine)
	assert.Equal(t, fin.Refusal.RunState, effect.NotRun)
}

func TestCopiesOfSuspectContentRunOneAtATime(t *testing.T) {
	// A caller sends three copies of a request that crashes engines, and the engine with all of them crashes. If all were retried
	// at once on other engines, each would take one more down. One of them shows what the content does.
	in := newInstance(t)
	in.listEngines("lyric-0")
	for id := range event.RequestID(3) {
		only[effect.Send](t, in.arriveLyric(id+1, 7))
	}
	in.listEngines("lyric-0", "lyric-1", "lyric-2", "lyric-3")
	var retried []effect.Send
	for id := range event.RequestID(3) {
		effects := in.reduce(event.AttemptEnded{ID: id + 1, Attempt: 1, Upstream: "lyric-0", Result: event.ResultFailed})
		if again, ok := find[effect.Send](effects); ok {
			retried = append(retried, again)
		}
	}
	assert.Equal(t, len(retried), 1)
	in.now = in.now.Add(3 * time.Second)
	in.reduce(event.Ticked{})
	refused := in.reduce(event.AttemptEnded{ID: retried[0].ID, Attempt: 2, Upstream: retried[0].Upstreams[0].Name, Result: event.ResultFailed})
	for range 10 {
		in.now = in.now.Add(100 * time.Millisecond)
		refused = append(refused, in.reduce(event.Ticked{})...)
	}
	_, sent := find[effect.Send](refused)
	assert.Assert(t, !sent)
	assert.Equal(t, len(in.st.Requests), 0)
}

func TestPeerThatReturnsIsSentTheDeaths(t *testing.T) {
	// A peer is cut off while two engines crash under one content. When it is in the list of instances again, it must be sent
	// the deaths: it would run the content, and crash one more engine for each of its own.
	in := newInstance(t)
	in.listEngines("lyric-0", "lyric-1", "lyric-2")
	self := event.Instance{Name: "entry-0", Peer: "127.0.0.1:10", FailureDomain: "a"}
	peer := event.Instance{Name: "entry-1", Peer: "127.0.0.1:11", FailureDomain: "a"}
	in.reduce(event.InstancesListed{Instances: []event.Instance{self, peer}})
	in.reduce(event.InstancesListed{Instances: []event.Instance{self}})
	in.crashes(1, 7)
	effects := in.reduce(event.InstancesListed{Instances: []event.Instance{self, peer}})
	sent, ok := find[effect.SendQuarantine](effects)
	assert.Assert(t, ok)
	assert.Equal(t, sent.To, peer.Peer)
	assert.Equal(t, len(sent.Entries), 1)
	_, ok = find[effect.SendQuarantine](in.reduce(event.InstancesListed{Instances: []event.Instance{self, peer}}))
	assert.Assert(t, !ok, "it is sent once")
}

func TestAnswerFromBeforeAStandstillDoesNotEndTheWaitAfterIt(t *testing.T) {
	// On a machine that is too busy, the process stands still, asks a peer, and stands still again. The answer to the first
	// request, which tells nothing of what happened during the second standstill, must not end the wait after that.
	in := newInstance(t)
	first := only[effect.RequestQuarantine](t, in.reduce(event.StoodStill{Gap: time.Second}))
	second := only[effect.RequestQuarantine](t, in.reduce(event.StoodStill{Gap: time.Second}))
	_, sent := find[effect.Send](in.arriveLyric(1, 7))
	assert.Assert(t, !sent)
	_, sent = find[effect.Send](in.reduce(event.QuarantineReceived{Standstill: first.Standstill}))
	assert.Assert(t, !sent)
	_, sent = find[effect.Send](in.reduce(event.QuarantineReceived{Standstill: second.Standstill}))
	assert.Assert(t, sent)
}
