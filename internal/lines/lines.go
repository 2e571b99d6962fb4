// Package lines writes a program's log without blocking the program. Lines over the rate limit or beyond the buffer are
// dropped and counted.
package lines

import (
	"io"
	"sync/atomic"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"
)

// backlog is the number of buffered lines. At a few hundred bytes each they take less than a megabyte.
const backlog = 1024

// Writer implements log.Writer. It limits the lines per second, with a burst of one second's lines. Otherwise a burst of
// decisions would use the processor time and the disk of whoever stores the log.
type Writer struct {
	async   *log.AsyncWriter
	limiter *rate.Limiter
	dropped atomic.Int64
}

// New returns a writer that writes at most perSecond lines per second to out.
func New(out io.Writer, perSecond int) *Writer {
	return &Writer{
		async:   &log.AsyncWriter{Writer: &log.IOWriter{Writer: out}, ChannelSize: backlog, DiscardOnFull: true},
		limiter: rate.NewLimiter(rate.Limit(perSecond), perSecond),
	}
}

// WriteEntry implements log.Writer. It returns 0 for a dropped line.
func (wr *Writer) WriteEntry(entry *log.Entry) (int, error) {
	if !wr.limiter.Allow() {
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

// Close writes the buffered lines.
func (wr *Writer) Close() error { return wr.async.Close() }
