package cause

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ProvenTime is how long an answer has to go on to show that its request does not crash the upstream that begins to answer it.
	ProvenTime = time.Second
	// ProvenEvents is how many parts of the answer must have come. After a pause of the process, two that came together would seem far apart.
	ProvenEvents = 5
	// DoubtTime is how long a request whose upstream has crashed waits at most for others with the same features to be answered.
	DoubtTime = time.Second
)

// DefaultRules returns the rules of both fronts, with the time for which a cause is held and the time within which deaths at one upstream are
// the same crash.
func DefaultRules(duration, sameCrash time.Duration) Rules {
	return Rules{
		// A second crash may be chance: ten requests die in each. Two more may follow before instances have to know the cause.
		Threshold: 3, MinSuspect: 2, MinContents: 2,
		MinSpan: 200 * time.Millisecond, MinAge: 1500 * time.Millisecond, SureCrashes: 5, SettleTime: 200 * time.Millisecond, Duration: duration, SameCrash: sameCrash,
		TrialDelays:  []time.Duration{10 * time.Second, 2 * time.Minute},
		AnsweredTime: 3 * time.Second, SuspectTime: 10 * time.Second, AnnouncePeriod: time.Second,
		MaxFeatures: 1 << 16,
	}
}

// Tries reports whether the instance is the one that makes the trials of the cause, which is the same one for all that know the same others.
func (ca *Cause) Tries(instance string, others []string) bool {
	key := "/" + strconv.FormatUint(ca.Key(), 16)
	own := xxhash.Sum64String(instance + key)
	return !slices.ContainsFunc(others, func(name string) bool { return name != instance && xxhash.Sum64String(name+key) < own })
}
