package entry_test

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/body"
	"dandelionsail.example/dandelionsail/internal/load"
	"dandelionsail.example/dandelionsail/internal/stand"
	"dandelionsail.example/dandelionsail/internal/upstr"
)

// faultyEngine is an engine with a faulty output queue: it sends chunks of another request, repeats, delays or drops chunks,
// skips ahead, and breaks connections. Each fault occurs with faultProbability.
type faultyEngine struct {
	seed  uint64
	last  atomic.Pointer[string]
	calls atomic.Uint64
}

// faultProbability is the probability of each kind of fault before a token.
const faultProbability = 0.02

func (fe *faultyEngine) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	raw, err := io.ReadAll(req.Body)
	bd, scanned := body.Scan(raw)
	if err != nil || scanned != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	st := &faultyStream{
		w: w, bd: bd, id: req.Header.Get(upstr.HeaderRequest),
		random: rand.New(rand.NewPCG(fe.seed, fe.calls.Add(1))),
	}
	// A resumed request has the same name as its first attempt, whose chunks are not those of another request.
	if other := fe.last.Swap(&st.id); other != nil && *other != st.id {
		st.other = *other
	}
	from, _ := strconv.ParseInt(req.Header.Get(upstr.HeaderOffset), 10, 64)
	st.write(from)
}

// faultyStream is one answer of a faultyEngine.
type faultyStream struct {
	w      http.ResponseWriter
	bd     *body.Body
	id     string
	other  string
	random *rand.Rand
}

func (st *faultyStream) write(from int64) {
	for token := from; token <= st.bd.MaxTokens; token++ {
		switch {
		case st.injectFault():
			st.chunk(st.other, token, "another's")
		case st.injectFault():
			st.chunk(st.other, token, "[DONE]")
		case st.injectFault():
			st.token(token)
		case st.injectFault():
			st.token(token + 1)
		case st.injectFault():
			continue
		case st.injectFault():
			_, _ = io.WriteString(st.w, "id: "+st.id+"/"+strconv.FormatInt(token, 10)+"\ndata: cut")
			_ = http.NewResponseController(st.w).Flush()
			panic(http.ErrAbortHandler)
		case st.injectFault():
			_ = http.NewResponseController(st.w).Flush()
			time.Sleep(time.Millisecond)
		}
		st.token(token)
	}
}

// injectFault reports whether to inject a fault now.
func (st *faultyStream) injectFault() bool {
	return st.random.Float64() < faultProbability
}

// token writes one token of the answer, or the end marker after the last one.
func (st *faultyStream) token(token int64) {
	if token >= st.bd.MaxTokens {
		st.chunk(st.id, st.bd.MaxTokens, "[DONE]")
		return
	}
	kind := "text"
	text := strconv.Quote(stand.TokenText(st.bd, token))
	if st.bd.Chat {
		kind = "delta"
		text = `{"content":` + text + `}`
	}
	st.chunk(st.id, token, fmt.Sprintf(`{"choices":[{"index":0,%q:%s,"finish_reason":null}]}`, kind, text))
}

func (st *faultyStream) chunk(id string, offset int64, data string) {
	_, _ = fmt.Fprintf(st.w, "id: %s/%d\ndata: %s\n\n", id, offset, data)
}

func TestAnswersAreWholeAndOwn(t *testing.T) {
	// Guards against answers that are incomplete or contain parts of another caller's answer. Thousands of callers request
	// streamed or unstreamed answers, as text and as chat, at the same time. Their engines mix up, repeat, delay and drop
	// chunks, end streams with the marker of another request, and break connections within an event. Each caller must get
	// every token of its own answer once and in order, because the missing part is resumed at another engine.
	const streams, wholes, tokens = 2000, 300, 40
	rg := newRig(t, rigOptions{Models: []http.Handler{&faultyEngine{seed: 1}, &faultyEngine{seed: 2}, &faultyEngine{seed: 3}}})
	rg.waitRetryBudget()
	var group sync.WaitGroup
	results := make(chan string, streams+wholes)
	for number := range streams {
		group.Go(func() {
			res := rg.caller.Complete(t.Context(), "lyric", load.Prompt(50, uint64(number)), tokens)
			results <- string(res.Outcome) + " " + res.Detail
		})
	}
	for number := range wholes {
		group.Go(func() { results <- rg.completeUnstreamed(number, tokens) })
	}
	group.Wait()
	close(results)
	for result := range results {
		assert.Equal(t, result, "Whole ")
	}
	rg.waitEmpty()
}

// completeUnstreamed requests an answer without streaming, as chat if the number is odd, and checks it. It returns "Whole "
// for a correct answer and otherwise a description of the fault.
func (rg *rig) completeUnstreamed(number int, tokens int64) string {
	prompt := load.Prompt(50, uint64(1_000_000+number))
	path, document := "/v1/completions", fmt.Sprintf(`{"model":"lyric","prompt":%q,"max_tokens":%d}`, prompt, tokens)
	if number%2 == 1 {
		path = "/v1/chat/completions"
		document = fmt.Sprintf(`{"model":"lyric","messages":[{"role":"user","content":%q}],"max_tokens":%d}`, prompt, tokens)
	}
	resp, err := rg.caller.Do(rg.t.Context(), http.MethodPost, path, []byte(document), nil)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	var doc struct {
		Choices []struct {
			Text    string
			Message struct{ Content string }
		}
	}
	if err := json.NewDecoder(resp.Body).Decode(&doc); err != nil || len(doc.Choices) != 1 {
		return fmt.Sprintf("status %d, %v", resp.StatusCode, err)
	}
	bd, err := body.Scan([]byte(document))
	if err != nil {
		return err.Error()
	}
	var want strings.Builder
	for token := range tokens {
		want.WriteString(stand.TokenText(bd, token))
	}
	if got := doc.Choices[0].Text + doc.Choices[0].Message.Content; got != want.String() {
		return "wrong: " + got
	}
	return "Whole "
}
