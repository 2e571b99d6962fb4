// Package lines writes a program's log without ever making it wait: a line that finds no room is dropped and counted.
package lines

import (
	"io"
	"sync/atomic"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"
)

// backlog is how many lines wait to be written; at a few hundred bytes each they take less than a megabyte.
const backlog = 1024

// Writer implements log.Writer. It bounds the lines of a second, with a second's worth at once, so that a storm of
// decisions costs neither the processor time nor the disk of whoever keeps the log.
type Writer struct {
	async   *log.AsyncWriter
	limiter *rate.Limiter
	dropped atomic.Int64
}

// New returns a writer of at most so many lines a second to out.
func New(out io.Writer, perSecond int) *Writer {
	return &Writer{
		async:   &log.AsyncWriter{Writer: &log.IOWriter{Writer: out}, ChannelSize: backlog, DiscardOnFull: true},
		limiter: rate.NewLimiter(rate.Limit(perSecond), perSecond),
	}
}

// WriteEntry implements log.Writer.
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

// Dropped returns how many lines were not written.
func (wr *Writer) Dropped() int64 { return wr.dropped.Load() }

// Close writes what waits.
func (wr *Writer) Close() error { return wr.async.Close() }
