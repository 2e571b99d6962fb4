package meter

import (
	"context"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"dandelionsail.example/dandelionsail/internal/tasks"
)

// headerTimeout limits the time to read the header of a request.
const headerTimeout = 10 * time.Second

// Serve serves the handler at the address until the context ends. It does nothing if the address is empty.
func Serve(ctx context.Context, address string, handler http.Handler) error {
	if address == "" {
		return nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
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
