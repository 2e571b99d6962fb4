package steer

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestEnginesOfOtherSubsetsAreAskedFor(t *testing.T) {
	// Guards against instances that take the engines of other failure domains for idle, since they receive no notes about them: when their own
	// engines leave or are down, all of them fill the same ones, whose streams then pause.
	st := fleet{80, 78, 3}.instance(3)
	svc := st.services["lyric"]
	own := st.ownSubset(svc)
	note := Note{From: "instance-6", Run: 1}
	for _, rep := range svc.replicas {
		if st.subsetOf(rep) == own {
			note.Departures = append(note.Departures, Departure{Replica: rep.Name})
		}
	}
	st.Reduce(fleetStart, NoteReceived{Note: note})
	sent := sentNotes(st, fleetStart, arrival(fleetStart, 1, 5000))
	assert.Equal(t, len(sent), 1)
	asks := sent[0].Note.SlotRequests
	assert.Equal(t, len(asks), 1)
	rep := st.replicas[asks[0].Job.Replicas[0]]
	assert.Assert(t, st.subsetOf(rep) != own)
	assert.Equal(t, len(sent[0].To), 1)
	assert.Assert(t, slices.Contains(st.othersUsing(st.subsetOf(rep)), sent[0].To[0]), "asked an instance that does not use the engine")
	refused := NoteReceived{Note: Note{From: sent[0].To[0], Run: 1, SlotGrants: []SlotGrant{{Job: asks[0].Job.ID, Refused: true}}}}
	again := sentNotes(st, fleetStart.Add(2*time.Millisecond), refused)
	assert.Equal(t, len(again), 1)
	assert.Assert(t, again[0].Note.SlotRequests[0].Job.Replicas[0] != rep.Name, "the same engine is asked for again")
}
