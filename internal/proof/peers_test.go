package proof_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/fleet"
)

func TestInstancesStartWithAndWithoutPeerKeys(t *testing.T) {
	// Three instances start with peer addresses and keys of one authority, and a fourth without keys. All must become ready,
	// since an instance can serve without peers.
	fl := &fleet.Fleet{}
	t.Cleanup(fl.Close)
	assert.NilError(t, fl.StartPlatform("--list-lag", "0s"))
	configure(t, fl)
	_, err := fl.StartEngine("lyric-0", "lyric", "a")
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for _, name := range []string{"entry-0", "entry-1", "entry-2"} {
		inst, err := fl.StartEntry(name, "a")
		assert.NilError(t, err)
		assert.Assert(t, inst.Peer != "")
		assert.NilError(t, fleet.WaitReady(ctx, inst.Address))
	}
	alone, err := fl.Start(fleet.ProgramProduct, "entry-3", "entry", "--name", "entry-3", "--failure-domain", "a",
		"--listen", "127.0.0.1:0", "--platform", fl.Platform.Address, "--store", fl.Platform.Address)
	assert.NilError(t, err)
	assert.Equal(t, alone.Peer, "")
	assert.NilError(t, fleet.WaitReady(ctx, alone.Address))
}
