package steer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/steer"
)

func TestLongRunningInstanceIgnoresLoadReports(t *testing.T) {
	// A new instance joins others that have run for long. Their notes are late, so it takes them for dead, queries the engines
	// and announces the reported load. The others already count that load: counted twice, the engines look full, and callers
	// are refused for four seconds while half of the slots are free.
	in := newInstance(t, "one", 1)
	in.advance(10 * time.Second)
	work := steer.Note{From: "two", Run: 1, UptimeMs: 9000}
	for id := range 9 {
		work.Jobs = append(work.Jobs, steer.Job{ID: steer.JobID(id), Replicas: []string{"lyric-0"}, Prompt: 1000, Goal: 300, Gap: 250, Begun: true})
	}
	in.reduce(steer.NoteReceived{Note: work})
	in.reduce(steer.NoteReceived{Note: loadReportNote(9)})
	in.waitForSend(time.Millisecond, in.arrive(&short, 2000))
}

func TestLoadReportsAreDroppedOnceOlderPeerIsKnown(t *testing.T) {
	// A new instance has queried the engines for their load. Then it receives a note from a longer-running instance, which
	// announces the same load. The load from the reports must not count any longer, or it would count twice.
	in := newInstance(t, "one", 1)
	in.advance(time.Millisecond)
	in.reduce(steer.LoadReported{Replica: "lyric-0", Running: 16, Used: 90_000})
	none[steer.Send](t, in.arrive(&short, 2000))
	in.reduce(steer.NoteReceived{Note: steer.Note{From: "two", Run: 1, UptimeMs: 60_000, Full: true}})
	sent := in.waitForSend(20*time.Millisecond, in.advance(10*time.Millisecond))
	assert.Equal(t, sent.Replica.Name, "lyric-0")
}

// loadReportNote returns a note by which a new instance announces that the only engine reported the given number of
// requests.
func loadReportNote(running int) steer.Note {
	nt := steer.Note{From: "survey/lyric-0", Run: 7, UptimeMs: 400, Full: true}
	for id := range running {
		nt.OpenJobs = append(nt.OpenJobs, steer.JobID(id))
		nt.Jobs = append(nt.Jobs, steer.Job{ID: steer.JobID(id), Replicas: []string{"lyric-0"}, Prompt: 1000, Begun: true})
	}
	return nt
}
