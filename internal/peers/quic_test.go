package peers_test

import (
	"context"
	"errors"
	"os"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/certs"
	"dandelionsail.example/dandelionsail/internal/peers"
	"dandelionsail.example/dandelionsail/internal/wire"
)

// received is one message with the name of its sender, as passed to a handler.
type received struct {
	from string
	msg  wire.Message
}

// start runs a transport whose handler answers a ConfigRequest with the requested version and puts all messages on the
// channel.
func start(t *testing.T, keys *peers.Keys) (*peers.QUIC, chan received) {
	t.Helper()
	got := make(chan received, 64)
	qu, err := peers.Listen("127.0.0.1:0", keys, func(_ context.Context, from string, msg wire.Message) wire.Message {
		select {
		case got <- received{from, msg}:
		default:
		}
		if request, ok := msg.(wire.ConfigRequest); ok {
			return wire.ConfigPatches{First: request.After}
		}
		return nil
	})
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.WithoutCancel(t.Context()))
	ended := make(chan error, 1)
	go func() { ended <- qu.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		assert.Assert(t, errors.Is(<-ended, context.Canceled))
	})
	return qu, got
}

func issue(t *testing.T, authority *certs.Authority, name string) *peers.Keys {
	t.Helper()
	pair, err := authority.Issue(name)
	assert.NilError(t, err)
	keys, err := peers.NewKeys(authority.Certificate, pair.Certificate, pair.Key)
	assert.NilError(t, err)
	return keys
}

func newAuthority(t *testing.T) *certs.Authority {
	t.Helper()
	authority, err := certs.New()
	assert.NilError(t, err)
	return authority
}

// request sends a message and waits up to 10 seconds for the answer; under load, a peer may be late for a handshake.
func request(t *testing.T, qu *peers.QUIC, address string, msg wire.Message) (wire.Message, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	return qu.Request(ctx, address, msg)
}

func TestBothPeersSendOverOneConnection(t *testing.T) {
	t.Parallel()
	authority := newAuthority(t)
	quA, gotA := start(t, issue(t, authority, "entry-1"))
	quB, gotB := start(t, issue(t, authority, "entry-2"))
	answer, err := request(t, quA, quB.Address(), wire.ConfigRequest{After: 7})
	assert.NilError(t, err)
	assert.DeepEqual(t, answer, wire.ConfigPatches{First: 7})
	assert.DeepEqual(t, (<-gotB).from, "entry-1")
	// The message in the other direction uses the connection that the peer opened.
	quB.Send(quA.Address(), wire.Quarantine{Deaths: 2})
	assert.DeepEqual(t, <-gotA, received{"entry-2", wire.Quarantine{Deaths: 2}}, cmpReceived)
	assert.Equal(t, quB.Traffic().Dialled, int64(0))
	long := wire.ConfigPatches{Snapshot: make([]byte, 1<<20)}
	quB.Send(quA.Address(), long)
	assert.DeepEqual(t, (<-gotA).msg, long)
}

func TestPeerOfAnotherAuthorityIsRefused(t *testing.T) {
	t.Parallel()
	// A process whose certificate another authority signed asks an instance for its configuration. The handshake has to
	// fail at whichever end checks first: the handler never gets the message, and both ends report the peer as unreachable.
	good, got := start(t, issue(t, newAuthority(t), "entry-1"))
	foreign, _ := start(t, issue(t, newAuthority(t), "entry-1"))
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	_, err := foreign.Request(ctx, good.Address(), wire.ConfigRequest{})
	assert.Assert(t, errorx.IsOfType(err, peers.Unreachable), "%v", err)
	foreign.Send(good.Address(), wire.Quarantine{})
	_, err = good.Request(ctx, foreign.Address(), wire.ConfigRequest{})
	assert.Assert(t, errorx.IsOfType(err, peers.Unreachable), "%v", err)
	assert.Equal(t, len(got), 0)
}

func TestKeysAreReloadedWithoutRestart(t *testing.T) {
	t.Parallel()
	// Operators replace the authority: first the files of one instance, then those of the other. Between the two steps the
	// instances must not communicate, not even over the connection that was open before. After the second step they can,
	// without a restart of either.
	dir, other := t.TempDir(), t.TempDir()
	old, next := newAuthority(t), newAuthority(t)
	load := func(authority *certs.Authority, dir, name string) *peers.Keys {
		fs, err := authority.Write(dir, name)
		assert.NilError(t, err)
		keys, err := peers.LoadKeys(fs.CA, fs.Certificate, fs.Key)
		assert.NilError(t, err)
		return keys
	}
	quA, _ := start(t, load(old, dir, "entry-1"))
	quB, _ := start(t, load(old, other, "entry-2"))
	_, err := request(t, quA, quB.Address(), wire.ConfigRequest{})
	assert.NilError(t, err)
	replace(t, next, dir, "entry-1")
	eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		_, err := quB.Request(ctx, quA.Address(), wire.ConfigRequest{})
		return err != nil
	})
	replace(t, next, other, "entry-2")
	eventually(t, func() bool {
		_, err := request(t, quB, quA.Address(), wire.ConfigRequest{})
		return err == nil
	})
}

// replace writes new keys over the old ones. It sets a later modification time, so that the change is detected even if the
// test writes both in quick succession.
func replace(t *testing.T, authority *certs.Authority, dir, name string) {
	t.Helper()
	fs, err := authority.Write(dir, name)
	assert.NilError(t, err)
	at := time.Now().Add(time.Minute)
	for _, path := range []string{fs.CA, fs.Certificate, fs.Key} {
		assert.NilError(t, os.Chtimes(path, at, at))
	}
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for !condition() {
		if t.Context().Err() != nil {
			t.Fatal("the condition did not become true")
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func TestNewInstanceAtSameAddressIsReached(t *testing.T) {
	t.Parallel()
	// An instance is killed and another one starts at its address. Nothing closes the connection to the first, which would
	// stay open and silent for good. It has to be closed once a message was not acknowledged, and the next message has to
	// reach the new instance over a new connection.
	authority := newAuthority(t)
	qu, _ := start(t, issue(t, authority, "entry-1"))
	first := listenBehindProxy(t, issue(t, authority, "entry-2"), "127.0.0.1:0")
	_, err := request(t, qu, first.address, wire.ConfigRequest{})
	assert.NilError(t, err)
	first.kill()
	second := listenBehindProxy(t, issue(t, authority, "entry-2"), first.address)
	defer second.kill()
	eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		_, err := qu.Request(ctx, first.address, wire.ConfigRequest{})
		return err == nil
	})
	assert.Equal(t, qu.Traffic().Dialled, int64(2))
}
