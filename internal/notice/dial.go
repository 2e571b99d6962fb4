package notice

import (
	"context"
	"net"
)

// Dialer opens a connection.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// checkKey is the context key of the check that CheckedDialer makes.
type checkKey struct{}

// WithCheck returns a context for a message whose check is made again by CheckedDialer.
func WithCheck(ctx context.Context, check func() error) context.Context {
	return context.WithValue(ctx, checkKey{}, check)
}

// CheckedDialer returns a dialer that closes the connection again, and returns the error of the check, if the message for which
// it was opened must not be sent any more: opening a connection may take so long that the upstream has announced something
// meanwhile.
func CheckedDialer(dial Dialer) Dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if check, ok := ctx.Value(checkKey{}).(func() error); ok {
			if err := check(); err != nil {
				_ = conn.Close()
				return nil, err
			}
		}
		return conn, nil
	}
}
