package proof_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/fleet"
	"dandelionsail.example/dandelionsail/internal/load"
	"dandelionsail.example/dandelionsail/internal/stand"
)

func TestNewInstanceKnowsTheQuarantine(t *testing.T) {
	// A caller's request takes two engines down and is refused from then on. Its instance is replaced, and the caller
	// sends the request again to the new one, which never saw an engine die.
	// The new one learnt the quarantine from its peer before it was ready: the caller is refused, nothing runs, and the
	// third engine lives.
	fl := &fleet.Fleet{}
	t.Cleanup(fl.Close)
	assert.NilError(t, fl.StartPlatform("--list-lag", "0s"))
	configure(t, fl)
	var engines []*fleet.Process
	for _, name := range []string{"lyric-0", "lyric-1", "lyric-2"} {
		engine, err := fl.StartEngine(name, "lyric", "a", "--step", "10ms")
		assert.NilError(t, err)
		engines = append(engines, engine)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	poisonous := stand.PoisonMarker + " " + load.Prompt(500, 1)
	send := func(name string) load.Result {
		inst, err := fl.StartEntry(name, "a", "--list-period", "100ms")
		assert.NilError(t, err)
		assert.NilError(t, fleet.WaitReady(ctx, inst.Address))
		caller := &load.Caller{Address: inst.Address, Token: token, HTTP: http.DefaultClient}
		return caller.Complete(ctx, "lyric", poisonous, 10)
	}
	first := send("entry-0")
	assert.Equal(t, first.Status, http.StatusUnprocessableEntity, first.Detail)
	again := send("entry-1")
	assert.Equal(t, again.Status, http.StatusUnprocessableEntity, again.Detail)
	assert.Equal(t, again.Ran, "NotRun")
	alive := 0
	for _, engine := range engines {
		ended, stop := context.WithTimeout(ctx, 100*time.Millisecond)
		if errors.Is(engine.Wait(ended), context.DeadlineExceeded) {
			alive++
		}
		stop()
	}
	assert.Equal(t, alive, 1)
}

func TestUnlistedInstanceHearsOfTheQuarantine(t *testing.T) {
	// An instance starts and asks its peer, which knows of nothing yet, and whose list shows the new one late. Then a
	// caller's request takes two engines down through the old instance, and is sent again to the new one.
	// Told only those that its list shows, the new one would let the request take the third engine.
	fl := &fleet.Fleet{}
	t.Cleanup(fl.Close)
	assert.NilError(t, fl.StartPlatform("--list-lag", "0s"))
	configure(t, fl)
	for _, name := range []string{"lyric-0", "lyric-1", "lyric-2"} {
		_, err := fl.StartEngine(name, "lyric", "a", "--step", "10ms")
		assert.NilError(t, err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	old, err := fl.StartEntry("entry-0", "a", "--list-period", "1h")
	assert.NilError(t, err)
	assert.NilError(t, fleet.WaitReady(ctx, old.Address))
	young, err := fl.StartEntry("entry-1", "a", "--list-period", "100ms")
	assert.NilError(t, err)
	assert.NilError(t, fleet.WaitReady(ctx, young.Address))
	send := func(address string) load.Result {
		caller := &load.Caller{Address: address, Token: token, HTTP: http.DefaultClient}
		return caller.Complete(ctx, "lyric", stand.PoisonMarker+" "+load.Prompt(500, 1), 10)
	}
	first := send(old.Address)
	assert.Equal(t, first.Status, http.StatusUnprocessableEntity, first.Detail)
	again := send(young.Address)
	assert.Equal(t, again.Status, http.StatusUnprocessableEntity, again.Detail)
	assert.Equal(t, again.Ran, "NotRun")
}
