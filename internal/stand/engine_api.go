package stand

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dandelionsail.example/dandelionsail/internal/body"
	"dandelionsail.example/dandelionsail/internal/upstr"
)

// PoisonMarker is the text in a prompt that crashes every engine that takes it.
const PoisonMarker = "poison-pill"

// defaultAnswer is the length of an answer for which the request gave no bound.
const defaultAnswer = 16

// importCheck is how often an engine looks whether the segments it imports are still held.
const importCheck = 500 * time.Millisecond

// request is one completion or prefill as it was read.
type request struct {
	req     *http.Request
	body    *body.Body
	prompt  int64
	key     uint32
	imports []handle
	// imported is the position up to which imports reach.
	imported int64
}

// read takes the request's body, or refuses it and returns nil.
func (en *Engine) read(w http.ResponseWriter, req *http.Request) *request {
	raw, err := io.ReadAll(req.Body)
	if err != nil {
		refuse(w, http.StatusBadRequest, "the body ended early")
		return nil
	}
	bd, err := body.Scan(raw)
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return nil
	}
	if bytes.Contains(bd.PromptBytes(), []byte(PoisonMarker)) {
		en.crash()
		panic(http.ErrAbortHandler)
	}
	if !en.serves(bd.Model) {
		refuse(w, http.StatusNotFound, "the model is not loaded")
		return nil
	}
	rq := &request{req: req, body: bd, prompt: bd.PromptTokens(), key: Fingerprint(bd)}
	if err := rq.readImports(); err != nil {
		refuse(w, http.StatusConflict, err.Error())
		return nil
	}
	return rq
}

// newJob returns a job that computes from the end of the imports up to the target position.
func (rq *request) newJob(target int64) *job {
	jb := &job{
		id:        rq.req.Header.Get(upstr.HeaderRequest),
		key:       rq.key,
		start:     rq.imported,
		prefilled: rq.imported,
		target:    target,
		prefixes:  body.Prefixes(rq.body.PromptBytes()),
		triedAt:   -1,
		done:      rq.req.Context().Done(),
	}
	jb.priority, _ = strconv.Atoi(rq.req.Header.Get(upstr.HeaderPriority))
	return jb
}

func (rq *request) completion() *job {
	offset, _ := strconv.ParseInt(rq.req.Header.Get(upstr.HeaderOffset), 10, 64)
	// What the caller has of the answer already is computed anew like a prompt.
	jb := rq.newJob(rq.prompt + offset)
	jb.next = offset
	jb.answer = rq.body.MaxTokens
	if jb.answer == 0 {
		jb.answer = defaultAnswer
	}
	jb.memory = rq.prompt + jb.answer - jb.start
	// The batch never waits for a slow reader: there is room for the whole answer.
	jb.tokens = make(chan int64, max(0, jb.answer-jb.next))
	return jb
}

// enter takes a job in, or refuses it and reports false.
func (en *Engine) enter(w http.ResponseWriter, jb *job) bool {
	if jb.memory > en.opts.MemoryTokens {
		refuse(w, http.StatusRequestEntityTooLarge, "the request is larger than the engine's memory")
		return false
	}
	en.mu.Lock()
	full := en.faults.Refuse || len(en.jobs) >= en.opts.MaxBatch+en.opts.MaxWaiting
	if !full {
		en.jobs = append(en.jobs, jb)
		en.ran[jb.id]++
	}
	en.mu.Unlock()
	if full {
		refuse(w, http.StatusTooManyRequests, "too many requests wait")
	}
	return !full
}

func (en *Engine) complete(w http.ResponseWriter, req *http.Request) {
	rq := en.read(w, req)
	if rq == nil {
		return
	}
	jb := rq.completion()
	if !en.enter(w, jb) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	_ = http.NewResponseController(w).Flush()
	imports, waiting := time.NewTicker(importCheck), time.NewTicker(en.opts.Keepalive)
	defer imports.Stop()
	defer waiting.Stop()
	for {
		select {
		case token, ok := <-jb.tokens:
			if !ok {
				endStream(w, jb)
				return
			}
			en.send(w, jb, rq.body, token)
		case <-waiting.C:
			en.keepAlive(w)
		case <-imports.C:
			if rq.checkImports(req.Context()) != nil {
				// Attention over a segment that is gone cannot go on.
				en.cancel(jb.id)
			}
		}
	}
}

