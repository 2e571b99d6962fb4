package relay

import (
	"context"
	stdlog "log"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"dandelionsail.example/dandelionsail/internal/budget"
	"dandelionsail.example/dandelionsail/internal/conns"
	"dandelionsail.example/dandelionsail/internal/delay"
	"dandelionsail.example/dandelionsail/internal/front"
	"dandelionsail.example/dandelionsail/internal/memory"
	"dandelionsail.example/dandelionsail/internal/pause"
	"dandelionsail.example/dandelionsail/internal/ports"
	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/internal/tasks"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

const (
	// maxShutdownMargin is the maximum part of the grace period that is left when the process exits by itself, and between that and the moment at which
	// running attempts are aborted. On a busy machine a process may stand still for half a second, and what it then holds is
	// lost when it is killed.
	maxShutdownMargin = 600 * time.Millisecond
	// shutdownMarginShare bounds that part as a share of the grace period. Callers are promised that what runs is aborted in its last sixth only.
	shutdownMarginShare = 1.0 / 12
	// answerShare is the share of that part for which open requests may take to be answered after it has begun.
	answerShare = 0.75
	// lateRequestTime is how long after the termination signal an Instance that knows no other still begins requests that may be running at the end of
	// the grace period. Callers are promised answers to those that they send more than 3 s after it; the rest is for the way of the signal and of the
	// request.
	lateRequestTime = 2500 * time.Millisecond
	// partsTimeout is how long the end waits for parts that do not end with their context.
	partsTimeout = 50 * time.Millisecond
	// drainQueueShare is the share of the grace period during which requests may still wait for a replica.
	drainQueueShare = 0.25
	// headerTimeout is the maximum time to read a request's header.
	headerTimeout = 8 * time.Second
	// probeIdleTimeout is how long a connection for readiness probes may be idle.
	probeIdleTimeout = time.Minute
	// tickPeriod is the interval of Ticked events; while requests wait, the reducer asks for additional ones.
	tickPeriod = 200 * time.Millisecond
	// maxEventGap is the time between two events from which on the process has stood still. It is shorter than
	// deathAckTimeout, for which an Instance that announces a death waits for this one.
	maxEventGap = 300 * time.Millisecond
	// gcPercent is the heap growth in percent that starts a garbage collection. The heap is a few MB, and memory costs
	// more than the little processor time that collecting early takes.
	gcPercent = 40
)

// Instance is one running instance.
type Instance struct {
	opts Options
	// run identifies this run of the Instance.
	run       string
	self      Peer
	directory Directory
	protocol  Protocol
	log       *log.Logger
	registry  metrics.Registry
	output    tasks.LogOutput
	monitor   *tasks.Monitor
	// pooled reuses connections to replicas.
	pooled *http.Transport
	// unpooled opens a new connection for each request.
	unpooled *http.Transport
	// conns tracks the connections of pooled and unpooled.
	conns *replicaConns
	// pooledPeer reuses connections to other instances.
	pooledPeer *http.Transport
	// unpooledPeer opens a new connection to another Instance for each request.
	unpooledPeer *http.Transport
	gossip       *gossip
	// memory counts what is held for callers and other instances.
	memory *memory.Account
	// limiter bounds the connections to this Instance.
	limiter *front.Limiter
	// buffers buffers responses until they are complete.
	buffers buffers

	routing atomic.Pointer[decl.Routing]
	// confirmed is the boot time at which the request was sent whose response last confirmed the configuration; 0 if
	// none did.
	confirmed atomic.Int64
	// polls reports whether this Instance takes itself to be one of those that poll the store.
	polls atomic.Bool
	// startedAt is when Run was called.
	startedAt time.Time
	// firstConfirmed is closed once there is a configuration that the store has confirmed.
	firstConfirmed     chan struct{}
	firstConfirmedOnce sync.Once
	// peersListed is closed once the other instances are known.
	peersListed     chan struct{}
	peersListedOnce sync.Once
	// deathsKnown reports whether the others were asked for the deaths that they know.
	deathsKnown atomic.Bool
	// ownEntry receives, after the first read of the Directory, the entry that this Instance renews or creates.
	ownEntry chan Peer
	// changes holds the revision of the Directory that is in use and the last changes up to it.
	changes changeLog
	// entries holds the entries of the Directory in use.
	entries entries
	// invalid holds the entries of the Directory that cannot be used.
	invalid invalidEntries
	// keptEvacuations holds the evacuations that the store has lost, each with the time until which it stays in force. It is nil before
	// the first read of the Directory.
	keptEvacuations atomic.Pointer[map[string]time.Time]
	// draining is nil until this Instance is asked to shut down.
	draining atomic.Pointer[drainPlan]
	// detours is the number of messages that are being passed on for other instances.
	detours atomic.Int64
	// pathsInDoubt reports whether a new connection to a replica is news for the reducer.
	pathsInDoubt atomic.Bool
	// background counts the load polls and reservation requests under way that no caller waits for.
	background sync.WaitGroup
	nextID     atomic.Uint64

	// lastEvents holds the time of the last stream event received from each replica, by replica name.
	lastEvents sync.Map
	// mu guards the fields below.
	mu    sync.Mutex
	state *steer.State
	calls map[steer.RequestID]*call
	// pauses notices that the process has stood still.
	pauses pause.Detector
}

// New returns an Instance that has not started. output is where the lines of the logger go.
func New(opts Options, directory Directory, protocol Protocol, logger *log.Logger, output tasks.LogOutput) *Instance {
	seed := opts.Seed
	if seed == 0 {
		seed = xxhash.Sum64String(opts.Name)
	}
	run := time.Now().UnixMicro()
	in := &Instance{
		opts:           opts,
		run:            opts.Name + "." + strconv.FormatInt(run, 36),
		self:           Peer{Name: opts.Name, Address: opts.PeerListen, FailureDomain: opts.FailureDomain},
		directory:      directory,
		protocol:       protocol,
		log:            logger,
		registry:       metrics.NewRegistry(),
		output:         output,
		pooledPeer:     newTransport(newDialer(nil, detourDialTimeout), false, peerIdleTimeout),
		unpooledPeer:   newTransport(newDialer(nil, detourDialTimeout), true, peerIdleTimeout),
		calls:          map[steer.RequestID]*call{},
		firstConfirmed: make(chan struct{}),
		peersListed:    make(chan struct{}),
		ownEntry:       make(chan Peer, 1),
		memory:         memory.New(opts.Memory.Bound()),
		pauses:         pause.Detector{MaxGap: maxEventGap, MaxWait: steer.MaxCatchUp},
	}
	in.monitor = tasks.NewMonitor(logger, in.count)
	in.limiter = front.NewLimiter(in.memory, opts.Descriptors.Connections())
	in.buffers.account = in.memory
	in.conns = newReplicaConns(in.count)
	in.pooled = newTransport(in.conns.dialer(newDialer(opts.Dial, dialTimeout)), false, conns.MaxIdle)
	in.unpooled = newTransport(in.conns.dialer(newDialer(opts.Dial, dialTimeout)), true, conns.MaxIdle)
	in.state = steer.New(steer.Options{
		Name: opts.Name, FailureDomain: opts.FailureDomain, Run: run, Seed: seed, MissingTime: opts.MissingTime,
		Tuning:  opts.Tuning,
		Budget:  budget.Rule{Ratio: opts.BudgetRatio, Slack: opts.BudgetSlack, Window: opts.BudgetWindow},
		ListLag: opts.ConfigLag,
	})
	return in
}

// Run serves until the context ends, then drains and returns. hangups delivers SIGHUP. Its last line says why it returns.
func (in *Instance) Run(ctx context.Context, hangups <-chan os.Signal) error {
	err := in.serveAll(ctx, hangups)
	in.output.Unlimit()
	in.monitor.LogEnd(ctx, in.opts.Name, in.open(), err)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (in *Instance) serveAll(ctx context.Context, hangups <-chan os.Signal) error {
	debug.SetGCPercent(gcPercent)
	in.startedAt = time.Now()
	// The address for callers comes last: until then they are refused and go to another instance, instead of waiting.
	var err error
	if in.gossip, err = openGossip(ctx, in); err != nil {
		return err
	}
	peerListener, err := in.listen(ctx, "peer-listen", in.opts.PeerListen)
	if err != nil {
		return err
	}
	readyListener, err := in.listen(ctx, "ready-listen", in.opts.ReadyListen)
	if err != nil {
		return err
	}
	callerListener, err := in.listen(ctx, "listen", in.opts.Listen)
	if err != nil {
		return err
	}
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	// net/http logs connection errors to the standard logger; this redirects them to the structured log.
	errorLog := stdlog.New(in.monitor.LibraryLog(), "", 0)
	stdlog.SetOutput(in.monitor.LibraryLog())
	stdlog.SetFlags(0)
	callerServer := in.newCallerServer(http.HandlerFunc(in.serve), errorLog)
	readyServer := front.New(front.Options{Limiter: in.limiter, Handler: http.HandlerFunc(in.readyz), HeaderTimeout: headerTimeout, IdleTimeout: probeIdleTimeout, ErrorLog: errorLog})
	peerMux := http.NewServeMux()
	peerMux.HandleFunc("GET "+sharedConfigPath, in.serveConfig)
	peerMux.HandleFunc("GET "+sharedDirectoryPath, in.serveDirectory)
	peerMux.HandleFunc("POST "+detourPath, in.serveDetour)
	peerServer := front.New(front.Options{Limiter: in.limiter, Handler: peerMux, HeaderTimeout: headerTimeout, IdleTimeout: 2 * peerIdleTimeout, ErrorLog: errorLog})
	in.monitor.Start(serveCtx, "follower", (&follower{in: in}).run)
	in.monitor.Start(serveCtx, "announce", in.announce)
	in.monitor.Start(serveCtx, "tick", in.tick)
	in.monitor.Start(serveCtx, "gossip", in.gossip.run)
	in.monitor.Start(serveCtx, "deaths", in.awaitDeaths)
	in.monitor.Start(serveCtx, "metrics", in.serveMetrics)
	in.monitor.Start(serveCtx, "hangups", func(ctx context.Context) error { return in.handleHangups(ctx, hangups) })
	in.monitor.Start(serveCtx, "listen", in.serveOn(callerListener, "listen", in.opts.Listen, callerServer.Serve))
	in.monitor.Start(serveCtx, "ready-listen", in.serveOn(readyListener, "ready-listen", in.opts.ReadyListen, readyServer.Serve))
	in.monitor.Start(serveCtx, "peer-listen", in.serveOn(peerListener, "peer-listen", in.opts.PeerListen, peerServer.Serve))
	in.log.Info().Str("Instance", in.opts.Name).Str("Address", in.opts.Listen).Msg("started")
	<-ctx.Done()
	tasks.Guard("drain", func() { in.drain(callerServer, peerServer) })()
	_, _ = readyServer.Close(), peerServer.Close()
	stop()
	in.monitor.Wait(partsTimeout)
	return nil
}

// serveOn returns a part that serves on the listener. A server closes its listener when it ends, so the part opens a new one
// if it runs again.
func (in *Instance) serveOn(opened net.Listener, flag, address string, serve func(net.Listener) error) func(context.Context) error {
	next := opened
	return func(ctx context.Context) error {
		listener := next
		next = nil
		if listener == nil {
			var err error
			if listener, err = in.listen(ctx, flag, address); err != nil {
				return err
			}
		}
		return ignoreServerClosed(serve(listener))
	}
}

// CatchPanics makes the process, which serves nothing but this Instance, go on after a panic in one of its goroutines.
func (in *Instance) CatchPanics() { tasks.CatchPanics(in.monitor) }

// handleHangups logs that SIGHUP has no effect: all settings come from flags and the environment and are read only at
// startup. Without a handler the signal would end the process and its open requests.
func (in *Instance) handleHangups(ctx context.Context, hangups <-chan os.Signal) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-hangups:
			in.log.Info().Str("Instance", in.opts.Name).Msg("SIGHUP ignored: settings are read at startup only; restart to change them")
		}
	}
}

