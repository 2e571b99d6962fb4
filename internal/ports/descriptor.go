package ports

import (
	"net"
	"syscall"
)

// Descriptor calls use with the file descriptor of the connection and reports whether it could.
func Descriptor(conn net.Conn, use func(fd int)) bool {
	sys, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	return raw.Control(func(fd uintptr) { use(int(fd)) }) == nil
}
