package peers_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/peers"
	"dandelionsail.example/dandelionsail/internal/wire"
)

var cmpReceived = cmp.AllowUnexported(received{})

// udpProxy forwards packets between a transport and its peers. A test can stop the transport behind it without any packet
// reaching the peers, as if the process had been killed.
type udpProxy struct {
	address string
	killed  atomic.Bool
	outer   net.PacketConn
	stop    context.CancelFunc
	done    chan error
}

func listenBehindProxy(t *testing.T, keys *peers.Keys, address string) *udpProxy {
	t.Helper()
	qu, err := peers.Listen("127.0.0.1:0", keys, func(context.Context, string, wire.Message) wire.Message { return nil })
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.WithoutCancel(t.Context()))
	outer, err := net.ListenPacket("udp", address)
	assert.NilError(t, err)
	inner, err := net.Dial("udp", qu.Address())
	assert.NilError(t, err)
	px := &udpProxy{address: outer.LocalAddr().String(), outer: outer, stop: stop, done: make(chan error, 3)}
	var client atomic.Value
	go func() { px.done <- qu.Run(ctx) }()
	go func() {
		buf := make([]byte, 1<<16)
		for {
			n, from, err := outer.ReadFrom(buf)
			if err != nil {
				_ = inner.Close()
				px.done <- err
				return
			}
			client.Store(from)
			_, _ = inner.Write(buf[:n])
		}
	}()
	go func() {
		buf := make([]byte, 1<<16)
		for {
			n, err := inner.Read(buf)
			if err != nil {
				px.done <- err
				return
			}
			if !px.killed.Load() {
				_, _ = outer.WriteTo(buf[:n], client.Load().(net.Addr))
			}
		}
	}()
	return px
}

func (px *udpProxy) kill() {
	px.killed.Store(true)
	_ = px.outer.Close()
	px.stop()
	for range cap(px.done) {
		<-px.done
	}
}