func (in *Instance) listen(ctx context.Context, flag, address string) (net.Listener, error) {
	listener, err := ports.Bind(ctx, in.monitor.BindFailed(flag, address), func() (net.Listener, error) { return ports.Listen(address) })
	if err != nil {
		return nil, Errors.NewType("listen").Wrap(err, "relay: --%s %s cannot be used; choose a free address", flag, address)
	}
	return ports.NewListener(listener, in.monitor.AcceptFailed(flag)), nil
}

func ignoreServerClosed(err error) error {
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

// install puts a configuration into force unless one of the same or a later version is in force.
func (in *Instance) install(routing *decl.Routing) {
	if routing == nil {
		return
	}
	if now := in.routing.Load(); now != nil && routing.Version <= now.Version {
		return
	}
	in.routing.Store(routing)
	in.apply(steer.Configured{Routing: routing})
	in.log.Info().Int64("Version", routing.Version).Int("Routes", len(routing.Routes)).Msg("configuration in force")
}

// tick sends the reducer a Ticked event in each tickPeriod.
func (in *Instance) tick(ctx context.Context) error {
	for ctx.Err() == nil {
		delay.For(ctx, tickPeriod)
		if in.confirmed.Load() != 0 {
			in.apply(steer.ListConfirmed{Age: in.confirmedAge()})
		}
		in.apply(steer.Ticked{})
	}
	return ctx.Err()
}

func (in *Instance) waiting() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.state.Waiting()
}

