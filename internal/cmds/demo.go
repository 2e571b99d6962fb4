package cmds

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"

	"dandelionsail.example/dandelionsail/internal/certs"
	"dandelionsail.example/dandelionsail/internal/conf"
	"dandelionsail.example/dandelionsail/internal/entry"
	"dandelionsail.example/dandelionsail/internal/load"
	"dandelionsail.example/dandelionsail/internal/peers"
	"dandelionsail.example/dandelionsail/internal/plat"
	"dandelionsail.example/dandelionsail/internal/stand"
	"dandelionsail.example/dandelionsail/internal/tool"
	"dandelionsail.example/dandelionsail/internal/upstr"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Size and settings of the demonstration.
const (
	demoEngines   = 3
	demoInstances = 2
	// demoUpdates is the number of updates of the plain service, each of which is sent twice under one key.
	demoUpdates = 5
	// demoToken is the bearer token of the only organisation.
	demoToken = "demo-token"
	// demoTimeout bounds the whole run, unless it is kept running.
	demoTimeout = 18 * time.Second
	// demoListLag is the delay after which the instance list shows a change.
	demoListLag = 50 * time.Millisecond
)

type demoCommand struct {
	Keep    bool `long:"keep" description:"leave everything running and print the addresses"`
	Verbose bool `long:"verbose" description:"log to standard error"`

	EngineLeaves bool          `long:"engine-leaves" description:"the first engine says in its answers that it leaves"`
	EngineRest   time.Duration `long:"engine-rest" description:"the first engine refuses half of its calls and asks for this time of rest" default:"0s"`
}

// Execute implements flags.Commander.
func (cmd *demoCommand) Execute(_ []string) error {
	ctx, stop := tool.Context()
	defer stop()
	if !cmd.Keep {
		limited, cancel := context.WithTimeout(ctx, demoTimeout)
		defer cancel()
		ctx = limited
	}
	logger := tool.Logger(&log.IOWriter{Writer: os.Stderr})
	if !cmd.Verbose {
		logger.SetLevel(log.ErrorLevel)
	}
	if cmd.EngineRest < 0 {
		return tool.Usage(fmt.Errorf("cmds: --engine-rest is %s; give 0s or more", cmd.EngineRest))
	}
	dm := &demo{logger: logger, platform: stand.NewPlatform(demoListLag)}
	dm.announced.Leaving = cmd.EngineLeaves
	if cmd.EngineRest > 0 {
		dm.announced.RefusedShare, dm.announced.Rest = 0.5, decl.Duration(cmd.EngineRest)
	}
	return dm.run(ctx, cmd.Keep, os.Stdout)
}

// demo is a whole deployment in one process: entry instances, and stand-ins for the platform, the engines and a plain
// service.
type demo struct {
	logger    *log.Logger
	platform  *stand.Platform
	address   string
	instances []string
	engines   []*stand.Engine
	service   *stand.Service
	// announced is what the first engine announces.
	announced stand.Announcements
	authority *certs.Authority
}

func (dm *demo) run(ctx context.Context, keep bool, out io.Writer) error {
	partsCtx, stop := context.WithCancel(ctx)
	defer stop()
	group, partsCtx := errgroup.WithContext(partsCtx)
	if err := dm.start(partsCtx, group); err != nil {
		return err
	}
	if err := dm.waitReady(ctx); err != nil {
		return err
	}
	fmt.Fprintf(out, "platform %s, %d engines, 1 plain service, entry instances %v\n\n", dm.address, demoEngines, dm.instances)
	err := dm.sendRequests(ctx, out)
	if keep && err == nil {
		dm.printInstructions(out)
		<-ctx.Done()
	}
	stop()
	if groupErr := group.Wait(); err == nil && groupErr != nil && groupErr != context.Canceled {
		err = groupErr
	}
	return err
}

func (dm *demo) start(ctx context.Context, group *errgroup.Group) error {
	var err error
	if dm.address, err = serveOn(ctx, group, dm.platform.Handler()); err != nil {
		return err
	}
	group.Go(func() error { return dm.platform.Run(ctx) })
	for i := range demoEngines {
		if err := dm.startEngine(ctx, group, i); err != nil {
			return err
		}
	}
	dm.service = stand.NewService(5 * time.Millisecond)
	address, err := serveOn(ctx, group, dm.service.Handler())
	if err != nil {
		return err
	}
	dm.platform.Put(plat.Entry{Name: "board-0", Service: "board", Address: address, FailureDomain: "a", State: plat.StateLive})
	if err := dm.configure(ctx); err != nil {
		return err
	}
	for i := range demoInstances {
		if err := dm.startInstance(ctx, group, i); err != nil {
			return err
		}
	}
	return nil
}

func (dm *demo) startEngine(ctx context.Context, group *errgroup.Group, number int) error {
	opts := stand.DefaultEngineOptions()
	opts.Step = 5 * time.Millisecond
	opts.PrefillChunk = 1000
	engine := stand.NewEngine(opts)
	if number == 0 {
		engine.Announce(dm.announced)
	}
	address, err := serveOn(ctx, group, engine.Handler())
	if err != nil {
		return err
	}
	group.Go(func() error { return engine.Run(ctx) })
	dm.engines = append(dm.engines, engine)
	name := fmt.Sprintf("lyric-%d", number)
	dm.platform.Put(plat.Entry{Name: name, Service: "lyric", Address: address, FailureDomain: "a", State: plat.StateLive})
	return nil
}

