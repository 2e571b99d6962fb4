package steer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestJobIDsDoNotComeRoundWhilePeersRememberTheirEnd(t *testing.T) {
	// A request whose claims are withdrawn, or whose sends are held back, gets a new job every 5 ms. Peers ignore a start with
	// an ID whose end they heard less than endedRetention ago, as one that arrives late. If the IDs of a request came round in
	// that time, its work would be unknown to the peers, which would send theirs to the same engine.
	shortest := min(claimBackoff, heldBackoff)
	assert.Assert(t, time.Duration(jobsPerRequest)*shortest > endedRetention, "%v", time.Duration(jobsPerRequest)*shortest)
}
