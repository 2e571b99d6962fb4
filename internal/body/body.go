// Package body reads what routing needs from a completions request in one pass over its bytes, so that a prompt of a
// million tokens is neither copied nor decoded.
package body

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"

	"github.com/joomcode/errorx"
)

var (
	// Errors groups what Scan returns.
	Errors = errorx.NewNamespace("body")
	// Malformed tells that the bytes are not one JSON object as the completions API wants it.
	Malformed = Errors.NewType("malformed")
)

// BytesPerToken converts a prompt's bytes to tokens until an engine has reported the true number.
const BytesPerToken = 4

// Span is a run of bytes of the body, from Start up to End.
type Span struct{ Start, End int }

// Body is a request with the places of the members that matter.
type Body struct {
	Raw []byte
	// Model is what the caller named.
	Model string
	// Prompt is the raw JSON value of the prompt or the messages, quotes and brackets included.
	Prompt Span
	// Chat is true when the prompt came as messages.
	Chat bool
	// Stream is what the caller asked for.
	Stream bool
	// MaxTokens bounds the answer; 0 if the caller gave none.
	MaxTokens int64
	// streamValue is where the value of "stream" stands; empty if absent.
	streamValue Span
	// open is the offset just behind the object's opening brace.
	open int
	// members counts the members of the object.
	members int
}

// PromptBytes returns the raw bytes of the prompt.
func (bd *Body) PromptBytes() []byte {
	return bd.Raw[bd.Prompt.Start:bd.Prompt.End]
}

// PromptTokens estimates the prompt's length in tokens, at least 1.
func (bd *Body) PromptTokens() int64 {
	return max(1, int64(bd.Prompt.End-bd.Prompt.Start)/BytesPerToken)
}

// Streamed returns the body with "stream" set to true, and its length, without copying it.
func (bd *Body) Streamed() (io.Reader, int64) {
	if bd.Stream {
		return bytes.NewReader(bd.Raw), int64(len(bd.Raw))
	}
	head, insert, tail := bd.streamedParts()
	length := int64(len(head) + len(insert) + len(tail))
	return io.MultiReader(bytes.NewReader(head), bytes.NewReader(insert), bytes.NewReader(tail)), length
}

func (bd *Body) streamedParts() (head, insert, tail []byte) {
	if bd.streamValue.End > 0 {
		return bd.Raw[:bd.streamValue.Start], []byte("true"), bd.Raw[bd.streamValue.End:]
	}
	insert = []byte(`"stream":true,`)
	if bd.members == 0 {
		insert = []byte(`"stream":true`)
	}
	return bd.Raw[:bd.open], insert, bd.Raw[bd.open:]
}

// Scan finds the members that matter. The raw bytes are kept, not copied.
func Scan(raw []byte) (*Body, error) {
	bd := &Body{Raw: raw}
	sc := scanner{raw: raw}
	if err := sc.object(bd.member(&sc)); err != nil {
		return nil, err
	}
	sc.space()
	if sc.pos != len(raw) {
		return nil, Malformed.New("body: byte %d: more follows the JSON object; send one object", sc.pos)
	}
	if bd.Prompt.End == 0 {
		return nil, Malformed.New(`body: neither "prompt" nor "messages" is there; send one of them`)
	}
	return bd, nil
}

// member returns the visitor that Scan calls with each member's key and value.
func (bd *Body) member(sc *scanner) func(key []byte, value Span) error {
	bd.open = sc.openAt()
	seen := map[string]bool{}
	return func(key []byte, value Span) error {
		bd.members++
		if bytes.IndexByte(key, '\\') >= 0 {
			return Malformed.New("body: the key %q has an escape; write it plainly", key)
		}
		name, known := members[string(key)]
		if !known {
			return nil
		}
		// An engine may read the last one where this reads the first, and run what was not checked here.
		if seen[name] {
			return Malformed.New("body: %q is there twice; send it once", key)
		}
		seen[name] = true
		text := bd.Raw[value.Start:value.End]
		switch string(key) {
		case "model":
			return bd.readModel(text)
		case "prompt":
			bd.Prompt = value
		case "messages":
			bd.Prompt = value
			bd.Chat = true
		case "stream":
			bd.streamValue = value
			return bd.readStream(text)
		case "max_tokens", "max_completion_tokens":
			return bd.readMaxTokens(text)
		}
		return nil
	}
}

// members gives the keys that matter the thing that each names.
var members = map[string]string{
	"model": "model", "prompt": "prompt", "messages": "prompt", "stream": "stream",
	"max_tokens": "max_tokens", "max_completion_tokens": "max_tokens",
}

func (bd *Body) readModel(text []byte) error {
	if text[0] != '"' || json.Unmarshal(text, &bd.Model) != nil {
		return Malformed.New(`body: "model" is %s; give the model's name as a string`, short(text))
	}
	return nil
}

func (bd *Body) readStream(text []byte) error {
	switch string(text) {
	case "true":
		bd.Stream = true
	case "false", "null":
	default:
		return Malformed.New(`body: "stream" is %s; give true or false`, short(text))
	}
	return nil
}

// shown is how much of a wrong value an error repeats.
const shown = 64

func short(text []byte) []byte {
	return text[:min(len(text), shown)]
}

func (bd *Body) readMaxTokens(text []byte) error {
	if string(text) == "null" {
		return nil
	}
	tokens, err := strconv.ParseInt(string(text), 10, 64)
	if err != nil || tokens < 1 {
		return Malformed.New(`body: "max_tokens" is %s; give a whole number above 0`, short(text))
	}
	bd.MaxTokens = tokens
	return nil
}
