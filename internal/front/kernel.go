package front

import (
	"net/http"

	"golang.org/x/sys/unix"
)

// limitKernel bounds what the kernel holds for the connection: the window in bytes for what nobody has read, and sendBuffer for what the caller
// does not read. A system that knows no such bounds has others.
func (cn *conn) limitKernel() {
	if cn.raw == nil {
		return
	}
	_ = cn.raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveWindow)
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer)
	})
}

// setWindow sets how many bytes the kernel receives that nobody has read.
func (cn *conn) setWindow(size int) {
	if cn.raw != nil {
		_ = cn.raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size) })
	}
}

// setSendBuffer sets how many bytes the kernel takes of an answer that the caller has not read.
func (cn *conn) setSendBuffer(size int) {
	if cn.raw != nil {
		_ = cn.raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, size) })
	}
}

// ReceiveLong lets the kernel receive more of the request's body at a time, since memory is reserved for it and it is about to be read. The caller
// calls done when it has read it.
func ReceiveLong(req *http.Request) (done func()) {
	cn, _ := req.Context().Value(connKey{}).(*conn)
	if cn == nil || req.ProtoMajor != 1 {
		return func() {}
	}
	cn.setWindow(longReceiveWindow)
	return func() { cn.setWindow(receiveWindow) }
}
