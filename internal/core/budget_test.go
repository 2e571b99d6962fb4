package core_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
)

func TestRestartsDoNotRenewTheRetryBudget(t *testing.T) {
	// Six instances restart three times within a window while all engines fail. All of them together may send a tenth of an
	// organisation's requests and sixty retries beyond each request's free ones. A new run does not know what the former one has sent.
	const instances, requests, freeRetries = 6, 20, 2
	var listed []event.Instance
	for i := range instances {
		listed = append(listed, event.Instance{Name: fmt.Sprintf("entry-%d", i)})
	}
	now, charged, arrived := start, 0, 0
	for run := range 4 {
		for i := range instances {
			in := newNamedInstance(t, listed[i].Name)
			age := time.Duration(0)
			if run == 0 {
				// Only the first runs have been there for long.
				age = 20 * time.Second
			}
			for in.now = now.Add(-age); !in.now.After(now); in.now = in.now.Add(time.Second) {
				in.reduce(event.InstancesListed{Instances: listed})
			}
			in.now = now
			for id := range event.RequestID(requests) {
				arrived++
				charged += max(0, in.failAll(id+1)-1-freeRetries)
			}
		}
		now = now.Add(2 * time.Second)
	}
	assert.Assert(t, charged > 30 && charged <= arrived/10+60, "%d retries of %d requests", charged, arrived)
}

// failAll lets all attempts of a request fail without progress, and returns their number.
func (in *instance) failAll(id event.RequestID) int {
	effects := in.arriveLyric(id, byte(id))
	for attempts := 0; ; {
		sent := false
		for _, eff := range effects {
			if send, ok := eff.(effect.Send); ok {
				sent = true
				attempts++
				effects = in.reduce(event.AttemptEnded{ID: id, Attempt: send.Attempt, Upstream: send.Upstreams[0].Name, Result: event.ResultBroken, Alive: true})
				break
			}
		}
		if !sent {
			return attempts
		}
	}
}
