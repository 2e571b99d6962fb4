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

var cmpHeard = cmp.AllowUnexported(heard{})

// relay stands between a transport and its peers, so that a test can end the transport without a word to them, as a
// killed process ends.
type relay struct {
	address string
	dead    atomic.Bool
	outer   net.PacketConn
	stop    context.CancelFunc
	ended   chan error
}

func listen(t *testing.T, keys *peers.Keys, address string) *relay {
	t.Helper()
	qu, err := peers.Listen("127.0.0.1:0", keys, func(context.Context, string, wire.Message) wire.Message { return nil })
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.WithoutCancel(t.Context()))
	outer, err := net.ListenPacket("udp", address)
	assert.NilError(t, err)
	inner, err := net.Dial("udp", qu.Address())
	assert.NilError(t, err)
	rl := &relay{address: outer.LocalAddr().String(), outer: outer, stop: stop, ended: make(chan error, 3)}
	var caller atomic.Value
	go func() { rl.ended <- qu.Run(ctx) }()
	go func() {
		buf := make([]byte, 1<<16)
		for {
			n, from, err := outer.ReadFrom(buf)
			if err != nil {
				_ = inner.Close()
				rl.ended <- err
				return
			}
			caller.Store(from)
			_, _ = inner.Write(buf[:n])
		}
	}()
	go func() {
		buf := make([]byte, 1<<16)
		for {
			n, err := inner.Read(buf)
			if err != nil {
				rl.ended <- err
				return
			}
			if !rl.dead.Load() {
				_, _ = outer.WriteTo(buf[:n], caller.Load().(net.Addr))
			}
		}
	}()
	return rl
}

func (rl *relay) kill() {
	rl.dead.Store(true)
	_ = rl.outer.Close()
	rl.stop()
	for range cap(rl.ended) {
		<-rl.ended
	}
}
