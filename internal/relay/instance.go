package relay

import (
	"context"
	"errors"
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
	"golang.org/x/sync/errgroup"

	"dandelionsail.example/dandelionsail/internal/delay"
	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

const (
	// lastWords is what is left of the grace when the process ends by itself.
	lastWords = 400 * time.Millisecond
	// holdShare is the part of the grace for which requests may still wait for a replica.
	holdShare = 0.25
	// idleTimeout is how long a caller's connection may rest where the configuration does not say.
	idleTimeout = 60 * time.Second
	// headerTimeout and maxHeader bound a request's head.
	headerTimeout = 8 * time.Second
	maxHeader     = 64 << 10
	// tickPeriod is how often the reducer is told that time passes; while requests wait it asks for more.
	tickPeriod = 200 * time.Millisecond
	// collectAt is the heap growth in percent after which garbage is collected: the heap is a few MB, and memory costs
	// more than the little processor time.
	collectAt = 40
)

// Instance is one running instance.
type Instance struct {
	opts Options
	// run names this run of the instance.
	run       string
	self      Peer
	directory Directory
	protocol  Protocol
	log       *log.Logger
	registry  metrics.Registry
	// dropped returns how many lines of the log were dropped.
	dropped func() int64
	kept    *http.Transport
	fresh1  *http.Transport
	notes   *notes

	routing atomic.Pointer[decl.Routing]
	// confirmed is the boot time at which the question was asked that last confirmed the configuration.
	confirmed atomic.Int64
	// startedAt is when the instance began to run; begun is closed once there is a configuration that the store confirmed.
	startedAt time.Time
	begun     chan struct{}
	beginOnce sync.Once
	// entry brings, after the first read of the directory, the entry that this instance keeps or makes.
	entry chan Peer
	// view is the state of the directory that is in use here.
	view     view
	draining atomic.Bool
	// background counts the questions and orders under way for which no caller waits.
	background sync.WaitGroup
	nextID     atomic.Uint64

	// heard holds when each replica was last heard, by its name.
	heard sync.Map
	// mu guards the reducer and the calls.
	mu    sync.Mutex
	state *steer.State
	calls map[steer.RequestID]*call
}

// New returns an instance that has not started; dropped returns how many lines the logger has dropped.
func New(opts Options, directory Directory, protocol Protocol, logger *log.Logger, dropped func() int64) *Instance {
	seed := opts.Seed
	if seed == 0 {
		seed = xxhash.Sum64String(opts.Name)
	}
	run := time.Now().UnixMicro()
	in := &Instance{
		opts:      opts,
		run:       opts.Name + "." + strconv.FormatInt(run, 36),
		self:      Peer{Name: opts.Name, Address: opts.PeerListen, FailureDomain: opts.FailureDomain},
		directory: directory,
		protocol:  protocol,
		log:       logger,
		registry:  metrics.NewRegistry(),
		dropped:   dropped,
		kept:      newTransport(false),
		fresh1:    newTransport(true),
		calls:     map[steer.RequestID]*call{},
		begun:     make(chan struct{}),
		entry:     make(chan Peer, 1),
	}
	in.state = steer.New(steer.Options{
		Name: opts.Name, FailureDomain: opts.FailureDomain, Run: run, Seed: seed, MissingTime: opts.MissingTime,
		Tuning: opts.Tuning,
		Budget: steer.Budget{Ratio: opts.BudgetRatio, Slack: opts.BudgetSlack, Window: opts.BudgetWindow},
	})
	return in
}

// Run serves until the context ends, then drains and returns. A signal on hangups asks for new settings.
func (in *Instance) Run(ctx context.Context, hangups <-chan os.Signal) error {
	debug.SetGCPercent(collectAt)
	in.startedAt = time.Now()
	callers, err := listen("listen", in.opts.Listen)
	if err != nil {
		return err
	}
	balancer, err := listen("ready-listen", in.opts.ReadyListen)
	if err != nil {
		return err
	}
	others, err := listen("peer-listen", in.opts.PeerListen)
	if err != nil {
		return err
	}
	in.notes, err = openNotes(in)
	if err != nil {
		return err
	}
	parts, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	// The library writes what it finds odd about connections to the standard logger; here it goes the way of all lines.
	oddities := stdlog.New(libraryLog{in.log}, "", 0)
	stdlog.SetOutput(libraryLog{in.log})
	stdlog.SetFlags(0)
	front := &http.Server{
		Handler: http.HandlerFunc(in.serve), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader, ErrorLog: oddities,
	}
	ready := &http.Server{Handler: http.HandlerFunc(in.readyz), ReadHeaderTimeout: headerTimeout, ErrorLog: oddities}
	sharing := http.NewServeMux()
	sharing.HandleFunc("GET "+sharePath, in.share)
	share := &http.Server{Handler: sharing, ReadHeaderTimeout: headerTimeout, ErrorLog: oddities}
	group, parts := errgroup.WithContext(parts)
	group.Go(func() error { return (&follower{in: in}).run(parts) })
	group.Go(func() error { return in.announce(parts) })
	group.Go(func() error { return in.tick(parts) })
	group.Go(func() error { return in.notes.run(parts) })
	group.Go(func() error { return in.serveMetrics(parts) })
	group.Go(func() error { return in.hearHangups(parts, hangups) })
	group.Go(func() error { return unlessClosed(front.Serve(callers)) })
	group.Go(func() error { return unlessClosed(ready.Serve(balancer)) })
	group.Go(func() error { return unlessClosed(share.Serve(others)) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-parts.Done():
		}
		defer stop()
		in.drain(front)
		return errors.Join(ready.Close(), share.Close())
	})
	in.log.Info().Str("Instance", in.opts.Name).Str("Address", in.opts.Listen).Msg("started")
	err = group.Wait()
	in.log.Info().Str("Instance", in.opts.Name).Msg("stopped")
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// hearHangups notes that new settings were asked for. All of them are read at the start, from flags and environment, so
// there is nothing to read again; left to its default, the signal would end the process with its requests.
func (in *Instance) hearHangups(ctx context.Context, hangups <-chan os.Signal) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-hangups:
			in.log.Info().Str("Instance", in.opts.Name).Msg("hangup: settings are read at the start only; restart to change them")
		}
	}
}

