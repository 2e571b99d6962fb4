package proof

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"dandelionsail.example/dandelionsail/internal/conf"
	"dandelionsail.example/dandelionsail/internal/fault"
	"dandelionsail.example/dandelionsail/internal/fleet"
	"dandelionsail.example/dandelionsail/internal/plat"
	"dandelionsail.example/dandelionsail/internal/store"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

const (
	// engineCount is the number of replicas of the model service.
	engineCount = 4
	// boardCount is the number of replicas of the plain service.
	boardCount = 3
	// instanceCount is the number of entry instances.
	instanceCount = 3
)

const (
	callerToken   = "proof-caller"
	operatorToken = "proof-operator"
	// deadline is the deadline of every request.
	deadline = 10 * time.Second
	// settleTime is the timeout for the fleet to settle: for an instance to become ready, for a poison request to end, and
	// for engine memory to be freed after the load.
	settleTime = 10 * time.Second
)

// domains are the failure domains; the replicas and instances are assigned to them in turn.
var domains = []string{"a", "b"}

// upstream is a replica behind its own fault-injecting proxy.
type upstream struct {
	// killed reports whether the run killed the process.
	killed  atomic.Bool
	name    string
	service string
	domain  string
	process *fleet.Process
	proxy   *fault.Proxy
}

// setup is the fleet of one run, with its proxies and what the run records for the report.
type setup struct {
	fleet      *fleet.Fleet
	storeProxy *fault.Proxy
	upstreams  []*upstream
	balancer   *balancer
	versions   *versions
	config     *conf.Log

	// restarting prevents two faults from restarting the same replica twice.
	restarting sync.Mutex

	// injectedAt is when the injection of the faults began.
	injectedAt time.Time
	// undoneAt is when all faults were undone.
	undoneAt time.Time

	stop    context.CancelFunc
	proxies sync.WaitGroup

	mu sync.Mutex
	// nextInstance is the number in the name of the next instance, so that all names differ.
	nextInstance int
	notes        []string
	// crashes counts the engines that exited without having been killed by the run.
	crashes int
	// acceptedVersion is the highest version whose acceptance a submitter has received.
	acceptedVersion int64
}

// newSetup starts a fleet and waits until it is ready.
func newSetup(ctx context.Context, opts Options) (*setup, error) {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	st := &setup{fleet: &fleet.Fleet{Logs: opts.Logs}, stop: stop}
	st.balancer = newBalancer()
	st.versions = &versions{st: st, highest: map[string]int64{}}
	if err := st.start(ctx, running); err != nil {
		st.close()
		return nil, err
	}
	return st, nil
}

func (st *setup) start(ctx, running context.Context) error {
	if err := st.fleet.StartPlatform("--list-lag", "300ms"); err != nil {
		return err
	}
	var err error
	if st.storeProxy, err = st.proxy(running, st.fleet.Platform.Address); err != nil {
		return err
	}
	st.config = conf.New(store.New(st.fleet.Platform.Address))
	if err := st.configure(ctx); err != nil {
		return err
	}
	for number := range engineCount {
		if err := st.startUpstream(running, "lyric", number); err != nil {
			return err
		}
	}
	for number := range boardCount {
		if err := st.startUpstream(running, "board", number); err != nil {
			return err
		}
	}
	for range instanceCount {
		if _, err := st.startInstance(ctx); err != nil {
			return err
		}
	}
	return nil
}

// close stops all processes and proxies.
func (st *setup) close() {
	st.fleet.Close()
	st.stop()
	st.proxies.Wait()
}

// proxy starts a fault-injecting proxy in front of the address.
func (st *setup) proxy(running context.Context, address string) (*fault.Proxy, error) {
	px, err := fault.New("tcp", "127.0.0.1:0", address)
	if err != nil {
		return nil, err
	}
	st.proxies.Go(func() { _ = px.Run(running) })
	return px, nil
}

func (st *setup) startUpstream(running context.Context, service string, number int) error {
	up := &upstream{name: fmt.Sprintf("%s-%d", service, number), service: service, domain: domains[number%len(domains)]}
	if err := st.startProcess(up, "127.0.0.1:0"); err != nil {
		return err
	}
	var err error
	if up.proxy, err = st.proxy(running, up.process.Address); err != nil {
		return err
	}
	st.upstreams = append(st.upstreams, up)
	return plat.Put(st.fleet.Platform.Address, plat.Entry{
		Name: up.name, Service: service, Address: up.proxy.Address, FailureDomain: up.domain, State: plat.StateLive,
	})
}

// startProcess starts the replica's process, which listens on the address.
func (st *setup) startProcess(up *upstream, address string) error {
	kind := []string{"engine", "--step", "5ms", "--prefill-chunk", "2000"}
	if up.service == "board" {
		kind = []string{"service", "--delay", "5ms"}
	}
	args := append([]string{"standin"}, kind...)
	args = append(args, "--name", up.name, "--service", up.service, "--failure-domain", up.domain, "--listen", address)
	var err error
	up.process, err = st.fleet.Start(fleet.ProgramBench, up.name, args...)
	return err
}

// startInstance starts one more entry instance, waits until it is ready, and adds it to the balancer.
func (st *setup) startInstance(ctx context.Context) (*member, error) {
	st.mu.Lock()
	number := st.nextInstance
	st.nextInstance++
	st.mu.Unlock()
	name := fmt.Sprintf("entry-%d", number)
	pr, err := st.fleet.StartEntry(name, domains[number%len(domains)], "--store", st.storeProxy.Address,
		"--list-period", "200ms", "--load-period", "200ms", "--drain-notice", "500ms", "--drain-time", "20s")
	if err != nil {
		return nil, err
	}
	limited, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	if err := fleet.WaitReady(limited, pr.Address); err != nil {
		return nil, err
	}
	return st.balancer.add(name, pr), nil
}

func (st *setup) configure(ctx context.Context) error {
	progress := decl.Duration(time.Second)
	limit := decl.Duration(deadline)
	cfg := decl.Config{
		Services: map[string]decl.Service{
			"lyric": {
				Kind: decl.KindModel, Models: []decl.Model{{Name: "lyric"}}, MemoryTokens: 400_000, Deadline: limit,
				ProgressTimeout: progress, PrefillTokensPerSecond: 400_000, DecodeTokensPerSecond: 200,
			},
			"board": {Kind: decl.KindPlain, Path: "/board/", Deadline: limit, ProgressTimeout: progress},
		},
		Organisations: map[string]decl.Organisation{"parish": {TokenDigests: []string{decl.TokenDigest(callerToken)}}},
		Operators:     map[string]decl.Operator{"keeper": {TokenDigests: []string{decl.TokenDigest(operatorToken)}}},
	}
	st.acceptedVersion = 1
	return conf.Seed(ctx, st.fleet.Platform.Address, &cfg)
}

// addNote adds a line to the report.
func (st *setup) addNote(format string, args ...any) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.notes = append(st.notes, fmt.Sprintf(format, args...))
}

// replicas returns the replicas of a service.
func (st *setup) replicas(service string) []*upstream {
	var ups []*upstream
	for _, up := range st.upstreams {
		if up.service == service {
			ups = append(ups, up)
		}
	}
	return ups
}
