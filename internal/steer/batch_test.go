package steer

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

var batchRoute = decl.Route{
	Name: "short", Shares: []decl.Share{{Service: "lyric", Weight: 1}}, Stream: true, Repeats: decl.RetryResumed,
	Timeout: decl.Duration(10 * time.Second), Goal: decl.Duration(400 * time.Millisecond), Gap: decl.Duration(300 * time.Millisecond), Attempts: 2,
}

// arrival returns a request with the ID and a prompt of so many tokens.
func arrival(now time.Time, id RequestID, prompt int64) Arrived {
	return Arrived{ID: id, Route: &batchRoute, Prompt: prompt, Answer: 100, Digest: Digest(id), Deadline: now.Add(10 * time.Second), LeavesAt: now.Add(2 * time.Second)}
}

// sentNotes returns the notes to other instances among the effects of the event.
func sentNotes(st *State, now time.Time, ev Event) []SendNote {
	var found []SendNote
	for _, eff := range st.Reduce(now, ev) {
		if eff, ok := eff.(SendNote); ok {
			found = append(found, eff)
		}
	}
	return found
}

func TestMessagesOfARequestDoNotGrowWithTheFleet(t *testing.T) {
	// Guards against notes to all instances about each request's start, first event and end: with 195 instances that is
	// 580 datagrams a request, which take the fleet more processor time than the requests. A request is announced only
	// to the instances that use its replica's subset, at most three times.
	st := fleet{195, 112, 5}.instance(3)
	now := fleetStart
	datagrams := 0
	count := func(list []SendNote) {
		for _, sent := range list {
			assert.Assert(t, sent.To != nil)
			datagrams += len(sent.To)
		}
	}
	count(sentNotes(st, now, arrival(now, 1, 5000)))
	now = now.Add(150 * time.Millisecond)
	count(sentNotes(st, now, Ticked{}))
	count(sentNotes(st, now, Began{ID: 1, Attempt: 1}))
	now = now.Add(time.Second)
	count(sentNotes(st, now, Ticked{}))
	count(sentNotes(st, now, AttemptEnded{ID: 1, Attempt: 1, Result: ResultDone, Begun: true}))
	count(sentNotes(st, now.Add(time.Second), Ticked{}))
	assert.Assert(t, datagrams >= 3*30 && datagrams <= 3*38, datagrams)
}

func TestChangesAreBatched(t *testing.T) {
	// An instance takes hundreds of requests a second, each of which dozens of others must learn of. Guards against
	// messages that grow with the number of changes. The first changes are sent at once; beyond the message rate several
	// are sent in one note, with their times as of then. Over a second the rate holds for any number of changes, except
	// for claims, which are never delayed.
	st := fleet{195, 112, 5}.instance(3)
	messages, jobs, largest := 0, 0, 0
	assert.Equal(t, len(sentNotes(st, fleetStart, arrival(fleetStart, 1, 1000))), 1)
	for id := range RequestID(500) {
		now := fleetStart.Add(time.Duration(id+1) * 2 * time.Millisecond)
		for _, sent := range append(sentNotes(st, now, Ticked{}), sentNotes(st, now, arrival(now, id+2, 1000))...) {
			if !slices.ContainsFunc(sent.Note.Jobs, func(job Job) bool { return job.Claim }) {
				messages += len(sent.To)
			}
			jobs += len(sent.Note.Jobs)
			largest = max(largest, len(sent.Note.Jobs))
			if len(sent.Note.Jobs) > 1 {
				oldest := sent.Note.Jobs[0]
				arrivedAt := fleetStart.Add(time.Duration(oldest.ID/jobsPerRequest-1) * 2 * time.Millisecond)
				assert.Assert(t, oldest.Age > 0 && oldest.Goal == 400-millis(now.Sub(arrivedAt)), oldest)
			}
		}
	}
	assert.Assert(t, largest > 5 && jobs > 300, "%d together, %d in all", largest, jobs)
	assert.Assert(t, messages <= 1.2*messageRate, messages)
}

func TestUrgentChangesAreNotDelayed(t *testing.T) {
	// Guards against two long reads at one engine and a slot that is taken twice: a long read keeps its engine from all
	// others, and a claim must be known before the slot is taken. Delayed by batching, both notes would come too late.
	cases := map[string]struct {
		instances int
		engines   int
		prompt    int64
		claim     bool
	}{
		"a long read":              {195, 112, 220_000, false},
		"a claim on a scarce slot": {40, 1, 5000, true},
		"a request for a slot":     {195, 1, 5000, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			st := fleet{tc.instances, tc.engines, 5}.instance(3)
			for id := range RequestID(14) {
				if tc.claim {
					st.Reduce(fleetStart, arrival(fleetStart, 100+id, 100))
				}
			}
			sent := sentNotes(st, fleetStart, arrival(fleetStart, 1, tc.prompt))
			assert.Assert(t, len(sent) == 1, sent)
			if tc.claim && tc.instances > minSlotUsers {
				assert.Assert(t, len(sent[0].Note.SlotRequests) > 0 && len(sent[0].To) == 1, sent)
				return
			}
			assert.Assert(t, len(sent[0].Note.Jobs) > 0, sent)
		})
	}
}

func TestDelayedBeginDoesNotMoveThePass(t *testing.T) {
	// An answer's begin shows where its engine is in its passes only if it is received at once. Guards against a delayed
	// note that starts a pass which began long ago, so that the next request is sent to an engine that is not free.
	st := fleet{2, 1, 1}.instance(0)
	job := Job{ID: 1, Replicas: []string{"engine-0"}, Prompt: 5000, Goal: 400, Gap: 300}
	st.Reduce(fleetStart, NoteReceived{Note: Note{From: "instance-1", Run: 1, Jobs: []Job{job}}})
	before := st.replicas["engine-0"].passes
	now := fleetStart.Add(20 * time.Millisecond)
	st.Reduce(now, NoteReceived{Note: Note{From: "instance-1", Run: 1, Begun: []JobID{1}, BegunAge: 15}})
	assert.Equal(t, st.replicas["engine-0"].passes, before)
	assert.Assert(t, st.replicas["engine-0"].works[0].begun)
}

func TestStartsOnLastSlotsExceedTheMessageRate(t *testing.T) {
	// Guards against delayed notes about starts that take an engine's last slots: instances that do not know of each
	// other's starts fill the same engine beyond its slots, and the last requests wait there until an answer ends. In larger
	// fleets the slots are asked for.
	st := fleet{minSlotUsers, 54, 3}.instance(3)
	now := fleetStart
	note := Note{From: "instance-4", Run: 1}
	for _, rep := range st.services["lyric"].replicas {
		for range rep.Slots - contendedSlots + 1 {
			note.Jobs = append(note.Jobs, Job{
				ID: JobID(len(note.Jobs)), Replicas: []string{rep.Name}, Prompt: 1000, Answer: 100, Goal: 400, Gap: 300, Value: 1, Begun: true,
			})
		}
	}
	st.Reduce(now, NoteReceived{Note: note})
	for id := range RequestID(2) {
		now = now.Add(5 * time.Millisecond)
		sent := sentNotes(st, now, arrival(now, id+1, 1000))
		assert.Equal(t, len(sent), 1, "start %d", id)
		assert.Equal(t, len(sent[0].Note.Jobs), 1)
	}
}
