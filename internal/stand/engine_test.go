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

// bench is an engine behind a real listener, with a client of it.
type bench struct {
	t       *testing.T
	engine  *stand.Engine
	address string
	client  *upstr.Client
	caller  *load.Caller
}

func start(t *testing.T, change func(*stand.EngineOptions)) *bench {
	opts := stand.DefaultEngine()
	opts.Step = time.Millisecond
	opts.CachePeriod = time.Millisecond
	opts.CacheLag = time.Millisecond
	opts.LoadTime = time.Millisecond
	if change != nil {
		change(&opts)
	}
	be := &bench{t: t, engine: stand.NewEngine(opts), client: upstr.New()}
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

func (be *bench) complete(tokens int64, seed uint64, answer int64) load.Result {
	return be.caller.Complete(be.t.Context(), "lyric", load.Prompt(tokens, seed), answer)
}

// eventually waits for what the engine's own goroutine brings about.
func (be *bench) eventually(what string, holds func(stand.State) bool) {
	be.t.Helper()
	for range 2000 {
		if holds(be.engine.State()) {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	be.t.Fatalf("never: %s: %+v", what, be.engine.State())
}

func call(be *bench, id, raw string) upstr.Call {
	return upstr.Call{
		Address: be.address, Request: id, Method: http.MethodPost, Path: "/v1/completions",
		Body: strings.NewReader(raw), Length: int64(len(raw)),
	}
}

func document(tokens int64) string {
	return `{"model":"lyric","stream":true,"max_tokens":4,"prompt":"` + strings.Repeat("abcd", int(tokens)) + `"}`
}

func TestEngineMemoryReturns(t *testing.T) {
	be := start(t, nil)
	for seed := range uint64(3) {
		assert.Equal(t, be.complete(5000, seed, 8).Outcome, load.OutcomeWhole)
	}
	be.eventually("memory free", func(st stand.State) bool { return st.UsedTokens == 0 && len(st.Requests) == 0 })
	assert.Equal(t, be.engine.State().CachedTokens, int64(3*(5000/256)*256))
}

func TestEngineEvictsForRoom(t *testing.T) {
	be := start(t, func(opts *stand.EngineOptions) { opts.MemoryTokens = 8000 })
	for seed := range uint64(4) {
		assert.Equal(t, be.complete(5000, seed, 8).Outcome, load.OutcomeWhole)
	}
	st := be.engine.State()
	assert.Assert(t, st.UsedTokens+st.CachedTokens <= 8000, "%+v", st)
	assert.Equal(t, be.complete(9000, 9, 8).Status, http.StatusRequestEntityTooLarge)
}

func TestEngineSkipsCachedPrefill(t *testing.T) {
	be := start(t, func(opts *stand.EngineOptions) { opts.PrefillChunk = 10 })
	assert.Equal(t, be.complete(5000, 1, 2).Outcome, load.OutcomeWhole)
	before := be.engine.State().Steps
	assert.Equal(t, be.complete(5000, 1, 2).Outcome, load.OutcomeWhole)
	// Only what is behind the last whole block is left to prefill: under 256 positions, which is 26 steps of ten. The
	// engine also steps while nothing is there, so the bound is a loose one below the 500 steps of a whole prefill.
	assert.Assert(t, be.engine.State().Steps-before < 400)
}

func TestEngineFreesWhatIsCancelled(t *testing.T) {
	// A caller leaves, or its instance drops the request, while the engine holds memory for it.
	// The engine frees the memory in its next step and the stream does not end as if it were whole.
	cases := map[string]func(be *bench, stream upstr.Stream){
		"connection closed": func(_ *bench, stream upstr.Stream) { _ = stream.Close() },
		"dropped": func(be *bench, _ upstr.Stream) {
			assert.NilError(be.t, be.client.Drop(be.t.Context(), be.address, "r1"))
		},
	}
	for name, end := range cases {
		t.Run(name, func(t *testing.T) {
			be := start(t, nil)
			be.engine.SetFaults(stand.EngineFaults{Slow: 50})
			long := call(be, "r1", strings.Replace(document(1000), `"max_tokens":4`, `"max_tokens":4000`, 1))
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

func TestEngineSegments(t *testing.T) {
	// A prompt of more than one engine's memory is prefilled in three engines in turn; the last one generates.
	// The first segment's holder then drops it, and whoever still imports it must hear that it is gone.
	small := func(opts *stand.EngineOptions) { opts.MemoryTokens = 5000 }
	first, second, last := start(t, small), start(t, small), start(t, small)
	raw := document(12_000)
	prefill := func(be *bench, from, to int64, imports ...string) string {
		part := call(be, "r1", raw)
		part.Imports = imports
		handle, err := be.client.Prefill(t.Context(), part, from, to)
		assert.NilError(t, err)
		return handle
	}
	one := prefill(first, 0, 4500)
	two := prefill(second, 4500, 9000, one)
	end := call(last, "r1", raw)
	end.Imports = []string{one, two}
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
	for _, be := range []*bench{first, second} {
		assert.NilError(t, be.client.Drop(t.Context(), be.address, "r1"))
		be.eventually("exports free", func(st stand.State) bool { return st.UsedTokens == 0 })
	}
	again := call(last, "r2", raw)
	again.Imports = []string{one, two}
	_, err = last.client.Complete(t.Context(), again)
	assert.Assert(t, errorx.IsOfType(err, upstr.NotRun), "%v", err)
}

func TestEngineCacheEvents(t *testing.T) {
	be := start(t, func(opts *stand.EngineOptions) { opts.MemoryTokens = 8000 })
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
	// An upstream's answers come crossed, doubled, with holes or cut; the reader must notice each.
	cases := map[string]struct {
		faults stand.EngineFaults
		whole  bool
	}{
		"none":     {stand.EngineFaults{}, true},
		"crossed":  {stand.EngineFaults{Cross: 1}, true},
		"repeated": {stand.EngineFaults{Repeat: 1}, true},
		"dropped":  {stand.EngineFaults{Drop: 1}, false},
		"cut":      {stand.EngineFaults{Cut: 1}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			be := start(t, nil)
			be.engine.SetFaults(tc.faults)
			stream, err := be.client.Complete(t.Context(), call(be, "r1", document(100)))
			tokens := -1
			for err == nil {
				tokens++
				_, err = stream.Next()
			}
			assert.Equal(t, err.Error() == "EOF" && tokens == 4, tc.whole, "%v after %d", err, tokens)
		})
	}
}

func TestEngineOrders(t *testing.T) {
	// An old lease holder's order comes late. An engine that checks the number refuses it; one that does not obeys it.
	for name, checks := range map[string]bool{"checks": true, "ignores": false} {
		t.Run(name, func(t *testing.T) {
			be := start(t, func(opts *stand.EngineOptions) { opts.CheckFencing = checks })
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
