package relay

import (
	"net"
	"time"

	"golang.org/x/sys/unix"

	"dandelionsail.example/dandelionsail/internal/ports"
)

// hasUnread reports whether bytes that were received on the connection have not been read yet. It asks for their number and does not receive: that would
// take the report of a reset, and the reader of the answer would find an ordinary end.
func hasUnread(conn net.Conn) bool {
	count := 0
	ports.Descriptor(conn, func(fd int) { count, _ = unix.IoctlGetInt(fd, unix.TIOCINQ) })
	return count > 0
}

// acknowledgement reports whether something that was sent on the connection is not acknowledged, and the time since anything was received from the
// other end. Its operating system acknowledges what arrives also while its process is stopped or does not read, so that a connection on which
// nothing comes back is dead. TCP_USER_TIMEOUT is not set for that: Linux applies it also to an upstream that does not read a long body, which is
// alive.
func acknowledgement(conn net.Conn) (unacknowledged bool, sinceReceived time.Duration) {
	ports.Descriptor(conn, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			unacknowledged = info.Unacked > 0
			sinceReceived = time.Duration(info.Last_ack_recv) * time.Millisecond
		}
	})
	return unacknowledged, sinceReceived
}
