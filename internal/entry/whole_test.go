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

// mixer is an engine whose output queue mixes things up: chunks come crossed with another request's, repeated, late or
// not at all, and connections break. Each fault has a share of the chunks.
type mixer struct {
	seed  uint64
	last  atomic.Pointer[string]
	calls atomic.Uint64
}

const faultShare = 0.02

func (mx *mixer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	raw, err := io.ReadAll(req.Body)
	bd, scanned := body.Scan(raw)
	if err != nil || scanned != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	st := &mixedStream{
		w: w, bd: bd, id: req.Header.Get(upstr.HeaderRequest),
		random: rand.New(rand.NewPCG(mx.seed, mx.calls.Add(1))),
	}
	// A resumed request has the name of its first attempt; that one's chunks are not another's.
	if other := mx.last.Swap(&st.id); other != nil && *other != st.id {
		st.other = *other
	}
	from, _ := strconv.ParseInt(req.Header.Get(upstr.HeaderOffset), 10, 64)
	st.write(from)
}

// mixedStream is one answer of a mixer.
type mixedStream struct {
	w      http.ResponseWriter
	bd     *body.Body
	id     string
	other  string
	random *rand.Rand
}

func (st *mixedStream) write(from int64) {
	for token := from; token <= st.bd.MaxTokens; token++ {
		switch {
		case st.hit():
			st.chunk(st.other, token, "another's")
		case st.hit():
			st.chunk(st.other, token, "[DONE]")
		case st.hit():
			st.token(token)
		case st.hit():
			st.token(token + 1)
		case st.hit():
			continue
		case st.hit():
			_, _ = io.WriteString(st.w, "id: "+st.id+"/"+strconv.FormatInt(token, 10)+"\ndata: cut")
			_ = http.NewResponseController(st.w).Flush()
			panic(http.ErrAbortHandler)
		case st.hit():
			_ = http.NewResponseController(st.w).Flush()
			time.Sleep(time.Millisecond)
		}
		st.token(token)
	}
}

func (st *mixedStream) hit() bool {
	return st.random.Float64() < faultShare
}

// token writes a token of the answer, or the end marker behind the last one.
func (st *mixedStream) token(token int64) {
	if token >= st.bd.MaxTokens {
		st.chunk(st.id, st.bd.MaxTokens, "[DONE]")
		return
	}
	kind := "text"
	text := strconv.Quote(stand.Word(st.bd, token))
	if st.bd.Chat {
		kind = "delta"
		text = `{"content":` + text + `}`
	}
	st.chunk(st.id, token, fmt.Sprintf(`{"choices":[{"index":0,%q:%s,"finish_reason":null}]}`, kind, text))
}

func (st *mixedStream) chunk(id string, offset int64, data string) {
	_, _ = fmt.Fprintf(st.w, "id: %s/%d\ndata: %s\n\n", id, offset, data)
}

func TestAnswersAreWholeAndOwn(t *testing.T) {
	// Thousands of callers stream at once, or want the answer whole, as text and as chat. Their engines cross, repeat,
	// delay and lose chunks, end streams with another's marker, and cut connections within an event.
	// Each caller gets every token of its own answer once and in order, since what is missing is resumed from elsewhere.
	const streams, wholes, tokens = 2000, 300, 40
	rg := newRig(t, rigOptions{Models: []http.Handler{&mixer{seed: 1}, &mixer{seed: 2}, &mixer{seed: 3}}})
	var group sync.WaitGroup
	results := make(chan string, streams+wholes)
	for number := range streams {
		group.Go(func() {
			res := rg.caller.Complete(t.Context(), "lyric", load.Prompt(50, uint64(number)), tokens)
			results <- string(res.Outcome) + " " + res.Detail
		})
	}
	for number := range wholes {
		group.Go(func() { results <- rg.whole(number, tokens) })
	}
	group.Wait()
	close(results)
	for result := range results {
		assert.Equal(t, result, "Whole ")
	}
	rg.empty()
}

// whole asks for an answer in one piece, as chat if the number is odd, and checks it.
func (rg *rig) whole(number int, tokens int64) string {
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
		want.WriteString(stand.Word(bd, token))
	}
	if got := doc.Choices[0].Text + doc.Choices[0].Message.Content; got != want.String() {
		return "wrong: " + got
	}
	return "Whole "
}
