package proof_test

import (
	"context"
	"net/http"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/bench"
	"dandelionsail.example/dandelionsail/internal/cmds"
	"dandelionsail.example/dandelionsail/internal/conf"
	"dandelionsail.example/dandelionsail/internal/fleet"
	"dandelionsail.example/dandelionsail/internal/load"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

func TestMain(m *testing.M) {
	fleet.Dispatch(map[string]func([]string) int{fleet.ProgramProduct: cmds.Main, fleet.ProgramBench: bench.Main})
	os.Exit(m.Run())
}

const token = "proof-token"

// configure submits a first configuration with a model service and a plain one.
func configure(t *testing.T, fl *fleet.Fleet) {
	t.Helper()
	cfg := decl.Config{
		Services: map[string]decl.Service{
			"lyric": {Kind: decl.KindModel, Models: []decl.Model{{Name: "lyric"}}, MemoryTokens: 400_000},
			"board": {Kind: decl.KindPlain, Path: "/board/"},
		},
		Organisations: map[string]decl.Organisation{"parish": {TokenDigests: []string{decl.TokenDigest(token)}}},
	}
	assert.NilError(t, conf.Seed(t.Context(), fl.Platform.Address, &cfg))
}

func TestStreamSurvivesEngineKill(t *testing.T) {
	// Callers stream answers from two engines through an entry instance, all separate processes. One engine is killed during
	// the streams. Every caller must still get a whole answer, resumed on the other engine.
	fl := &fleet.Fleet{}
	t.Cleanup(fl.Close)
	assert.NilError(t, fl.StartPlatform("--list-lag", "0s"))
	configure(t, fl)
	engines := map[string]*fleet.Process{}
	for _, name := range []string{"lyric-0", "lyric-1"} {
		engine, err := fl.StartEngine(name, "lyric", "a", "--step", "10ms")
		assert.NilError(t, err)
		engines[name] = engine
	}
	inst, err := fl.StartEntry("entry-0", "a")
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	assert.NilError(t, fleet.WaitReady(ctx, inst.Address))
	caller := &load.Caller{Address: inst.Address, Token: token, HTTP: http.DefaultClient}
	results := make(chan load.Result, 8)
	for i := range cap(results) {
		go func() { results <- caller.Complete(ctx, "lyric", load.Prompt(1000, uint64(i)), 100) }()
	}
	time.Sleep(300 * time.Millisecond)
	assert.NilError(t, engines["lyric-0"].Kill())
	for range cap(results) {
		res := <-results
		assert.Equal(t, res.Outcome, load.OutcomeWhole, res.Detail)
	}
}
