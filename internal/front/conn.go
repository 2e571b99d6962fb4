package front

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"dandelionsail.example/dandelionsail/internal/tasks"
)

const (
	// lingerQuiet is how long a connection that has ended waits for further bytes of its caller. A caller that reads the end closes it at once.
	lingerQuiet = 500 * time.Millisecond
	// lingerTime is the maximum time for which it reads and discards what its caller still sends, such as the rest of a long body that was refused.
	lingerTime = 5 * time.Second
	// lingerBytes is the maximum number of bytes that it reads and discards, more than the rest of a body that is not far over the limit.
	lingerBytes = 16 << 20
	// lingerBuffer is the size in bytes of the buffer for that.
	lingerBuffer = 4 << 10
	// recheckIdle is how long a connection that should be closed as idle is left open if a request may be on its way.
	recheckIdle = 100 * time.Millisecond
	// lateWriteTime is how long an answer may take to be written if its write deadline had passed before the caller could read it.
	lateWriteTime = 500 * time.Millisecond
)

// conn is a connection of a caller. http.Server calls it idle until the head of the next request is read whole, so that it could be closed while
// a request arrives, or after one has arrived that no goroutine has read yet. The caller would lose the request, or send it to another instance
// as well.
type conn struct {
	net.Conn
	srv *Server
	// raw gives access to the socket. It is nil for a connection that is none, in tests.
	raw syscall.RawConn
	// receive is receiveNow, so that it need not be allocated for each Read.
	receive func(fd uintptr) bool
	// reading holds the arguments and the results of receive. Only the goroutine that is in Read uses it.
	reading struct {
		buf   []byte
		count int
		err   error
	}

	// isFree and charged are what the connection has taken from the Limiter, which guards them. isFreed reports whether it was given back.
	isFree  bool
	charged int64
	isFreed bool
	// head is the number of bytes of the current head that were received. Only the goroutine that reads heads uses it.
	head int
	// refusedStreams is the number of refused requests under way on a connection with HTTP/2.
	refusedStreams atomic.Int64
	// writes is held while a connection with HTTP/2 is written to. It is not read meanwhile: the answers to what a caller sends that does not read
	// would pile up.
	writes sync.Mutex

	// mu guards the fields below. Bytes are taken from the socket under mu, so that none can arrive unnoticed.
	mu sync.Mutex
	// secure reports whether the connection carries TLS.
	secure bool
	// http2 reports whether it carries HTTP/2, on which http.Server loses no request.
	http2 bool
	// active reports whether the head of a request was read and its answer is not written yet.
	active bool
	// waiting reports whether http.Server waits for bytes, so that none of a request are in its buffer, except for fewer than four.
	waiting bool
	// received reports whether bytes have arrived since the connection became idle or was opened.
	received bool
	// lastRead is when bytes last arrived.
	lastRead time.Time
	// idleSince is when the connection became idle.
	idleSince time.Time
	// closed reports whether the connection has ended for http.Server. What arrives then is not read.
	closed bool
	// closedAt is when it ended.
	closedAt time.Time
	// left reports whether http.Server has closed it, after which no goroutine serves it.
	left bool
	// headSince is when the connection was accepted or the first byte of the current head arrived.
	headSince time.Time
	// writingSince is when the write under way began, zero if there is none.
	writingSince time.Time
	// streams holds the requests under way on a connection with HTTP/2, and streamBytes is what they take.
	streams     map[*Request]struct{}
	streamBytes int64
	// readDeadline is the time until which the caller may send what is being read, zero if it is not bounded.
	readDeadline time.Time
	// lingers reports whether linger was started.
	lingers bool
	// broken reports whether the answer that is being written ends before its end, and nothing but a reset shows that.
	broken bool
	// released reports whether the socket is closed.
	released bool
	// timer calls closeOverdue while the connection is idle.
	timer *time.Timer
	// request is the request that is being served, nil if there is none.
	request *Request
	// callerLeft reports whether the caller has closed its sending half or reset the connection.
	callerLeft bool
	// written is the number of bytes written since the request began.
	written int64
	// writeError is the first error of writing the answer.
	writeError error
	// writeDeadline is the time until which a caller that does not read is waited for, zero if it is not bounded.
	writeDeadline time.Time
	// sendsLong reports whether the kernel takes longSendBuffer bytes.
	sendsLong bool
	// extended reports whether the caller was given lateWriteTime since writeDeadline was set.
	extended bool
}

