package conf_test

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dandelionsail.example/dandelionsail/internal/conf"
	"dandelionsail.example/dandelionsail/internal/stand"
	"dandelionsail.example/dandelionsail/internal/store"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

func addOrganisation(name string) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`[{"op":"add","path":"/Organisations/%s","value":{"TokenDigests":[%q]}}]`, name, decl.TokenDigest(name)))
}

func patch(id string, base int64) conf.Patch {
	return conf.Patch{ID: id, Base: base, Author: "maya", Operations: addOrganisation(id)}
}

// newLog returns a log with count patches, and the key-value service that holds it.
func newLog(t *testing.T, count int64) (*conf.Log, *stand.KV) {
	kv := stand.NewKV(stand.Rates{})
	lg := conf.New(stand.NewMemoryStore(kv))
	for base := range count {
		_, err := lg.Submit(t.Context(), patch(fmt.Sprintf("p%d", base), base))
		assert.NilError(t, err)
	}
	return lg, kv
}

func TestStalePatchIsRefused(t *testing.T) {
	// Guards against applying a patch to versions that its author has not seen. An operator patches version 1 while
	// another operator made versions 2 and 3. The error must name the changes in between.
	lg, kv := newLog(t, 3)
	_, err := lg.Submit(t.Context(), patch("late", 1))
	assert.Assert(t, errorx.IsOfType(err, conf.Stale), "%v", err)
	newest, _ := errorx.ExtractProperty(err, conf.PropertyVersion)
	assert.Equal(t, newest, int64(3))
	assert.ErrorContains(t, err, "maya changed /Organisations/p1; maya changed /Organisations/p2")
	cfg, err := conf.New(stand.NewMemoryStore(kv)).Load(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(cfg.Organisations), 3)
}

func TestInvalidPatchIsRejectedAtomically(t *testing.T) {
	// Guards against a partly applied patch: if the second operation fails, the first must not take effect.
	digest := decl.TokenDigest("x")
	cases := map[string]struct{ operations, message string }{
		"path does not exist":            {`[{"op":"add","path":"/Organisations/x","value":{"TokenDigests":["` + digest + `"]}},{"op":"remove","path":"/Services/y"}]`, "operation 1 (remove /Services/y)"},
		"unknown field":                  {`[{"op":"add","path":"/Organisations/x","value":{"Tokens":[]}}]`, `/Organisations/x`},
		"reference to a missing service": {`[{"op":"add","path":"/Organisations/x","value":{"TokenDigests":["` + digest + `"],"Services":["nope"]}}]`, "/Organisations/x/Services"},
		"not a JSON Patch":               {`{"Organisations":{}}`, "RFC 6902"},
		"unknown section":                {`[{"op":"add","path":"/Zones/x","value":1}]`, "/Zones/x"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			lg, _ := newLog(t, 1)
			_, err := lg.Submit(t.Context(), conf.Patch{ID: "broken", Base: 1, Operations: json.RawMessage(tc.operations)})
			assert.Assert(t, errorx.IsOfType(err, conf.Broken), "%v", err)
			assert.ErrorContains(t, err, tc.message)
			cfg, err := lg.Load(t.Context())
			assert.NilError(t, err)
			assert.Equal(t, cfg.Version, int64(1))
		})
	}
}

func TestConcurrentSubmitsHaveOneWinner(t *testing.T) {
	// Guards against two patches that both become the same version. Ten operators patch the same version at once, each
	// through an instance of its own, and some responses of the store are lost. Exactly one patch must be accepted and
	// all others rejected as stale.
	synctest.Test(t, func(t *testing.T) {
		_, kv := newLog(t, 1)
		kv.SetFaults(stand.Faults{LostAnswers: 0.5})
		var mu sync.Mutex
		var group sync.WaitGroup
		won := 0
		for i := range 10 {
			group.Go(func() {
				version, err := conf.New(stand.NewMemoryStore(kv)).Submit(t.Context(), patch(fmt.Sprintf("racer%d", i), 1))
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					won++
					assert.Check(t, version == 2)
					return
				}
				assert.Check(t, errorx.IsOfType(err, conf.Stale), "%v", err)
			})
		}
		group.Wait()
		assert.Equal(t, won, 1)
	})
}

