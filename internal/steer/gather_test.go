package steer

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

var gatherRoute = decl.Route{
	Name: "short", Shares: []decl.Share{{Service: "lyric", Weight: 1}}, Stream: true, Repeats: decl.RepeatsResumed,
	Timeout: decl.Duration(10 * time.Second), Goal: decl.Duration(400 * time.Millisecond), Gap: decl.Duration(300 * time.Millisecond), Attempts: 2,
}

// arrival is a request of the number with a prompt of so many tokens.
func arrival(now time.Time, id RequestID, prompt int64) Arrived {
	return Arrived{ID: id, Route: &gatherRoute, Prompt: prompt, Answer: 100, Digest: Digest(id), Deadline: now.Add(10 * time.Second), Patience: now.Add(2 * time.Second)}
}

// tells returns the messages to other instances among the effects of the event.
func tells(st *State, now time.Time, ev Event) []Tell {
	var found []Tell
	for _, eff := range st.Reduce(now, ev) {
		if eff, ok := eff.(Tell); ok {
			found = append(found, eff)
		}
	}
	return found
}

func TestMessagesOfARequestDoNotGrowWithTheFleet(t *testing.T) {
	// Each of 195 instances told all others of each request's start, first event and end: 580 datagrams a request, of which
	// the whole fleet's processors had more work than of the requests. A request is told to those that use its replica's
	// subset, three times at the most.
	st := fleet{195, 112, 5}.instance(3)
	now := fleetStart
	datagrams := 0
	count := func(list []Tell) {
		for _, tell := range list {
			assert.Assert(t, tell.To != nil)
			datagrams += len(tell.To)
		}
	}
	count(tells(st, now, arrival(now, 1, 5000)))
	now = now.Add(150 * time.Millisecond)
	count(tells(st, now, Ticked{}))
	count(tells(st, now, Began{ID: 1, Attempt: 1}))
	now = now.Add(time.Second)
	count(tells(st, now, Ticked{}))
	count(tells(st, now, AttemptEnded{ID: 1, Attempt: 1, Result: ResultDone, Begun: true}))
	count(tells(st, now.Add(time.Second), Ticked{}))
	assert.Assert(t, datagrams >= 3*30 && datagrams <= 3*38, datagrams)
}

func TestChangesGoOutTogether(t *testing.T) {
	// An instance takes hundreds of requests a second, each of which dozens of others must hear. The first changes go out at
	// once; beyond what it may send, several go out as one message, with the times as they are by then. Over a second it sends
	// no more messages than it may, however many changes there are, but for the claims, which cannot wait.
	st := fleet{195, 112, 5}.instance(3)
	messages, jobs, together := 0, 0, 0
	assert.Equal(t, len(tells(st, fleetStart, arrival(fleetStart, 1, 1000))), 1)
	for id := range RequestID(500) {
		now := fleetStart.Add(time.Duration(id+1) * 2 * time.Millisecond)
		for _, tell := range append(tells(st, now, Ticked{}), tells(st, now, arrival(now, id+2, 1000))...) {
			if !slices.ContainsFunc(tell.Note.Jobs, func(job Job) bool { return job.Claim }) {
				messages += len(tell.To)
			}
			jobs += len(tell.Note.Jobs)
			together = max(together, len(tell.Note.Jobs))
			if len(tell.Note.Jobs) > 1 {
				oldest := tell.Note.Jobs[0]
				assert.Assert(t, oldest.Age > 0 && oldest.Goal+oldest.Age == 400, oldest)
			}
		}
	}
	assert.Assert(t, together > 5 && jobs > 300, "%d together, %d in all", together, jobs)
	assert.Assert(t, messages <= 1.2*messageRate, messages)
}

func TestWhatOthersNeedAtOnceIsNotKept(t *testing.T) {
	// A long read keeps its engine from all others, and a claim must be heard before the slot is taken. Kept for a moment,
	// both would come too late: two long reads meet at one engine, and a slot is taken twice.
	cases := map[string]struct {
		engines int
		prompt  int64
		claim   bool
	}{
		"a long read":             {112, 220_000, false},
		"a claim on a scarce one": {1, 5000, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			st := fleet{195, tc.engines, 5}.instance(3)
			for id := range RequestID(14) {
				if tc.claim {
					st.Reduce(fleetStart, arrival(fleetStart, 100+id, 100))
				}
			}
			told := tells(st, fleetStart, arrival(fleetStart, 1, tc.prompt))
			assert.Assert(t, len(told) == 1 && len(told[0].Note.Jobs) > 0, told)
		})
	}
}

func TestLateNewsOfABeginMovesNoPass(t *testing.T) {
	// An answer's begin tells where its engine is in its passes, if it is heard at once. Heard later it would let a pass
	// begin that began long ago, and the next request be sent to an engine that is not free.
	st := fleet{2, 1, 1}.instance(0)
	job := Job{ID: 1, Replicas: []string{"engine-0"}, Prompt: 5000, Goal: 400, Gap: 300}
	st.Reduce(fleetStart, Heard{Note: Note{From: "instance-1", Run: 1, Jobs: []Job{job}}})
	before := st.replicas["engine-0"].passes
	now := fleetStart.Add(20 * time.Millisecond)
	st.Reduce(now, Heard{Note: Note{From: "instance-1", Run: 1, Begun: []JobID{1}, BegunAge: 15}})
	assert.Equal(t, st.replicas["engine-0"].passes, before)
	assert.Assert(t, st.replicas["engine-0"].works[0].begun)
}

func TestLastSlotsAreToldAheadOfTheAllowance(t *testing.T) {
	// Guards against starts that are kept while an engine's last slots are taken: instances that had not heard of each other
	// filled the same engine beyond its slots, and what came last waited there until an answer ended.
	st := fleet{88, 54, 3}.instance(3)
	now := fleetStart
	note := Note{From: "instance-4", Run: 1}
	for _, rep := range st.services["lyric"].replicas {
		for range rep.Slots - contendedSlots + 1 {
			note.Jobs = append(note.Jobs, Job{
				ID: JobID(len(note.Jobs)), Replicas: []string{rep.Name}, Prompt: 1000, Answer: 100, Goal: 400, Gap: 300, Value: 1, Begun: true,
			})
		}
	}
	st.Reduce(now, Heard{Note: note})
	for id := range RequestID(2) {
		now = now.Add(5 * time.Millisecond)
		sent := tells(st, now, arrival(now, id+1, 1000))
		assert.Equal(t, len(sent), 1, "start %d", id)
		assert.Equal(t, len(sent[0].Note.Jobs), 1)
	}
}
