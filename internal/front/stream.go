package front

import (
	"net/http"
)

// streamResult is whether a request on a connection with HTTP/2 is let in.
type streamResult int

const (
	streamAdmitted streamResult = iota
	streamRefused
	// streamAborted means that the connection was closed, since its caller does not read refusals.
	streamAborted
)

// beginStream takes memory for a request on a connection with HTTP/2.
func (cn *conn) beginStream(rq *Request, size int64) streamResult {
	lim := cn.srv.opts.Limiter
	cn.mu.Lock()
	within := cn.streamBytes+size <= maxStreamBytes
	cn.mu.Unlock()
	if within && lim.charge(cn, size, lim.account.TryHead) {
		cn.mu.Lock()
		defer cn.mu.Unlock()
		cn.streamBytes += size
		cn.streams[rq] = struct{}{}
		return streamAdmitted
	}
	if cn.refusedStreams.Add(1) > maxRefusedStreams {
		cn.abort()
		return streamAborted
	}
	return streamRefused
}

// endStream gives back what beginStream has taken.
func (cn *conn) endStream(rq *Request, size int64) {
	cn.srv.opts.Limiter.uncharge(cn, size)
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.streamBytes -= size
	delete(cn.streams, rq)
}

// streamSize returns what a request on a connection with HTTP/2 takes.
func streamSize(req *http.Request) int64 {
	size := streamBytes + len(req.RequestURI)
	for name, values := range req.Header {
		size += len(name) + headerBytes
		for _, value := range values {
			size += len(value) + headerBytes
		}
	}
	return int64(size)
}

// headerBytes is what a name or a value of a header takes besides its text.
const headerBytes = 64
