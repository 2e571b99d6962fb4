package core_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/core"
	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/wire"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// newPeer returns an instance with permits, a pool of three engines and one listed peer. own is its own peer address.
func newPeer(own string) *core.State {
	st := core.New(core.Options{Name: "entry-0", FailureDomain: "a", Seed: 1, Peers: true, Permits: true, Incarnation: 1})
	st.Reduce(start, event.ConfigAccepted{Config: &decl.Config{
		Version:  1,
		Services: map[string]decl.Service{"lyric": {Kind: decl.KindModel, Models: []decl.Model{{Name: "lyric"}}, MemoryTokens: 400_000}},
	}})
	var listed event.UpstreamsListed
	for _, name := range []string{"lyric-0", "lyric-1", "lyric-2"} {
		listed.Upstreams = append(listed.Upstreams, event.Upstream{Name: name, Service: "lyric", Address: name, FailureDomain: "a"})
	}
	st.Reduce(start, listed)
	st.Reduce(start, event.InstancesListed{Instances: []event.Instance{
		{Name: "entry-0", Peer: own, FailureDomain: "a"}, {Name: "entry-1", Peer: "127.0.0.1:2", FailureDomain: "a"},
	}})
	return st
}

// FuzzPeer passes arbitrary messages of peers to the reducer, as the shell does, and advances time after each.
func FuzzPeer(f *testing.F) {
	words := []event.StatusUpdate{{Name: "entry-1", State: event.StatusDead}, {Name: "entry-0", State: event.StatusSuspect, Incarnation: 9}}
	for _, msg := range []wire.Message{
		wire.Probe{From: "entry-1", Peer: "127.0.0.1:2", For: "entry-1", Words: words},
		wire.ProbeAck{From: "entry-1", Seq: 1, Words: words},
		wire.Gossip{Words: words},
		wire.PermitRequest{Request: "r~1", Peer: "127.0.0.1:2", Service: "lyric", FailureDomain: "a", Tokens: 900_000, Wait: time.Second},
		wire.PermitRequest{Request: "r~1", Service: "lyric", FailureDomain: "a", Tokens: -1, Upstreams: []string{"lyric-0", "", "x"}},
		wire.PermitDecision{Request: "~1", Granted: true, Upstreams: []string{"nowhere"}},
		wire.PermitReturn{Request: "r~1", Service: "lyric", FailureDomain: "a"},
		wire.PermitRenew{Requests: []string{"r~1", "r~2"}, Service: "lyric", FailureDomain: "a"},
		wire.PermitStatus{From: "entry-0", Unknown: []string{"~1"}},
	} {
		raw, err := wire.Encode(msg)
		assert.NilError(f, err)
		f.Add(raw, raw)
	}
	f.Fuzz(func(_ *testing.T, first, second []byte) {
		st := newPeer("127.0.0.1:1")
		st.Reduce(start, event.Arrived{ID: 1, Service: "lyric", PromptTokens: 300_000, Idempotent: true, Deadline: start.Add(time.Minute)})
		now := start
		for _, raw := range [][]byte{first, second} {
			if ev := peerEvent(raw); ev != nil {
				st.Reduce(now, ev)
			}
			for range 3 {
				now = now.Add(700 * time.Millisecond)
				st.Reduce(now, event.Ticked{})
			}
		}
	})
}

// peerEvent decodes a peer's message to an event, as the shell does, and returns nil if there is none.
func peerEvent(raw []byte) event.Event {
	msg, err := wire.Decode(raw)
	if err != nil {
		return nil
	}
	ev, _ := wire.Event(msg)
	return ev
}

func TestLongPromptWithoutCoordinator(t *testing.T) {
	// No coordinator of the pool answers, and the instance has no peer address of its own. A long prompt that fits one
	// engine is sent without a permit after a second or two, as the engine itself refuses what it has no room for. One that
	// needs several engines is refused with "not run".
	cases := map[string]struct {
		tokens int64
		sent   bool
	}{"fits one engine": {300_000, true}, "needs several engines": {900_000, false}}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			st := newPeer("")
			now := start
			var sent, refused bool
			look := func(effects []effect.Effect) {
				for _, eff := range effects {
					switch eff := eff.(type) {
					case effect.Send:
						sent = true
					case effect.Finish:
						refused = eff.Refusal.RunState == effect.NotRun
					}
				}
			}
			look(st.Reduce(now, event.Arrived{ID: 1, Service: "lyric", PromptTokens: tc.tokens, Idempotent: true, Deadline: start.Add(10 * time.Minute)}))
			for now.Before(start.Add(5 * time.Second)) {
				now = now.Add(event.TickPeriod)
				look(st.Reduce(now, event.Ticked{}))
			}
			assert.Equal(t, sent, tc.sent)
			assert.Equal(t, refused, !tc.sent)
		})
	}
}
