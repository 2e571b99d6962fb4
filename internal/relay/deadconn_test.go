package relay

import (
	"context"
	"net"
	"testing"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/cutoff"
	"dandelionsail.example/dandelionsail/internal/ports"
)

func TestConnectionThatWasIdleIsNotDead(t *testing.T) {
	// Guards against a sound connection that counts as dead: it was idle for longer than a dead one is waited for, and the first packets of the next
	// request are lost.
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	peer, err := listener.Accept()
	assert.NilError(t, err)
	defer func() { _ = peer.Close() }()
	_, err = conn.Write([]byte("x"))
	assert.NilError(t, err)
	time.Sleep(cutoff.MaxUnacknowledged + 200*time.Millisecond)
	// The peer's socket drops all packets from here on.
	ports.Descriptor(peer, func(fd int) {
		drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
		program := unix.SockFprog{Len: 1, Filter: (*unix.SockFilter)(unsafe.Pointer(&drop[0]))}
		err = unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
	assert.NilError(t, err)
	_, err = conn.Write([]byte("y"))
	assert.NilError(t, err)
	in := newTestInstance(t, "one", newFakeDirectory())
	att := &attempt{in: in, cl: &call{}}
	watch := att.watchSilence(context.Background(), time.Hour)
	defer watch.stop()
	time.Sleep(200 * time.Millisecond)
	unacknowledged, _ := acknowledgement(conn)
	assert.Assert(t, unacknowledged)
	assert.Equal(t, watch.proofOfConnection(conn), cutoff.None)
}
