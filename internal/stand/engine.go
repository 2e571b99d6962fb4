// Package stand has small stand-ins for the outside systems: model engines, plain services and the platform. They
// speak the published protocols, and their faults can be set while they run.
package stand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"dandelionsail.example/dandelionsail/internal/body"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/upstr"
)

// EngineOptions fix an engine stand-in's speed and size.
type EngineOptions struct {
	Model string
	// MemoryTokens is what the KV memory holds.
	MemoryTokens int64
	// Step is the time of one step of the batch at time scale 1.
	Step time.Duration
	// PrefillChunk is how many prompt tokens one step prefills.
	PrefillChunk int64
	// MaxBatch is how many requests run at once; more wait.
	MaxBatch int
	// MaxWaiting is how many wait before the engine refuses.
	MaxWaiting int
	// ReportLag is how old a load report is.
	ReportLag time.Duration
}

// DefaultEngine returns the options of a middling engine: 20,000 prompt tokens and 50 answer tokens a second.
func DefaultEngine() EngineOptions {
	return EngineOptions{
		Model:        "lyric",
		MemoryTokens: 400_000,
		Step:         20 * time.Millisecond,
		PrefillChunk: 400,
		MaxBatch:     32,
		MaxWaiting:   256,
		ReportLag:    200 * time.Millisecond,
	}
}

// job is one request in the engine.
type job struct {
	id        string
	prompt    int64
	answer    int64
	prefilled int64
	// next is the next token of the answer.
	next     int64
	priority int
	arrived  time.Time
	admitted bool
	tokens   chan int64
	done     <-chan struct{}
}

// Engine is one model engine: a batch that prefills one chunk and decodes one token for each request a step.
type Engine struct {
	opts    EngineOptions
	mu      sync.Mutex
	jobs    []*job
	used    int64
	reports []timedLoad
	ran     map[string]int
}

type timedLoad struct {
	at   time.Time
	load event.Load
}

// NewEngine returns an engine without requests.
func NewEngine(opts EngineOptions) *Engine {
	return &Engine{opts: opts, ran: map[string]int{}}
}

// Run steps the batch until the context ends.
func (en *Engine) Run(ctx context.Context) error {
	ticker := time.NewTicker(en.opts.Step)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			en.step(now)
		}
	}
}

// Used returns the memory in use, in tokens.
func (en *Engine) Used() int64 {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.used
}

func (en *Engine) step(now time.Time) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.removeEnded()
	en.admit()
	en.prefill()
	for _, jb := range en.jobs {
		if jb.admitted && jb.prefilled >= jb.prompt && jb.next < jb.answer {
			jb.tokens <- jb.next
			jb.next++
		}
	}
	en.report(now)
}

// removeEnded frees the memory of requests that are whole or whose caller left.
func (en *Engine) removeEnded() {
	kept := en.jobs[:0]
	for _, jb := range en.jobs {
		if jb.next < jb.answer && !closed(jb.done) {
			kept = append(kept, jb)
			continue
		}
		if jb.admitted {
			en.used -= jb.prompt + jb.answer
		}
		close(jb.tokens)
	}
	clear(en.jobs[len(kept):])
	en.jobs = kept
}

func closed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// admit gives memory to waiting requests by priority, then by arrival.
func (en *Engine) admit() {
	for {
		var best *job
		running := 0
		for _, jb := range en.jobs {
			if jb.admitted {
				running++
				continue
			}
			if best == nil || jb.priority > best.priority {
				best = jb
			}
		}
		if best == nil || running >= en.opts.MaxBatch || en.used+best.prompt+best.answer > en.opts.MemoryTokens {
			return
		}
		best.admitted = true
		en.used += best.prompt + best.answer
	}
}

// prefill spends one step's chunk on the admitted requests by priority.
func (en *Engine) prefill() {
	budget := en.opts.PrefillChunk
	for budget > 0 {
		var best *job
		for _, jb := range en.jobs {
			if jb.admitted && jb.prefilled < jb.prompt && (best == nil || jb.priority > best.priority) {
				best = jb
			}
		}
		if best == nil {
			return
		}
		part := min(budget, best.prompt-best.prefilled)
		best.prefilled += part
		budget -= part
	}
}

