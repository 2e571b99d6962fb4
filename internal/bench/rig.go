package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"dandelionsail.example/dandelionsail/internal/conf"
	"dandelionsail.example/dandelionsail/internal/entry"
	"dandelionsail.example/dandelionsail/internal/fleet"
	"dandelionsail.example/dandelionsail/internal/load"
	"dandelionsail.example/dandelionsail/internal/stand"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

const (
	// readyTime bounds the time until all instances of a fleet are ready.
	readyTime = 30 * time.Second
	// settleTime bounds the time in which engines free their memory after a run.
	settleTime = 10 * time.Second
	// loadPeriod is the time between load reports at a time scale of 1.
	loadPeriod = decl.Duration(time.Second)
	// operatorName is the operator that reads the status of instances.
	operatorName = "sailbench"
	// operatorToken is the token of that operator.
	operatorToken = "token-of-the-operator"
)

// rig is a deployment of real processes on loopback, on which an experiment runs.
type rig struct {
	sc       *load.Scenario
	fleet    *fleet.Fleet
	entries  []*fleet.Process
	engines  []*fleet.Process
	services []*fleet.Process
	balancer load.Balancer
	policy   string
	// loadPeriod is the time between load reports in the run.
	loadPeriod time.Duration
	// replaced counts the entry instances that were replaced.
	replaced int
}

// newRig starts the scenario's deployment under the variant's policy.
func newRig(ctx context.Context, va variant, logs io.Writer) (*rig, error) {
	rg := &rig{sc: va.scenario, fleet: &fleet.Fleet{Logs: logs}, policy: va.policy, loadPeriod: va.loadPeriod}
	if rg.loadPeriod == 0 {
		rg.loadPeriod = rg.sc.Scaled(loadPeriod)
	}
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	if err := rg.start(ctx); err != nil {
		rg.fleet.Close()
		return nil, err
	}
	return rg, nil
}

func (rg *rig) start(ctx context.Context) error {
	if err := rg.fleet.StartPlatform("--list-lag", "200ms"); err != nil {
		return err
	}
	if err := rg.configure(ctx); err != nil {
		return err
	}
	if err := rg.startUpstreams(); err != nil {
		return err
	}
	for range rg.sc.Instances {
		if err := rg.startEntry(); err != nil {
			return err
		}
	}
	for _, pr := range rg.entries {
		if err := fleet.WaitReady(ctx, pr.Address); err != nil {
			return err
		}
	}
	rg.updateBalancer()
	// Let the load reports and cache events of all engines arrive before the first request.
	time.Sleep(time.Second)
	return nil
}

func (rg *rig) domain(number int) string {
	return rg.sc.FailureDomains[number%len(rg.sc.FailureDomains)]
}

func (rg *rig) startUpstreams() error {
	md, pp := rg.sc.Model, rg.sc.Plain
	args := []string{
		"--model", md.Service,
		"--memory-tokens", strconv.FormatInt(md.MemoryTokens, 10),
		"--step", md.Step.String(),
		"--prefill-chunk", strconv.FormatInt(md.PrefillChunk, 10),
		"--attention-tokens", strconv.FormatInt(md.AttentionTokens, 10),
		"--max-batch", strconv.Itoa(md.MaxBatch),
		"--report-lag", md.ReportLag.String(),
		"--cache-lag", md.CacheLag.String(),
		"--cache-gap", strconv.FormatFloat(md.CacheGap, 'g', -1, 64),
		"--scale", strconv.FormatFloat(rg.sc.Scale, 'g', -1, 64),
	}
	var group errgroup.Group
	rg.engines = make([]*fleet.Process, md.Replicas)
	for i := range md.Replicas {
		group.Go(func() (err error) {
			rg.engines[i], err = rg.fleet.StartEngine(fmt.Sprintf("%s-%d", md.Service, i), md.Service, rg.domain(i), args...)
			return err
		})
	}
	rg.services = make([]*fleet.Process, pp.Replicas)
	for i := range pp.Replicas {
		group.Go(func() (err error) {
			rg.services[i], err = rg.fleet.StartService(fmt.Sprintf("%s-%d", pp.Service, i), pp.Service, rg.domain(i),
				"--delay", rg.sc.Scaled(pp.Delay).String())
			return err
		})
	}
	return group.Wait()
}

// startEntry starts one more entry instance.
func (rg *rig) startEntry() error {
	number := len(rg.entries) + rg.replaced
	pr, err := rg.fleet.StartEntry(fmt.Sprintf("entry-%d", number), rg.domain(number),
		"--policy", rg.policy,
		"--load-period", rg.loadPeriod.String(),
		"--list-period", "200ms",
		"--drain-notice", "200ms",
		"--drain-time", "30s",
	)
	if err != nil {
		return err
	}
	rg.entries = append(rg.entries, pr)
	return nil
}

