package lines_test

import (
	"bytes"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

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

// brokenWriter is an output that accepts nothing.
type brokenWriter struct{}

func (brokenWriter) Write([]byte) (int, error) { return 0, syscall.EPIPE }

func TestFailedWritesAreCounted(t *testing.T) {
	// The reader of the log has gone. Without a counter nothing tells a process whose log is lost from one that logs nothing.
	wr := lines.New(brokenWriter{}, 100)
	logger := log.Logger{Level: log.InfoLevel, Writer: wr}
	for range 3 {
		logger.Info().Msg("decided")
	}
	_ = wr.Close()
	assert.Equal(t, wr.Failed(), int64(3))
}

func TestLastLineIsNotLimited(t *testing.T) {
	// A burst of lines has used up the rate when the process ends. The line that says why it ends must not be dropped.
	var out bytes.Buffer
	wr := lines.New(&out, 1)
	logger := log.Logger{Level: log.InfoLevel, Writer: wr}
	for range 10 {
		logger.Info().Msg("decided")
	}
	wr.Unlimit()
	logger.Info().Msg("stopped")
	assert.NilError(t, wr.Close())
	assert.Assert(t, strings.Contains(out.String(), "stopped"), out.String())
}

func TestFullOutputDoesNotBlockTheEnd(t *testing.T) {
	// Nobody reads the log any more, and the pipe is full. The process must not wait for it at its end, until it is killed.
	synctest.Test(t, func(t *testing.T) {
		out := blockedWriter{make(chan struct{})}
		wr := lines.New(out, 100)
		logger := log.Logger{Level: log.InfoLevel, Writer: wr}
		logger.Info().Msg("stopped")
		start := time.Now()
		assert.ErrorIs(t, wr.Close(), lines.ErrBlocked)
		lines.Print(out, "error")
		assert.Assert(t, time.Since(start) < 200*time.Millisecond)
		close(out.release)
	})
}

func TestLineAfterTheEndIsDropped(t *testing.T) {
	// A timer or a connection that is still at work when the process ends writes a line after the writer was closed. The writer sent it
	// to a closed channel, which ended the process with a panic instead of status 0.
	var out bytes.Buffer
	wr := lines.New(&out, 100)
	logger := log.Logger{Level: log.InfoLevel, Writer: wr}
	assert.NilError(t, wr.Close())
	logger.Info().Msg("decided")
	assert.Equal(t, wr.Dropped(), int64(1))
	assert.NilError(t, wr.Close())
}
