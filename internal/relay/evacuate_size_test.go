package relay

import (
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// evacuateSizeVariable is the name of the environment variable that sets the number of instances.
const evacuateSizeVariable = "DANDELIONSAIL_EVACUATE_SIZE"

func TestEvacuationIsInForceWithinASecond(t *testing.T) {
	// Guards against an evacuation that takes effect late. With the usual ConfigLag, 99 of 100 instances must follow within a second of the
	// store's answer. Three of them poll the store; the others must receive the change from these, and not by their own next request.
	size, rounds := 40, 4
	if text := os.Getenv(evacuateSizeVariable); text != "" {
		var err error
		size, err = strconv.Atoi(text)
		assert.NilError(t, err)
		rounds = 20
	}
	of := newOutageFleet(t, size)
	assert.Assert(t, of.confirmedSince(0))
	of.watch(2*time.Second, nil)
	var times []time.Duration
	for round := range rounds {
		time.Sleep(time.Duration(round*137%600) * time.Millisecond)
		of.dir.mu.Lock()
		of.dir.snap.Evacuated = nil
		if round%2 == 0 {
			of.dir.snap.Evacuated = names("a")
		}
		of.dir.mu.Unlock()
		written := time.Now()
		of.dir.addChange(Change{Evacuation: &Evacuation{FailureDomain: "a", Ended: round%2 == 1}})
		followed := make([]bool, size)
		for left := size; left > 0; time.Sleep(time.Millisecond) {
			for i, in := range of.ins {
				if !followed[i] && len(in.evacuated()) == 1-round%2 {
					followed[i] = true
					left--
					times = append(times, time.Since(written))
				}
			}
			assert.Assert(t, time.Since(written) < 5*time.Second, "%d instances do not follow", left)
		}
	}
	slices.Sort(times)
	at := func(share float64) time.Duration {
		return times[int(share*float64(len(times)-1))].Round(time.Millisecond)
	}
	t.Logf("%d instances, %d changes: median %v, 99 of 100 within %v, last %v", size, rounds, at(0.5), at(0.99), at(1))
	assert.Assert(t, at(0.99) <= time.Second)
}
