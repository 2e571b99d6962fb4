package core_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/core"
	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/norun"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// newForwarding returns an instance that may pass requests on to another one, before two model engines.
func newForwarding(t *testing.T) *instance {
	in := &instance{t: t, st: core.New(core.Options{Name: "entry-0", FailureDomain: "a", Seed: 1, Forward: true}), now: start}
	in.reduce(event.ConfigAccepted{Config: &decl.Config{
		Version:  1,
		Services: map[string]decl.Service{"lyric": {Kind: decl.KindModel, Models: []decl.Model{{Name: "lyric"}}, MemoryTokens: 400_000}},
	}})
	in.reduce(event.UpstreamsListed{Upstreams: []event.Upstream{
		{Name: "lyric-0", Service: "lyric", Address: "127.0.0.1:1", FailureDomain: "a"},
		{Name: "lyric-1", Service: "lyric", Address: "127.0.0.1:2", FailureDomain: "a"},
	}})
	in.reduce(event.InstancesListed{Instances: []event.Instance{
		{Name: "entry-0", Address: "127.0.0.1:8", FailureDomain: "a"}, {Name: "entry-1", Address: "127.0.0.1:9", FailureDomain: "a"},
	}})
	return in
}

// one returns the only effect of the type.
func one[Effect effect.Effect](t *testing.T, effects []effect.Effect) Effect {
	t.Helper()
	var found []Effect
	for _, eff := range effects {
		if eff, ok := eff.(Effect); ok {
			found = append(found, eff)
		}
	}
	assert.Equal(t, len(found), 1, "%#v", effects)
	return found[0]
}

// losePath makes the attempts of a request fail until it is passed on, and returns the effects of the last failure.
func (in *instance) losePath() []effect.Effect {
	in.t.Helper()
	sent := one[effect.Send](in.t, in.arrive(event.Arrived{Service: "lyric", PromptTokens: 1000, Idempotent: true}))
	again := one[effect.Send](in.t, in.reduce(event.AttemptEnded{ID: 1, Attempt: 1, Upstream: sent.Upstreams[0].Name, Result: event.ResultNotSent, Proof: norun.Unwritten}))
	return in.reduce(event.AttemptEnded{ID: 1, Attempt: 2, Upstream: again.Upstreams[0].Name, Result: event.ResultNotSent, Proof: norun.Unwritten})
}

func TestRequestIsForwardedOnceThePathIsLost(t *testing.T) {
	in := newForwarding(t)
	effects := in.losePath()
	assert.Equal(t, one[effect.Forward](t, effects).To.Name, "entry-1")
	assert.Equal(t, len(in.st.Requests), 0)
	assert.Assert(t, len(one[effect.ProbePaths](t, effects).Addresses) > 0)
	assert.Equal(t, one[effect.Forward](t, in.arrive(event.Arrived{Service: "lyric", PromptTokens: 1000, Idempotent: true})).ID, event.RequestID(1))
}

func TestRequestsAreSentOnceAnUpstreamIsReachedIfNoInstanceTakesThem(t *testing.T) {
	in := newForwarding(t)
	in.losePath()
	in.reduce(event.ForwardFailed{Instance: "entry-1", Service: "lyric"})
	refusal := one[effect.Finish](t, in.arrive(event.Arrived{Service: "lyric", PromptTokens: 1000, Idempotent: true})).Refusal
	assert.Assert(t, refusal.RunState == effect.NotRun && refusal.RetryAfter > 0)
	in.now = in.now.Add(refusal.RetryAfter)
	in.reduce(event.PathObserved{Address: "127.0.0.1:1", Reached: true})
	in.reduce(event.PathObserved{Address: "127.0.0.1:2", Reached: true})
	one[effect.Send](t, in.arrive(event.Arrived{Service: "lyric", PromptTokens: 1000, Idempotent: true}))
}

// newForwardingAmong returns an instance that may pass requests on to the others of a fleet: in its own failure domain, and in two more
// of the same size.
func newForwardingAmong(t *testing.T, domainSize int) *instance {
	in := newForwarding(t)
	var listed []event.Instance
	for i := range 3 * domainSize {
		listed = append(listed, event.Instance{Name: fmt.Sprint("entry-", i), Address: fmt.Sprint("127.0.0.1:", 100+i), FailureDomain: string(rune('a' + i/domainSize))})
	}
	in.reduce(event.InstancesListed{Instances: listed})
	return in
}

func TestForwardingRemembersWhoHasNoPath(t *testing.T) {
	// A whole failure domain has lost its path. With few requests at an instance, each must not ask all of the domain again.
	in := newForwardingAmong(t, 20)
	in.losePath()
	var refusals []int
	for range 100 {
		asked := 0
		for {
			to := one[effect.Forward](t, in.arrive(event.Arrived{Service: "lyric", PromptTokens: 1000, Idempotent: true})).To
			if to.FailureDomain != "a" {
				in.reduce(event.ForwardTaken{Instance: to.Name, Service: "lyric"})
				break
			}
			asked++
			in.reduce(event.ForwardFailed{Instance: to.Name, Service: "lyric", NoPath: true})
		}
		refusals = append(refusals, asked)
		in.now = in.now.Add(700 * time.Millisecond)
	}
	slices.Sort(refusals)
	assert.Assert(t, refusals[95] <= 3, "%v", refusals)
}

