package relay

import (
	"io"

	"dandelionsail.example/dandelionsail/internal/memory"
)

const (
	// maxPlainResponse is the maximum size in bytes of a response that is buffered until it is complete. A longer one is passed
	// on while it arrives, so that no other attempt can replace it.
	maxPlainResponse = 8 << 20
	// maxBuffered is the maximum size in bytes of all such buffers together, a part of an Instance's memory. Responses beyond it, or
	// beyond the bound of the memory account, are passed on while they arrive.
	maxBuffered = 64 << 20
	// minBuffer is the size in bytes of the first buffer for a response of unknown length. A buffer that is full is replaced by one of
	// twice its size.
	minBuffer = 4 << 10
	// declaredBuffer is the maximum size in bytes of the first buffer for a response that states its length. It is replaced by one for the
	// whole response, once that much has arrived.
	declaredBuffer = 64 << 10
)

// buffers buffers responses and counts them in the account. It is safe for concurrent use.
type buffers struct{ account *memory.Account }

// read reads the body, which has the declared length unless that is negative, until it ends, until maxPlainResponse is exceeded, or until
// the memory is used up. whole reports whether the body has ended. The caller releases the capacity of the buffer that is returned, also with an error.
func (bu *buffers) read(body io.Reader, declared int64) (buf []byte, whole bool, err error) {
	for {
		if len(buf) == cap(buf) {
			larger, ok := bu.grow(buf, declared)
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
func (bu *buffers) grow(buf []byte, declared int64) (larger []byte, ok bool) {
	size := max(minBuffer, 2*cap(buf))
	switch {
	case declared < 0 || int64(cap(buf)) > declared:
	case cap(buf) == 0:
		size = int(min(declared+1, declaredBuffer))
	default:
		size = int(min(declared, maxPlainResponse) + 1)
	}
	size = min(size, maxPlainResponse+1)
	if size <= cap(buf) || !bu.account.Try(memory.Answers, size) {
		return nil, false
	}
	if bu.account.Held(memory.Answers) > maxBuffered {
		bu.release(size)
		return nil, false
	}
	larger = make([]byte, len(buf), size)
	copy(larger, buf)
	bu.release(cap(buf))
	return larger, true
}

// release gives back the given number of bytes.
func (bu *buffers) release(count int) { bu.account.Release(memory.Answers, int64(count)) }
