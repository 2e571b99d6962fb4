package steer_test

import (
	"testing"
	"time"

	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

func TestAnswerThatBeginsAfterAGrantDoesNotCount(t *testing.T) {
	// Guards against an answer that is refused although another run was granted: the silent attempt begins to answer in the same moment, which the
	// shell does not forward any more, and a request that may not be resumed would count as begun.
	route := short
	route.Name, route.Repeats = "any", decl.RetryAny
	in := newInstance(t, "one", 2)
	sent := find[steer.Send](t, in.arrive(&route, 2000))
	in.now = in.now.Add(1100 * time.Millisecond)
	find[steer.Abort](t, in.reduce(steer.FellSilent{ID: sent.ID, Attempt: sent.Attempt}))
	in.reduce(steer.Began{ID: sent.ID, Attempt: sent.Attempt})
	again := find[steer.Send](t, in.end(sent, steer.ResultSilent))
	if again.Attempt != sent.Attempt+1 {
		t.Errorf("attempt %d follows", again.Attempt)
	}
}

func TestBegunAnswerWaitsForAnotherRunInTheDrain(t *testing.T) {
	// Guards against an answer that is cut because the process ends: it waits for a place for the run that goes on with it, and was refused with what
	// had not begun, seconds before attempts are aborted.
	in := newInstance(t, "one", 2)
	sent := find[steer.Send](t, in.arrive(&short, 2000))
	in.reduce(steer.Began{ID: sent.ID, Attempt: sent.Attempt})
	in.now = in.now.Add(1100 * time.Millisecond)
	find[steer.Abort](t, in.reduce(steer.FellSilent{ID: sent.ID, Attempt: sent.Attempt}))
	in.fillEngines()
	in.reduce(steer.Draining{RefuseWaitingAt: in.now.Add(500 * time.Millisecond), AbortAt: in.now.Add(5 * time.Second)})
	effects := in.end(sent, steer.ResultSilent)
	for until := in.now.Add(4500 * time.Millisecond); in.now.Before(until); {
		for _, eff := range effects {
			if fin, ok := eff.(steer.Finish); ok {
				t.Fatalf("refused while attempts go on: %+v", fin.Refusal)
			}
		}
		in.now = in.now.Add(50 * time.Millisecond)
		effects = in.reduce(steer.Ticked{})
	}
}