// keepAlive writes a comment, by which a reader tells an engine that queues or prefills from one that hangs.
func (en *Engine) keepAlive(w http.ResponseWriter) {
	en.mu.Lock()
	frozen := en.faults.Freeze
	en.mu.Unlock()
	if frozen {
		return
	}
	_, _ = io.WriteString(w, ": waiting\n\n")
	_ = http.NewResponseController(w).Flush()
}

// endStream writes the end marker of a whole answer; any other end cuts the connection.
func endStream(w http.ResponseWriter, jb *job) {
	if jb.cancelled {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, "id: %s/%d\ndata: [DONE]\n\n", jb.id, jb.answer)
}

// Fingerprint names the content of a prompt.
func Fingerprint(bd *body.Body) uint32 {
	return fingerprint(bd.PromptBytes())
}

// Word returns the text of a token of the answer to a prompt, so that a reader can tell whose answer it has.
func Word(bd *body.Body, token int64) string {
	return WordOf(Fingerprint(bd), token)
}

// WordOf is Word for a prompt whose fingerprint is known.
func WordOf(key uint32, token int64) string {
	return fmt.Sprintf("%08x.%d ", key, token)
}

func writeToken(w io.Writer, jb *job, bd *body.Body, token int64) {
	text := WordOf(jb.key, token)
	choice := fmt.Sprintf(`{"index":0,"text":%q,"finish_reason":null}`, text)
	if bd.Chat {
		choice = fmt.Sprintf(`{"index":0,"delta":{"content":%q},"finish_reason":null}`, text)
	}
	usage := ""
	if token == jb.answer-1 {
		prompt := bd.PromptTokens()
		usage = fmt.Sprintf(`,"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}`, prompt, jb.answer, prompt+jb.answer)
	}
	_, _ = fmt.Fprintf(w, "id: %s/%d\ndata: {\"id\":%q,\"object\":\"text_completion\",\"model\":%q,\"choices\":[%s]%s}\n\n",
		jb.id, token, jb.id, bd.Model, choice, usage)
}

// prefillSegment computes one segment of a prompt and holds it for others to import.
func (en *Engine) prefillSegment(w http.ResponseWriter, req *http.Request) {
	rq := en.read(w, req)
	if rq == nil {
		return
	}
	part, err := parseSegment(req.Header.Get(upstr.HeaderSegment))
	if err != nil || part.From != rq.imported || part.To > rq.prompt {
		refuse(w, http.StatusBadRequest, "the segment does not begin at the end of the imports or does not end within the prompt")
		return
	}
	jb := rq.newJob(part.To)
	jb.memory = part.To - part.From
	jb.tokens = make(chan int64)
	if !en.enter(w, jb) {
		return
	}
	<-jb.tokens
	if jb.cancelled {
		panic(http.ErrAbortHandler)
	}
	held := handle{Address: localAddress(req), Request: jb.id, Key: jb.key, Segment: part}
	_ = json.NewEncoder(w).Encode(struct{ Handle string }{held.String()})
}

// localAddress is the address on which the request came, under which other engines reach this one.
func localAddress(req *http.Request) string {
	address, ok := req.Context().Value(http.LocalAddrContextKey).(fmt.Stringer)
	if !ok {
		return ""
	}
	return address.String()
}

// drop ends a request and what is exported of it.
func (en *Engine) drop(w http.ResponseWriter, req *http.Request) {
	id := req.PathValue("id")
	en.cancel(id)
	en.mu.Lock()
	delete(en.exports, id)
	en.freed++
	en.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (en *Engine) cancel(id string) {
	en.mu.Lock()
	defer en.mu.Unlock()
	for _, jb := range en.jobs {
		if jb.id == id {
			jb.cancelled = true
		}
	}
}

func (rq *request) readImports() error {
	list := rq.req.Header.Get(upstr.HeaderImports)
	if list == "" {
		return nil
	}
	for _, text := range strings.Split(list, ",") {
		held, err := parseHandle(text)
		if err != nil {
			return err
		}
		if held.Segment.From != rq.imported || held.Segment.To > rq.prompt || held.Key != rq.key {
			return fmt.Errorf("the import %s does not continue this prompt", text)
		}
		rq.imports = append(rq.imports, held)
		rq.imported = held.Segment.To
	}
	return rq.checkImports(rq.req.Context())
}

func (rq *request) checkImports(ctx context.Context) error {
	for _, held := range rq.imports {
		if err := held.check(ctx); err != nil {
			return err
		}
	}
	return nil
}
