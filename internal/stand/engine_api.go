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

// PoisonMarker is a text that crashes every engine that receives it in a prompt.
const PoisonMarker = "poison-pill"

// defaultAnswerTokens is the length of the answer to a request that sets no maximum.
const defaultAnswerTokens = 16

// importCheckInterval is the interval at which an engine checks that the segments that it imports still exist.
const importCheckInterval = 500 * time.Millisecond

// request is a parsed completion or prefill request.
type request struct {
	req          *http.Request
	body         *body.Body
	promptTokens int64
	promptHash   uint32
	imports      []handle
	// importedTo is the prompt position at which the imports end.
	importedTo int64
}

// readRequest parses the request, or refuses it and returns nil. A prompt with the poison marker crashes the engine.
func (en *Engine) readRequest(w http.ResponseWriter, req *http.Request) *request {
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
	rq := &request{req: req, body: bd, promptTokens: bd.PromptTokens(), promptHash: Fingerprint(bd)}
	if err := rq.readImports(); err != nil {
		refuse(w, http.StatusConflict, err.Error())
		return nil
	}
	return rq
}

// newJob returns a job that prefills from the end of the imports up to the target position.
func (rq *request) newJob(target int64) *job {
	jb := &job{
		id:              rq.req.Header.Get(upstr.HeaderRequest),
		promptHash:      rq.promptHash,
		start:           rq.importedTo,
		prefilled:       rq.importedTo,
		target:          target,
		prefixes:        body.Prefixes(rq.body.PromptBytes()),
		failedFreeCount: -1,
		done:            rq.req.Context().Done(),
	}
	jb.priority, _ = strconv.Atoi(rq.req.Header.Get(upstr.HeaderPriority))
	return jb
}

// newCompletionJob returns a job that generates the answer, from the caller's resume offset on.
func (rq *request) newCompletionJob() *job {
	offset, _ := strconv.ParseInt(rq.req.Header.Get(upstr.HeaderOffset), 10, 64)
	// The part of the answer that the caller already has is prefilled like a prompt.
	jb := rq.newJob(rq.promptTokens + offset)
	jb.nextToken = offset
	jb.answerTokens = rq.body.MaxTokens
	if jb.answerTokens == 0 {
		jb.answerTokens = defaultAnswerTokens
	}
	jb.memory = rq.promptTokens + jb.answerTokens - jb.start
	// The buffer has room for the whole answer, so that a slow reader never blocks the batch.
	jb.tokens = make(chan int64, max(0, jb.answerTokens-jb.nextToken))
	return jb
}

// enqueue adds the job to the batch's queue and reports whether it did; otherwise it refuses the request.
func (en *Engine) enqueue(w http.ResponseWriter, jb *job) bool {
	if jb.memory > en.opts.MemoryTokens {
		refuse(w, http.StatusRequestEntityTooLarge, "the request is larger than the engine's memory")
		return false
	}
	en.mu.Lock()
	full := en.faults.Refuse || len(en.jobs) >= en.opts.MaxBatch+en.opts.MaxWaiting
	if !full {
		en.jobs = append(en.jobs, jb)
		en.runCounts[jb.id]++
	}
	en.mu.Unlock()
	if full {
		refuse(w, http.StatusTooManyRequests, "too many requests wait")
	}
	return !full
}

func (en *Engine) complete(w http.ResponseWriter, req *http.Request) {
	rq := en.readRequest(w, req)
	if rq == nil {
		return
	}
	jb := rq.newCompletionJob()
	if !en.enqueue(w, jb) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	_ = http.NewResponseController(w).Flush()
	imports, keepAlives := time.NewTicker(importCheckInterval), time.NewTicker(en.opts.Keepalive)
	defer imports.Stop()
	defer keepAlives.Stop()
	for {
		select {
		case token, ok := <-jb.tokens:
			if !ok {
				endStream(w, jb)
				return
			}
			en.send(w, jb, rq.body, token)
		case <-keepAlives.C:
			en.keepAlive(w)
		case <-imports.C:
			if rq.checkImports(req.Context()) != nil {
				// Without the segment, attention over its positions cannot be computed.
				en.cancel(jb.id)
			}
		}
	}
}