func listen(flag, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, Errors.NewType("listen").Wrap(err, "relay: --%s %s cannot be used; choose a free address", flag, address)
	}
	return listener, nil
}

func unlessClosed(err error) error {
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

// install brings a version into force; an older one than that in force is left out.
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

// tick tells the reducer that time passes.
func (in *Instance) tick(ctx context.Context) error {
	for ctx.Err() == nil {
		delay.For(ctx, tickPeriod)
		in.apply(steer.Ticked{})
	}
	return ctx.Err()
}

func (in *Instance) waiting() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.state.Waiting()
}

// apply hands an event to the reducer and carries out what it decides; nothing of that blocks.
func (in *Instance) apply(ev steer.Event) {
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, eff := range in.state.Reduce(time.Now(), ev) {
		in.perform(eff)
	}
}

func (in *Instance) perform(eff steer.Effect) {
	switch eff := eff.(type) {
	case steer.Send:
		in.mail(eff.ID, eff)
	case steer.Finish:
		in.mail(eff.ID, eff)
	case steer.Abort:
		if cl, ok := in.calls[eff.ID]; ok {
			cl.abort(eff.Attempt)
		}
	case steer.Tell:
		in.notes.tell(eff)
	case steer.Wake:
		time.AfterFunc(eff.After, func() { in.apply(steer.Ticked{}) })
	case steer.Survey:
		in.survey(eff)
	case steer.Line:
		in.logLine(eff)
	}
}

func (in *Instance) mail(id steer.RequestID, eff steer.Effect) {
	if cl, ok := in.calls[id]; ok {
		cl.mail <- eff
	}
}
