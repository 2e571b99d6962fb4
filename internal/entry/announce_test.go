package entry_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/load"
	"dandelionsail.example/dandelionsail/internal/stand"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// completeFor sends prompts for the period and fails the test if one gets no complete answer.
func (rg *rig) completeFor(period time.Duration) {
	rg.t.Helper()
	var callers sync.WaitGroup
	results := make(chan load.Result, 1000)
	for i, begun := uint64(0), time.Now(); time.Since(begun) < period; i++ {
		callers.Go(func() { results <- rg.caller.Complete(rg.t.Context(), "lyric", load.Prompt(50, i), 4) })
		time.Sleep(20 * time.Millisecond)
	}
	callers.Wait()
	close(results)
	for res := range results {
		assert.Equal(rg.t, res.Outcome, load.OutcomeWhole, res.Detail)
	}
}

// arrivedAfter counts the calls that reached the stand-in later than settle after the given time and before until.
func arrivedAfter(arrivals []stand.Arrival, from time.Time, settle, until time.Duration) (count int) {
	for _, arr := range arrivals {
		if since := arr.At.Sub(from); since > settle && since < until {
			count++
		}
	}
	return count
}

func TestEngineThatLeavesGetsNoCalls(t *testing.T) {
	// The platform's list goes on showing an engine as live that says in its answers that it leaves.
	one, two := engine(time.Millisecond), engine(time.Millisecond)
	rg := newRig(t, rigOptions{Engines: []*stand.Engine{one, two}})
	rg.completeFor(300 * time.Millisecond)
	one.Announce(stand.Announcements{Leaving: true})
	announcedAt := time.Now()
	rg.completeFor(3 * time.Second)
	// The first answer that says so comes within two load reports.
	assert.Equal(t, arrivedAfter(one.Arrivals(), announcedAt, 2*time.Second, time.Hour), 0, "calls of any kind to the leaving engine")
	assert.Assert(t, arrivedAfter(two.Arrivals(), announcedAt, 2*time.Second, time.Hour) > 0)
}

func TestEngineThatAskedForRestGetsIt(t *testing.T) {
	// An engine refuses all calls, load queries as well, and asks for rest. The others answer.
	const rest = 2 * time.Second
	one, two := engine(time.Millisecond), engine(time.Millisecond)
	rg := newRig(t, rigOptions{Engines: []*stand.Engine{one, two}})
	one.Announce(stand.Announcements{RefusedShare: 1, Rest: decl.Duration(rest)})
	rg.completeFor(rest)
	arrivals := one.Arrivals()
	for _, arr := range arrivals {
		if arr.Refused {
			got := arrivedAfter(arrivals, arr.At, 500*time.Millisecond, rest)
			assert.Assert(t, got <= 2, "%d calls in the time of rest", got)
		}
	}
	one.Announce(stand.Announcements{})
	count := len(one.Arrivals())
	for until := time.Now().Add(10 * time.Second); len(one.Arrivals()) <= count+5; {
		assert.Assert(t, time.Now().Before(until), "the engine gets nothing after its rest")
		rg.completeFor(100 * time.Millisecond)
	}
}

func TestCallsAreRefusedAtOnceIfAllReplicasLeaveOrRest(t *testing.T) {
	// Callers must not wait for their deadline when all replicas have said that they leave, or want rest for longer than that.
	cases := map[string]stand.Announcements{
		"leaving": {Leaving: true},
		"resting": {RefusedShare: 1, Rest: decl.Duration(time.Hour)},
	}
	for name, ann := range cases {
		t.Run(name, func(t *testing.T) {
			one := engine(time.Millisecond)
			rg := newRig(t, rigOptions{Engines: []*stand.Engine{one}})
			one.Announce(ann)
			begun := time.Now()
			res := rg.caller.Complete(t.Context(), "lyric", load.Prompt(50, 1), 4)
			if name == "leaving" {
				assert.Equal(t, res.Outcome, load.OutcomeWhole, "the answer that says so is complete")
			}
			res = rg.caller.Complete(t.Context(), "lyric", load.Prompt(50, 2), 4)
			assert.Equal(t, res.Status, http.StatusServiceUnavailable)
			assert.Assert(t, time.Since(begun) < 5*time.Second)
		})
	}
}