func TestResubmittedPatchIsAppliedOnce(t *testing.T) {
	// Guards against applying a patch twice. The response to a patch is lost and its operator resends it: at once, after
	// other patches, or after the log was trimmed. It must be applied once and return its first version.
	cases := map[string]struct {
		later   int64
		compact bool
	}{
		"at once":             {},
		"after other patches": {later: 3},
		"after a trim":        {later: 40, compact: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			lg, kv := newLog(t, 2)
			kv.SetFaults(stand.Faults{LostAnswers: 1})
			_, err := lg.Submit(t.Context(), patch("mine", 2))
			assert.NilError(t, err)
			kv.SetFaults(stand.Faults{})
			for i := range tc.later {
				_, err := lg.Submit(t.Context(), patch(fmt.Sprintf("other%d", i), 3+i))
				assert.NilError(t, err)
			}
			if tc.compact {
				lg.SnapshotEvery, lg.KeepPatches = 10, 4
				assert.NilError(t, lg.Compact(t.Context()))
				_, err := lg.Read(t.Context(), 3)
				assert.Assert(t, errorx.IsOfType(err, store.Missing), "%v", err)
			}
			again := conf.New(stand.NewMemoryStore(kv))
			version, err := again.Submit(t.Context(), patch("mine", 2))
			assert.NilError(t, err)
			assert.Equal(t, version, int64(3))
			other := patch("mine", 3+tc.later)
			other.Operations = addOrganisation("another")
			_, err = again.Submit(t.Context(), other)
			assert.Assert(t, errorx.IsOfType(err, conf.Broken), "%v", err)
		})
	}
}

func TestPausedSubmitterWritesIntoTrimmedLog(t *testing.T) {
	// Guards against accepting a patch that no reader ever sees. A submitter pauses between its read of version 2 and
	// its write while the log advances and is trimmed. Its key is free again, so the store accepts the write; the
	// submitter must still get a Stale error.
	lg, kv := newLog(t, 2)
	late := conf.New(&pausingStore{Store: stand.NewMemoryStore(kv), meanwhile: func() {
		for base := int64(2); base < 40; base++ {
			_, err := lg.Submit(t.Context(), patch(fmt.Sprintf("p%d", base), base))
			assert.NilError(t, err)
		}
		lg.SnapshotEvery, lg.KeepPatches = 10, 4
		assert.NilError(t, lg.Compact(t.Context()))
	}})
	_, err := late.Submit(t.Context(), patch("late", 2))
	assert.Assert(t, errorx.IsOfType(err, conf.Stale), "%v", err)
	cfg, err := conf.New(stand.NewMemoryStore(kv)).Load(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, cfg.Version, int64(40))
	_, ok := cfg.Organisations["late"]
	assert.Assert(t, !ok)
}

func TestRecoveryFromSnapshotAndPatches(t *testing.T) {
	lg, kv := newLog(t, 30)
	lg.SnapshotEvery, lg.KeepPatches = 10, 4
	assert.NilError(t, lg.Compact(t.Context()))
	_, err := lg.Submit(t.Context(), patch("after", 30))
	assert.NilError(t, err)
	whole, err := lg.Load(t.Context())
	assert.NilError(t, err)
	fresh := conf.New(stand.NewMemoryStore(kv))
	cfg, err := fresh.Load(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, cfg, whole)
	changes, err := fresh.Changes(t.Context(), 2)
	assert.NilError(t, err)
	assert.Equal(t, len(changes), 29)
	history, err := fresh.History(t.Context(), 2)
	assert.NilError(t, err)
	assert.Equal(t, len(history), 6)
	assert.Equal(t, history[5].ID, "after")
}