// view calls look with the state of the reducer, which it must not keep. The lock is released even if look panics: net/http or
// tasks.Guard catches the panic, and the instance would stand still with the lock held.
func (in *Instance) view(look func(st *steer.State)) {
	in.mu.Lock()
	defer in.mu.Unlock()
	look(in.state)
}

// apply passes an event to the reducer and performs the effects that it returns. None of them blocks. A panic in the reducer
// must not reach the caller, which may be a part that all requests need, or a request that would end without an answer.
func (in *Instance) apply(ev steer.Event) {
	in.mu.Lock()
	defer in.mu.Unlock()
	defer func() { tasks.Caught("reducer", recover(), nil) }()
	for _, eff := range in.reduce(ev) {
		in.perform(eff)
	}
}

// reduce passes an event to the reducer, after a StoodStill if the process has stood still since the last event, and returns
// its effects. in.mu is held.
func (in *Instance) reduce(ev steer.Event) []steer.Effect {
	now := time.Now()
	if gap := in.pauses.Before(now); gap > 0 {
		for _, eff := range in.state.Reduce(now, steer.StoodStill{Gap: gap}) {
			in.perform(eff)
		}
	}
	if changed := in.conns.takeChanges(); changed != nil {
		for _, eff := range in.state.Reduce(now, steer.IdleConnections{Changed: changed}) {
			in.perform(eff)
		}
	}
	effects := in.state.Reduce(now, ev)
	if _, ok := ev.(steer.DeathsReceived); ok {
		in.pauses.Received(now)
	}
	in.pauses.After(time.Now())
	in.pathsInDoubt.Store(in.state.PathsInDoubt())
	return effects
}

