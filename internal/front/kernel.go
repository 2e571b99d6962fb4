package front

import (
	"net/http"

	"golang.org/x/sys/unix"
)

// limitKernel bounds what the kernel holds for the connection.
func (cn *conn) limitKernel() {
	cn.setWindow(receiveWindow)
	cn.setSendBuffer(sendBuffer)
}

// setWindow sets how many bytes the kernel receives that the process has not read.
func (cn *conn) setWindow(size int) { cn.setBuffer(unix.SO_RCVBUF, size) }

// setSendBuffer sets how many bytes the kernel takes of an answer that the caller has not read.
func (cn *conn) setSendBuffer(size int) { cn.setBuffer(unix.SO_SNDBUF, size) }

// setBuffer sets the size of one of the socket's buffers. A system that refuses has bounds of its own.
func (cn *conn) setBuffer(option, size int) {
	if cn.raw != nil {
		_ = cn.raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, option, size) })
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