// serveOn serves the handler on a free loopback port until the context ends. It returns the address.
func serveOn(ctx context.Context, group *errgroup.Group, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	group.Go(func() error {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	return listener.Addr().String(), nil
}

func (dm *demo) startInstance(ctx context.Context, group *errgroup.Group, number int) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	opts := entry.Options{
		Name:          fmt.Sprintf("entry-%d", number),
		FailureDomain: "a",
		Listen:        listener.Addr().String(),
		Platform:      dm.address,
		Store:         dm.address,
		ListPeriod:    100 * time.Millisecond,
		LoadPeriod:    100 * time.Millisecond,
		DrainTime:     time.Second,
		MaxBody:       8 << 20,
		BodyTimeout:   10 * time.Second,
	}
	opts.PeerListen = "127.0.0.1:0"
	if opts.PeerKeys, err = dm.issue(opts.Name); err != nil {
		return err
	}
	if err := opts.Check(); err != nil {
		return err
	}
	instance := entry.New(opts, dm.logger)
	peer, err := instance.OpenPeers()
	if err != nil {
		return err
	}
	dm.instances = append(dm.instances, opts.Listen)
	dm.platform.Put(plat.Entry{
		Name: opts.Name, Service: plat.ServiceEntry, Address: opts.Listen, Peer: peer, FailureDomain: "a", State: plat.StateLive,
	})
	group.Go(func() error { return instance.Serve(ctx, listener) })
	return nil
}

// issue generates an instance's certificate and key in memory, signed by the demonstration's own authority.
func (dm *demo) issue(name string) (*peers.Keys, error) {
	if dm.authority == nil {
		authority, err := certs.New()
		if err != nil {
			return nil, err
		}
		dm.authority = authority
	}
	pair, err := dm.authority.Issue(name)
	if err != nil {
		return nil, err
	}
	return peers.NewKeys(dm.authority.Certificate, pair.Certificate, pair.Key)
}

// configure submits the first version of the configuration.
func (dm *demo) configure(ctx context.Context) error {
	return conf.Seed(ctx, dm.address, &decl.Config{
		Services: map[string]decl.Service{
			"lyric": {Kind: decl.KindModel, Models: []decl.Model{{Name: "lyric"}}, MemoryTokens: 400_000, PrefillTokensPerSecond: 200_000, DecodeTokensPerSecond: 200},
			"board": {Kind: decl.KindPlain, Path: "/board/"},
		},
		Organisations: map[string]decl.Organisation{"demo": {TokenDigests: []string{decl.TokenDigest(demoToken)}}},
	})
}

// waitReady waits until every instance reports that it is ready.
func (dm *demo) waitReady(ctx context.Context) error {
	for _, address := range dm.instances {
		for !isReady(ctx, address) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("demo: instance %s did not become ready: %w", address, ctx.Err())
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

func (dm *demo) printInstructions(out io.Writer) {
	fmt.Fprintf(out, "\nstill running; stop it with an interrupt. Try:\n"+
		"curl -N http://%s/v1/completions -H 'Authorization: Bearer %s' -d '{\"model\":\"lyric\",\"prompt\":\"Which hymn is next?\",\"max_tokens\":8,\"stream\":true}'\n",
		dm.instances[0], demoToken)
}

// sendRequests sends completions and updates concurrently, prints the report and checks the results.
func (dm *demo) sendRequests(ctx context.Context, out io.Writer) error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	rp := &demoReport{}
	var group errgroup.Group
	for i, tokens := range demoPrompts() {
		caller := &load.Caller{Address: dm.instances[i%demoInstances], Token: demoToken, HTTP: client}
		group.Go(func() error {
			rp.add(tokens, caller.Complete(ctx, "lyric", load.Prompt(tokens, uint64(i)), 20))
			return nil
		})
	}
	group.Go(func() error { return dm.updateBoard(ctx, client, rp) })
	if err := group.Wait(); err != nil {
		return err
	}
	rp.write(out)
	fmt.Fprintf(out, "\nboard updates: %d sent with %d keys, %d run\n", rp.updates, rp.keys, len(dm.service.Runs()))
	return rp.check(len(dm.service.Runs()))
}

// demoPrompts returns the prompt lengths to send in tokens: a few long ones and many short ones.
func demoPrompts() []int64 {
	prompts := []int64{300_000, 60_000, 150_000}
	for i := range 40 {
		prompts = append(prompts, int64(1000+200*i))
	}
	return prompts
}

// updateBoard sends each non-idempotent update twice under one key, as a caller does that lost the first answer.
func (dm *demo) updateBoard(ctx context.Context, client *http.Client, rp *demoReport) error {
	for number := range demoUpdates {
		header := http.Header{"Idempotency-Key": {fmt.Sprintf("hymn-%d", number)}}
		raw := fmt.Appendf(nil, `{"Hymn":%d}`, 100+number)
		for attempt := range 2 {
			caller := &load.Caller{Address: dm.instances[attempt%demoInstances], Token: demoToken, HTTP: client}
			status, err := updateOnce(ctx, caller, raw, header)
			if err != nil {
				return err
			}
			rp.addUpdate(status)
		}
		rp.keys++
	}
	return nil
}

// updateOnce sends an update until it gets an answer other than 409 and returns its status. An instance answers 409 with a
// Retry-After header while the first request under the same key is still running.
func updateOnce(ctx context.Context, caller *load.Caller, raw []byte, header http.Header) (int, error) {
	for {
		resp, err := caller.Do(ctx, http.MethodPost, "/board/next", raw, header)
		if err != nil {
			return 0, err
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusConflict {
			return resp.StatusCode, nil
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(upstr.RetryAfter(resp.Header)):
		}
	}
}