func newConn(srv *Server, nc net.Conn) *conn {
	now := time.Now()
	cn := &conn{Conn: nc, srv: srv, lastRead: now, headSince: now}
	if sys, ok := nc.(syscall.Conn); ok {
		cn.raw, _ = sys.SyscallConn()
		cn.receive = cn.receiveNow
	}
	return cn
}

// Read implements net.Conn. What is read of a head is counted.
func (cn *conn) Read(buf []byte) (int, error) {
	isHead, isHTTP2 := cn.reads()
	if isHTTP2 {
		cn.awaitWrite()
	}
	count, err := cn.receiveInto(buf)
	if isHead && count > 0 && err == nil {
		if err = cn.headRead(count); err != nil {
			return 0, err
		}
	}
	return count, err
}

// reads returns whether a head is read next, and whether the connection carries HTTP/2.
func (cn *conn) reads() (isHead, isHTTP2 bool) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return !cn.active && !cn.http2, cn.http2
}

// awaitWrite waits until nothing is being written.
func (cn *conn) awaitWrite() {
	cn.writes.Lock()
	defer cn.writes.Unlock()
}

// receiveInto reads what has arrived also if the read deadline has passed, as it may have while the process stood still.
func (cn *conn) receiveInto(buf []byte) (int, error) {
	if cn.raw == nil {
		return cn.readOther(buf)
	}
	cn.reading.buf = buf
	failed := cn.raw.Read(cn.receive)
	if failed == nil {
		return cn.reading.count, cn.reading.err
	}
	done := false
	if isTimeout(failed) && cn.raw.Control(func(fd uintptr) { done = cn.receiveNow(fd) }) == nil && done {
		return cn.reading.count, cn.reading.err
	}
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.waiting = false
	if cn.closed {
		return 0, io.EOF
	}
	return 0, failed
}

// receiveNow takes bytes from the socket without waiting, and returns false if there are none.
func (cn *conn) receiveNow(fd uintptr) (done bool) {
	cn.reading.count, done, cn.reading.err = cn.take(int(fd), cn.reading.buf)
	return done
}

func (cn *conn) take(fd int, buf []byte) (count int, done bool, err error) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.waiting = false
	if cn.closed {
		return 0, true, io.EOF
	}
	for {
		count, err = unix.Read(fd, buf)
		if err != unix.EINTR {
			break
		}
	}
	switch {
	case err == unix.EAGAIN:
		cn.waiting = true
		return 0, false, nil
	case err != nil:
		cn.callerLeft = true
		return 0, true, &net.OpError{Op: "read", Net: "tcp", Source: cn.LocalAddr(), Addr: cn.RemoteAddr(), Err: os.NewSyscallError("read", err)}
	case count == 0 && len(buf) > 0:
		cn.callerLeft = true
		return 0, true, io.EOF
	}
	cn.arrived()
	return count, true, nil
}

// arrived records that bytes have arrived. mu is held.
func (cn *conn) arrived() {
	cn.lastRead = time.Now()
	if !cn.received && !cn.idleSince.IsZero() {
		cn.headSince = cn.lastRead
	}
	cn.received = true
}

// readOther reads from a connection that is no socket.
func (cn *conn) readOther(buf []byte) (int, error) {
	cn.mu.Lock()
	cn.waiting = true
	cn.mu.Unlock()
	count, err := cn.Conn.Read(buf)
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.waiting = false
	if cn.closed {
		return 0, io.EOF
	}
	if count > 0 {
		cn.arrived()
	}
	cn.callerLeft = cn.callerLeft || err != nil && !isTimeout(err)
	return count, err
}

// Write implements net.Conn. The first part of a long answer is written by itself, so that the kernel takes more at a time once the caller has read it.
func (cn *conn) Write(buf []byte) (int, error) {
	if len(buf) <= longAnswer {
		return cn.write(buf)
	}
	first, err := cn.write(buf[:longAnswer])
	if err != nil {
		return first, err
	}
	rest, err := cn.write(buf[first:])
	return first + rest, err
}