func (in *Instance) perform(eff steer.Effect) {
	switch eff := eff.(type) {
	case steer.Send:
		in.deliver(eff.ID, eff)
	case steer.Finish:
		in.deliver(eff.ID, eff)
	case steer.Abort:
		if cl, ok := in.calls[eff.ID]; ok {
			cl.abort(eff.Attempt, eff.Proof)
		}
	case steer.SendNote:
		in.sendNote(eff)
	case steer.Wake:
		time.AfterFunc(eff.After, tasks.Guard("wake", func() { in.apply(steer.Ticked{}) }))
	case steer.RequestDeaths:
		known := in.gossip.requestDeaths()
		in.background.Go(tasks.Guard("deaths", func() {
			select {
			case <-known:
			case <-time.After(2 * deathAckTimeout):
				// The gossip has ended, since this Instance stops.
			}
			in.apply(steer.DeathsReceived(eff))
		}))
	case steer.ProbePaths:
		in.probePaths(eff)
	case steer.RecordCause:
		in.recordQuarantine(eff.Cause)
	case steer.QueryLoad:
		in.pollLoads(eff)
	case steer.LogLine:
		in.logDecision(eff)
	}
}

func (in *Instance) sendNote(eff steer.SendNote) {
	if eff.Acked {
		in.gossip.announceDeaths(eff)
		return
	}
	in.gossip.enqueue(eff)
}

func (in *Instance) deliver(id steer.RequestID, eff steer.Effect) {
	if cl, ok := in.calls[id]; ok {
		cl.effects <- eff
	}
}
