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

// Size of a run's fleet.
const (
	engines   = 4
	services  = 3
	instances = 3
)

const (
	callerToken   = "proof-caller"
	operatorToken = "proof-operator"
	// deadline is what every request has.
	deadline = 10 * time.Second
	// settleTime is how long a run's end may take to free the engines' memory.
	settleTime = 10 * time.Second
)

// domains are the failure domains; engines and instances are spread over them in turn.
var domains = []string{"a", "b"}

// upstream is one replica behind its proxy.
type upstream struct {
	// killed tells that the run itself ended the process.
	killed  atomic.Bool
	name    string
	service string
	domain  string
	process *fleet.Process
	proxy   *fault.Proxy
}

// site is the fleet of one run.
type site struct {
	fleet     *fleet.Fleet
	store     *fault.Proxy
	upstreams []*upstream
	balancer  *balancer
	versions  *versions
	config    *conf.Log

	// restarting keeps two faults from restarting one replica twice.
	restarting sync.Mutex

	injectedAt, undoneAt time.Time

	stop    context.CancelFunc
	proxies sync.WaitGroup

	mu sync.Mutex
	// started numbers the instances, so that each has a name of its own.
	started int
	notes   []string
	// deaths counts the engines that ended without having been killed by the run.
	deaths int
	// landed is the highest version that a submitter was told of.
	landed int64
}

// open starts a fleet and waits until it serves.
func open(ctx context.Context, opts Options) (*site, error) {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	st := &site{fleet: &fleet.Fleet{Logs: opts.Logs}, stop: stop}
	st.balancer = newBalancer()
	st.versions = &versions{st: st, seen: map[string]int64{}}
	if err := st.start(ctx, running); err != nil {
		st.close()
		return nil, err
	}
	return st, nil
}

func (st *site) start(ctx, running context.Context) error {
	if err := st.fleet.StartPlatform("--list-lag", "300ms"); err != nil {
		return err
	}
	var err error
	if st.store, err = st.proxy(running, st.fleet.Platform.Address); err != nil {
		return err
	}
	st.config = conf.New(store.New(st.fleet.Platform.Address))
	if err := st.configure(ctx); err != nil {
		return err
	}
	for number := range engines {
		if err := st.startUpstream(running, "lyric", number); err != nil {
			return err
		}
	}
	for number := range services {
		if err := st.startUpstream(running, "board", number); err != nil {
			return err
		}
	}
	for range instances {
		if _, err := st.startInstance(ctx); err != nil {
			return err
		}
	}
	return nil
}

// close ends everything.
func (st *site) close() {
	st.fleet.Close()
	st.stop()
	st.proxies.Wait()
}

// proxy puts a fault-injecting proxy before the address.
func (st *site) proxy(running context.Context, address string) (*fault.Proxy, error) {
	px, err := fault.New("tcp", "127.0.0.1:0", address)
	if err != nil {
		return nil, err
	}
	st.proxies.Go(func() { _ = px.Run(running) })
	return px, nil
}

func (st *site) startUpstream(running context.Context, service string, number int) error {
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

// startProcess runs the replica's process at the address.
func (st *site) startProcess(up *upstream, address string) error {
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

// startInstance runs one more entry instance and gives it to the balancer.
func (st *site) startInstance(ctx context.Context) (*member, error) {
	st.mu.Lock()
	number := st.started
	st.started++
	st.mu.Unlock()
	name := fmt.Sprintf("entry-%d", number)
	pr, err := st.fleet.StartEntry(name, domains[number%len(domains)], "--store", st.store.Address,
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

func (st *site) configure(ctx context.Context) error {
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
	st.landed = 1
	return conf.Seed(ctx, st.fleet.Platform.Address, &cfg)
}

// note keeps a line for the report.
func (st *site) note(format string, args ...any) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.notes = append(st.notes, fmt.Sprintf(format, args...))
}

// of returns the replicas of a service.
func (st *site) of(service string) []*upstream {
	var ups []*upstream
	for _, up := range st.upstreams {
		if up.service == service {
			ups = append(ups, up)
		}
	}
	return ups
}
