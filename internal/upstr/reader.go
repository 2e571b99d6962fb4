package upstr

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"sync/atomic"
)

const (
	// maxLine bounds one line of a stream; a longer one ends it as broken.
	maxLine = 64 << 10
	// maxHeld bounds the chunks that wait for one that is late; with more the stream counts as broken and is resumed.
	maxHeld = 64
)

// Crossed counts the chunks that were dropped because they belong to another request or were passed on before.
var Crossed atomic.Int64

var (
	endMarker  = []byte("[DONE]")
	endOfEvent = []byte("\n\n")
)

// Reader is the Stream of server-sent events. Each event carries its request and offset in the id field, as
// "request/offset"; the event "[DONE]" is the end marker, whose offset is the length of the answer.
type Reader struct {
	// Heartbeat is called for each comment, by which an engine says that it is still at work; nil ignores them.
	Heartbeat func()

	body    io.ReadCloser
	buf     *bufio.Reader
	request []byte
	name    string
	next    int64
	done    bool
	// data is the buffer of the event being read, used again for the next one.
	data []byte
	// held has chunks that came before their turn, by offset; nil until the first one.
	held map[int64][]byte
}

// NewReader reads the answer of the request from the token offset on.
func NewReader(body io.ReadCloser, request string, offset int64) *Reader {
	return &Reader{
		body:    body,
		buf:     bufio.NewReaderSize(body, maxLine),
		request: []byte(request),
		name:    request,
		next:    offset,
	}
}

// Next implements Stream. Events of another request, or repeated ones, are dropped. One that came before its turn is
// held until those before it came; if they don't come, the stream is broken and the caller resumes it from its offset.
func (rd *Reader) Next() (Chunk, error) {
	for !rd.done {
		if data, ok := rd.held[rd.next]; ok {
			delete(rd.held, rd.next)
			return rd.take(data)
		}
		own, offset, err := rd.event()
		if err != nil {
			return Chunk{}, err
		}
		switch {
		case !own || offset < rd.next:
			Crossed.Add(1)
		case offset == rd.next:
			return rd.take(rd.data)
		case len(rd.held) >= maxHeld:
			return Chunk{}, io.ErrUnexpectedEOF
		default:
			rd.hold(offset)
		}
	}
	return Chunk{}, io.EOF
}

// take passes on the chunk whose turn it is, or ends the stream at its end marker.
func (rd *Reader) take(data []byte) (Chunk, error) {
	if bytes.Equal(data, endMarker) {
		rd.done = true
		return Chunk{}, io.EOF
	}
	chunk := Chunk{Request: rd.name, Offset: rd.next, Data: data}
	rd.next++
	return chunk, nil
}

func (rd *Reader) hold(offset int64) {
	if rd.held == nil {
		rd.held = map[int64][]byte{}
	}
	rd.held[offset] = bytes.Clone(rd.data)
}

// event reads up to the blank line that ends an event with data. It reports whether the event belongs to the request,
// and its offset.
func (rd *Reader) event() (own bool, offset int64, err error) {
	rd.data = rd.data[:0]
	hasData := false
	for {
		line, err := rd.buf.ReadSlice('\n')
		if err != nil {
			return false, 0, broken(err)
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if hasData {
				return own, offset, nil
			}
			own, offset = false, 0
			continue
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "":
			rd.heartbeat()
		case "id":
			own, offset = rd.identify(value)
		case "data":
			rd.addData(value, hasData)
			hasData = true
		}
	}
}

func (rd *Reader) heartbeat() {
	if rd.Heartbeat != nil {
		rd.Heartbeat()
	}
}

// addData takes one data line; several lines of one event are joined by line feeds.
func (rd *Reader) addData(value []byte, more bool) {
	if more {
		rd.data = append(rd.data, '\n')
	}
	rd.data = append(rd.data, value...)
}

// identify reads "request/offset".
func (rd *Reader) identify(value []byte) (own bool, offset int64) {
	slash := bytes.LastIndexByte(value, '/')
	if slash < 0 || !bytes.Equal(value[:slash], rd.request) {
		return false, 0
	}
	offset, err := strconv.ParseInt(string(value[slash+1:]), 10, 64)
	return err == nil && offset >= 0, offset
}

// broken turns every end of the connection before the end marker into io.ErrUnexpectedEOF, and keeps other errors.
func broken(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Buffered implements Stream.
func (rd *Reader) Buffered() bool {
	if _, ok := rd.held[rd.next]; ok {
		return true
	}
	ahead, err := rd.buf.Peek(rd.buf.Buffered())
	return err == nil && bytes.Contains(ahead, endOfEvent)
}

// Close implements Stream.
func (rd *Reader) Close() error {
	return rd.body.Close()
}
