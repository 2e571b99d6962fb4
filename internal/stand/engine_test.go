package stand_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/load"
	"dandelionsail.example/dandelionsail/internal/stand"
	"dandelionsail.example/dandelionsail/internal/upstr"
)

// engineBench has an engine behind a real listener and clients for it.
type engineBench struct {
	t       *testing.T
	engine  *stand.Engine
	address string
	client  *upstr.Client
	caller  *load.Caller
}

func startEngine(t *testing.T, change func(*stand.EngineOptions)) *engineBench {
	opts := stand.DefaultEngineOptions()
	opts.Step = time.Millisecond
	opts.CachePeriod = time.Millisecond
	opts.CacheLag = time.Millisecond
	opts.LoadTime = time.Millisecond
	if change != nil {
		change(&opts)
	}
	be := &engineBench{t: t, engine: stand.NewEngine(opts), client: upstr.New()}
	server := httptest.NewServer(be.engine.Handler())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- be.engine.Run(ctx) }()
	be.address = strings.TrimPrefix(server.URL, "http://")
	be.caller = &load.Caller{Address: be.address, HTTP: server.Client()}
	t.Cleanup(func() {
		be.client.Close()
		cancel()
		<-ended
		server.Close()
	})
	return be
}

func (be *engineBench) complete(tokens int64, seed uint64, answer int64) load.Result {
	return be.caller.Complete(be.t.Context(), "lyric", load.Prompt(tokens, seed), answer)
}

