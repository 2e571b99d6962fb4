package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"dandelionsail.example/dandelionsail/internal/memory"
	"dandelionsail.example/dandelionsail/internal/steer"
)

// readBufferSize is the initial size in bytes of the buffer for a stream.
const readBufferSize = 4 << 10

// maxEventBytes is the maximum size in bytes of one event, far above that of an engine's. Without a limit an event that does not end is held as fast as it
// arrives, until the stream counts as silent: gigabytes.
const maxEventBytes = 1 << 20

// stream forwards a stream of events, each only once it is complete: a replica may fail in the middle of an event, and
// the replica that resumes the stream sends that event again from its start.
func (att *attempt) stream(ctx context.Context, resp *http.Response) steer.Result {
	buf := make([]byte, 0, readBufferSize)
	held := memory.Part{Account: att.in.memory}
	defer held.Release()
	for {
		if len(buf) >= maxEventBytes {
			att.in.log.Warn().Str("Request", att.cl.info.Name).Str("Replica", att.eff.Replica.Name).Int("Bytes", len(buf)).Msg("event too long")
			return steer.ResultBroken
		}
		extended, ok := held.Extend(buf, 1)
		if !ok {
			att.in.log.Warn().Str("Request", att.cl.info.Name).Str("Replica", att.eff.Replica.Name).Int("Bytes", len(buf)).Msg("no memory for an event")
			return steer.ResultBroken
		}
		buf = extended
		count, err := resp.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+count]
		rest, writeErr := att.forward(ctx, resp, buf)
		if writeErr == errReplaced {
			return att.failureResult(ctx, errReplaced)
		}
		if writeErr != nil {
			return att.callerFailed(writeErr)
		}
		buf = append(buf[:0], rest...)
		if err == io.EOF && len(bytes.TrimSpace(buf)) == 0 && !att.endedUnbegun() {
			if !att.startResponse(ctx, resp) {
				return att.failureResult(ctx, errReplaced)
			}
			// Empty lines after the last event belong to the body, which is passed on unchanged.
			if _, err := att.cl.w.Write(buf); err != nil {
				return steer.ResultCancelled
			}
			att.ended.OpenEnded = isOpenEnded(resp)
			return steer.ResultDone
		}
		if err != nil {
			return att.failureResult(ctx, err)
		}
	}
}

// endedUnbegun reports whether the whole answer has no event, over all attempts. One without a length looks complete although its replica ended before
// the first event. Only a stream that the caller resumes may have none left.
func (att *attempt) endedUnbegun() bool {
	return att.lastEvent.IsZero() && att.cl.lastEventID == "" && att.cl.info.After == "" && !att.cl.headerSent.Load()
}

// isOpenEnded reports whether nothing but the end of its connection ends the response. Behind a detour that cannot be told for a response without
// a length.
func isOpenEnded(resp *http.Response) bool {
	_, isDetour := resp.Body.(*detourBody)
	return resp.ContentLength < 0 && (isDetour || len(resp.TransferEncoding) == 0)
}

// errReplaced means that another run was granted in place of an attempt before its answer could begin.
var errReplaced = errors.New("relay: another run was granted before the answer began")

// forward writes the complete events at the start of buf to the caller and returns the remaining bytes. The error is one of writing to the
// caller, or errReplaced.
func (att *attempt) forward(ctx context.Context, resp *http.Response, buf []byte) (rest []byte, err error) {
	end, lastID := 0, att.cl.lastEventID
	for {
		length := eventLength(buf[end:])
		if length == 0 {
			break
		}
		if id, found := eventID(buf[end : end+length]); found {
			lastID = id
		}
		end += length
	}
	if end == 0 {
		return buf, nil
	}
	if !att.cl.headerSent.Load() {
		att.cl.allowWrite(end)
		defer att.cl.limitWrites()
	}
	if !att.startResponse(ctx, resp) {
		return nil, errReplaced
	}
	att.cl.lastEventID = lastID
	att.recordProgress()
	defer att.watch.wrote()
	if _, err := att.cl.w.Write(buf[:end]); err != nil {
		return nil, err
	}
	if err := att.cl.control.Flush(); err != nil {
		return nil, err
	}
	return buf[end:], nil
}

// startResponse applies Began unless the attempt has forwarded an event already, and sends the caller the replica's
// header unless the caller has one already: a later replica only continues the stream of the first. It returns false, and
// sends nothing, if another run was granted in place of the attempt before the answer began.
func (att *attempt) startResponse(ctx context.Context, resp *http.Response) bool {
	if att.lastEvent.IsZero() && !att.began(ctx) {
		return false
	}
	if att.cl.headerSent.Load() {
		return true
	}
	att.in.recordTime("Requests.FirstByte.stream", time.Since(att.cl.arrived))
	att.in.announceClose(att.cl)
	copyHeader(att.cl.w.Header(), resp.Header)
	att.cl.headerSent.Store(true)
	att.cl.w.WriteHeader(http.StatusOK)
	return true
}

// recordProgress records that events arrived.
func (att *attempt) recordProgress() {
	now := time.Now()
	if !att.lastEvent.IsZero() {
		pause := now.Sub(att.lastEvent)
		att.in.apply(steer.Progressed{ID: att.cl.id, Attempt: att.eff.Attempt, Pause: pause})
		if pause > att.ended.Pause {
			att.ended.Pause, att.ended.PauseAt = pause, now
		}
	}
	att.lastEvent = now
	att.in.lastEvents.Store(att.eff.Replica.Name, now)
	att.watch.progressed(now, att.eff.GapTimeout)
}

// eventLength returns the length of the event at the start of buf, including the empty line that ends it, or 0 if the
// event is incomplete. An empty line at the very start does not end an event.
func eventLength(buf []byte) int {
	for at := 0; at < len(buf); {
		lineLength := bytes.IndexByte(buf[at:], '\n')
		if lineLength < 0 {
			return 0
		}
		if at > 0 && len(bytes.TrimRight(buf[at:at+lineLength], "\r")) == 0 {
			return at + lineLength + 1
		}
		at += lineLength + 1
	}
	return 0
}

// eventID returns the ID of an event and whether it has one.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if found {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
