// Package entry is the shell of an entry instance: HTTP towards callers, and the hands that carry out what the
// reducers decide.
package entry

import (
	"context"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"dandelionsail.example/dandelionsail/internal/conf"
	"dandelionsail.example/dandelionsail/internal/core"
	"dandelionsail.example/dandelionsail/internal/delay"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/lease"
	"dandelionsail.example/dandelionsail/internal/meter"
	"dandelionsail.example/dandelionsail/internal/once"
	"dandelionsail.example/dandelionsail/internal/peers"
	"dandelionsail.example/dandelionsail/internal/plat"
	"dandelionsail.example/dandelionsail/internal/store"
	"dandelionsail.example/dandelionsail/internal/upstr"
	"dandelionsail.example/dandelionsail/pkg/decl"

	"github.com/phuslu/log"
)

// Limits of the callers' side.
const (
	maxHeaderBytes    = 64 << 10
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
)

// Instance is one running entry instance.
type Instance struct {
	opts Options
	// run names this run of the instance: its name and when it started.
	run      string
	loop     *core.Loop
	upstream *upstr.Client
	store    *store.Client
	platform *plat.Client
	conf     *conf.Log
	follower *conf.Follower
	claims   *once.Claims
	leases   *lease.Holder
	log      *log.Logger
	// Meter holds the instance's counters, timers and service-level burn.
	Meter *meter.Meter
	// peers is nil in an instance without keys.
	peers *peers.QUIC
	// livePeers holds the peer addresses of the other live instances, never nil.
	livePeers atomic.Pointer[[]string]

	nextID atomic.Uint64
	config atomic.Pointer[directory]
	// listed tells that the platform named upstreams; draining that this instance is on its way out.
	listed   atomic.Bool
	draining atomic.Bool
	// asked tells that peers are asked for the quarantine, learned that they were or that there is none to ask.
	asked     bool
	learned   atomic.Bool
	newcomers newcomers
	mu        sync.Mutex
	calls     map[event.RequestID]*call
	pending   sync.WaitGroup
	// settling counts the claims and outcomes being recorded.
	settling sync.WaitGroup
	// heartbeats holds the addresses of engines that are known to send heartbeats.
	heartbeats sync.Map
	// reporters are the running load readers by upstream name.
	reporters map[string]context.CancelFunc
}

// New returns an instance that has not started.
func New(opts Options, logger *log.Logger) *Instance {
	in := &Instance{
		opts:      opts,
		run:       opts.Name + "." + strconv.FormatInt(time.Now().UnixMicro(), 36),
		upstream:  upstr.New(),
		store:     store.New(opts.Store),
		platform:  plat.New(opts.Platform),
		log:       logger,
		Meter:     meter.New(),
		calls:     map[event.RequestID]*call{},
		reporters: map[string]context.CancelFunc{},
	}
	in.conf = conf.New(in.store)
	in.follower = conf.NewFollower(in.conf, event.Instance{Name: opts.Name, FailureDomain: opts.FailureDomain}, in.acceptConfig)
	in.claims = once.New(in.store, opts.Name)
	in.leases = lease.New(in.store, in.run)
	in.config.Store(newDirectory(&decl.Config{}))
	policy, _ := opts.policy()
	in.livePeers.Store(&[]string{})
	in.loop = core.NewLoop(core.New(core.Options{
		Name:          opts.Name,
		FailureDomain: opts.FailureDomain,
		Seed:          seed(opts),
		Peers:         opts.PeerCert != "" || opts.PeerKeys != nil,
		Permits:       opts.PeerCert != "" || opts.PeerKeys != nil,
		Incarnation:   uint64(time.Now().UnixMicro()),
		NameRequest:   in.requestName,
		Policy:        policy,
	}), in.perform)
	return in
}

func seed(opts Options) uint64 {
	if opts.Seed != 0 {
		return opts.Seed
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(opts.Name))
	return hash.Sum64()
}

// Run serves until the context ends, then drains and returns.
func (in *Instance) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", in.opts.Listen)
	if err != nil {
		return Errors.NewType("listen").Wrap(err, "entry: --listen %s cannot be used; choose a free address", in.opts.Listen)
	}
	peer, err := in.OpenPeers()
	if err != nil {
		return err
	}
	// Who started the process with port 0 learns the addresses from here.
	fmt.Println(strings.TrimSpace(listener.Addr().String() + " " + peer))
	return in.Serve(ctx, listener)
}

