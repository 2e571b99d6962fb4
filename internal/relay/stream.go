package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"dandelionsail.example/dandelionsail/internal/steer"
)

// readBuffer is how much of a stream is read at a time.
const readBuffer = 4 << 10

// stream passes a series of events on, each when it is whole: a replica may break off in the middle of one, and the
// replica that goes on begins with the next.
func (tr *try) stream(ctx context.Context, resp *http.Response) steer.Result {
	buf := make([]byte, 0, readBuffer)
	for {
		if len(buf) == cap(buf) {
			buf = append(make([]byte, 0, 2*cap(buf)), buf...)
		}
		count, err := resp.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+count]
		rest, ok := tr.pass(resp, buf)
		if !ok {
			return steer.ResultCancelled
		}
		buf = append(buf[:0], rest...)
		if err == io.EOF && len(bytes.TrimSpace(buf)) == 0 {
			tr.start(resp)
			return steer.ResultDone
		}
		if err != nil {
			return tr.failed(ctx)
		}
	}
}

// pass writes the whole events at the start of what has come and returns the rest.
func (tr *try) pass(resp *http.Response, buf []byte) (rest []byte, ok bool) {
	end := 0
	for {
		length := eventLength(buf[end:])
		if length == 0 {
			break
		}
		if id, found := eventID(buf[end : end+length]); found {
			tr.cl.after = id
		}
		end += length
	}
	if end == 0 {
		return buf, true
	}
	tr.start(resp)
	tr.progress()
	if _, err := tr.cl.w.Write(buf[:end]); err != nil {
		return nil, false
	}
	if err := tr.cl.control.Flush(); err != nil {
		return nil, false
	}
	return buf[end:], true
}

// start gives the caller the header of the first replica that answers; a later one only goes on.
func (tr *try) start(resp *http.Response) {
	if tr.last.IsZero() {
		tr.in.apply(steer.Began{ID: tr.cl.id, Attempt: tr.eff.Attempt})
	}
	if tr.cl.headerOut {
		return
	}
	tr.in.time("Requests.FirstByte.stream", time.Since(tr.cl.arrived))
	copyHeader(tr.cl.w.Header(), resp.Header)
	tr.cl.headerOut = true
	tr.cl.w.WriteHeader(http.StatusOK)
}

// progress notes that the replica was heard.
func (tr *try) progress() {
	now := time.Now()
	if !tr.last.IsZero() {
		pause := now.Sub(tr.last)
		tr.in.apply(steer.Progressed{ID: tr.cl.id, Attempt: tr.eff.Attempt, Pause: pause})
		if pause > tr.ended.Pause {
			tr.ended.Pause, tr.ended.PauseAt = pause, now
		}
	}
	tr.last = now
	tr.progressed.Store(&now)
	tr.checks.Store(0)
	tr.in.heard.Store(tr.eff.Replica.Name, now)
	tr.limit.Store(int64(tr.eff.GapBy))
	tr.timer.Reset(tr.eff.GapBy)
}

// eventLength is the length of the event at the start, with the empty line that ends it; 0 if it is not whole.
func eventLength(buf []byte) int {
	for at := 0; at < len(buf); {
		line := bytes.IndexByte(buf[at:], '\n')
		if line < 0 {
			return 0
		}
		if at > 0 && len(bytes.TrimRight(buf[at:at+line], "\r")) == 0 {
			return at + line + 1
		}
		at += line + 1
	}
	return 0
}

// eventID returns the id of an event.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if found {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
