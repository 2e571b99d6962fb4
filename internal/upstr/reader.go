package upstr

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"sync/atomic"

	"dandelionsail.example/dandelionsail/internal/memory"
)

const (
	// maxLineBytes bounds one line of a stream; a longer line fails the stream.
	maxLineBytes = 64 << 10
	// maxEventBytes bounds the data of one event, which may have many lines; more fails the stream.
	maxEventBytes = 1 << 20
	// maxPending bounds the chunks that wait for an earlier one; beyond it the stream counts as broken and is resumed.
	maxPending = 64
)

// DroppedChunks counts the chunks that were dropped because they belong to another request or were already delivered.
var DroppedChunks atomic.Int64

var (
	endMarker  = []byte("[DONE]")
	endOfEvent = []byte("\n\n")
)

// Reader implements Stream for server-sent events. The id field of an event holds its request and offset as
// "request/offset". The event "[DONE]" is the end marker; its offset is the length of the answer.
type Reader struct {
	// Heartbeat, unless nil, is called for each comment, which an engine sends to show that it is still working.
	Heartbeat func()

	body    io.ReadCloser
	buf     *bufio.Reader
	request []byte
	name    string
	next    int64
	done    bool
	// data is the buffer of the event being read; it is reused for the next one.
	data []byte
	// pending holds chunks that arrived ahead of their turn, by offset; nil until the first one.
	pending map[int64][]byte
	// held counts data and pending.
	held memory.Part
}

// ErrMemory means that there is no memory for an event.
var ErrMemory = errors.New("upstr: no memory for an event of the answer; it is asked for again elsewhere")

// NewReader returns a reader for the answer of the request from the token offset on. What it holds is counted in the account, unless that is nil.
func NewReader(body io.ReadCloser, request string, offset int64, account *memory.Account) *Reader {
	return &Reader{
		held:    memory.Part{Account: account},
		body:    body,
		buf:     bufio.NewReaderSize(body, maxLineBytes),
		request: []byte(request),
		name:    request,
		next:    offset,
	}
}

// Next implements Stream. Events of another request and repeated events are dropped. An event ahead of its turn is kept
// until the earlier ones have arrived; if they never do, the stream is broken and the caller resumes it from its
// offset.
func (rd *Reader) Next() (Chunk, error) {
	for !rd.done {
		if data, ok := rd.pending[rd.next]; ok {
			delete(rd.pending, rd.next)
			rd.held.Shrink(len(data))
			return rd.deliver(data)
		}
		matches, offset, err := rd.readEvent()
		if err != nil {
			return Chunk{}, err
		}
		switch {
		case !matches || offset < rd.next:
			DroppedChunks.Add(1)
		case offset == rd.next:
			return rd.deliver(rd.data)
		case len(rd.pending) >= maxPending:
			return Chunk{}, io.ErrUnexpectedEOF
		default:
			if err := rd.addPending(offset); err != nil {
				return Chunk{}, err
			}
		}
	}
	return Chunk{}, io.EOF
}

// deliver returns the chunk whose turn it is, or io.EOF for the end marker.
func (rd *Reader) deliver(data []byte) (Chunk, error) {
	if bytes.Equal(data, endMarker) {
		rd.done = true
		return Chunk{}, io.EOF
	}
	chunk := Chunk{Request: rd.name, Offset: rd.next, Data: data}
	rd.next++
	return chunk, nil
}

func (rd *Reader) addPending(offset int64) error {
	if rd.pending == nil {
		rd.pending = map[int64][]byte{}
	}
	if !rd.held.Grow(len(rd.data)) {
		return ErrMemory
	}
	rd.held.Shrink(len(rd.pending[offset]))
	rd.pending[offset] = bytes.Clone(rd.data)
	return nil
}

// readEvent reads up to the blank line that ends an event with data. It returns whether the event belongs to the
// request, and its offset.
func (rd *Reader) readEvent() (matches bool, offset int64, err error) {
	rd.data = rd.data[:0]
	hasData := false
	for {
		line, err := rd.buf.ReadSlice('\n')
		if err != nil {
			return false, 0, unexpectedEOF(err)
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if hasData {
				return matches, offset, nil
			}
			matches, offset = false, 0
			continue
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "":
			rd.heartbeat()
		case "id":
			matches, offset = rd.parseID(value)
		case "data":
			if len(rd.data)+len(value) > maxEventBytes {
				return false, 0, bufio.ErrBufferFull
			}
			if err := rd.addData(value, hasData); err != nil {
				return false, 0, err
			}
			hasData = true
		}
	}
}

func (rd *Reader) heartbeat() {
	if rd.Heartbeat != nil {
		rd.Heartbeat()
	}
}

// addData appends one data line; several lines of one event are joined by line feeds.
func (rd *Reader) addData(value []byte, join bool) error {
	extended, ok := rd.held.Extend(rd.data, len(value)+1)
	if !ok {
		return ErrMemory
	}
	rd.data = extended
	if join {
		rd.data = append(rd.data, '\n')
	}
	rd.data = append(rd.data, value...)
	return nil
}

// parseID parses an id field of the form "request/offset" and reports whether it belongs to the request.
func (rd *Reader) parseID(value []byte) (matches bool, offset int64) {
	slash := bytes.LastIndexByte(value, '/')
	if slash < 0 || !bytes.Equal(value[:slash], rd.request) {
		return false, 0
	}
	offset, err := strconv.ParseInt(string(value[slash+1:]), 10, 64)
	return err == nil && offset >= 0, offset
}

// unexpectedEOF turns io.EOF before the end marker into io.ErrUnexpectedEOF and returns other errors as they are.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Buffered implements Stream.
func (rd *Reader) Buffered() bool {
	if _, ok := rd.pending[rd.next]; ok {
		return true
	}
	ahead, err := rd.buf.Peek(rd.buf.Buffered())
	return err == nil && bytes.Contains(ahead, endOfEvent)
}

// Close implements Stream.
func (rd *Reader) Close() error {
	rd.held.Release()
	return rd.body.Close()
}
