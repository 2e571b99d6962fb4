// Package entry implements an entry instance. It serves callers over HTTP, turns their requests into events for the
// reducers, and carries out the effects that the reducers return.
package entry

import (
	"context"
	"errors"
	"hash/fnv"
	stdlog "log"
	"maps"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"dandelionsail.example/dandelionsail/internal/conf"
	"dandelionsail.example/dandelionsail/internal/core"
	"dandelionsail.example/dandelionsail/internal/cutoff"
	"dandelionsail.example/dandelionsail/internal/deaths"
	"dandelionsail.example/dandelionsail/internal/delay"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/front"
	"dandelionsail.example/dandelionsail/internal/lease"
	"dandelionsail.example/dandelionsail/internal/lines"
	"dandelionsail.example/dandelionsail/internal/memory"
	"dandelionsail.example/dandelionsail/internal/meter"
	"dandelionsail.example/dandelionsail/internal/once"
	"dandelionsail.example/dandelionsail/internal/peers"
	"dandelionsail.example/dandelionsail/internal/plat"
	"dandelionsail.example/dandelionsail/internal/ports"
	"dandelionsail.example/dandelionsail/internal/store"
	"dandelionsail.example/dandelionsail/internal/tasks"
	"dandelionsail.example/dandelionsail/internal/upstr"
	"dandelionsail.example/dandelionsail/pkg/decl"

	"github.com/phuslu/log"
)

// Limits of the HTTP server for callers.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
)

// Instance is one running entry instance.
type Instance struct {
	opts Options
	// run identifies this run of the instance: its name and its start time.
	run      string
	loop     *core.Loop
	upstream *upstr.Client
	// forwarder sends requests to other instances while a path is lost.
	forwarder *http.Transport
	// pathsInDoubt means that new connections to upstreams are news for the reducer.
	pathsInDoubt atomic.Bool
	// announcements holds what upstreams have announced about themselves.
	announcements *announcements
	store         *store.Client
	platform      *plat.Client
	conf          *conf.Log
	follower      *conf.Follower
	claims        *once.Claims
	leases        *lease.Holder
	log           *log.Logger
	monitor       *tasks.Monitor
	// hangups delivers SIGHUP; nil delivers none.
	hangups <-chan os.Signal
	// Meter holds the instance's counters, timers and service-level burn.
	Meter *meter.Meter
	// memory counts the bodies that are held for callers.
	memory *memory.Account
	// limiter bounds the connections to this instance.
	limiter *front.Limiter
	// peers is the transport to the other instances, nil in an instance without peer keys.
	peers *peers.QUIC
	// listedPeers holds the peer addresses of the other listed instances; the pointer is never nil.
	listedPeers atomic.Pointer[[]string]

	nextID atomic.Uint64
	config atomic.Pointer[directory]
	// listed means that the platform's instance list has contained an upstream.
	listed atomic.Bool
	// draining means that this instance is shutting down.
	draining atomic.Bool
	// quarantineRequested means that the request of the quarantine list from peers has begun.
	quarantineRequested bool
	// quarantineReady means that this request has ended, or that there are no peers.
	quarantineReady atomic.Bool
	// quarantineAcks holds, by digest, the channel that is closed when the peers have acknowledged the content's last death, or
	// have had the time to.
	quarantineAcks sync.Map
	// quarantineRequesters are the peers that recently requested the list from this instance.
	quarantineRequesters deaths.Requesters
	// mu guards calls.
	mu    sync.Mutex
	calls map[event.RequestID]*call
	// pending counts the background work that stopReaders waits for.
	pending sync.WaitGroup
	// settling counts the claims and outcomes that are being recorded.
	settling sync.WaitGroup
	// heartbeats holds the addresses of engines that are known to send heartbeats.
	heartbeats sync.Map
	// readers holds the functions that stop the readers of each polled engine's load reports and cache events, by the
	// engine's name and address.
	readers map[string]context.CancelFunc
}

