package relay

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"dandelionsail.example/dandelionsail/internal/front"
	"dandelionsail.example/dandelionsail/internal/memory"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// The bodies of requests are the most that an Instance holds for callers. Each is counted in the memory account before it is read, so that one
// that does not fit waits on its socket, where the caller's window bounds it, or is refused before it has run anywhere.

const (
	// memoryWaitShare is the share of a request's time that it may wait for memory. The rest is for its answer, or for another try: callers
	// wait no longer than a third of their time before they send a request again.
	memoryWaitShare = 0.3
	// memoryRetryAfter is the Retry-After of a request that was refused for memory. A body is typically held for about as long.
	memoryRetryAfter = time.Second
	// discardTime is how long the body of a refused request is read and discarded. A connection that closes with unread bytes is
	// reset, which can discard the answer before the caller has read it. On a busy machine 300 ms are not enough for 4 MB.
	discardTime = time.Second
	// chunkedReserve is the reservation for a body of unknown length in relation to the maximum length: while its buffer is replaced
	// by one of twice the size, both are held.
	chunkedReserve = 1.5
)

// heldBody is the body of a caller's request and what is counted for it. Its reservation is given back as soon as the request cannot be sent
// again and no send reads it any more.
type heldBody struct {
	account *memory.Account
	data    []byte
	// length is the length of the body, also after data was dropped.
	length int
	// counted is the number of bytes that are reserved for it.
	counted atomic.Int64
	// reservedAt is when the larger part of counted was reserved at once, zero for a small body.
	reservedAt time.Time
	// readers is the number of open readers.
	readers atomic.Int32
	// resumable reports whether the request can be sent again after its answer has begun.
	resumable bool
	// dropped reports whether the request cannot be sent again.
	dropped atomic.Bool
}

// reserved adds a reservation.
func (hb *heldBody) reserved(size int64) {
	hb.counted.Add(size)
	if size > memory.SmallBody {
		hb.reservedAt = time.Now()
	}
}

// open returns a reader for one send.
func (hb *heldBody) open() (io.ReadCloser, error) {
	hb.readers.Add(1)
	if hb.dropped.Load() {
		hb.readerClosed()
		return nil, http.ErrBodyReadAfterClose
	}
	return &heldReader{held: hb, rest: hb.data}, nil
}

// answerBegan drops the body unless the rest of the answer can still be requested.
func (hb *heldBody) answerBegan() {
	if !hb.resumable {
		hb.drop()
	}
}

// drop states that the request cannot be sent again.
func (hb *heldBody) drop() {
	hb.data = nil
	if !hb.dropped.Swap(true) && hb.readers.Load() == 0 {
		hb.release()
	}
}

func (hb *heldBody) readerClosed() {
	if hb.readers.Add(-1) == 0 && hb.dropped.Load() {
		hb.release()
	}
}

// release gives the reservation back. It does so also while a reader is open: the call has ended, and net/http closes the reader soon.
func (hb *heldBody) release() {
	count := hb.counted.Swap(0)
	switch {
	case count == 0:
	case hb.reservedAt.IsZero():
		hb.account.Release(memory.Bodies, count)
	default:
		hb.account.ReleaseLarge(memory.Bodies, count, time.Since(hb.reservedAt))
	}
}

// end drops the body at the end of the call.
func (hb *heldBody) end() {
	hb.drop()
	hb.release()
}

// heldReader reads a heldBody for one send. net/http may keep the request for as long as its response, so that the reader lets the body go
// when it is closed.
type heldReader struct {
	// mu guards the fields below: net/http may close a body that it still reads.
	mu sync.Mutex
	// held is nil once the reader is closed.
	held *heldBody
	rest []byte
}

// Read implements io.Reader.
func (hr *heldReader) Read(buf []byte) (int, error) {
	hr.mu.Lock()
	defer hr.mu.Unlock()
	if hr.held == nil {
		return 0, http.ErrBodyReadAfterClose
	}
	if len(hr.rest) == 0 {
		return 0, io.EOF
	}
	count := copy(buf, hr.rest)
	hr.rest = hr.rest[count:]
	return count, nil
}

