package lines_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/lines"
)

func TestLineRateIsLimited(t *testing.T) {
	// A burst of log lines exceeds the rate limit. Without the limit it would use processor time and disk; with it the
	// first lines are written completely, the rest are counted, and the program does not block.
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

// blockedWriter is an output whose writes block until it is released.
type blockedWriter struct{ release chan struct{} }

func (st blockedWriter) Write(line []byte) (int, error) {
	<-st.release
	return len(line), nil
}

func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	// The reader of the log has stopped reading, so writes to the output block. Lines are dropped and counted, and the
	// program does not block.
	out := blockedWriter{make(chan struct{})}
	wr := lines.New(out, 10_000)
	logger := log.Logger{Level: log.InfoLevel, Writer: wr}
	for range 5000 {
		logger.Info().Msg("decided")
	}
	assert.Assert(t, wr.Dropped() > 0)
	close(out.release)
	assert.NilError(t, wr.Close())
}
