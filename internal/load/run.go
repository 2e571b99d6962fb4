package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"dandelionsail.example/dandelionsail/internal/entry"
	"dandelionsail.example/dandelionsail/internal/upstr"
)

const (
	// prepareTime is how long before its planned time a request is encoded.
	prepareTime = 250 * time.Millisecond
	// lateThreshold is the delay above which a send counts as late.
	lateThreshold = 10 * time.Millisecond
	// grace is how long after its deadline a run waits for an answer.
	grace = 5 * time.Second
)

// Balancer holds the addresses of the Instances, like the platform's load balancer.
type Balancer struct {
	mu        sync.Mutex
	addresses []string
}

// Set replaces the addresses.
func (ba *Balancer) Set(addresses []string) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	ba.addresses = addresses
}

func (ba *Balancer) pick(draw uint64) string {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	return ba.addresses[draw%uint64(len(ba.addresses))]
}

// Record is the result of one planned request.
type Record struct {
	Planned PlannedRequest
	Result  Result
	// Late is the delay of the send. Latencies are measured from the planned time.
	Late time.Duration
}

// FirstToken returns the time from the planned time to the first token.
func (rc *Record) FirstToken() time.Duration {
	return rc.Late + rc.Result.FirstToken
}

// Runner sends planned requests at their times in an open loop: it doesn't wait for earlier ones to end.
type Runner struct {
	Scenario *Scenario
	Balancer *Balancer
	// Tokens maps Organisations to their bearer tokens.
	Tokens map[string]string
	HTTP   *http.Client
}

// NewClient returns an HTTP client that keeps enough idle connections for a run.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512, WriteBufferSize: 64 << 10}}
}

// Run sends the requests and returns their records after all have ended.
func (ru *Runner) Run(ctx context.Context, plan []PlannedRequest) []Record {
	records := make([]Record, len(plan))
	var group sync.WaitGroup
	start := time.Now().Add(2 * prepareTime)
	for i, req := range plan {
		at := start.Add(req.At)
		if !sleepUntil(ctx, at.Add(-prepareTime)) {
			records = records[:i]
			break
		}
		group.Go(func() { records[i] = ru.send(ctx, req, at) })
	}
	group.Wait()
	return records
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (ru *Runner) send(ctx context.Context, req PlannedRequest, at time.Time) Record {
	limited, cancel := context.WithDeadline(ctx, at.Add(req.Deadline+grace))
	defer cancel()
	if req.Plain {
		return ru.call(limited, req, at)
	}
	cm, err := NewCompletion(ru.Scenario.Model.Service, SessionPrompt(req.PromptTokens, req.Prefix, req.Session, req.Content), req.Answer)
	if err != nil {
		return Record{Planned: req, Result: Result{Outcome: OutcomeBroken, Detail: err.Error()}}
	}
	sleepUntil(ctx, at)
	late := time.Since(at)
	return Record{Planned: req, Late: late, Result: ru.caller(req).Send(limited, cm)}
}

func (ru *Runner) caller(req PlannedRequest) *Caller {
	return &Caller{
		Address: ru.Balancer.pick(req.Instance), Token: ru.Tokens[req.Organisation], HTTP: ru.HTTP, Deadline: req.Deadline,
	}
}

// call sends one non-idempotent call with its idempotency key.
func (ru *Runner) call(ctx context.Context, req PlannedRequest, at time.Time) Record {
	sleepUntil(ctx, at)
	rc := Record{Planned: req, Late: time.Since(at)}
	header := http.Header{upstr.HeaderKey: {strconv.FormatUint(req.Key, 36)}}
	raw := fmt.Appendf(nil, `{"Number":%d}`, req.Key)
	started := time.Now()
	resp, err := ru.caller(req).Do(ctx, http.MethodPost, ru.Scenario.Plain.Path+"next", raw, header)
	if err != nil {
		rc.Result = Result{Outcome: OutcomeBroken, Detail: err.Error(), Total: time.Since(started)}
		return rc
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		rc.Result = refused(resp, started)
		return rc
	}
	_, err = io.Copy(io.Discard, resp.Body)
	rc.Result = Result{Outcome: OutcomeWhole, Status: resp.StatusCode, FirstToken: time.Since(started), Total: time.Since(started)}
	rc.Result.Ran = resp.Header.Get(entry.HeaderRunState)
	if err != nil {
		rc.Result.Outcome = OutcomeShort
		rc.Result.Detail = err.Error()
	}
	return rc
}
