package clock_test

import (
	"go/ast"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/source"
)

// numbersOfTimes names the files that turn times into numbers or numbers into times, and why a step of the time of day does no harm
// there.
var numbersOfTimes = map[string]string{
	"internal/bench/storeslopes.go": "a key that nothing else has",
	"internal/certs/certs.go":       "a serial number",
	"internal/entry/instance.go":    "names of a run; a later run with a lower number refutes what the others say of it",
	"internal/front/conn.go":        "a deadline that has passed whatever the time of day is",
	"internal/relay/instance.go":    "a name of a run, compared for equality alone",
	"internal/relay/quarantine.go":  "a record in the store, which other instances read; the own times are steady, and a clock that is off moves the end of a quarantine",
	"internal/once/segment.go":      "deadlines of claims in the store, which other instances read; claims are kept for half an hour after them",
	"internal/once/shard.go":        "the same",
	"internal/store/era.go":         "a record in the store, which other instances read; a clock that is off by over RestoreTime cuts that short",
	"internal/order/limiter.go":     "entries in the store, which other instances read; the own times are steady",
	"pkg/burn/burn.go":              "the times are steady",
}

func TestTimesAreTurnedIntoNumbersInKnownPlaces(t *testing.T) {
	// Guards against a window, an age or a timeout that is kept as a number: unlike a time.Time it has no monotonic clock reading, so that
	// a step of the time of day ends it at once or never.
	conversions := map[string]bool{"Unix": true, "UnixNano": true, "UnixMilli": true, "UnixMicro": true}
	found := map[string]bool{}
	for _, dir := range []string{"internal", "pkg", "platform", "cmd"} {
		err := source.Walk(filepath.Join("..", "..", dir), func(path string, node ast.Node) {
			call, ok := node.(*ast.CallExpr)
			if !ok {
				return
			}
			if sel, ok := call.Fun.(*ast.SelectorExpr); ok && conversions[sel.Sel.Name] {
				found[strings.TrimPrefix(filepath.ToSlash(path), "../../")] = true
			}
		})
		assert.NilError(t, err)
	}
	for name := range found {
		assert.Check(t, numbersOfTimes[name] != "", "%s turns times into numbers; keep a time.Time, use clock.Steady, or say here why a step does no harm", name)
	}
	for name := range numbersOfTimes {
		assert.Check(t, found[name], "%s turns no times into numbers any more", name)
	}
}
