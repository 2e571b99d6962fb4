// Package lines writes a program's log without blocking the program. Lines over the rate limit or beyond the buffer are
// dropped and counted.
package lines

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"

	"dandelionsail.example/dandelionsail/internal/tasks"
)

// backlog is the number of buffered lines. At a few hundred bytes each they take less than a megabyte.
const backlog = 1024

const (
	// closeChecks is how often Close looks whether all lines are written, once in each closeCheckPeriod. An output that is
	// full and that nobody reads would otherwise keep the process past its grace period. Checks are counted, instead of one
	// timer, so that a process that stands still in between does not lose its last lines.
	closeChecks      = 9
	closeCheckPeriod = 10 * time.Millisecond
)

// Writer implements log.Writer. It limits the lines per second, with a burst of one second's lines. Otherwise a burst of
// decisions would use the processor time and the disk of whoever stores the log.
type Writer struct {
	async   *log.AsyncWriter
	limiter *rate.Limiter
	dropped atomic.Int64
	failed  atomic.Int64
	// mu guards closed. The async writer must not be used after it was closed.
	mu     sync.RWMutex
	closed bool
}

// output passes lines on and counts those that could not be written.
type output struct {
	to io.Writer
	wr *Writer
}

// Write implements io.Writer.
func (out output) Write(line []byte) (int, error) {
	count, err := out.to.Write(line)
	if err != nil {
		out.wr.failed.Add(1)
	}
	return count, err
}

// New returns a writer that writes at most perSecond lines per second to out.
func New(out io.Writer, perSecond int) *Writer {
	wr := &Writer{limiter: rate.NewLimiter(rate.Limit(perSecond), perSecond)}
	wr.async = &log.AsyncWriter{Writer: &log.IOWriter{Writer: output{out, wr}}, ChannelSize: backlog, DiscardOnFull: true}
	return wr
}

// WriteEntry implements log.Writer. It returns 0 for a dropped line.
func (wr *Writer) WriteEntry(entry *log.Entry) (int, error) {
	wr.mu.RLock()
	defer wr.mu.RUnlock()
	if wr.closed || !wr.limiter.Allow() {
		wr.dropped.Add(1)
		return 0, nil
	}
	count, err := wr.async.WriteEntry(entry)
	if err == log.ErrAsyncWriterFull {
		wr.dropped.Add(1)
		return 0, nil
	}
	return count, err
}

// Dropped returns the number of dropped lines.
func (wr *Writer) Dropped() int64 { return wr.dropped.Load() }

// Failed returns the number of lines that the output did not accept, because its reader has gone or its disk is full.
func (wr *Writer) Failed() int64 { return wr.failed.Load() }

// Unlimit removes the limit of the rate. It is called when the process ends, so that the line which says why is not dropped.
func (wr *Writer) Unlimit() { wr.limiter.SetLimit(rate.Inf) }

// Close writes the buffered lines, as far as the output accepts them in time. Lines that come later are dropped: a goroutine
// that is still at work while the process ends may write one.
func (wr *Writer) Close() error {
	wr.mu.Lock()
	closed := wr.closed
	wr.closed = true
	wr.mu.Unlock()
	if closed {
		return nil
	}
	return within(func() error { return wr.async.Close() })
}

// Print writes the text to an output of the program, which may be full. The text is lost if the output does not accept it in
// time.
func Print(out io.Writer, text string) {
	_ = within(func() error {
		_, err := io.WriteString(out, text)
		return err
	})
}

// ErrBlocked means that an output did not accept the lines in time.
var ErrBlocked = errors.New("lines: the output accepts no more lines; read it, or make room")

// within runs write and returns its error, or ErrBlocked if it takes too long.
func within(write func() error) error {
	ended := make(chan error, 1)
	go tasks.Guard("output", func() { ended <- write() })()
	for range closeChecks {
		select {
		case err := <-ended:
			return err
		case <-time.After(closeCheckPeriod):
		}
	}
	return ErrBlocked
}
