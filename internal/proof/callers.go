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

// kind is what a caller asks for.
type kind string

const (
	// kindShort and kindLong are streamed completions.
	kindShort kind = "Short"
	kindLong  kind = "Long"
	// kindKeyed is a board update with an idempotency key, sent again until its outcome is clear.
	kindKeyed kind = "Keyed"
	// kindOnce is a board update without a key, sent once.
	kindOnce kind = "Once"
)

const (
	// longTokens is above what one step of an engine prefills, by far.
	longTokens = 30_000
	// resendPause is a caller's wait before it sends again.
	resendPause = 300 * time.Millisecond
	// resends bounds them.
	resends = 20
	// patience is how long beyond the deadline a caller waits before it gives the connection up.
	patience = 5 * time.Second
)

// call is one request of a caller, with every time it was sent.
type call struct {
	kind kind
	// digest is the service stand-in's of the body.
	digest uint32
	sends  []send
}

// send is one time that a call was sent.
type send struct {
	load.Result
	at     time.Time
	member *member
}

func (cl *call) last() send {
	return cl.sends[len(cl.sends)-1]
}

// callers send requests at the run's rate, whatever becomes of the earlier ones.
type callers struct {
	st     *site
	opts   Options
	client *http.Client
	random *rand.Rand

	mu    sync.Mutex
	calls []*call
}

func newCallers(st *site, opts Options) *callers {
	return &callers{
		st: st, opts: opts,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: deadline + patience},
		random: rand.New(rand.NewPCG(opts.Seed, 1)),
	}
}

// run sends until the context ends, and waits for the last answers.
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
		knd, draw := cs.draw(), cs.random.Uint64()
		group.Go(func() {
			// What was sent is waited for, also after the end of the load.
			cs.send(context.WithoutCancel(ctx), knd, number, draw)
		})
	}
}

// draw takes the kind of the next request.
func (cs *callers) draw() kind {
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

// send makes one request to its end and logs it.
func (cs *callers) send(ctx context.Context, knd kind, number int, draw uint64) {
	cl := &call{kind: knd}
	switch knd {
	case kindShort:
		cs.complete(ctx, cl, load.Prompt(int64(100+draw%1900), draw), int64(10+draw%30), draw)
	case kindLong:
		cs.complete(ctx, cl, load.Prompt(longTokens, draw), 20, draw)
	case kindKeyed:
		cs.update(ctx, cl, fmt.Sprintf("%d-%d", cs.opts.Seed, number), number, resends, draw)
	case kindOnce:
		cs.update(ctx, cl, "", number, 0, draw)
	}
	cs.log(cl)
}

func (cs *callers) log(cl *call) {
	if len(cl.sends) == 0 {
		return
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.calls = append(cs.calls, cl)
}

// complete sends a completion once.
func (cs *callers) complete(ctx context.Context, cl *call, prompt string, answer int64, draw uint64) {
	mb := cs.st.balancer.pick(draw)
	if mb == nil {
		return
	}
	caller := &load.Caller{Address: mb.process.Address, Token: callerToken, HTTP: cs.client}
	at := time.Now()
	res := caller.Complete(ctx, "lyric", prompt, answer)
	cl.sends = append(cl.sends, send{Result: res, at: at, member: mb})
}

// update sends a board update, and again under the same key while its outcome is not clear.
func (cs *callers) update(ctx context.Context, cl *call, key string, number, again int, draw uint64) {
	raw := fmt.Appendf(nil, `{"Hymn":%d,"Seed":%d}`, number, cs.opts.Seed)
	hash := fnv.New32a()
	_, _ = hash.Write(raw)
	cl.digest = hash.Sum32()
	for try := range uint64(again) + 1 {
		mb := cs.st.balancer.pick(draw + try)
		if mb != nil {
			cl.sends = append(cl.sends, cs.updateOnce(ctx, mb, key, raw))
			if cl.last().Outcome == load.OutcomeWhole {
				return
			}
		}
		delay.For(ctx, resendPause)
	}
}

func (cs *callers) updateOnce(ctx context.Context, mb *member, key string, raw []byte) send {
	header := http.Header{}
	if key != "" {
		header.Set("Idempotency-Key", key)
	}
	caller := &load.Caller{Address: mb.process.Address, Token: callerToken, HTTP: cs.client}
	sn := send{at: time.Now(), member: mb}
	resp, err := caller.Do(ctx, http.MethodPost, "/board/next", raw, header)
	if err != nil {
		sn.Result = load.Result{Outcome: load.OutcomeBroken, Detail: err.Error(), Total: time.Since(sn.at)}
		return sn
	}
	defer func() { _ = resp.Body.Close() }()
	detail, err := io.ReadAll(resp.Body)
	sn.Result = load.Result{
		Outcome: load.OutcomeRefused, Status: resp.StatusCode, Ran: resp.Header.Get(entry.HeaderRan),
		Total: time.Since(sn.at), Detail: string(detail),
	}
	switch {
	case err != nil:
		sn.Outcome = load.OutcomeBroken
	case resp.StatusCode == http.StatusOK:
		sn.Outcome = load.OutcomeWhole
	}
	return sn
}
