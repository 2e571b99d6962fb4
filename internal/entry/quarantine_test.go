package entry

import (
	"context"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/certs"
	"dandelionsail.example/dandelionsail/internal/peers"
	"dandelionsail.example/dandelionsail/internal/wire"
)

// startPeer runs a transport at the address until the returned function is called.
func startPeer(t *testing.T, authority *certs.Authority, name, address string, handler peers.Handler) (*peers.QUIC, func()) {
	t.Helper()
	pair, err := authority.Issue(name)
	assert.NilError(t, err)
	keys, err := peers.NewKeys(authority.Certificate, pair.Certificate, pair.Key)
	assert.NilError(t, err)
	qu, err := peers.Listen(address, keys, handler)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.WithoutCancel(t.Context()))
	ended := make(chan error, 1)
	go func() { ended <- qu.Run(ctx) }()
	return qu, func() {
		cancel()
		<-ended
	}
}

func TestDeathIsRepeatedIfTheConnectionEnds(t *testing.T) {
	// A peer stands still while a death is announced to it, and the connection is closed as silent for an earlier message. The
	// announcement must be repeated on a new one for as long as its caller waits. Otherwise the caller gets its answer before the
	// peer is informed, sends the request there, and a third upstream goes down.
	authority, err := certs.New()
	assert.NilError(t, err)
	in := New(Options{Name: "entry-0", FailureDomain: "a", Store: "127.0.0.1:1", Platform: "127.0.0.1:1"}, &log.Logger{Level: log.PanicLevel})
	var stop func()
	in.peers, stop = startPeer(t, authority, "entry-0", "127.0.0.1:0", func(context.Context, string, wire.Message) wire.Message { return nil })
	defer stop()
	reached := make(chan struct{}, 8)
	still, stopStill := startPeer(t, authority, "entry-1", "127.0.0.1:0", func(ctx context.Context, _ string, _ wire.Message) wire.Message {
		reached <- struct{}{}
		<-ctx.Done()
		return nil
	})
	address := still.Address()
	in.listedPeers.Store(&[]string{address})
	announced := make(chan struct{})
	go func() {
		in.sendQuarantine(wire.Quarantine{Deaths: 2, TTL: time.Minute})
		close(announced)
	}()
	<-reached
	stopStill()
	informed := make(chan struct{}, 8)
	_, stopAgain := startPeer(t, authority, "entry-1", address, func(context.Context, string, wire.Message) wire.Message {
		informed <- struct{}{}
		return nil
	})
	defer stopAgain()
	<-announced
	assert.Equal(t, len(informed), 1)
}
