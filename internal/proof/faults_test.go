package proof_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/proof"
)

// proveVariable names the faults to inject besides the few of every run: names joined by +, runs joined by commas.
const proveVariable = "DANDELIONSAIL_PROVE"

func TestFaults(t *testing.T) {
	// Callers keep sending prompts and board updates while a fleet of processes is broken or replaced under them.
	// They see whole answers or clear refusals; the service ran no update twice and none of which it was said that it
	// did not; what was planned cut nobody; and the engines' memory is free afterwards.
	runs := map[string][]string{
		"poison":             {"poison"},
		"engine and rolling": {"engine-killed", "rolling-replacement"},
		"lost answers":       {"answers-lost", "connections-silent"},
		"poison and rolling": {"poison", "rolling-replacement"},
	}
	for _, names := range strings.FieldsFunc(os.Getenv(proveVariable), func(char rune) bool { return char == ',' }) {
		runs[names] = strings.Split(names, "+")
	}
	for name, faults := range runs {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rp, err := proof.Run(t.Context(), proof.Options{
				Faults: faults, Seed: 1, Rate: 40, Before: 500 * time.Millisecond, Hold: time.Second, After: time.Second,
			})
			assert.NilError(t, err)
			t.Log(rp.Seen(), rp.Notes)
			assert.Equal(t, len(rp.Violations), 0, strings.Join(rp.Violations, "\n"))
		})
	}
}
