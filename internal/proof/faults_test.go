package proof_test

import (
	"os"
	"slices"
	"strings"
	"sync"
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
			logs := &processLogs{}
			t.Cleanup(func() {
				if t.Failed() {
					t.Logf("the processes' last lines:\n%s", logs.tail())
				}
			})
			rp, err := proof.Run(t.Context(), proof.Options{
				Faults: faults, Seed: 1, Rate: 40, Before: 500 * time.Millisecond, Hold: time.Second, After: time.Second, Logs: logs,
			})
			assert.NilError(t, err)
			t.Log(rp.Seen(), rp.Notes)
			assert.Equal(t, len(rp.Violations), 0, strings.Join(rp.Violations, "\n"))
		})
	}
}

// logsKept is how much of the processes' lines is kept for a run that fails.
const logsKept = 256 << 10

// processLogs keeps the last lines that the processes of a run wrote.
type processLogs struct {
	mu   sync.Mutex
	last []byte
}

// Write implements io.Writer.
func (pl *processLogs) Write(lines []byte) (int, error) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.last = append(pl.last, lines...)
	if len(pl.last) > 2*logsKept {
		pl.last = slices.Clone(pl.last[len(pl.last)-logsKept:])
	}
	return len(lines), nil
}

func (pl *processLogs) tail() string {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return string(pl.last[max(0, len(pl.last)-logsKept):])
}
