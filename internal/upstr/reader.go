package upstr

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"sync/atomic"
)

// maxLine bounds one line of a stream; a longer one ends it as broken.
const maxLine = 64 << 10

// Crossed counts the chunks that were dropped because they belong to another request or were passed on before.
var Crossed atomic.Int64

// Reader is the Stream of server-sent events. Each event carries its request and offset in the id field, as
// "request/offset"; the event "[DONE]" is the end marker.
type Reader struct {
	body    io.ReadCloser
	buf     *bufio.Reader
	request string
	next    int64
	done    bool
}

// NewReader reads the answer of the request from the token offset on.
func NewReader(body io.ReadCloser, request string, offset int64) *Reader {
	return &Reader{body: body, buf: bufio.NewReaderSize(body, maxLine), request: request, next: offset}
}

// Next implements Stream. Events of another request, or repeated ones, are dropped; a gap is a broken stream, which
// the caller resumes from its own offset.
func (rd *Reader) Next() (Chunk, error) {
	if rd.done {
		return Chunk{}, io.EOF
	}
	for {
		chunk, err := rd.event()
		if err != nil {
			return Chunk{}, err
		}
		if chunk.Request != rd.request || chunk.Offset < rd.next {
			Crossed.Add(1)
			continue
		}
		if chunk.Offset > rd.next {
			return Chunk{}, io.ErrUnexpectedEOF
		}
		if string(chunk.Data) == "[DONE]" {
			rd.done = true
			return Chunk{}, io.EOF
		}
		rd.next++
		return chunk, nil
	}
}

// event reads up to the blank line that ends an event.
func (rd *Reader) event() (Chunk, error) {
	var chunk Chunk
	for {
		line, err := rd.buf.ReadSlice('\n')
		if err != nil {
			return chunk, broken(err)
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 && chunk.Data != nil {
			return chunk, nil
		}
		chunk.read(line)
	}
}

// read takes one "field: value" line; comments and unknown fields are passed over.
func (ch *Chunk) read(line []byte) {
	field, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(field) {
	case "id":
		ch.readID(value)
	case "data":
		ch.Data = append(ch.Data, value...)
	}
}

func (ch *Chunk) readID(value []byte) {
	slash := bytes.LastIndexByte(value, '/')
	if slash < 0 {
		return
	}
	offset, err := strconv.ParseInt(string(value[slash+1:]), 10, 64)
	if err != nil {
		return
	}
	ch.Request = string(value[:slash])
	ch.Offset = offset
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
	return rd.buf.Buffered() > 0
}

// Close implements Stream.
func (rd *Reader) Close() error {
	return rd.body.Close()
}