// Close implements io.Closer.
func (hr *heldReader) Close() error {
	hr.mu.Lock()
	defer hr.mu.Unlock()
	if hr.held != nil {
		hr.held.readerClosed()
	}
	hr.held, hr.rest = nil, nil
	return nil
}

// readBody reads the whole request body and reports whether that succeeded. It rejects a request whose body is too
// long, breaks off, does not arrive before the request's deadline, or finds no memory. Without an answer of its own to a broken body, net/http
// would answer 200 with an empty body.
func (in *Instance) readBody(cl *call) bool {
	limit := in.opts.MaxBody
	if configured := in.routing.Load().Limits.BodyBytes; configured > 0 {
		limit = configured
	}
	if cl.req.ContentLength > limit {
		in.reject(cl, http.StatusRequestEntityTooLarge, "body too long", 0)
		return false
	}
	if cl.req.Body == http.NoBody {
		return true
	}
	cl.body.account, cl.body.resumable = in.memory, cl.route.Repeats == decl.RetryResumed
	_ = cl.control.SetReadDeadline(cl.deadline)
	err := in.receiveBody(cl, limit)
	if err == nil {
		// With the deadline in force the server would take the caller as disconnected when it passes.
		_ = cl.control.SetReadDeadline(time.Time{})
		return true
	}
	cl.body.end()
	var tooLong *http.MaxBytesError
	var refusal memory.Refusal
	switch {
	case errors.As(err, &refusal):
		in.refuseForMemory(cl, refusal, limit)
	case errors.As(err, &tooLong):
		in.reject(cl, http.StatusRequestEntityTooLarge, "body too long", 0)
	case errors.Is(err, os.ErrDeadlineExceeded):
		cl.w.Header().Set("Connection", "close")
		cl.allowWrite(0)
		in.reject(cl, http.StatusRequestTimeout, "body too slow", 0)
	default:
		// Where the next request would begin on the connection is unknown.
		cl.w.Header().Set("Connection", "close")
		in.reject(cl, http.StatusBadRequest, "body incomplete", 0)
	}
	return false
}

// receiveBody reserves memory for the body and reads it. The first SmallBody bytes are read before the rest is reserved, so that a
// caller that sends nothing holds little.
func (in *Instance) receiveBody(cl *call, limit int64) error {
	from := http.MaxBytesReader(cl.w, cl.req.Body, limit)
	if cl.req.ContentLength < 0 {
		return in.receiveChunked(cl, from, limit)
	}
	length := cl.req.ContentLength
	first := min(length, memory.SmallBody)
	if err := in.reserveBody(cl, first); err != nil {
		return err
	}
	buf := make([]byte, first)
	if err := in.readGuarded(cl, from, first, func(from io.Reader) error {
		_, err := io.ReadFull(from, buf)
		return err
	}); err != nil {
		return err
	}
	if length > first {
		if err := in.reserveBody(cl, length-first); err != nil {
			return err
		}
		whole := make([]byte, length)
		copy(whole, buf)
		if err := in.readLong(cl, from, length-first, func(from io.Reader) error {
			_, err := io.ReadFull(from, whole[first:])
			return err
		}); err != nil {
			return err
		}
		buf = whole
	}
	cl.body.data, cl.body.length = buf, len(buf)
	return nil
}

// receiveChunked is receiveBody for a body of unknown length. If it is longer than SmallBody, all that it may become is reserved at once:
// several that each waited for a little more could otherwise wait for each other.
func (in *Instance) receiveChunked(cl *call, from io.Reader, limit int64) error {
	if err := in.reserveBody(cl, memory.SmallBody); err != nil {
		return err
	}
	buf, whole := make([]byte, 0, minBuffer), false
	err := in.readGuarded(cl, from, -1, func(from io.Reader) (err error) {
		buf, whole, err = readInto(from, buf, memory.SmallBody)
		return err
	})
	if err != nil {
		return err
	}
	if !whole {
		if err := in.reserveBody(cl, int64(chunkedReserve*float64(limit))-memory.SmallBody); err != nil {
			return err
		}
		err = in.readLong(cl, from, -1, func(from io.Reader) error {
			// The reader returns an error for the byte after the limit.
			buf, _, err = readInto(from, buf, int(limit)+1)
			return err
		})
		if err != nil {
			return err
		}
	}
	if unused := cl.body.counted.Load() - int64(cap(buf)); unused > 0 {
		cl.body.counted.Add(-unused)
		in.memory.Release(memory.Bodies, unused)
	}
	cl.body.data, cl.body.length = buf, len(buf)
	return nil
}