func TestPartialApplyMatchesFullApply(t *testing.T) {
	// Guards against a difference between the two ways of applying a patch. Apply encodes only the entries that a patch
	// names; the result must equal that of applying it to the whole document, also for moves, copies and failing tests.
	// A test operation on a whole section forces the full document.
	rapid.Check(t, func(t *rapid.T) {
		cfg := &decl.Config{Version: 5, Organisations: map[string]decl.Organisation{}, Services: map[string]decl.Service{}, Objectives: map[string]decl.Objective{}, Operators: map[string]decl.Operator{}}
		for _, name := range []string{"a", "b", "c/d"} {
			cfg.Organisations[name] = decl.Organisation{TokenDigests: []string{decl.TokenDigest(name)}, Weight: 1}
		}
		pointers := []string{"/Organisations/a", "/Organisations/b", "/Organisations/c~1d", "/Organisations/e", "/Operators/o"}
		var operations []string
		for range rapid.IntRange(1, 4).Draw(t, "count") {
			pointer := rapid.SampledFrom(pointers).Draw(t, "path")
			from := rapid.SampledFrom(pointers).Draw(t, "from")
			operations = append(operations, rapid.SampledFrom([]string{
				fmt.Sprintf(`{"op":"remove","path":%q}`, pointer),
				fmt.Sprintf(`{"op":"replace","path":"%s/Weight","value":3}`, pointer),
				fmt.Sprintf(`{"op":"add","path":%q,"value":{"TokenDigests":[%q]}}`, pointer, decl.TokenDigest(pointer)),
				fmt.Sprintf(`{"op":"move","path":%q,"from":%q}`, pointer, from),
				fmt.Sprintf(`{"op":"copy","path":%q,"from":%q}`, pointer, from),
				fmt.Sprintf(`{"op":"test","path":"%s/Weight","value":1}`, pointer),
			}).Draw(t, "operation"))
		}
		list := "[" + operations[0]
		for _, op := range operations[1:] {
			list += "," + op
		}
		part, errPart := conf.Apply(cfg, conf.Patch{Operations: json.RawMessage(list + "]")})
		whole, errWhole := conf.Apply(cfg, conf.Patch{Operations: json.RawMessage(list + `,{"op":"test","path":"/LengthClasses","value":[]}]`)})
		if (errPart == nil) != (errWhole == nil) {
			t.Fatalf("%s: partial apply: %v, full apply: %v", list, errPart, errWhole)
		}
		if errPart == nil {
			a, _ := part.Document()
			b, _ := whole.Document()
			assert.Equal(t, string(a), string(b))
		}
	})
}

// largeConfig returns a configuration of production size: 40 services and 1,700 organisations.
func largeConfig() *decl.Config {
	cfg := &decl.Config{Version: 1, Organisations: map[string]decl.Organisation{}, Services: map[string]decl.Service{}}
	for i := range 40 {
		name := fmt.Sprintf("model-%d", i)
		cfg.Services[name] = decl.Service{Kind: decl.KindModel, Models: []decl.Model{{Name: name, Version: "v1", Adapters: []string{"one", "two"}}}, MemoryTokens: 400_000}
	}
	for i := range 1700 {
		name := fmt.Sprintf("organisation-%d", i)
		cfg.Organisations[name] = decl.Organisation{
			TokenDigests: []string{decl.TokenDigest(name)},
			Weight:       1,
			Limits:       decl.Limits{RequestsPerSecond: 10, TokensPerSecond: 1e6, RequestsInFlight: 100, TokensInFlight: 1e7},
			Services:     []string{"model-1", "model-2", "model-3"},
		}
	}
	return cfg
}

// BenchmarkApply measures one patch at 1,700 organisations, applied to the entry it names or to the whole document.
func BenchmarkApply(b *testing.B) {
	cases := map[string]string{
		"Entry": `[{"op":"replace","path":"/Organisations/organisation-7/Weight","value":2}]`,
		"Whole": `[{"op":"replace","path":"/Organisations/organisation-7/Weight","value":2},{"op":"test","path":"/LengthClasses","value":[]}]`,
	}
	cfg := largeConfig()
	for name, operations := range cases {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := conf.Apply(cfg, conf.Patch{Operations: json.RawMessage(operations)}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
