// Package load generates the load of callers and verifies the answers.
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

// Outcome is how a request ended for its caller.
type Outcome string

// The outcomes.
const (
	// OutcomeWhole is a complete and correct answer.
	OutcomeWhole Outcome = "Whole"
	// OutcomeRefused is an error response before any of the answer.
	OutcomeRefused Outcome = "Refused"
	// OutcomeFailed is an error event within the answer.
	OutcomeFailed Outcome = "Failed"
	// OutcomeShort is an answer that ended like a complete one but without its end marker. It is always a fault.
	OutcomeShort Outcome = "Short"
	// OutcomeWrong is an answer to another request or with missing tokens. It is always a fault.
	OutcomeWrong Outcome = "Wrong"
	// OutcomeCut is an answer whose connection broke, which the caller notices.
	OutcomeCut Outcome = "Cut"
	// OutcomeBroken is a connection that ended before any answer.
	OutcomeBroken Outcome = "Broken"
)

// Result is how one request ended.
type Result struct {
	Outcome Outcome
	Status  int
	// Ran is the response header that states whether the request ran.
	Ran string
	// FirstToken is the time to the first token.
	FirstToken time.Duration
	// Total is the time to the end.
	Total  time.Duration
	Tokens int64
	// Detail is the text of the error, or describes what is wrong with the answer.
	Detail string
}

// Caller sends requests to one address as one Organisation.
type Caller struct {
	Address string
	Token   string
	HTTP    *http.Client
	// Deadline is sent in the deadline header unless it is 0.
	Deadline time.Duration
}

// Prompt returns a prompt of about the length that is unique to the seed.
func Prompt(tokens int64, seed uint64) string {
	head := fmt.Sprintf("prompt %x ", seed)
	length := max(int(tokens)*body.BytesPerToken-2, len(head))
	return head + strings.Repeat("lorem ipsum dolor ", length/18+1)[:length-len(head)]
}

// SessionPrompt returns a prompt of about the length that begins with the session's prefix and continues with text unique
// to the seed.
func SessionPrompt(tokens, prefix int64, session, seed uint64) string {
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

// Completion is an encoded completion request.
type Completion struct {
	raw    []byte
	key    uint32
	answer int64
}

// NewCompletion encodes a request. Do it before the planned time, since it takes milliseconds for a long prompt.
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

// Complete sends a streamed completion and verifies every token of the answer.
func (ca *Caller) Complete(ctx context.Context, model, prompt string, answer int64) Result {
	cm, err := NewCompletion(model, prompt, answer)
	if err != nil {
		return Result{Outcome: OutcomeBroken, Detail: err.Error()}
	}
	return ca.Send(ctx, cm)
}

// Send sends an encoded request and verifies every token of the answer.
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
	reading := &answerReader{key: cm.key, started: started, answer: cm.answer}
	return reading.read(resp.Body)
}

// Do sends any request with the Organisation's token.
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
		Ran:     resp.Header.Get(entry.HeaderRunState),
		Total:   time.Since(started),
		Detail:  string(detail),
	}
}

// answerReader verifies an answer as it arrives.
type answerReader struct {
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

func (rd *answerReader) read(stream io.Reader) Result {
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

// line processes one line and reports whether the answer has ended.
func (rd *answerReader) line(line string) bool {
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
		rd.finish()
		return true
	}
	return rd.token([]byte(data))
}

func (rd *answerReader) finish() {
	rd.result.Outcome = OutcomeWhole
	if rd.result.Tokens != rd.answer {
		rd.result.Outcome = OutcomeWrong
		rd.result.Detail = fmt.Sprintf("%d tokens instead of %d", rd.result.Tokens, rd.answer)
	}
}

func (rd *answerReader) token(data []byte) bool {
	if rd.result.Tokens == 0 {
		rd.result.FirstToken = time.Since(rd.started)
	}
	var chunk textChunk
	if err := json.Unmarshal(data, &chunk); err != nil || len(chunk.Choices) != 1 {
		rd.result.Outcome = OutcomeWrong
		rd.result.Detail = "chunk is not a completion: " + string(data)
		return true
	}
	want := stand.TokenTextOf(rd.key, rd.result.Tokens)
	if chunk.Choices[0].Text != want {
		rd.result.Outcome = OutcomeWrong
		rd.result.Detail = fmt.Sprintf("token %d is %q, not %q", rd.result.Tokens, chunk.Choices[0].Text, want)
		return true
	}
	rd.result.Tokens++
	return false
}
