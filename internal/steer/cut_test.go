package steer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/steer"
)

func TestInstanceCutOffDoesNotMakeOthersAvoidReplicas(t *testing.T) {
	// An instance that is cut off from all replicas reports one after the other as failing. They are sound: another instance must
	// go on using them.
	in := newInstance(t, "two", 8)
	for range 20 {
		for i := range 8 {
			in.reduce(steer.NoteReceived{Note: steer.Note{From: "one", Run: 1, Down: []string{fmt.Sprint("lyric-", i)}}})
			in.advance(20 * time.Millisecond)
		}
	}
	sent := in.waitForSend(100*time.Millisecond, in.arrive(&short, 5000))
	assert.Assert(t, sent.Replica.Name != "")
}

func TestInstanceCutOffReportsNoReplicas(t *testing.T) {
	// No attempt of an instance reaches a replica. The first failure may be the replica's; from the second replica on it is more likely that
	// the instance has lost its path, and it must not make the others avoid all replicas.
	in := newInstance(t, "one", 8)
	reported := map[string]bool{}
	for range 10 {
		effects := in.arrive(&short, 5000)
		for {
			sent, ok := firstSend(effects)
			if !ok {
				break
			}
			effects = in.end(sent, steer.ResultNotSent)
			for _, name := range announcedDown(effects) {
				reported[name] = true
			}
		}
		in.advance(50 * time.Millisecond)
	}
	assert.Assert(t, len(reported) <= 1, "%v", reported)
}

// firstSend returns the first Send among the effects.
func firstSend(effects []steer.Effect) (steer.Send, bool) {
	for _, eff := range effects {
		if sent, ok := eff.(steer.Send); ok {
			return sent, true
		}
	}
	return steer.Send{}, false
}