// Serve is Run on a listener that is open already.
func (in *Instance) Serve(ctx context.Context, listener net.Listener) error {
	// Work under way outlives the order to stop, so the parts run under a context of their own.
	parts, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	server := &http.Server{
		Handler:           in.guard(in.routes()),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	in.joinState()
	group, parts := errgroup.WithContext(parts)
	group.Go(func() error { return in.loop.Run(parts) })
	group.Go(func() error { return in.follower.Run(parts) })
	group.Go(func() error { return in.follower.RunCompaction(parts) })
	group.Go(func() error { return in.followPlatform(parts) })
	group.Go(func() error { return in.claims.Run(parts) })
	group.Go(func() error { return in.leases.Run(parts) })
	group.Go(func() error { return in.keepState(parts) })
	group.Go(func() error { return in.Meter.Run(parts, in.log) })
	group.Go(func() error { return in.serveMetrics(parts) })
	if in.peers != nil {
		group.Go(func() error { return in.peers.Run(parts) })
	}
	group.Go(func() error { return in.serveCallers(server, listener) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-parts.Done():
		}
		defer stop()
		return in.drain(parts, server)
	})
	in.log.Info().Str("Instance", in.opts.Name).Str("Address", listener.Addr().String()).Msg("serving")
	err := group.Wait()
	in.close()
	if ctx.Err() != nil || err == context.Canceled {
		return nil
	}
	return err
}

func ignoreClosed(err error) error {
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

// drain stops without cutting a request: readiness goes off, the balancer gets time to see it, and what was admitted
// finishes.
func (in *Instance) drain(ctx context.Context, server *http.Server) error {
	in.draining.Store(true)
	in.log.Info().Str("Instance", in.opts.Name).Msg("draining")
	delay.For(ctx, in.opts.DrainNotice)
	in.loop.Submit(event.DrainStarted{})
	in.leaveQuarantine()
	deadline, cancel := context.WithTimeout(ctx, in.opts.DrainTime)
	defer cancel()
	err := server.Shutdown(deadline)
	in.settle(deadline)
	return err
}

// settle waits until every claim and outcome is recorded. A process that ended before would leave the claim of a
// request that was run, or was certainly not, as "may be running", and a resend would hear that its outcome is unknown.
func (in *Instance) settle(ctx context.Context) {
	// Requests whose caller left while its key was being claimed stay in the reducer until the claim is given back.
	for ctx.Err() == nil && in.unsettled() > 0 {
		delay.For(ctx, settlePause)
	}
	settled := make(chan struct{})
	go func() {
		defer close(settled)
		in.settling.Wait()
	}()
	select {
	case <-settled:
	case <-ctx.Done():
	}
}

// settlePause is the time between two looks at whether all claims are settled.
const settlePause = 10 * time.Millisecond

// unsettled returns how many requests the reducer still holds.
func (in *Instance) unsettled() int {
	count := 0
	in.loop.View(func(st *core.State) { count = len(st.Requests) })
	return count
}

// guard wraps all routes with what holds for each request, whatever becomes of it.
//
// While the instance drains, each answer says that its connection closes: a connection that the server closed by itself
// could just then carry the caller's next request, which would be cut.
//
// A body has a bounded time to come, also where the request is refused unread: the server reads on before it answers,
// and a slow sender without a token would hold its connection for good. readBody lifts the bound after the body.
func (in *Instance) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if in.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		if req.ContentLength != 0 {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(in.opts.BodyTimeout))
		}
		next.ServeHTTP(w, req)
	})
}

func (in *Instance) close() {
	in.upstream.Close()
	in.store.Close()
	in.platform.Close()
	in.log.Info().Str("Instance", in.opts.Name).Msg("stopped")
}

// acceptConfig brings a version into force; the follower calls it with rising versions, one at a time.
func (in *Instance) acceptConfig(cfg *decl.Config) {
	in.config.Store(newDirectory(cfg))
	in.Meter.Configure(cfg)
	in.claims.Configure(cfg)
	in.loop.Submit(event.ConfigAccepted{Config: cfg})
	in.log.Info().Str("Instance", in.opts.Name).Int64("Version", cfg.Version).Msg("configuration in force")
}

// ready reports whether the balancer may send requests here.
func (in *Instance) ready() bool {
	return in.listed.Load() && in.learned.Load() && !in.draining.Load() && in.config.Load().cfg.Version > 0
}

func (in *Instance) followPlatform(ctx context.Context) error {
	failing := false
	for ctx.Err() == nil {
		listing, err := in.platform.List(ctx)
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			in.log.Warn().Bool("Failing", failing).Err(err).Msg("instance list changed state")
		}
		if err == nil {
			ups, insts := listing.Events()
			in.loop.Submit(ups)
			in.loop.Submit(insts)
			in.knowPeers(insts)
			if len(ups.Upstreams)+len(insts.Instances) > 0 {
				in.learnQuarantine(*in.livePeers.Load())
			}
			in.followReports(ctx, ups)
			in.listed.Store(in.listed.Load() || len(ups.Upstreams) > 0)
		}
		delay.For(ctx, in.opts.ListPeriod)
	}
	in.stopReports()
	return ctx.Err()
}