func (en *Engine) report(now time.Time) {
	load := event.Load{UsedTokens: en.used, MemoryTokens: en.opts.MemoryTokens}
	for _, jb := range en.jobs {
		load.QueuedTokens += jb.prompt - jb.prefilled
		if jb.admitted {
			load.Running++
		} else {
			load.Waiting++
		}
	}
	en.reports = append(en.reports, timedLoad{now, load})
	for len(en.reports) > 1 && now.Sub(en.reports[1].at) >= en.opts.ReportLag {
		en.reports = en.reports[1:]
	}
}

// Handler serves the engine's API.
func (en *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", en.complete)
	mux.HandleFunc("POST /v1/chat/completions", en.complete)
	mux.HandleFunc("GET /v1/load", en.load)
	return mux
}

func (en *Engine) load(w http.ResponseWriter, _ *http.Request) {
	en.mu.Lock()
	report := upstr.Report{Role: "Mixed", Models: []string{en.opts.Model}}
	if len(en.reports) > 0 {
		report.Load = en.reports[0].load
		report.Age = time.Since(en.reports[0].at)
	}
	en.mu.Unlock()
	_ = json.NewEncoder(w).Encode(report)
}

func refuse(w http.ResponseWriter, status int, message string) {
	w.Header().Set(upstr.HeaderRun, upstr.RunStateNotRun)
	w.Header().Set("Retry-After", "0.1")
	http.Error(w, message, status)
}

// defaultAnswer is the length of an answer for which the request gave no bound.
const defaultAnswer = 16

func (en *Engine) complete(w http.ResponseWriter, req *http.Request) {
	raw, err := io.ReadAll(req.Body)
	if err != nil {
		refuse(w, http.StatusBadRequest, "the body ended early")
		return
	}
	bd, err := body.Scan(raw)
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	jb := en.newJob(req, bd)
	if jb.prompt+jb.answer > en.opts.MemoryTokens {
		refuse(w, http.StatusRequestEntityTooLarge, "the prompt is larger than the engine's memory")
		return
	}
	if !en.enter(jb) {
		refuse(w, http.StatusTooManyRequests, "too many requests wait")
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for token := range jb.tokens {
		writeToken(w, jb, bd, token)
		_ = http.NewResponseController(w).Flush()
	}
	if req.Context().Err() != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "id: %s/%d\ndata: [DONE]\n\n", jb.id, jb.answer)
}

func (en *Engine) newJob(req *http.Request, bd *body.Body) *job {
	jb := &job{
		id:      req.Header.Get(upstr.HeaderRequest),
		prompt:  bd.PromptTokens(),
		answer:  bd.MaxTokens,
		arrived: time.Now(),
		done:    req.Context().Done(),
	}
	if jb.answer == 0 {
		jb.answer = defaultAnswer
	}
	jb.next, _ = strconv.ParseInt(req.Header.Get(upstr.HeaderOffset), 10, 64)
	jb.priority, _ = strconv.Atoi(req.Header.Get(upstr.HeaderPriority))
	// The batch never waits for a slow reader: there is room for the whole answer.
	jb.tokens = make(chan int64, max(0, jb.answer-jb.next))
	return jb
}

func (en *Engine) enter(jb *job) bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	if len(en.jobs) >= en.opts.MaxBatch+en.opts.MaxWaiting {
		return false
	}
	en.jobs = append(en.jobs, jb)
	en.ran[jb.id]++
	return true
}

// Word returns the text of a token of the answer to a prompt, so that a reader can tell whose answer it has.
func Word(bd *body.Body, token int64) string {
	prefix := bd.PromptBytes()
	return fmt.Sprintf("%08x.%d ", fingerprint(prefix), token)
}

func writeToken(w io.Writer, jb *job, bd *body.Body, token int64) {
	text := Word(bd, token)
	choice := fmt.Sprintf(`{"index":0,"text":%q,"finish_reason":null}`, text)
	if bd.Chat {
		choice = fmt.Sprintf(`{"index":0,"delta":{"content":%q},"finish_reason":null}`, text)
	}
	usage := ""
	if token == jb.answer-1 {
		usage = fmt.Sprintf(`,"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}`, jb.prompt, jb.answer, jb.prompt+jb.answer)
	}
	_, _ = fmt.Fprintf(w, "id: %s/%d\ndata: {\"id\":%q,\"object\":\"text_completion\",\"model\":%q,\"choices\":[%s]%s}\n\n",
		jb.id, token, jb.id, bd.Model, choice, usage)
}
