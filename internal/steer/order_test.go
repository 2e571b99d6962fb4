package steer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

func TestEffectsFollowFromEventsAlone(t *testing.T) {
	// The same events must give the same effects in the same order. If they followed the order of a walk over a map, a run could
	// not be repeated: here in load queries of many services, at the end of a drain, when replicas are gone and when instances
	// fall silent.
	run := func() string {
		routing := &decl.Routing{Version: 1, Services: map[string]decl.Pool{}}
		var list []steer.Replica
		for i := range 12 {
			service := fmt.Sprint("service-", i)
			routing.Services[service] = decl.Pool{Engine: &figures}
			list = append(list, steer.Replica{Name: fmt.Sprint("engine-", i), Born: 1, Service: service, Address: fmt.Sprint("a", i), FailureDomain: "a", Slots: 64})
		}
		in := &instance{t: t, now: start, st: steer.New(steer.Options{Name: "one", FailureDomain: "a", Run: 1, Seed: 1, MissingTime: time.Second})}
		text := ""
		apply := func(ev steer.Event) {
			for _, eff := range in.st.Reduce(in.now, ev) {
				if line, ok := eff.(steer.LogLine); ok {
					// Its outcome is a pointer.
					line.End = nil
					eff = line
				}
				if fin, ok := eff.(steer.Finish); ok {
					fin.Refusal = nil
					eff = fin
				}
				text += fmt.Sprintf("%+v\n", eff)
			}
		}
		apply(steer.Configured{Routing: routing})
		apply(steer.Listed{Replicas: list})
		for i := range 8 {
			in.now = in.now.Add(20 * time.Millisecond)
			note := steer.Note{From: fmt.Sprint("peer-", i), Run: 1}
			for id := range 6 {
				note.Jobs = append(note.Jobs, steer.Job{ID: steer.JobID(id), Replicas: []string{"engine-0"}, Prompt: 20_000, Goal: 300})
			}
			apply(steer.NoteReceived{Note: note})
			apply(steer.Ticked{})
		}
		route := short
		for id := range 12 {
			route.Shares = []decl.Share{{Service: fmt.Sprint("service-", id%3), Weight: 1}}
			apply(steer.Arrived{ID: steer.RequestID(id + 1), Route: &route, Name: "request", Prompt: 5000, Deadline: in.now.Add(time.Minute), LeavesAt: in.now.Add(time.Minute)})
		}
		apply(steer.Draining{RefuseWaitingAt: in.now.Add(time.Hour), AbortAt: in.now})
		apply(steer.Ticked{})
		apply(steer.Listed{Replicas: list[:1], AfterOutage: true})
		in.now = in.now.Add(6 * time.Second)
		apply(steer.Ticked{})
		apply(steer.Listed{Replicas: nil})
		return text
	}
	first := run()
	for range 10 {
		assert.Equal(t, run(), first)
	}
}