// updateBalancer sets the balancer's addresses to those of the current entry instances.
func (rg *rig) updateBalancer() {
	var addresses []string
	for _, pr := range rg.entries {
		addresses = append(addresses, pr.Address)
	}
	rg.balancer.Set(addresses)
}

func token(organisation string) string {
	return "token-of-" + organisation
}

// configure submits the scenario's configuration.
func (rg *rig) configure(ctx context.Context) error {
	return conf.Seed(ctx, rg.fleet.Platform.Address, rg.config())
}

func (rg *rig) config() *decl.Config {
	md, pp := rg.sc.Model, rg.sc.Plain
	steps := rg.sc.Scale / md.Step.Std().Seconds()
	cfg := &decl.Config{
		Operators:     map[string]decl.Operator{operatorName: {TokenDigests: []string{decl.TokenDigest(operatorToken)}, ReadOnly: true}},
		Organisations: map[string]decl.Organisation{},
		LengthClasses: rg.sc.LengthClasses,
		Services: map[string]decl.Service{
			md.Service: {
				Kind:                   decl.KindModel,
				Models:                 []decl.Model{{Name: md.Service}},
				MemoryTokens:           md.MemoryTokens,
				PrefillTokensPerSecond: steps * float64(md.PrefillChunk),
				DecodeTokensPerSecond:  steps,
				MaxRunning:             int64(md.MaxBatch),
				Discipline:             md.Discipline,
				ClassWeights:           md.ClassWeights,
			},
			pp.Service: {Kind: decl.KindPlain, Path: pp.Path},
		},
	}
	for _, org := range rg.sc.Organisations {
		cfg.Organisations[org.Name] = decl.Organisation{
			TokenDigests: []string{decl.TokenDigest(token(org.Name))},
			Weight:       100 * org.Share,
		}
	}
	return cfg
}

// run sends the planned requests to the deployment.
func (rg *rig) run(ctx context.Context, plan []load.PlannedRequest) []load.Record {
	runner := &load.Runner{Scenario: rg.sc, Balancer: &rg.balancer, Tokens: map[string]string{}, HTTP: load.NewClient()}
	defer runner.HTTP.CloseIdleConnections()
	for _, org := range rg.sc.Organisations {
		runner.Tokens[org.Name] = token(org.Name)
	}
	return runner.Run(ctx, plan)
}

// engineState returns the actual state of one engine, as opposed to its delayed load reports.
func engineState(ctx context.Context, address string) (stand.State, error) {
	var st stand.State
	err := getJSON(ctx, "http://"+address+stand.PathState, &st)
	return st, err
}

// peerBytes returns the bytes that the instances have exchanged since their start. Each byte is counted at the sender and at
// the receiver.
func (rg *rig) peerBytes(ctx context.Context) (int64, error) {
	var total int64
	for _, pr := range rg.entries {
		var status entry.Status
		if err := getJSON(ctx, "http://"+pr.Address+"/operator/v1/status", &status); err != nil {
			return 0, err
		}
		total += status.Peers.Sent + status.Peers.Received
	}
	return total, nil
}

func getJSON(ctx context.Context, url string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(out)
}

// engineTotals adds up the actual states of all engines.
func (rg *rig) engineTotals(ctx context.Context) (stand.State, error) {
	var total stand.State
	for _, pr := range rg.engines {
		st, err := engineState(ctx, pr.Address)
		if err != nil {
			return total, err
		}
		total.UsedTokens += st.UsedTokens
		total.LostSteps += st.LostSteps
		total.Work += st.Work
	}
	return total, nil
}

// waitIdle waits until the engines hold no tokens, or until settleTime has passed, and returns the sum of their states.
func (rg *rig) waitIdle(ctx context.Context) (stand.State, error) {
	end := time.Now().Add(settleTime)
	for {
		st, err := rg.engineTotals(ctx)
		if err != nil || st.UsedTokens == 0 || time.Now().After(end) {
			return st, err
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// countDuplicates counts the idempotency keys that plain services executed more than once.
func (rg *rig) countDuplicates(ctx context.Context) (int, error) {
	seen := map[string]int{}
	doubled := 0
	for _, pr := range rg.services {
		var runs []stand.Run
		if err := getJSON(ctx, "http://"+pr.Address+stand.PathRuns, &runs); err != nil {
			return 0, err
		}
		for _, run := range runs {
			seen[run.Key]++
			if seen[run.Key] == 2 {
				doubled++
			}
		}
	}
	return doubled, nil
}