// keepAlive writes a comment to the stream, so that a reader can distinguish an engine that queues or prefills from one
// that hangs. A frozen engine writes none.
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

// endStream writes the end marker of a complete answer, or cuts the connection if the job was cancelled.
func endStream(w http.ResponseWriter, jb *job) {
	if jb.cancelled {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, "id: %s/%d\ndata: [DONE]\n\n", jb.id, jb.answerTokens)
}

// Fingerprint returns a hash of the prompt's content.
func Fingerprint(bd *body.Body) uint32 {
	return fingerprint(bd.PromptBytes())
}

// TokenText returns the text of the answer's token with the given index. It contains the prompt's fingerprint, so that a
// reader can check which request an answer belongs to.
func TokenText(bd *body.Body, token int64) string {
	return TokenTextOf(Fingerprint(bd), token)
}

// TokenTextOf is like TokenText, for a prompt with the given fingerprint.
func TokenTextOf(key uint32, token int64) string {
	return fmt.Sprintf("%08x.%d ", key, token)
}

func writeToken(w io.Writer, jb *job, bd *body.Body, token int64) {
	text := TokenTextOf(jb.promptHash, token)
	choice := fmt.Sprintf(`{"index":0,"text":%q,"finish_reason":null}`, text)
	if bd.Chat {
		choice = fmt.Sprintf(`{"index":0,"delta":{"content":%q},"finish_reason":null}`, text)
	}
	usage := ""
	if token == jb.answerTokens-1 {
		prompt := bd.PromptTokens()
		usage = fmt.Sprintf(`,"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}`, prompt, jb.answerTokens, prompt+jb.answerTokens)
	}
	_, _ = fmt.Fprintf(w, "id: %s/%d\ndata: {\"id\":%q,\"object\":\"text_completion\",\"model\":%q,\"choices\":[%s]%s}\n\n",
		jb.id, token, jb.id, bd.Model, choice, usage)
}

// prefillSegment prefills one segment of a prompt and exports it, so that other engines can import it.
func (en *Engine) prefillSegment(w http.ResponseWriter, req *http.Request) {
	rq := en.readRequest(w, req)
	if rq == nil {
		return
	}
	part, err := parseSegment(req.Header.Get(upstr.HeaderSegment))
	if err != nil || part.From != rq.importedTo || part.To > rq.promptTokens {
		refuse(w, http.StatusBadRequest, "the segment does not begin at the end of the imports or does not end within the prompt")
		return
	}
	jb := rq.newJob(part.To)
	jb.memory = part.To - part.From
	jb.tokens = make(chan int64)
	if !en.enqueue(w, jb) {
		return
	}
	<-jb.tokens
	if jb.cancelled {
		panic(http.ErrAbortHandler)
	}
	held := handle{Address: localAddress(req), Request: jb.id, PromptHash: jb.promptHash, Segment: part}
	_ = json.NewEncoder(w).Encode(struct{ Handle string }{held.String()})
}

// localAddress returns the address at which the request arrived; other engines reach this one there.
func localAddress(req *http.Request) string {
	address, ok := req.Context().Value(http.LocalAddrContextKey).(fmt.Stringer)
	if !ok {
		return ""
	}
	return address.String()
}

// drop cancels a request and deletes its exports.
func (en *Engine) drop(w http.ResponseWriter, req *http.Request) {
	id := req.PathValue("id")
	en.cancel(id)
	en.mu.Lock()
	delete(en.exports, id)
	en.freeCount++
	en.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// cancel marks the request's jobs as cancelled; the next step removes them.
func (en *Engine) cancel(id string) {
	en.mu.Lock()
	defer en.mu.Unlock()
	for _, jb := range en.jobs {
		if jb.id == id {
			jb.cancelled = true
		}
	}
}

// readImports parses the imports and checks that they are adjacent segments of this prompt and still held.
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
		if held.Segment.From != rq.importedTo || held.Segment.To > rq.promptTokens || held.PromptHash != rq.promptHash {
			return fmt.Errorf("the import %s does not continue this prompt", text)
		}
		rq.imports = append(rq.imports, held)
		rq.importedTo = held.Segment.To
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
