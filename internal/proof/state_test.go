package proof_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/conf"
	"dandelionsail.example/dandelionsail/internal/fleet"
	"dandelionsail.example/dandelionsail/internal/load"
	"dandelionsail.example/dandelionsail/internal/stand"
	"dandelionsail.example/dandelionsail/internal/store"
	"dandelionsail.example/dandelionsail/internal/upstr"
)

func setFaults(t *testing.T, fl *fleet.Fleet, fs stand.Faults) {
	t.Helper()
	raw, err := json.Marshal(fs)
	assert.NilError(t, err)
	resp, err := http.Post("http://"+fl.Platform.Address+stand.PathFaults, "application/json", bytes.NewReader(raw))
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
}

// eventually waits until the condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for !holds() {
		assert.NilError(t, ctx.Err(), what)
		time.Sleep(50 * time.Millisecond)
	}
}

func submit(t *testing.T, fl *fleet.Fleet, id string, base int64, operations string) {
	t.Helper()
	client := store.New(fl.Platform.Address)
	defer client.Close()
	version, err := conf.New(client).Submit(t.Context(), conf.Patch{ID: id, Base: base, Operations: json.RawMessage(operations)})
	assert.NilError(t, err)
	assert.Equal(t, version, base+1)
}

// sendUpdate sends a board update under the key and returns the status and the header that reports whether it ran.
func sendUpdate(t *testing.T, inst *fleet.Process, key string) (int, string) {
	t.Helper()
	caller := &load.Caller{Address: inst.Address, Token: token, HTTP: http.DefaultClient}
	resp, err := caller.Do(t.Context(), http.MethodPost, "/board/next", []byte(`{"Hymn":1}`), http.Header{"Idempotency-Key": {key}, "X-Request-Deadline": {"5s"}})
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode, resp.Header.Get("Dandelionsail-Run")
}

func runs(t *testing.T, service *fleet.Process) map[string]int {
	t.Helper()
	resp, err := http.Get("http://" + service.Address + stand.PathRuns)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var list []stand.Run
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&list))
	counts := map[string]int{}
	for _, run := range list {
		counts[run.Key]++
	}
	return counts
}

func TestInstanceStartsDuringStoreOutage(t *testing.T) {
	// An instance starts during an outage of the store. It must fetch the configuration from a peer and serve short prompts.
	// A keyed board update must be refused with NotRun and must not run. After the outage the same update must run once.
	t.Parallel()
	fl := &fleet.Fleet{}
	t.Cleanup(fl.Close)
	assert.NilError(t, fl.StartPlatform("--list-lag", "0s"))
	configure(t, fl)
	_, err := fl.StartEngine("lyric-0", "lyric", "a")
	assert.NilError(t, err)
	board, err := fl.StartService("board-0", "board", "a")
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	old, err := fl.StartEntry("entry-0", "a")
	assert.NilError(t, err)
	assert.NilError(t, fleet.WaitReady(ctx, old.Address))
	setFaults(t, fl, stand.Faults{Outage: true})
	late, err := fl.StartEntry("entry-1", "a")
	assert.NilError(t, err)
	assert.NilError(t, fleet.WaitReady(ctx, late.Address))
	caller := &load.Caller{Address: late.Address, Token: token, HTTP: http.DefaultClient}
	res := caller.Complete(ctx, "lyric", load.Prompt(1000, 1), 5)
	assert.Equal(t, res.Outcome, load.OutcomeWhole, res.Detail)
	status, ran := sendUpdate(t, late, "hymn")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, ran, "NotRun")
	assert.Equal(t, len(runs(t, board)), 0)
	setFaults(t, fl, stand.Faults{})
	eventually(t, "the update runs after the outage", func() bool {
		status, _ := sendUpdate(t, late, "hymn")
		return status == http.StatusOK
	})
	status, _ = sendUpdate(t, old, "hymn")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, runs(t, board)["hymn"], 1)
}

func TestConcurrentResendsRunOnce(t *testing.T) {
	// 30% of the store's answers to writes are lost, and every update is sent to three instances at the same time, as by a
	// caller that retries an attempt without an answer. Guards against an update that runs twice, or not at all.
	t.Parallel()
	fl := &fleet.Fleet{}
	t.Cleanup(fl.Close)
	assert.NilError(t, fl.StartPlatform("--list-lag", "0s"))
	configure(t, fl)
	board, err := fl.StartService("board-0", "board", "a")
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	var instances []*fleet.Process
	for i := range 3 {
		inst, err := fl.StartEntry(fmt.Sprintf("entry-%d", i), "a")
		assert.NilError(t, err)
		assert.NilError(t, fleet.WaitReady(ctx, inst.Address))
		instances = append(instances, inst)
	}
	setFaults(t, fl, stand.Faults{LostAnswers: 0.3})
	const updates = 20
	done := make(chan int)
	for i := range updates {
		for _, inst := range instances {
			go func() {
				status, _ := sendUpdate(t, inst, fmt.Sprintf("hymn-%d", i))
				done <- status
			}()
		}
	}
	for range updates * len(instances) {
		<-done
	}
	for key, count := range runs(t, board) {
		assert.Equal(t, count, 1, key)
	}
	assert.Equal(t, len(runs(t, board)), updates)
}

func reportedModels(t *testing.T, engine *fleet.Process) []string {
	t.Helper()
	resp, err := http.Get("http://" + engine.Address + "/v1/load")
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var report upstr.Report
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&report))
	return report.Models
}

func TestEnginesLoadDeclaredVersion(t *testing.T) {
	// An operator declares a new version of the model. The instance that holds the pool's lease must have the engines load it
	// one after another, so that callers are always served by an engine that is not loading.
	t.Parallel()
	fl := &fleet.Fleet{}
	t.Cleanup(fl.Close)
	assert.NilError(t, fl.StartPlatform("--list-lag", "0s"))
	configure(t, fl)
	var engines []*fleet.Process
	for i := range 2 {
		engine, err := fl.StartEngine(fmt.Sprintf("lyric-%d", i), "lyric", "a", "--load-time", "200ms", "--check-fencing")
		assert.NilError(t, err)
		engines = append(engines, engine)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	inst, err := fl.StartEntry("entry-0", "a")
	assert.NilError(t, err)
	assert.NilError(t, fleet.WaitReady(ctx, inst.Address))
	submit(t, fl, "v2", 1, `[{"op":"add","path":"/Services/lyric/ChecksFencing","value":true},
		{"op":"add","path":"/Services/lyric/Models/0/Version","value":"v2"}]`)
	caller := &load.Caller{Address: inst.Address, Token: token, HTTP: http.DefaultClient}
	wanted := []string{"lyric@v2"}
	eventually(t, "all engines have the version", func() bool {
		res := caller.Complete(ctx, "lyric", load.Prompt(1000, 1), 3)
		assert.Equal(t, res.Outcome, load.OutcomeWhole, res.Detail)
		for _, engine := range engines {
			if !slices.Equal(reportedModels(t, engine), wanted) {
				return false
			}
		}
		return true
	})
}
