// Package load sends requests the way callers do and checks what comes back.
package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"dandelionsail.example/dandelionsail/internal/body"
	"dandelionsail.example/dandelionsail/internal/entry"
	"dandelionsail.example/dandelionsail/internal/stand"
)

// Outcome is what a caller saw.
type Outcome string

// The outcomes.
const (
	// OutcomeWhole is a whole and right answer.
	OutcomeWhole Outcome = "Whole"
	// OutcomeRefused is a clear error before any of the answer.
	OutcomeRefused Outcome = "Refused"
	// OutcomeFailed is a clear error within the answer.
	OutcomeFailed Outcome = "Failed"
	// OutcomeShort is an answer that ended as if it were whole without its end marker, which is never right.
	OutcomeShort Outcome = "Short"
	// OutcomeWrong is an answer to another request or with tokens missing, which is never right.
	OutcomeWrong Outcome = "Wrong"
	// OutcomeCut is an answer whose connection broke, which the caller notices.
	OutcomeCut Outcome = "Cut"
	// OutcomeBroken is a connection that ended before any answer.
	OutcomeBroken Outcome = "Broken"
)

// Result is the end of one request.
type Result struct {
	Outcome Outcome
	Status  int
	// Ran is the refusal's word on whether the request ran.
	Ran string
	// FirstToken is the time to the first token, and Total the time to the end.
	FirstToken time.Duration
	Total      time.Duration
	Tokens     int64
	// Detail is the error's text or what was wrong.
	Detail string
}

// Caller sends requests to one address as one organisation.
type Caller struct {
	Address string
	Token   string
	HTTP    *http.Client
	// Deadline is asked for in the header, unless it is 0.
	Deadline time.Duration
}

// Prompt returns a prompt of about the length that no other seed gives.
func Prompt(tokens int64, seed uint64) string {
	head := fmt.Sprintf("prompt %x ", seed)
	length := max(int(tokens)*body.BytesPerToken-2, len(head))
	return head + strings.Repeat("lorem ipsum dolor ", length/18+1)[:length-len(head)]
}

// Continued returns a prompt of about the length that begins with a prefix of the session's and goes on as no other.
func Continued(tokens, prefix int64, session, seed uint64) string {
	if prefix >= tokens {
		return Prompt(tokens, session)
	}
	return Prompt(prefix, session) + Prompt(tokens-prefix, seed)
}

type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int64  `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// Completion is a completion request that is ready to be sent.
type Completion struct {
	raw    []byte
	key    uint32
	answer int64
}

// NewCompletion encodes a request ahead of its time, since a long prompt takes milliseconds.
func NewCompletion(model, prompt string, answer int64) (*Completion, error) {
	raw, err := json.Marshal(completionRequest{Model: model, Prompt: prompt, MaxTokens: answer, Stream: true})
	if err != nil {
		return nil, err
	}
	bd, err := body.Scan(raw)
	if err != nil {
		return nil, err
	}
	return &Completion{raw: raw, key: stand.Fingerprint(bd), answer: answer}, nil
}

// Complete sends a streamed completion and checks every token of the answer.
func (ca *Caller) Complete(ctx context.Context, model, prompt string, answer int64) Result {
	cm, err := NewCompletion(model, prompt, answer)
	if err != nil {
		return Result{Outcome: OutcomeBroken, Detail: err.Error()}
	}
	return ca.Send(ctx, cm)
}

// Send is Complete for a request that is ready.
func (ca *Caller) Send(ctx context.Context, cm *Completion) Result {
	started := time.Now()
	resp, err := ca.Do(ctx, http.MethodPost, "/v1/completions", cm.raw, nil)
	if err != nil {
		return Result{Outcome: OutcomeBroken, Detail: err.Error(), Total: time.Since(started)}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return refused(resp, started)
	}
	reading := &reader{key: cm.key, started: started, answer: cm.answer}
	return reading.read(resp.Body)
}

// Do sends any request with the organisation's token.
func (ca *Caller) Do(ctx context.Context, method, path string, raw []byte, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+ca.Address+path, bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	if header != nil {
		req.Header = header.Clone()
	}
	req.Header.Set("Authorization", "Bearer "+ca.Token)
	if ca.Deadline > 0 {
		req.Header.Set(entry.HeaderDeadline, ca.Deadline.String())
	}
	return ca.HTTP.Do(req)
}

func refused(resp *http.Response, started time.Time) Result {
	detail, _ := io.ReadAll(io.LimitReader(resp.Body, 4<<10))
	return Result{
		Outcome: OutcomeRefused,
		Status:  resp.StatusCode,
		Ran:     resp.Header.Get(entry.HeaderRan),
		Total:   time.Since(started),
		Detail:  string(detail),
	}
}

// reader checks an answer as it arrives.
type reader struct {
	// key is the fingerprint of the prompt.
	key     uint32
	started time.Time
	answer  int64
	result  Result
	failed  bool
}

type textChunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

func (rd *reader) read(stream io.Reader) Result {
	rd.result.Status = http.StatusOK
	rd.result.Outcome = OutcomeShort
	lines := bufio.NewReader(stream)
	for {
		line, err := lines.ReadString('\n')
		if err == io.EOF {
			break
		}
		if err != nil {
			rd.result.Outcome = OutcomeCut
			rd.result.Detail = err.Error()
			break
		}
		if rd.line(strings.TrimSpace(line)) {
			break
		}
	}
	rd.result.Total = time.Since(rd.started)
	return rd.result
}

// line takes one line and reports whether the answer is at its end.
func (rd *reader) line(line string) bool {
	if line == "event: error" {
		rd.failed = true
		return false
	}
	data, ok := strings.CutPrefix(line, "data: ")
	if !ok {
		return false
	}
	if rd.failed {
		rd.result.Outcome = OutcomeFailed
		rd.result.Detail = data
		return true
	}
	if data == "[DONE]" {
		rd.end()
		return true
	}
	return rd.token([]byte(data))
}

func (rd *reader) end() {
	rd.result.Outcome = OutcomeWhole
	if rd.result.Tokens != rd.answer {
		rd.result.Outcome = OutcomeWrong
		rd.result.Detail = fmt.Sprintf("%d tokens of %d", rd.result.Tokens, rd.answer)
	}
}

func (rd *reader) token(data []byte) bool {
	if rd.result.Tokens == 0 {
		rd.result.FirstToken = time.Since(rd.started)
	}
	var chunk textChunk
	if err := json.Unmarshal(data, &chunk); err != nil || len(chunk.Choices) != 1 {
		rd.result.Outcome = OutcomeWrong
		rd.result.Detail = "a chunk that is no completion: " + string(data)
		return true
	}
	want := stand.WordOf(rd.key, rd.result.Tokens)
	if chunk.Choices[0].Text != want {
		rd.result.Outcome = OutcomeWrong
		rd.result.Detail = fmt.Sprintf("token %d is %q, not %q", rd.result.Tokens, chunk.Choices[0].Text, want)
		return true
	}
	rd.result.Tokens++
	return false
}
