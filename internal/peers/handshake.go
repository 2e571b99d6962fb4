package peers

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"

	"github.com/quic-go/quic-go"

	"dandelionsail.example/dandelionsail/internal/tasks"
)

const (
	// freeHandshakes is how many handshakes may be under way before those of senders that are not known must show that they receive at the address
	// that they send from, which takes them another way there and back.
	freeHandshakes = 16
	// maxHandshakes is how many may be under way in all. A known peer's is let in besides.
	maxHandshakes = 64
)

// errBusy refuses a handshake.
var errBusy = errors.New("peers: too many handshakes are under way; connect again later")

// handshakes bounds the handshakes that others have begun and not ended. Until its end a handshake may be anybody's.
type handshakes struct {
	// known reports whether a peer is known to have the address.
	known func(address string) bool
	// reserve takes memory for a handshake, and is nil if nothing bounds it.
	reserve func() (release func(), ok bool)
	// count is the number of handshakes under way.
	count atomic.Int64
}

// mustVerify reports whether a sender must show that it receives at the address.
func (hs *handshakes) mustVerify(from net.Addr) bool {
	return hs.count.Load() >= freeHandshakes && !hs.known(from.String())
}

// handshakeKey is the context key of the function that ends a connection's handshake.
type handshakeKey struct{}

// begin lets a handshake in or refuses it. The context ends when the handshake fails or the connection closes.
func (hs *handshakes) begin(ctx context.Context, info *quic.ClientInfo) (context.Context, error) {
	release := func() {}
	if !hs.known(info.RemoteAddr.String()) {
		if hs.count.Load() >= maxHandshakes {
			return nil, errBusy
		}
		if hs.reserve != nil {
			var ok bool
			if release, ok = hs.reserve(); !ok {
				return nil, errBusy
			}
		}
	}
	hs.count.Add(1)
	end := sync.OnceFunc(func() {
		hs.count.Add(-1)
		release()
	})
	context.AfterFunc(ctx, tasks.Guard("handshake end", end))
	return context.WithValue(ctx, handshakeKey{}, end), nil
}

// endHandshake records that the peer is who its certificate says.
func endHandshake(conn *quic.Conn) {
	if end, ok := conn.Context().Value(handshakeKey{}).(func()); ok {
		end()
	}
}