// New returns an instance that is not running yet.
func New(opts Options, logger *log.Logger) *Instance {
	in := &Instance{
		opts:      opts,
		run:       opts.Name + "." + strconv.FormatInt(time.Now().UnixMicro(), 36),
		upstream:  upstr.New(),
		forwarder: newForwarder(),
		store:     store.New(opts.Store),
		platform:  plat.New(opts.Platform),
		log:       logger,
		Meter:     meter.New(),
		memory:    memory.New(opts.Memory.Bound()),
		calls:     map[event.RequestID]*call{},
		readers:   map[string]context.CancelFunc{},
	}
	in.limiter = front.NewLimiter(in.memory, opts.Descriptors.Connections())
	in.monitor = tasks.NewMonitor(logger, in.incCounter)
	if opts.Dial != nil {
		in.upstream = upstr.NewWithDialer(opts.Dial)
	}
	in.upstream.Connected = in.connected
	in.announcements = newAnnouncements(seed(opts))
	in.upstream.Check = in.checkCall
	in.upstream.Announced = in.readAnnounced
	in.conf = conf.New(in.store)
	in.follower = conf.NewFollower(in.conf, event.Instance{Name: opts.Name, FailureDomain: opts.FailureDomain}, in.acceptConfig)
	in.follower.OnReturn = in.recordReturn
	in.claims = once.New(in.store, opts.Name)
	in.leases = lease.New(in.store, in.run)
	in.config.Store(newDirectory(&decl.Config{}))
	policy, _ := opts.policy()
	in.listedPeers.Store(&[]string{})
	in.loop = core.NewLoop(core.New(core.Options{
		Name:          opts.Name,
		FailureDomain: opts.FailureDomain,
		Seed:          seed(opts),
		Peers:         opts.PeerCert != "" || opts.PeerKeys != nil,
		Permits:       opts.PeerCert != "" || opts.PeerKeys != nil,
		Incarnation:   uint64(time.Now().UnixMicro()),
		NameRequest:   in.requestName,
		// The addresses of instances that serve callers over TLS are names of certificates that this one cannot check.
		Forward: opts.TLSCert == "",
		Policy:  policy,
	}), in.perform)
	return in
}

// seed returns the configured seed, or a hash of the instance's name if none is configured.
func seed(opts Options) uint64 {
	if opts.Seed != 0 {
		return opts.Seed
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(opts.Name))
	return hash.Sum64()
}

// Run listens on the configured addresses and serves until the context ends, then drains and returns.
// Its last line says why it returns.
// hangups delivers SIGHUP.
func (in *Instance) Run(ctx context.Context, hangups <-chan os.Signal) error {
	listener, peer, err := in.open(ctx)
	if err != nil {
		in.logEnd(ctx, err)
		if ctx.Err() != nil {
			return nil
		}
		return err
	}
	// If the configured ports are 0, the starter of the process reads the chosen addresses from this output.
	lines.Print(os.Stdout, strings.TrimSpace(listener.Addr().String()+" "+peer)+"\n")
	in.hangups = hangups
	stdlog.SetOutput(in.monitor.LibraryLog())
	stdlog.SetFlags(0)
	return in.Serve(ctx, listener)
}

// handleHangups logs that SIGHUP has no effect: all settings are read at startup only.
func (in *Instance) handleHangups(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-in.hangups:
			in.log.Info().Str("Instance", in.opts.Name).Msg("SIGHUP ignored: settings are read at startup only; restart to change them")
		}
	}
}

// logEnd logs why the instance ends.
func (in *Instance) logEnd(ctx context.Context, err error) {
	if in.opts.LogOutput != nil {
		in.opts.LogOutput.Unlimit()
	}
	in.monitor.LogEnd(ctx, in.opts.Name, int(in.openCalls()), err)
}

// open opens the sockets for callers and peers, and returns the address of the one for peers.
func (in *Instance) open(ctx context.Context) (listener net.Listener, peer string, err error) {
	// The address for callers comes last: until then they are refused and go to another instance, instead of waiting.
	peer, err = ports.Bind(ctx, in.monitor.BindFailed("peer-listen", in.opts.PeerListen), in.OpenPeers)
	if err != nil {
		return nil, "", err
	}
	listener, err = ports.Bind(ctx, in.monitor.BindFailed("listen", in.opts.Listen), func() (net.Listener, error) { return ports.Listen(in.opts.Listen) })
	if err != nil {
		return nil, "", Errors.NewType("listen").Wrap(err, "entry: --listen %s cannot be used; choose a free address", in.opts.Listen)
	}
	return listener, peer, nil
}

