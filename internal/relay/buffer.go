package relay

import (
	"io"
	"sync/atomic"
)

const (
	// maxPlainResponse is the maximum size in bytes of a response that is buffered until it is complete. A longer one is passed
	// on while it arrives, so that no other attempt can replace it.
	maxPlainResponse = 8 << 20
	// maxBuffered is the maximum size in bytes of all such buffers together, a part of an Instance's memory. Responses beyond it
	// are passed on while they arrive.
	maxBuffered = 64 << 20
	// minBuffer is the size in bytes of the first buffer for a response. A buffer that is full is replaced by one of twice its
	// size.
	minBuffer = 4 << 10
)

// buffers counts the bytes of all buffered responses. It is safe for concurrent use.
type buffers struct{ bytes atomic.Int64 }

// read reads the body until it ends, until maxPlainResponse is exceeded, or until maxBuffered is used up. whole reports whether
// the body has ended. The caller releases the capacity of the buffer that is returned, also with an error.
func (bu *buffers) read(body io.Reader) (buf []byte, whole bool, err error) {
	for {
		if len(buf) == cap(buf) {
			larger, ok := bu.grow(buf)
			if !ok {
				return buf, false, nil
			}
			buf = larger
		}
		count, err := body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+count]
		if err == io.EOF {
			return buf, true, nil
		}
		if err != nil {
			return buf, false, err
		}
	}
}

// grow returns a larger buffer with the same contents, or false if the limits do not allow one. One byte more than
// maxPlainResponse shows whether a body of that size has ended.
func (bu *buffers) grow(buf []byte) (larger []byte, ok bool) {
	size := min(max(minBuffer, 2*cap(buf)), maxPlainResponse+1)
	if size <= cap(buf) {
		return nil, false
	}
	if bu.bytes.Add(int64(size)) > maxBuffered {
		bu.release(size)
		return nil, false
	}
	larger = make([]byte, len(buf), size)
	copy(larger, buf)
	bu.release(cap(buf))
	return larger, true
}

// release gives back the given number of bytes.
func (bu *buffers) release(count int) { bu.bytes.Add(-int64(count)) }
