package lines_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/lines"
)

func TestStormIsBounded(t *testing.T) {
	// A thousand decisions come at once where a hundred lines a second are allowed. The first hundred are written whole,
	// the others are counted, and nothing waits.
	var out bytes.Buffer
	wr := lines.New(&out, 100)
	logger := log.Logger{Level: log.InfoLevel, Writer: wr}
	for range 1000 {
		logger.Info().Msg("decided")
	}
	assert.NilError(t, wr.Close())
	written := strings.Count(out.String(), "\n")
	assert.Assert(t, written >= 100 && written < 200, written)
	assert.Equal(t, int64(written)+wr.Dropped(), int64(1000))
}

// stuck is an output that takes nothing until it is released.
type stuck struct{ release chan struct{} }

func (st stuck) Write(line []byte) (int, error) {
	<-st.release
	return len(line), nil
}

func TestStuckOutputHoldsNobodyUp(t *testing.T) {
	// Whoever reads the log has stopped reading. Lines are dropped and counted, and the program goes on.
	out := stuck{make(chan struct{})}
	wr := lines.New(out, 10_000)
	logger := log.Logger{Level: log.InfoLevel, Writer: wr}
	for range 5000 {
		logger.Info().Msg("decided")
	}
	assert.Assert(t, wr.Dropped() > 0)
	close(out.release)
	assert.NilError(t, wr.Close())
}