// Serve is like Run, but serves callers on a given listener. Peers are connected only if OpenPeers was called before.
func (in *Instance) Serve(ctx context.Context, listener net.Listener) error {
	// Requests in flight finish after ctx has ended, so the parts run under a context that ends only after the drain.
	parts, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	server := front.New(front.Options{
		Handler:       in.guard(in.routes()),
		Limiter:       in.limiter,
		Callers:       true,
		Refuse:        func(w http.ResponseWriter, _ *http.Request) { memoryUsedUp().write(w) },
		HeaderTimeout: readHeaderTimeout,
		IdleTimeout:   idleTimeout,
		BodyTimeout:   in.opts.BodyTimeout,
		ErrorLog:      stdlog.New(in.monitor.LibraryLog(), "", 0),
		Lost:          in.recordLoss,
	})
	serve, err := in.callerServe(server)
	if err != nil {
		in.logEnd(ctx, err)
		return err
	}
	in.attachPeerTransport()
	in.monitor.Start(parts, "loop", in.loop.Run)
	in.monitor.Start(parts, "follower", in.follower.Run)
	in.monitor.Start(parts, "compaction", in.follower.RunCompaction)
	in.monitor.Start(parts, "platform", in.pollPlatform)
	in.monitor.Start(parts, "claims", in.claims.Run)
	in.monitor.Start(parts, "leases", in.leases.Run)
	in.monitor.Start(parts, "coordination", in.runCoordination)
	in.monitor.Start(parts, "meter", func(ctx context.Context) error { return in.Meter.Run(ctx, in.log) })
	in.monitor.Start(parts, "metrics", in.serveMetrics)
	in.monitor.Start(parts, "hangups", in.handleHangups)
	if in.peers != nil {
		in.monitor.Start(parts, "peers", in.peers.Run)
	}
	in.monitor.Start(parts, "listen", in.serveOn(listener, serve))
	in.log.Info().Str("Instance", in.opts.Name).Str("Address", listener.Addr().String()).Msg("serving")
	<-ctx.Done()
	tasks.Guard("drain", func() {
		if err := in.drain(parts, server); err != nil {
			in.log.Warn().Int64("Open", in.openCalls()).Err(err).Msg("drain time expired with open requests")
		}
	})()
	stop()
	in.monitor.Wait(partsTimeout)
	in.close()
	in.logEnd(ctx, nil)
	return nil
}

// partsTimeout is how long the end waits for parts that do not end with their context. It is longer than the outcomes of
// claims and the leases take that parts write after that.
const partsTimeout = 5 * time.Second

// serveOn returns a part that serves on the listener. A server closes its listener when it ends, so the part opens a new one
// if it runs again.
func (in *Instance) serveOn(opened net.Listener, serve func(net.Listener) error) func(context.Context) error {
	address, next := opened.Addr().String(), opened
	return func(ctx context.Context) error {
		listener := next
		next = nil
		if listener == nil {
			var err error
			listener, err = ports.Bind(ctx, in.monitor.BindFailed("listen", address), func() (net.Listener, error) { return ports.Listen(address) })
			if err != nil {
				return err
			}
		}
		return ignoreClosed(serve(ports.NewListener(listener, in.monitor.AcceptFailed("listen"))))
	}
}

// CatchPanics makes the process, which serves nothing but this instance, go on after a panic in one of its goroutines.
func (in *Instance) CatchPanics() { tasks.CatchPanics(in.monitor) }

func ignoreClosed(err error) error {
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

// drain shuts down without aborting requests: it turns readiness off, waits DrainNotice for the load balancer to notice, and
// lets the admitted requests finish within DrainTime.
func (in *Instance) drain(ctx context.Context, server *front.Server) error {
	in.draining.Store(true)
	in.log.Info().Str("Instance", in.opts.Name).Msg("draining")
	in.memory.Close()
	lastTime := in.opts.DrainTime - min(maxAnswerTime, in.opts.DrainTime/4)
	drainAt := time.Now().Add(in.opts.DrainNotice)
	in.loop.Submit(event.DrainAnnounced{AbortAt: drainAt.Add(lastTime), DrainAt: drainAt})
	delay.For(ctx, in.opts.DrainNotice)
	in.loop.Submit(event.DrainStarted{})
	in.rebroadcastQuarantine()
	deadline, cancel := context.WithTimeout(ctx, in.opts.DrainTime)
	defer cancel()
	ending := time.AfterFunc(lastTime, tasks.Guard("end of the drain", in.endOpenCalls))
	defer ending.Stop()
	err := server.Drain(deadline)
	in.waitSettled(deadline)
	held := server.Held()
	in.log.Info().Str("Instance", in.opts.Name).Int("Requests", held.Requests).Int("Connections", held.Connections).Msg("drained")
	return errors.Join(err, server.Close())
}

// maxAnswerTime is the maximum part of DrainTime in which the requests that are still open are answered.
const maxAnswerTime = 500 * time.Millisecond

// endOpenCalls ends what is still open shortly before the connections are closed, as if its callers had left. They get an error that says that the
// outcome is unknown, and not a connection that is closed without an answer.
func (in *Instance) endOpenCalls() {
	in.mu.Lock()
	open := maps.Clone(in.calls)
	in.mu.Unlock()
	now := time.Now()
	for id, cl := range open {
		in.loop.Submit(event.CallerGone{ID: id})
		cl.endForward(cutoff.OfStop(now, now))
	}
	in.incCounter("Drain.Expired")
	in.log.Warn().Int("Open", len(open)).Msg("drain time is nearly over; open requests are ended")
}

// waitSettled waits until the outcomes of all claims are recorded or the context ends. If the process ended before, the
// claim of a request that did run, or certainly did not, would stay recorded as possibly running, and a resend would get
// OutcomeUnknown.
func (in *Instance) waitSettled(ctx context.Context) {
	// A request whose caller disconnected while its key was being claimed stays in the reducer until the claim is released.
	for ctx.Err() == nil && in.heldRequests() > 0 {
		delay.For(ctx, settlePollPeriod)
	}
	settled := make(chan struct{})
	go tasks.Guard("settled", func() {
		defer close(settled)
		in.settling.Wait()
	})()
	select {
	case <-settled:
	case <-ctx.Done():
	}
}

// settlePollPeriod is the time between two checks for requests that the reducer still holds.
const settlePollPeriod = 10 * time.Millisecond

// heldRequests returns the number of requests that the reducer still holds.
func (in *Instance) heldRequests() int {
	count := 0
	in.loop.View(func(st *core.State) { count = len(st.Requests) })
	return count
}

// recordLoss counts and logs a request that was read whole and whose caller got no whole answer. What is counted below Lost.Own is the fault of
// this instance, and should never happen.
func (in *Instance) recordLoss(loss front.Loss) {
	metrics.GetOrRegisterCounter("Lost."+string(loss.Reason), in.Meter.Registry).Inc(1)
	entry := in.log.Info()
	switch {
	case loss.Reason == front.EndedByCaller:
		// Callers leave often.
		return
	case loss.Reason.IsOwnFault():
		metrics.GetOrRegisterCounter("Lost.Own."+string(loss.Reason), in.Meter.Registry).Inc(1)
		entry = in.log.Error()
	}
	entry.Str("Request", loss.Request).Str("Reason", string(loss.Reason)).Str("Detail", loss.Detail).Bool("PassedOn", loss.PassedOn).Int64("Written", loss.Written).
		Int64("AgeMs", loss.Age.Milliseconds()).Err(loss.Err).Msg("request ended without a whole answer")
}

// guard is the middleware around all routes.
//
// While the instance drains, it sets Connection: close on each answer. Otherwise the caller could send its next request on a
// connection at the moment when the server closes it, and the request would be lost.
func (in *Instance) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if in.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, req)
	})
}