func TestCallersAreRefusedAtOnceIfNoInstanceTakesRequests(t *testing.T) {
	in := newForwardingAmong(t, 1)
	in.losePath()
	for _, name := range []string{"entry-1", "entry-2"} {
		in.reduce(event.ForwardFailed{Instance: name, Service: "lyric", NoPath: true})
	}
	refusal := one[effect.Finish](t, in.arrive(event.Arrived{Service: "lyric", PromptTokens: 1000, Idempotent: true})).Refusal
	assert.Equal(t, refusal.RunState, effect.NotRun)
	assert.Assert(t, refusal.RetryAfter > 0)
}

func TestPathIsRegainedByProbes(t *testing.T) {
	in := newForwarding(t)
	in.losePath()
	in.now = in.now.Add(500 * time.Millisecond)
	in.reduce(event.PathObserved{Address: "127.0.0.1:1", Reached: true})
	in.reduce(event.PathObserved{Address: "127.0.0.1:2", Reached: true})
	one[effect.Send](t, in.arrive(event.Arrived{Service: "lyric", PromptTokens: 1000, Idempotent: true}))
}

func TestRequestThatMayHaveRunIsNotForwarded(t *testing.T) {
	// The first attempt may have run. The other instance would answer "not run" for it if it can't serve it.
	in := newForwarding(t)
	sent := one[effect.Send](t, in.arrive(event.Arrived{Service: "lyric", PromptTokens: 1000, Idempotent: true}))
	effects := in.reduce(event.AttemptEnded{ID: 1, Attempt: 1, Upstream: sent.Upstreams[0].Name, Result: event.ResultFailed, Alive: true})
	for attempt := 2; attempt < 5; attempt++ {
		for _, eff := range effects {
			_, forwarded := eff.(effect.Forward)
			assert.Assert(t, !forwarded)
		}
		var again *effect.Send
		for _, eff := range effects {
			if eff, ok := eff.(effect.Send); ok {
				again = &eff
			}
		}
		if again == nil {
			break
		}
		effects = in.reduce(event.AttemptEnded{ID: 1, Attempt: attempt, Upstream: again.Upstreams[0].Name, Result: event.ResultNotSent, Proof: norun.Unwritten})
	}
	finish := one[effect.Finish](t, effects)
	assert.Equal(t, finish.Refusal.RunState, effect.Unknown)
}

func TestUpstreamsOfOneFailureDomainThatAreDownAreNoLostPath(t *testing.T) {
	// Two of three failure domains respond to no instance. Requests must go to the third one and not through other instances, which do not
	// reach more upstreams. An instance that reaches none of the three must still pass its requests on.
	for name, reached := range map[string]bool{"the third is reached": true, "none is reached": false} {
		t.Run(name, func(t *testing.T) {
			in := newForwarding(t)
			var listed []event.Upstream
			for i := range 9 {
				listed = append(listed, event.Upstream{Name: fmt.Sprint("lyric-", i), Service: "lyric", Address: fmt.Sprint("127.0.0.1:", i), FailureDomain: string(rune('a' + i%3))})
			}
			in.reduce(event.UpstreamsListed{Upstreams: listed})
			probed, forwarded := 0, 0
			for i := range 20 {
				effects := slices.Clone(in.reduce(event.Ticked{}))
				effects = append(effects, in.reduce(event.Arrived{ID: event.RequestID(i + 1), Deadline: in.now.Add(10 * time.Second), Service: "lyric", PromptTokens: 1000, Idempotent: true})...)
				for len(effects) > 0 {
					var next []effect.Effect
					for _, eff := range effects {
						switch eff := eff.(type) {
						case effect.Send:
							up := eff.Upstreams[0]
							result, proof := event.ResultNotSent, norun.Unwritten
							if reached && up.FailureDomain == "c" {
								result, proof = event.ResultDone, norun.None
							}
							next = append(next, in.reduce(event.AttemptEnded{ID: eff.ID, Attempt: eff.Attempt, Upstream: up.Name, Result: result, Proof: proof})...)
						case effect.ProbePaths:
							for _, address := range eff.Addresses {
								probed++
								number := slices.IndexFunc(listed, func(up event.Upstream) bool { return up.Address == address })
								next = append(next, in.reduce(event.PathObserved{Address: address, Reached: reached && listed[number].FailureDomain == "c"})...)
							}
						case effect.Forward:
							forwarded++
						}
					}
					effects = next
				}
				in.now = in.now.Add(100 * time.Millisecond)
			}
			t.Logf("forwarded %d, probed %d", forwarded, probed)
			assert.Assert(t, (forwarded == 0) == reached, "forwarded: %d", forwarded)
			assert.Assert(t, probed <= 40, "probed: %d", probed)
		})
	}
}
