package proof

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRestartWaitsForAProcessThatEndsLate(t *testing.T) {
	// A killed engine can take long to exit on a busy machine. Guards against treating it as running in the meantime, so that
	// it is never restarted.
	st, err := newSetup(t.Context(), Options{})
	assert.NilError(t, err)
	defer st.close()
	up := st.replicas("lyric")[0]
	killed := st.processOf(up)
	restarted := make(chan error, 2)
	for range cap(restarted) {
		go func() { restarted <- st.restart(up, killed) }()
	}
	select {
	case err := <-restarted:
		t.Fatalf("restart did not wait for the process to end: %v", err)
	case <-time.After(1200 * time.Millisecond):
	}
	assert.NilError(t, killed.Kill())
	for range cap(restarted) {
		assert.NilError(t, <-restarted)
	}
	assert.Assert(t, up.process != killed)
	assert.Assert(t, up.acceptsConnections(context.Background()))
}