func (in *Instance) close() {
	in.upstream.Close()
	in.store.Close()
	in.platform.Close()
}

// acceptConfig applies a version of the configuration. The follower calls it sequentially, with increasing versions.
func (in *Instance) acceptConfig(cfg *decl.Config) {
	in.Meter.Configure(cfg)
	in.claims.Configure(cfg)
	// Events are reduced in order. What is admitted by the new configuration comes after this one.
	in.loop.Submit(event.ConfigAccepted{Config: cfg})
	in.config.Store(newDirectory(cfg))
	in.log.Info().Str("Instance", in.opts.Name).Int64("Version", cfg.Version).Msg("configuration in force")
}

// ready reports whether the load balancer may send requests to this instance.
func (in *Instance) ready() bool {
	return in.listed.Load() && in.quarantineReady.Load() && !in.draining.Load() && in.config.Load().cfg.Version > 0
}

// noteInvalid logs the entries of the list that cannot be used, and those that can be used again or are gone, once each.
func (in *Instance) noteInvalid(listing, before *plat.Listing) {
	for _, name := range listing.NewInvalid(before) {
		in.log.Warn().Str("Entry", name).Str("Reason", listing.Invalid[name]).Msg("entry of the instance list left out: it cannot be used")
	}
	for _, name := range before.NewInvalid(listing) {
		in.log.Info().Str("Entry", name).Msg("entry of the instance list usable again or gone")
	}
	in.gauge("Entries.Invalid", int64(len(listing.Invalid)))
}

// pollPlatform reads the platform's instance list once per ListPeriod and distributes it until the context ends.
func (in *Instance) pollPlatform(ctx context.Context) error {
	failing := false
	var before plat.Listing
	for ctx.Err() == nil {
		listing, err := in.platform.List(ctx)
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			in.log.Warn().Bool("Failing", failing).Err(err).Msg("instance list changed state")
		}
		if err == nil {
			in.noteInvalid(&listing, &before)
			before = listing
			ups, insts := listing.Events()
			in.announcements.list(time.Now(), ups.Upstreams)
			in.loop.Submit(ups)
			in.loop.Submit(insts)
			in.updatePeers(insts)
			if len(ups.Upstreams)+len(insts.Instances) > 0 {
				in.fetchQuarantine(*in.listedPeers.Load())
			}
			in.updateReaders(ctx, ups)
			in.listed.Store(in.listed.Load() || len(ups.Upstreams) > 0)
		}
		delay.For(ctx, in.opts.ListPeriod)
	}
	in.stopReaders()
	return ctx.Err()
}