// eventually waits until the condition holds, since the engine changes its state in a goroutine of its own.
func (be *engineBench) eventually(what string, holds func(stand.State) bool) {
	be.t.Helper()
	for range 2000 {
		if holds(be.engine.State()) {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	be.t.Fatalf("never: %s: %+v", what, be.engine.State())
}

func completionCall(be *engineBench, id, raw string) upstr.Call {
	return upstr.Call{
		Address: be.address, Request: id, Method: http.MethodPost, Path: "/v1/completions",
		Body: strings.NewReader(raw), Length: int64(len(raw)),
	}
}

func completionBody(tokens int64) string {
	return `{"model":"lyric","stream":true,"max_tokens":4,"prompt":"` + strings.Repeat("abcd", int(tokens)) + `"}`
}

func TestEngineFreesMemoryOfCompletedRequests(t *testing.T) {
	be := startEngine(t, nil)
	for seed := range uint64(3) {
		assert.Equal(t, be.complete(5000, seed, 8).Outcome, load.OutcomeWhole)
	}
	be.eventually("memory free", func(st stand.State) bool { return st.UsedTokens == 0 && len(st.Requests) == 0 })
	assert.Equal(t, be.engine.State().CachedTokens, int64(3*(5000/256)*256))
}

func TestEngineEvictsCachedBlocks(t *testing.T) {
	be := startEngine(t, func(opts *stand.EngineOptions) { opts.MemoryTokens = 8000 })
	for seed := range uint64(4) {
		assert.Equal(t, be.complete(5000, seed, 8).Outcome, load.OutcomeWhole)
	}
	st := be.engine.State()
	assert.Assert(t, st.UsedTokens+st.CachedTokens <= 8000, "%+v", st)
	assert.Equal(t, be.complete(9000, 9, 8).Status, http.StatusRequestEntityTooLarge)
}

func TestEngineSkipsCachedPrefill(t *testing.T) {
	be := startEngine(t, func(opts *stand.EngineOptions) { opts.PrefillChunk = 10 })
	assert.Equal(t, be.complete(5000, 1, 2).Outcome, load.OutcomeWhole)
	before := be.engine.State().Steps
	assert.Equal(t, be.complete(5000, 1, 2).Outcome, load.OutcomeWhole)
	// Only the positions after the last complete block are left to prefill: fewer than 256, which take 26 steps of ten. The
	// engine also makes steps while idle, so the bound is loose, but below the 500 steps of a complete prefill.
	assert.Assert(t, be.engine.State().Steps-before < 400)
}

func TestEngineFreesCancelledRequests(t *testing.T) {
	// A caller leaves, or its instance drops the request, while the engine holds memory for it. The engine must free the
	// memory in its next step, and the stream must not end like that of a complete answer.
	cases := map[string]func(be *engineBench, stream upstr.Stream){
		"connection closed": func(_ *engineBench, stream upstr.Stream) { _ = stream.Close() },
		"request dropped": func(be *engineBench, _ upstr.Stream) {
			assert.NilError(be.t, be.client.Drop(be.t.Context(), be.address, "r1"))
		},
	}
	for name, end := range cases {
		t.Run(name, func(t *testing.T) {
			be := startEngine(t, nil)
			be.engine.SetFaults(stand.EngineFaults{Slow: 50})
			long := completionCall(be, "r1", strings.Replace(completionBody(1000), `"max_tokens":4`, `"max_tokens":4000`, 1))
			stream, err := be.client.Complete(t.Context(), long)
			assert.NilError(t, err)
			be.eventually("memory held", func(st stand.State) bool { return st.UsedTokens > 0 })
			end(be, stream)
			be.eventually("memory free", func(st stand.State) bool { return st.UsedTokens == 0 })
			for err == nil {
				_, err = stream.Next()
			}
			assert.Assert(t, err.Error() != "EOF")
		})
	}
}

func TestEnginePrefillSegments(t *testing.T) {
	// A prompt that is larger than the memory of one engine is prefilled by three engines in turn, and the last one generates
	// the answer. Once the holders have dropped their segments, a request that still imports them must be refused.
	small := func(opts *stand.EngineOptions) { opts.MemoryTokens = 5000 }
	first, second, last := startEngine(t, small), startEngine(t, small), startEngine(t, small)
	raw := completionBody(12_000)
	prefill := func(be *engineBench, from, to int64, imports ...string) string {
		part := completionCall(be, "r1", raw)
		part.Imports = imports
		handle, err := be.client.Prefill(t.Context(), part, from, to)
		assert.NilError(t, err)
		return handle
	}
	firstHandle := prefill(first, 0, 4500)
	secondHandle := prefill(second, 4500, 9000, firstHandle)
	end := completionCall(last, "r1", raw)
	end.Imports = []string{firstHandle, secondHandle}
	stream, err := last.client.Complete(t.Context(), end)
	assert.NilError(t, err)
	tokens := 0
	for err == nil {
		_, err = stream.Next()
		tokens++
	}
	assert.Equal(t, err.Error(), "EOF")
	assert.Equal(t, tokens-1, 4)
	assert.Equal(t, first.engine.State().Exports["r1"], int64(4500))
	for _, be := range []*engineBench{first, second} {
		assert.NilError(t, be.client.Drop(t.Context(), be.address, "r1"))
		be.eventually("exports free", func(st stand.State) bool { return st.UsedTokens == 0 })
	}
	again := completionCall(last, "r2", raw)
	again.Imports = []string{firstHandle, secondHandle}
	_, err = last.client.Complete(t.Context(), again)
	assert.Assert(t, errorx.IsOfType(err, upstr.NotRun), "%v", err)
}

func TestEngineCacheEvents(t *testing.T) {
	be := startEngine(t, func(opts *stand.EngineOptions) { opts.MemoryTokens = 8000 })
	assert.Equal(t, be.complete(5120, 1, 2).Outcome, load.OutcomeWhole)
	batches, err := be.client.CacheEvents(t.Context(), be.address, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(batches[0].Added), 20)
	assert.Equal(t, be.complete(5120, 2, 2).Outcome, load.OutcomeWhole)
	more, err := be.client.CacheEvents(t.Context(), be.address, batches[0].Last)
	assert.NilError(t, err)
	assert.Equal(t, more[0].First, batches[0].Last+1)
	assert.Assert(t, len(more[0].Removed) > 0)
	restarted, err := be.client.CacheEvents(t.Context(), be.address, 1_000_000)
	assert.NilError(t, err)
	assert.Assert(t, restarted[0].Cleared)
}

func TestEngineFaults(t *testing.T) {
	// An engine's stream has chunks of another request, repeated or missing chunks, or is cut. The reader must skip foreign
	// and repeated chunks, and must not take a stream with missing chunks or a cut one for a complete answer.
	cases := map[string]struct {
		faults stand.EngineFaults
		whole  bool
	}{
		"no faults":                 {stand.EngineFaults{}, true},
		"chunks of another request": {stand.EngineFaults{Cross: 1}, true},
		"repeated chunks":           {stand.EngineFaults{Repeat: 1}, true},
		"dropped chunks":            {stand.EngineFaults{Drop: 1}, false},
		"connection cut":            {stand.EngineFaults{Cut: 1}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			be := startEngine(t, nil)
			be.engine.SetFaults(tc.faults)
			stream, err := be.client.Complete(t.Context(), completionCall(be, "r1", completionBody(100)))
			tokens := -1
			for err == nil {
				tokens++
				_, err = stream.Next()
			}
			assert.Equal(t, err.Error() == "EOF" && tokens == 4, tc.whole, "%v after %d", err, tokens)
		})
	}
}

func TestEngineFencesOrders(t *testing.T) {
	// The order of a previous lease holder arrives late. An engine that checks fencing numbers refuses it; one that does not
	// check them carries it out.
	for name, checks := range map[string]bool{"fencing checked": true, "fencing not checked": false} {
		t.Run(name, func(t *testing.T) {
			be := startEngine(t, func(opts *stand.EngineOptions) { opts.CheckFencing = checks })
			assert.NilError(t, be.client.Order(t.Context(), be.address, upstr.Order{Fence: 2, Models: []string{"lyric@2"}, Role: "Decode"}))
			be.eventually("loaded", func(st stand.State) bool { return len(st.Models) == 1 && st.Models[0] == "lyric@2" })
			err := be.client.Order(t.Context(), be.address, upstr.Order{Fence: 1, Models: []string{"lyric@1"}})
			assert.Equal(t, errorx.IsOfType(err, upstr.Fenced), checks)
			report, err := be.client.Load(t.Context(), be.address)
			assert.NilError(t, err)
			assert.Equal(t, report.Role, "Decode")
		})
	}
}