// readInto appends what it reads to the buffer until the reader ends or size bytes are there. A full buffer is replaced by one of twice its
// size. whole reports whether the reader has ended.
func readInto(from io.Reader, buf []byte, size int) (read []byte, whole bool, err error) {
	for len(buf) < size {
		if len(buf) == cap(buf) {
			buf = append(make([]byte, 0, min(2*cap(buf), size)), buf...)
		}
		count, err := from.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+count]
		if err == io.EOF {
			return buf, true, nil
		}
		if err != nil {
			return buf, false, err
		}
	}
	return buf, false, nil
}

// readLong calls read with a reader of the rest of a body that has a long reservation and is yet to have the given number of bytes, negative if
// that is unknown. If the caller stops sending, or sends too slowly for its deadline, while other requests wait for memory, the read
// ends with memory.SlowBody.
func (in *Instance) readLong(cl *call, from io.Reader, rest int64, read func(from io.Reader) error) error {
	done := front.ReceiveLong(cl.req)
	defer done()
	return in.readGuarded(cl, from, rest, read)
}

// readGuarded is readLong for a body that has any reservation.
func (in *Instance) readGuarded(cl *call, from io.Reader, rest int64, read func(from io.Reader) error) error {
	guard := &memory.SlowGuard{
		From: from, Rest: rest, Deadline: cl.deadline, Pressed: in.memory.Pressed,
		Interrupt: func() { _ = cl.control.SetReadDeadline(time.Now()) },
	}
	return guard.Watch(read)
}

// reserveBody reserves memory for a part of the call's body, and waits for its turn if there is none. The error is a memory.Refusal.
func (in *Instance) reserveBody(cl *call, size int64) error {
	if in.memory.TryNew(memory.Bodies, size) {
		cl.body.reserved(size)
		return nil
	}
	wait := time.Duration(memoryWaitShare * float64(time.Until(callerLeavesAt(cl.route, cl.arrived, cl.deadline))))
	waited, err := in.memory.Reserve(cl.req.Context(), memory.Bodies, size, wait)
	if err != nil {
		return err
	}
	cl.body.reserved(size)
	in.recordTime("Memory.Waited", waited)
	in.log.Info().Str("Request", cl.info.Name).Int64("Bytes", size).Int64("WaitedMs", waited.Milliseconds()).
		Int64("HeldBytes", in.memory.Total()).Msg("waited for memory")
	return nil
}

// refuseForMemory rejects a request that has found no memory. It has not run. What its caller sends of the body is discarded first.
func (in *Instance) refuseForMemory(cl *call, refusal memory.Refusal, limit int64) {
	waiting, _ := in.memory.Waiting()
	in.count("Memory.Refused." + string(refusal))
	in.log.Info().Str("Request", cl.info.Name).Str("Reason", string(refusal)).Int64("Bytes", cl.req.ContentLength).
		Int64("AgeMs", time.Since(cl.arrived).Milliseconds()).Int64("HeldBytes", in.memory.Total()).Int64("Waiting", waiting).Msg("refused for memory")
	if !in.discardBody(cl, refusal, limit) {
		cl.w.Header().Set("Connection", "close")
	}
	cl.allowWrite(0)
	in.reject(cl, http.StatusServiceUnavailable, "memory: "+string(refusal), memoryRetryAfter)
}

// discardBody reads the rest of the body within discardTime and reports whether that succeeded. A caller that waits for "100 Continue" has not
// sent it.
func (in *Instance) discardBody(cl *call, refusal memory.Refusal, limit int64) bool {
	if refusal == memory.SlowBody || refusal == memory.CallerLeft || cl.req.Header.Get("Expect") != "" {
		return false
	}
	_ = cl.control.SetReadDeadline(time.Now().Add(discardTime))
	_, err := io.Copy(io.Discard, http.MaxBytesReader(cl.w, cl.req.Body, limit))
	if err == nil {
		_ = cl.control.SetReadDeadline(time.Time{})
	}
	return err == nil
}
