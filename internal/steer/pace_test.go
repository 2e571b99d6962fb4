package steer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// streaming returns one of two instances, an engine at which a stream of it writes, and the time.
func streaming(t *testing.T) (*State, *replica, time.Time) {
	st := fleet{2, 3, 1}.instance(0)
	now := fleetStart
	st.Reduce(now, arrival(now, 1, 5000))
	req := st.requests[1]
	assert.Assert(t, req != nil && req.running)
	now = now.Add(50 * time.Millisecond)
	st.Reduce(now, Began{ID: 1, Attempt: 1})
	return st, req.reps[0], now
}

// declared is how long a pass of the engine should take.
func declared(st *State, rep *replica) time.Duration {
	eng := st.serviceOf(rep.Service).engine
	writers, contexts := rep.writing(true)
	return duration(float64(eng.Stride) * eng.StepTime(writers, contexts))
}

func TestSlowEngineIsDetectedDuringStreams(t *testing.T) {
	// An engine becomes four times slower without going down, which each event of a stream shows. Guards against
	// detecting it at the end of a stream only, seconds later: until then all requests would be sent to it and pause for
	// longer than was promised. The other instances that use the engine are informed.
	st, rep, now := streaming(t)
	pass := 4 * declared(st, rep)
	var announced []Pace
	for range 6 {
		now = now.Add(pass)
		for _, sent := range sentNotes(st, now, Progressed{ID: 1, Attempt: 1, Pause: pass}) {
			announced = append(announced, sent.Note.Paces...)
		}
	}
	assert.Assert(t, rep.slow > 3 && rep.slow <= 4, rep.slow)
	assert.Assert(t, len(announced) > 1 && announced[0].Replica == rep.Name)
	other := fleet{2, 3, 1}.instance(1)
	other.Reduce(now, NoteReceived{Note: Note{From: "instance-0", Run: 1, Paces: announced}})
	assert.Assert(t, other.replicas[rep.Name].slow > 2)
	for id := range RequestID(3) {
		st.Reduce(now, arrival(now, 10+id, 5000))
		assert.Assert(t, st.requests[10+id].reps[0] != rep)
	}
}

func TestPassThatReadsIsNotTakenForSlowness(t *testing.T) {
	// A prompt is read while streams are written, and the pass takes three times as long. Guards against taking that for
	// a slow engine, which would be avoided although it does what it declares.
	st, rep, now := streaming(t)
	job := Job{ID: 1, Replicas: []string{rep.Name}, Prompt: 20_000, Goal: 400, Gap: 300}
	pass := declared(st, rep)
	st.Reduce(now, NoteReceived{Note: Note{From: "instance-1", Run: 1, Jobs: []Job{job}}})
	now = now.Add(pass)
	st.Reduce(now, Progressed{ID: 1, Attempt: 1, Pause: pass})
	now = now.Add(3 * pass)
	st.Reduce(now.Add(-time.Millisecond), Ticked{})
	st.Reduce(now, Progressed{ID: 1, Attempt: 1, Pause: 3 * pass})
	assert.Equal(t, rep.slow, 1.0)
}

func TestUnobservedSlownessDecays(t *testing.T) {
	// An engine was slow, and therefore nobody uses it. Guards against avoiding it for ever: only a request can show
	// that it has recovered, so the slowdown is reduced step by step until the engine is tried.
	st := fleet{2, 3, 1}.instance(0)
	rep := st.replicas["engine-0"]
	st.Reduce(fleetStart, NoteReceived{Note: Note{From: "instance-1", Run: 1, Paces: []Pace{{Replica: rep.Name, Times: 5}}}})
	now := fleetStart
	for range 6 {
		now = now.Add(paceDecayInterval + time.Second)
		st.Reduce(now, arrival(now, RequestID(now.Unix()), 5000))
	}
	assert.Assert(t, rep.slow < 1.1, rep.slow)
}

func TestPaceFromTheNetworkIsBounded(t *testing.T) {
	// Guards against arbitrary values in packets: a pace of zero would make an engine look free, a huge one would keep
	// it from being used ever again.
	for name, times := range map[string]float32{"none": 0, "below zero": -3, "endless": 1e30} {
		t.Run(name, func(t *testing.T) {
			st := fleet{2, 3, 1}.instance(0)
			st.Reduce(fleetStart, NoteReceived{Note: Note{From: "instance-1", Run: 1, Paces: []Pace{{Replica: "engine-0", Times: times}, {Replica: "unknown", Times: 2}}}})
			slow := st.replicas["engine-0"].slow
			assert.Assert(t, slow >= 1 && slow <= maxSlow)
		})
	}
}
