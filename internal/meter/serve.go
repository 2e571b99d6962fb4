package meter

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"dandelionsail.example/dandelionsail/internal/front"
	"dandelionsail.example/dandelionsail/internal/ports"
	"dandelionsail.example/dandelionsail/internal/tasks"
)

const (
	// headerTimeout limits the time to read the header of a request.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a connection may be idle.
	idleTimeout = 2 * time.Minute
)

// Serve serves the handler at the address until the context ends. It does nothing if the address is empty.
func Serve(ctx context.Context, address string, handler http.Handler, limiter *front.Limiter) error {
	if address == "" {
		return nil
	}
	listener, err := ports.Listen(address)
	if err != nil {
		return err
	}
	server := front.New(front.Options{Handler: handler, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, Limiter: limiter})
	var group errgroup.Group
	group.Go(tasks.GuardError("metrics server", func() error {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			return err
		}
		return nil
	}))
	group.Go(tasks.GuardError("metrics end", func() error {
		<-ctx.Done()
		return server.Close()
	}))
	return group.Wait()
}