// write writes a part of an answer. The write deadline bounds how long a caller that does not read is waited for. It may also pass while the process
// stands still; what the socket takes at once is written nevertheless, and the caller gets lateWriteTime to read the rest.
func (cn *conn) write(buf []byte) (int, error) {
	began := time.Now()
	if cn.beginWrite(began) {
		cn.writes.Lock()
		defer cn.writes.Unlock()
	}
	count, err := cn.Conn.Write(buf)
	for isTimeout(err) && cn.raw != nil {
		taken := 0
		if cn.raw.Control(func(fd uintptr) { taken = send(int(fd), buf[count:]) }) != nil {
			break
		}
		count += taken
		if count == len(buf) {
			err = nil
			break
		}
		if !cn.extendWrite(began, taken > 0) {
			break
		}
		var more int
		more, err = cn.Conn.Write(buf[count:])
		count += more
	}
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.written += int64(count)
	if cn.written >= longAnswer && !cn.sendsLong {
		cn.sendsLong = true
		cn.setSendBuffer(longSendBuffer)
	}
	cn.writingSince = time.Time{}
	if err != nil && cn.writeError == nil {
		cn.writeError = err
	}
	return count, err
}

// beginWrite records that a write begins and returns whether the connection carries HTTP/2.
func (cn *conn) beginWrite(now time.Time) bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.writingSince = now
	return cn.http2
}

// SetReadDeadline implements net.Conn.
func (cn *conn) SetReadDeadline(at time.Time) error {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.readDeadline = at
	return cn.Conn.SetReadDeadline(at)
}

// hasReadDeadline reports whether the time to send what is being read is bounded.
func (cn *conn) hasReadDeadline() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return !cn.readDeadline.IsZero()
}

// extendWrite gives the caller lateWriteTime once if it has had no time to read: the write began after its deadline, or the caller has read since the
// deadline. It reports whether it does.
func (cn *conn) extendWrite(began time.Time, hasRead bool) bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.extended || !hasRead && began.Before(cn.writeDeadline) {
		return false
	}
	cn.extended = true
	return cn.Conn.SetWriteDeadline(time.Now().Add(lateWriteTime)) == nil
}

// SetWriteDeadline implements net.Conn.
func (cn *conn) SetWriteDeadline(at time.Time) error {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.writeDeadline, cn.extended = at, false
	return cn.Conn.SetWriteDeadline(at)
}

// SetDeadline implements net.Conn.
func (cn *conn) SetDeadline(at time.Time) error {
	return errors.Join(cn.SetReadDeadline(at), cn.SetWriteDeadline(at))
}

// send writes what the socket takes without waiting.
func send(fd int, buf []byte) int {
	sent := 0
	for sent < len(buf) {
		count, err := unix.Write(fd, buf[sent:])
		if err == unix.EINTR {
			continue
		}
		if err != nil {
			break
		}
		sent += count
	}
	return sent
}

// beginActive records that the head of a request was read.
func (cn *conn) beginActive() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.active = true
	cn.stopTimer()
}

// beginIdle records that the answer was written and that the connection is kept.
func (cn *conn) beginIdle() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.headEnded()
	cn.active, cn.received, cn.waiting = false, false, false
	cn.idleSince = time.Now()
	cn.stopTimer()
	if cn.srv.opts.IdleLimit != nil {
		cn.timer = time.AfterFunc(cn.srv.opts.IdleLimit(), tasks.Guard("idle connection", cn.closeOverdue))
	}
}

func (cn *conn) stopTimer() {
	if cn.timer != nil {
		cn.timer.Stop()
		cn.timer = nil
	}
}

// closeOverdue closes the connection if it has been idle for too long. The limit may have been raised since it became idle. A part of a request holds the
// connection for HeaderTimeout: http.Server limits the time for the rest only once four bytes are there.
func (cn *conn) closeOverdue() {
	left := time.Until(cn.idleFrom().Add(cn.srv.opts.IdleLimit()))
	if left <= 0 {
		if cn.closeQuiet(cn.srv.opts.HeaderTimeout) {
			return
		}
		left = recheckIdle
	}
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.timer != nil {
		cn.timer.Reset(left)
	}
}

func (cn *conn) idleFrom() time.Time {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.idleSince
}

