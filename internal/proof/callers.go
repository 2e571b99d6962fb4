package proof

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"dandelionsail.example/dandelionsail/internal/delay"
	"dandelionsail.example/dandelionsail/internal/entry"
	"dandelionsail.example/dandelionsail/internal/load"
)

// kind is the kind of a caller's request.
type kind string

const (
	// kindShort is a streamed completion of a prompt of about 100 to 2000 tokens.
	kindShort kind = "Short"
	// kindLong is a streamed completion of a prompt of longTokens.
	kindLong kind = "Long"
	// kindKeyed is a board update with an idempotency key, which is sent again until it succeeds, at most maxRetries times.
	kindKeyed kind = "Keyed"
	// kindOnce is a board update without an idempotency key, which is sent once.
	kindOnce kind = "Once"
)

const (
	// longTokens is the length of a long prompt. It is far above the number of tokens that an engine prefills in one step.
	longTokens = 30_000
	// retryDelay is how long a caller waits before it sends an update again.
	retryDelay = 300 * time.Millisecond
	// maxRetries is the maximum number of times that an update is sent again.
	maxRetries = 20
	// clientGrace is how long after the deadline a caller closes its connection.
	clientGrace = 5 * time.Second
)

// call is one request of a caller with all its attempts.
type call struct {
	kind kind
	// digest is the digest of the body, as the service stand-in computes it; 0 for completions.
	digest   uint32
	attempts []attempt
}

// attempt is the result of sending a call once.
type attempt struct {
	load.Result
	at     time.Time
	member *member
}

func (cl *call) last() attempt {
	return cl.attempts[len(cl.attempts)-1]
}

// callers generates open-loop load: it sends requests at the run's rate without waiting for earlier ones to end.
type callers struct {
	st     *setup
	opts   Options
	client *http.Client
	random *rand.Rand

	mu    sync.Mutex
	calls []*call
}

func newCallers(st *setup, opts Options) *callers {
	return &callers{
		st: st, opts: opts,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: deadline + clientGrace},
		random: rand.New(rand.NewPCG(opts.Seed, 1)),
	}
}

// run sends requests until the context ends, and then waits for those still open.
func (cs *callers) run(ctx context.Context) error {
	defer cs.client.CloseIdleConnections()
	var group sync.WaitGroup
	defer group.Wait()
	began := time.Now()
	for number := 0; ; number++ {
		due := began.Add(time.Duration(float64(number) / cs.opts.Rate * float64(time.Second)))
		if !delay.For(ctx, time.Until(due)) {
			return nil
		}
		knd, draw := cs.drawKind(), cs.random.Uint64()
		group.Go(func() {
			// Requests that are open at the end of the load are not cancelled.
			cs.send(context.WithoutCancel(ctx), knd, number, draw)
		})
	}
}

// drawKind draws the kind of the next request.
func (cs *callers) drawKind() kind {
	switch part := cs.random.Float64(); {
	case part < 0.7:
		return kindShort
	case part < 0.75:
		return kindLong
	case part < 0.9:
		return kindKeyed
	default:
		return kindOnce
	}
}

// send makes one request, with its retries, and records it.
func (cs *callers) send(ctx context.Context, knd kind, number int, draw uint64) {
	cl := &call{kind: knd}
	switch knd {
	case kindShort:
		cs.sendCompletion(ctx, cl, load.Prompt(int64(100+draw%1900), draw), int64(10+draw%30), draw)
	case kindLong:
		cs.sendCompletion(ctx, cl, load.Prompt(longTokens, draw), 20, draw)
	case kindKeyed:
		cs.sendUpdate(ctx, cl, fmt.Sprintf("%d-%d", cs.opts.Seed, number), number, maxRetries, draw)
	case kindOnce:
		cs.sendUpdate(ctx, cl, "", number, 0, draw)
	}
	cs.record(cl)
}

func (cs *callers) record(cl *call) {
	if len(cl.attempts) == 0 {
		return
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.calls = append(cs.calls, cl)
}

// sendCompletion sends a completion once.
func (cs *callers) sendCompletion(ctx context.Context, cl *call, prompt string, answer int64, draw uint64) {
	mb := cs.st.balancer.pick(draw)
	if mb == nil {
		return
	}
	caller := &load.Caller{Address: mb.process.Address, Token: callerToken, HTTP: cs.client}
	at := time.Now()
	res := caller.Complete(ctx, "lyric", prompt, answer)
	cl.attempts = append(cl.attempts, attempt{Result: res, at: at, member: mb})
}

// sendUpdate sends a board update until it succeeds, and retries it at most the given number of times under the same key.
func (cs *callers) sendUpdate(ctx context.Context, cl *call, key string, number, retries int, draw uint64) {
	raw := fmt.Appendf(nil, `{"Hymn":%d,"Seed":%d}`, number, cs.opts.Seed)
	hash := fnv.New32a()
	_, _ = hash.Write(raw)
	cl.digest = hash.Sum32()
	for try := range uint64(retries) + 1 {
		mb := cs.st.balancer.pick(draw + try)
		if mb != nil {
			cl.attempts = append(cl.attempts, cs.sendUpdateOnce(ctx, mb, key, raw))
			if cl.last().Outcome == load.OutcomeWhole {
				return
			}
		}
		delay.For(ctx, retryDelay)
	}
}

func (cs *callers) sendUpdateOnce(ctx context.Context, mb *member, key string, raw []byte) attempt {
	header := http.Header{}
	if key != "" {
		header.Set("Idempotency-Key", key)
	}
	caller := &load.Caller{Address: mb.process.Address, Token: callerToken, HTTP: cs.client}
	att := attempt{at: time.Now(), member: mb}
	resp, err := caller.Do(ctx, http.MethodPost, "/board/next", raw, header)
	if err != nil {
		att.Result = load.Result{Outcome: load.OutcomeBroken, Detail: err.Error(), Total: time.Since(att.at)}
		return att
	}
	defer func() { _ = resp.Body.Close() }()
	detail, err := io.ReadAll(resp.Body)
	att.Result = load.Result{
		Outcome: load.OutcomeRefused, Status: resp.StatusCode, Ran: resp.Header.Get(entry.HeaderRunState),
		Total: time.Since(att.at), Detail: string(detail),
	}
	switch {
	case err != nil:
		att.Outcome = load.OutcomeBroken
	case resp.StatusCode == http.StatusOK:
		att.Outcome = load.OutcomeWhole
	}
	return att
}
