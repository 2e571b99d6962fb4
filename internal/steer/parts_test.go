package steer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/steer"
)

const (
	firstPart steer.Part = 1
	crashPart steer.Part = 2
)

// arriveWith submits a short prompt of the organisation with the parts, of a content of its own.
func (in *instance) arriveWith(organisation string, parts ...steer.Part) []steer.Effect {
	in.next++
	return in.reduce(steer.Arrived{
		ID: in.next, Route: &short, Name: "request", Organisation: organisation, Prompt: 5000, Answer: 1000, Digest: steer.Digest(in.next), Parts: parts,
		Deadline: in.now.Add(short.Timeout.Std()), LeavesAt: in.now.Add(2 * time.Second),
	})
}

// crashWith submits a prompt with the parts, ends the attempt with a crash of its replica and lets the caller leave, and returns the effects of
// the crash. Another replica takes the place of the one that has crashed.
func (in *instance) crashWith(organisation string, parts ...steer.Part) []steer.Effect {
	sent := find[steer.Send](in.t, in.arriveWith(organisation, parts...))
	effects := append([]steer.Effect(nil), in.crash(sent)...)
	in.reduce(steer.CallerGone{ID: sent.ID})
	for _, eff := range effects {
		if again, ok := eff.(steer.Send); ok {
			in.reduce(steer.AttemptEnded{ID: again.ID, Attempt: again.Attempt, Result: steer.ResultCancelled})
		}
	}
	in.advance(800 * time.Millisecond)
	return effects
}

// condemn lets three replicas crash under the part, and passes the notes on to the other instances.
func (in *instance) condemn(organisation string, others ...*instance) {
	for range 3 {
		effects := in.crashWith(organisation, firstPart, crashPart)
		for _, other := range others {
			noteTo(other, effects)
			other.now = in.now
		}
	}
}

func TestPartThatCrashedReplicasIsRefusedAtOtherInstances(t *testing.T) {
	// Three prompts of which no two are alike crash replicas at one instance. Another one that has received its notes must refuse the next one,
	// as not run, and serve what has the other parts alone.
	one, two := newInstance(t, "one", 8), newInstance(t, "two", 8)
	one.condemn("parish", two)
	assert.Assert(t, isRefused(two.arriveWith("parish", firstPart, crashPart)))
	assert.Assert(t, !isRefused(two.arriveWith("parish", firstPart)))
	assert.Assert(t, isRefused(one.arriveWith("parish", firstPart, crashPart)))
}

func TestRequestWhosePartCrashedTwoReplicasIsNotSentOn(t *testing.T) {
	// Two prompts with one part have crashed a replica each. The second one would be sent on to the next replica at once, which it would crash.
	// It waits, and is sent only once its part has been answered elsewhere.
	in := newInstance(t, "one", 8)
	in.crashWith("parish", crashPart)
	sent := find[steer.Send](t, in.arriveWith("parish", crashPart))
	assert.Equal(t, countOf[steer.Send](in.crash(sent)), 0)
	assert.Equal(t, countOf[steer.Send](in.advance(500*time.Millisecond)), 0)
	in.reduce(steer.NoteReceived{Note: steer.Note{From: "two", Run: 1, Cleared: []steer.ClearedPart{{Part: crashPart}}}})
	assert.Equal(t, countOf[steer.Send](in.advance(10*time.Millisecond)), 1)
}

func TestAnswersUnderWayProtectTheirParts(t *testing.T) {
	// An answer has gone on for two seconds when replicas begin to crash for another reason, with prompts that share its parts. None may be
	// refused for them.
	in := newInstance(t, "one", 8)
	in.reduce(steer.Peered{Listed: true})
	sent := find[steer.Send](t, in.arriveWith("parish", firstPart, crashPart))
	in.reduce(steer.Began{ID: sent.ID, Attempt: sent.Attempt})
	for range 10 {
		in.advance(200 * time.Millisecond)
		in.reduce(steer.Progressed{ID: sent.ID, Attempt: sent.Attempt, Pause: 200 * time.Millisecond})
	}
	in.condemn("parish")
	assert.Assert(t, !isRefused(in.arriveWith("parish", firstPart, crashPart)))
}

func TestAnswerThatWentOnIsNotBlamedForTheCrash(t *testing.T) {
	// A replica crashes while an answer has gone on for long. What crashes replicas when they begin an answer is another request.
	in := newInstance(t, "one", 8)
	for range 4 {
		sent := find[steer.Send](t, in.arriveWith("parish", crashPart))
		in.reduce(steer.Began{ID: sent.ID, Attempt: sent.Attempt})
		for range 10 {
			in.advance(200 * time.Millisecond)
			in.reduce(steer.Progressed{ID: sent.ID, Attempt: sent.Attempt, Pause: 200 * time.Millisecond})
		}
		in.crash(sent)
		in.reduce(steer.CallerGone{ID: sent.ID})
	}
	assert.Assert(t, !isRefused(in.arriveWith("parish", crashPart)))
}