// closeQuiet closes the connection and returns true if no request is being served, none has arrived and none is arriving. One of which a part has
// arrived counts as arriving until nothing more has come for the given time, and for good if that is 0. The socket is asked just before: the
// goroutine that reads from it may not have run since a request arrived.
func (cn *conn) closeQuiet(partial time.Duration) bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	switch {
	case cn.closed:
		return true
	case cn.active || !cn.waiting || cn.http2:
		return false
	case cn.received && (partial == 0 || time.Since(cn.lastRead) < partial):
		return false
	}
	quiet := true
	if cn.raw != nil {
		err := cn.raw.Control(func(fd uintptr) {
			if quiet = !readable(int(fd)); quiet && !cn.secure {
				// The caller reads the end of the connection, and no reset, if it sends a request at this moment. TLS sends its own end first.
				_ = unix.Shutdown(int(fd), unix.SHUT_WR)
			}
		})
		quiet = quiet || err != nil
	}
	if !quiet {
		return false
	}
	cn.markClosed()
	// http.Server notices this, and calls Close.
	_ = cn.Conn.SetReadDeadline(time.Unix(1, 0))
	return true
}

// readable reports whether bytes, the end of the connection or an error can be read from the socket.
func readable(fd int) bool {
	var buf [1]byte
	_, _, err := unix.Recvfrom(fd, buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err != unix.EAGAIN && err != unix.EINTR
}

// CloseWrite closes the sending half. http.Server calls it if the caller may still be sending, and then waits for the caller to read the answer.
func (cn *conn) CloseWrite() error { return cn.end() }

// Close implements net.Conn. The socket is closed when the caller has closed its side, or after lingerQuiet: if bytes of the caller were left in
// it or came later, the kernel would send a reset, which may overtake the answer.
func (cn *conn) Close() error {
	cn.mu.Lock()
	left := cn.left
	cn.left = true
	released := cn.released
	cn.mu.Unlock()
	if released && !left {
		cn.srv.opts.Limiter.freed(cn)
	}
	return cn.end()
}

func (cn *conn) end() error {
	cn.mu.Lock()
	cn.markClosed()
	lingers, broken := cn.lingers, cn.broken
	cn.lingers = true
	cn.mu.Unlock()
	if broken {
		cn.abort()
		return nil
	}
	half, ok := cn.Conn.(interface{ CloseWrite() error })
	switch {
	case cn.srv.closing.Load() || !ok:
		return cn.release()
	case lingers:
		return nil
	}
	_ = half.CloseWrite()
	go tasks.Guard("closing connection", cn.linger)()
	return nil
}

// markClosed records that the connection has ended for http.Server. mu is held.
func (cn *conn) markClosed() {
	if !cn.closed {
		cn.closed, cn.closedAt = true, time.Now()
	}
	cn.stopTimer()
}

// linger reads and discards what the caller still sends until the caller closes its side.
func (cn *conn) linger() {
	buf := make([]byte, lingerBuffer)
	until := time.Now().Add(lingerTime)
	discarded := 0
	for now := time.Now(); now.Before(until) && discarded < lingerBytes; now = time.Now() {
		_ = cn.Conn.SetReadDeadline(now.Add(lingerQuiet))
		count, err := cn.Conn.Read(buf)
		if err != nil {
			break
		}
		discarded += count
	}
	_ = cn.release()
}

// release closes the socket. It may wait for a Read in another goroutine, so that mu must not be held.
func (cn *conn) release() error {
	cn.mu.Lock()
	released, left := cn.released, cn.left
	cn.released = true
	cn.mu.Unlock()
	if released {
		return nil
	}
	cn.srv.mu.Lock()
	delete(cn.srv.conns, cn)
	cn.srv.mu.Unlock()
	cn.srv.opts.Limiter.closed(cn)
	if left {
		cn.srv.opts.Limiter.freed(cn)
	}
	return cn.Conn.Close()
}

// foundHTTP2 reports whether the connection carries HTTP/2, once its TLS handshake has ended. It takes memory for that, or closes the connection.
func (cn *conn) foundHTTP2(secure *tls.Conn) bool {
	http2 := secure.ConnectionState().NegotiatedProtocol == "h2"
	cn.mu.Lock()
	begins := http2 && !cn.http2
	cn.secure, cn.http2 = true, http2
	if begins {
		cn.streams = map[*Request]struct{}{}
	}
	cn.mu.Unlock()
	lim := cn.srv.opts.Limiter
	if begins && !lim.charge(cn, http2Bytes, lim.account.TryConnection) {
		cn.abort()
	}
	return http2
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
