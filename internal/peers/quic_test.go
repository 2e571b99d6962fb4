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

// heard is one message as a handler got it.
type heard struct {
	from string
	msg  wire.Message
}

// start runs a transport whose handler answers a ConfigWant with its own number and passes all messages on.
func start(t *testing.T, keys *peers.Keys) (*peers.QUIC, chan heard) {
	t.Helper()
	got := make(chan heard, 64)
	qu, err := peers.Listen("127.0.0.1:0", keys, func(_ context.Context, from string, msg wire.Message) wire.Message {
		select {
		case got <- heard{from, msg}:
		default:
		}
		if want, ok := msg.(wire.ConfigWant); ok {
			return wire.ConfigPatches{First: want.After}
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

// ask tries until the peer answers or the time is over; a peer under load may miss a handshake.
func ask(t *testing.T, qu *peers.QUIC, address string, msg wire.Message) (wire.Message, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	return qu.Ask(ctx, address, msg)
}

func TestMessagesBothWays(t *testing.T) {
	t.Parallel()
	authority := newAuthority(t)
	one, gotOne := start(t, issue(t, authority, "entry-1"))
	two, gotTwo := start(t, issue(t, authority, "entry-2"))
	answer, err := ask(t, one, two.Address(), wire.ConfigWant{After: 7})
	assert.NilError(t, err)
	assert.DeepEqual(t, answer, wire.ConfigPatches{First: 7})
	assert.DeepEqual(t, (<-gotTwo).from, "entry-1")
	// The way back uses the connection that the peer opened.
	two.Tell(one.Address(), wire.Quarantine{Deaths: 2})
	assert.DeepEqual(t, <-gotOne, heard{"entry-2", wire.Quarantine{Deaths: 2}}, cmpHeard)
	assert.Equal(t, two.Traffic().Dialled, int64(0))
	long := wire.ConfigPatches{Snapshot: make([]byte, 1<<20)}
	two.Tell(one.Address(), long)
	assert.DeepEqual(t, (<-gotOne).msg, long)
}

func TestPeerWithoutRightKeyGetsNothing(t *testing.T) {
	t.Parallel()
	// A process whose key another authority signed asks an instance for its configuration.
	// The handshake fails at whichever end checks first, the handler never sees the message, and the asker hears that
	// the peer cannot be reached.
	good, got := start(t, issue(t, newAuthority(t), "entry-1"))
	stranger, _ := start(t, issue(t, newAuthority(t), "entry-1"))
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	_, err := stranger.Ask(ctx, good.Address(), wire.ConfigWant{})
	assert.Assert(t, errorx.IsOfType(err, peers.Unreachable), "%v", err)
	stranger.Tell(good.Address(), wire.Quarantine{})
	_, err = good.Ask(ctx, stranger.Address(), wire.ConfigWant{})
	assert.Assert(t, errorx.IsOfType(err, peers.Unreachable), "%v", err)
	assert.Equal(t, len(got), 0)
}

func TestKeysReplacedWithoutRestart(t *testing.T) {
	t.Parallel()
	// Operators replace the authority: first the files of one instance, then those of the other.
	// Between the two steps the instances cannot speak, also not over the connection that was open before; after the
	// second they can, and neither was restarted.
	dir, other := t.TempDir(), t.TempDir()
	old, next := newAuthority(t), newAuthority(t)
	load := func(authority *certs.Authority, dir, name string) *peers.Keys {
		fs, err := authority.Write(dir, name)
		assert.NilError(t, err)
		keys, err := peers.LoadKeys(fs.CA, fs.Certificate, fs.Key)
		assert.NilError(t, err)
		return keys
	}
	one, _ := start(t, load(old, dir, "entry-1"))
	two, _ := start(t, load(old, other, "entry-2"))
	_, err := ask(t, one, two.Address(), wire.ConfigWant{})
	assert.NilError(t, err)
	replace(t, next, dir, "entry-1")
	eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		_, err := two.Ask(ctx, one.Address(), wire.ConfigWant{})
		return err != nil
	})
	replace(t, next, other, "entry-2")
	eventually(t, func() bool {
		_, err := ask(t, two, one.Address(), wire.ConfigWant{})
		return err == nil
	})
}

// replace writes new keys over the old ones with another time of change, however fast the test is.
func replace(t *testing.T, authority *certs.Authority, dir, name string) {
	t.Helper()
	fs, err := authority.Write(dir, name)
	assert.NilError(t, err)
	at := time.Now().Add(time.Minute)
	for _, path := range []string{fs.CA, fs.Certificate, fs.Key} {
		assert.NilError(t, os.Chtimes(path, at, at))
	}
}

func eventually(t *testing.T, holds func() bool) {
	t.Helper()
	for !holds() {
		if t.Context().Err() != nil {
			t.Fatal("did not come about")
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func TestPeerReplacedAtSameAddress(t *testing.T) {
	t.Parallel()
	// An instance is killed and another starts at its address. The connection to the first one stays open and silent
	// for good, since nothing closes it. It is given up after a message went unacknowledged, and the next message
	// reaches the new instance over a connection of its own.
	authority := newAuthority(t)
	one, _ := start(t, issue(t, authority, "entry-1"))
	first := listen(t, issue(t, authority, "entry-2"), "127.0.0.1:0")
	_, err := ask(t, one, first.address, wire.ConfigWant{})
	assert.NilError(t, err)
	first.kill()
	second := listen(t, issue(t, authority, "entry-2"), first.address)
	defer second.kill()
	eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		_, err := one.Ask(ctx, first.address, wire.ConfigWant{})
		return err == nil
	})
	assert.Equal(t, one.Traffic().Dialled, int64(2))
}
