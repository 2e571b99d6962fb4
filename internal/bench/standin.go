package bench

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"dandelionsail.example/dandelionsail/internal/plat"
	"dandelionsail.example/dandelionsail/internal/stand"
	"dandelionsail.example/dandelionsail/internal/tool"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// standinOptions are the settings common to the stand-ins that the platform's instance list contains.
type standinOptions struct {
	Name          string `long:"name" env:"SAILBENCH_NAME" description:"name in the platform's instance list" required:"yes"`
	Service       string `long:"service" env:"SAILBENCH_SERVICE" description:"service that this replica belongs to" required:"yes"`
	FailureDomain string `long:"failure-domain" env:"SAILBENCH_FAILURE_DOMAIN" description:"failure domain" default:"a"`
	Listen        string `long:"listen" env:"SAILBENCH_LISTEN" description:"address, host:port; port 0 picks a free one" default:"127.0.0.1:0"`
	Platform      string `long:"platform" env:"SAILBENCH_PLATFORM" description:"address of the platform at which to register; empty registers nowhere"`

	Leaving      bool          `long:"leaving" description:"say in all answers that the upstream leaves"`
	RefusedShare float64       `long:"refused-share" description:"share of calls, 0 to 1, that are refused with a time of rest" default:"0"`
	Rest         time.Duration `long:"rest" description:"time of rest that a refused caller is asked for" default:"3s"`
}

// announcements returns what the stand-in announces.
func (opts *standinOptions) announcements() stand.Announcements {
	return stand.Announcements{Leaving: opts.Leaving, RefusedShare: opts.RefusedShare, Rest: decl.Duration(opts.Rest)}
}

// check validates the addresses. The error names the flag, its value and what is allowed.
func (opts *standinOptions) check() error {
	if opts.RefusedShare < 0 || opts.RefusedShare > 1 || opts.Rest < 0 {
		return tool.Usage(fmt.Errorf("bench: --refused-share is %g and --rest %s; give a share from 0 to 1 and 0s or more", opts.RefusedShare, opts.Rest))
	}
	for flag, address := range map[string]string{"listen": opts.Listen, "platform": opts.Platform} {
		if address == "" && flag == "platform" {
			continue
		}
		if _, _, err := net.SplitHostPort(address); err != nil {
			return tool.Usage(fmt.Errorf("bench: --%s is %q; give host:port", flag, address))
		}
	}
	return nil
}

// stopTime bounds how long a stand-in waits for open connections when it stops.
const stopTime = time.Second

// serve prints the address that it listens on and calls listening with it. It then serves the handler and runs a background
// function until SIGINT or SIGTERM.
func serve(address string, handler http.Handler, listening func(address string) error, run func(context.Context) error) error {
	ctx, stop := tool.Context()
	defer stop()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("bench: --listen %s cannot be used; choose a free address: %w", address, err)
	}
	fmt.Println(listener.Addr())
	if err := listening(listener.Addr().String()); err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return run(ctx) })
	group.Go(func() error { return server.Serve(listener) })
	group.Go(func() error {
		<-ctx.Done()
		limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTime)
		defer cancel()
		return server.Shutdown(limited)
	})
	if err := group.Wait(); err != nil && err != http.ErrServerClosed && err != context.Canceled {
		return err
	}
	return nil
}

// register adds the replica to the platform's instance list.
func (opts *standinOptions) register(address string) error {
	if opts.Platform == "" {
		return nil
	}
	return plat.Put(opts.Platform, plat.Entry{
		Name: opts.Name, Service: opts.Service, Address: address, FailureDomain: opts.FailureDomain, State: plat.StateLive,
	})
}
