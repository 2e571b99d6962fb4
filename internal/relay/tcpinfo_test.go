package relay

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/fault"
)

func TestLookForUnreadBytesLeavesTheResetToTheReader(t *testing.T) {
	// The silence check looks whether bytes wait on a connection that its replica resets at that moment. The kernel reports a reset once: if the look took it,
	// the read of the answer would find an ordinary end, and an answer without a length would look whole.
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	replica, err := listener.Accept()
	assert.NilError(t, err)
	assert.Assert(t, !hasUnread(conn))
	_, err = io.WriteString(replica, "part")
	assert.NilError(t, err)
	for !hasUnread(conn) {
		time.Sleep(time.Millisecond)
	}
	buf := make([]byte, 10)
	count, err := conn.Read(buf)
	assert.NilError(t, err)
	assert.Equal(t, string(buf[:count]), "part")
	assert.NilError(t, replica.(*net.TCPConn).SetLinger(0))
	assert.NilError(t, replica.Close())
	for !fault.IsReset(conn) {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, !hasUnread(conn))
	_, err = conn.Read(buf)
	assert.Assert(t, err != nil && err != io.EOF, "%v", err)
}