func TestOrganisationCannotGetPartsOfAnotherRefused(t *testing.T) {
	// An organisation names a part of another one's prompts in requests that crash replicas. The other one's are sent all the same.
	in := newInstance(t, "one", 8)
	in.condemn("parish")
	assert.Assert(t, isRefused(in.arriveWith("parish", firstPart, crashPart)))
	assert.Equal(t, countOf[steer.Send](in.arriveWith("cathedral", firstPart, crashPart)), 1)
}

func TestOneInstanceTriesPartAgain(t *testing.T) {
	// A while after the last crash one request with the part is let through, since the verdict may be wrong. Only one of the instances does so,
	// and a crash of that trial puts the next one off.
	one, two := newInstance(t, "one", 12), newInstance(t, "two", 12)
	for _, in := range []*instance{one, two} {
		in.reduce(steer.Peered{Instances: []steer.Instance{{Name: "one"}, {Name: "two"}}[:0], Listed: true})
	}
	one.reduce(steer.Peered{Instances: []steer.Instance{{Name: "two"}}, Listed: true})
	two.reduce(steer.Peered{Instances: []steer.Instance{{Name: "one"}}, Listed: true})
	one.condemn("parish", two)
	var trials int
	for _, in := range []*instance{one, two} {
		in.advance(11 * time.Second)
		sent := countOf[steer.Send](in.arriveWith("parish", firstPart, crashPart))
		trials += sent
		if sent == 1 {
			assert.Assert(t, isRefused(in.arriveWith("parish", firstPart, crashPart)))
		}
	}
	assert.Equal(t, trials, 1)
}

func TestSoundRequestThatDiedTwiceIsServedOnceTheCauseIsKnown(t *testing.T) {
	// A sound prompt is in flight at two replicas that another one's part crashes, and is refused as its content has crashed two. Once the part is
	// known it must be served: the crashes are explained.
	in := newInstance(t, "one", 12)
	digest := steer.Digest(77)
	for range 3 {
		effects := in.crashWith("parish", crashPart)
		death := steer.Death{Digest: digest, ID: uint64(in.next) + 500, Count: 1}
		for _, eff := range effects {
			if nt, ok := eff.(steer.SendNote); ok && len(nt.Note.Deaths) > 0 {
				death.Upstream = nt.Note.Deaths[0].Upstream
			}
		}
		in.reduce(steer.NoteReceived{Note: steer.Note{From: "two", Run: 1, Deaths: []steer.Death{death}}})
	}
	in.next++
	effects := in.reduce(steer.Arrived{
		ID: in.next, Route: &short, Name: "sound", Organisation: "parish", Prompt: 5000, Answer: 1000, Digest: digest, Parts: []steer.Part{firstPart},
		Deadline: in.now.Add(short.Timeout.Std()), LeavesAt: in.now.Add(2 * time.Second),
	})
	assert.Equal(t, countOf[steer.Send](effects), 1)
}

// countOf returns the number of effects of the kind.
func countOf[Kind steer.Effect](effects []steer.Effect) int {
	count := 0
	for _, eff := range effects {
		if _, ok := eff.(Kind); ok {
			count++
		}
	}
	return count
}

func TestLongListsOfPartsFitIntoDatagrams(t *testing.T) {
	// A prompt of a thousand parts crashes a replica. The notes must not be too long to be sent, and report all of the parts.
	in := newInstance(t, "one", 4)
	parts := make([]steer.Part, 1000)
	for i := range parts {
		parts[i] = steer.Part(i + 1)
	}
	reported := 0
	for _, notes := range [][]steer.Note{notesIn(in.crashWith("parish", parts...)), in.st.DeathNotes(in.now)} {
		reported = 0
		for i := range notes {
			count := 0
			for _, sus := range notes[i].Suspicions {
				count += len(sus.Parts)
			}
			assert.Assert(t, count <= 400, count)
			reported += count
		}
		assert.Equal(t, reported, len(parts))
	}
}

// notesIn returns the notes among the effects.
func notesIn(effects []steer.Effect) []steer.Note {
	var notes []steer.Note
	for _, eff := range effects {
		if nt, ok := eff.(steer.SendNote); ok {
			notes = append(notes, nt.Note)
		}
	}
	return notes
}
