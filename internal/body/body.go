// Package body extracts what routing needs from a completions request. It makes one pass over the bytes, so that a
// prompt of a million tokens is neither copied nor decoded.
package body

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"

	"github.com/joomcode/errorx"
)

var (
	// Errors is the namespace of the errors of this package.
	Errors = errorx.NewNamespace("body")
	// Malformed means that the input is not one JSON object in the form of the completions API.
	Malformed = Errors.NewType("malformed")
)

// BytesPerToken is the ratio used to estimate the tokens of a prompt until an engine has reported the actual number.
const BytesPerToken = 4

// Span is a range of bytes of the body, from Start up to but not including End.
type Span struct{ Start, End int }

// Body is a request with the positions of the members that routing needs.
type Body struct {
	Raw []byte
	// Model is the requested model.
	Model string
	// Prompt is the raw JSON value of the prompt or the messages, quotes and brackets included.
	Prompt Span
	// Messages are the positions of the messages, if the prompt was sent as such.
	Messages []Span
	// Chat is true if the prompt was sent as messages.
	Chat bool
	// Stream is true if the caller asked for a streamed answer.
	Stream bool
	// MaxTokens limits the length of the answer; 0 if the caller set no limit.
	MaxTokens int64
	// streamValue is the position of the value of "stream"; empty if absent.
	streamValue Span
	// membersStart is the offset just after the object's opening brace.
	membersStart int
	memberCount  int
}

// PromptBytes returns the raw bytes of the prompt.
func (bd *Body) PromptBytes() []byte {
	return bd.Raw[bd.Prompt.Start:bd.Prompt.End]
}

// PromptTokens estimates the prompt's length in tokens, at least 1.
func (bd *Body) PromptTokens() int64 {
	return max(1, int64(bd.Prompt.End-bd.Prompt.Start)/BytesPerToken)
}

// Streamed returns the body with "stream" set to true, and its length in bytes, without copying it.
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
	if bd.memberCount == 0 {
		insert = []byte(`"stream":true`)
	}
	return bd.Raw[:bd.membersStart], insert, bd.Raw[bd.membersStart:]
}

// Scan locates the members that routing needs. The result refers to raw and does not copy it.
func Scan(raw []byte) (*Body, error) {
	bd := &Body{Raw: raw}
	sc := scanner{raw: raw}
	if err := sc.object(bd.visitor(&sc)); err != nil {
		return nil, err
	}
	sc.skipSpace()
	if sc.pos != len(raw) {
		return nil, Malformed.New("body: byte %d: more follows the JSON object; send one object", sc.pos)
	}
	if bd.Prompt.End == 0 {
		return nil, Malformed.New(`body: neither "prompt" nor "messages" is there; send one of them`)
	}
	return bd, nil
}

// visitor returns the function that Scan calls with the key and value of each member.
func (bd *Body) visitor(sc *scanner) func(key []byte, value Span) error {
	bd.membersStart = sc.openAt()
	seen := map[string]bool{}
	return func(key []byte, value Span) error {
		bd.memberCount++
		if bytes.IndexByte(key, '\\') >= 0 {
			return Malformed.New("body: the key %q has an escape; write it plainly", key)
		}
		name, known := canonicalKeys[string(key)]
		if !known {
			return nil
		}
		// If a member appears twice, an engine may use the last one where this package uses the first, and would then
		// run something that was not checked here.
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
			return bd.findMessages(value)
		case "stream":
			bd.streamValue = value
			return bd.readStream(text)
		case "max_tokens", "max_completion_tokens":
			return bd.readMaxTokens(text)
		}
		return nil
	}
}

// findMessages records the positions of the messages. Their value is valid JSON; if it is no array, the engine refuses it.
func (bd *Body) findMessages(value Span) error {
	if bd.Raw[value.Start] != '[' {
		return nil
	}
	sc := scanner{raw: bd.Raw, pos: value.Start}
	return sc.array(func(message Span) { bd.Messages = append(bd.Messages, message) })
}

// canonicalKeys maps each key that routing needs to a canonical name; a request may hold only one key per canonical
// name.
var canonicalKeys = map[string]string{
	"model": "model", "prompt": "prompt", "messages": "prompt", "stream": "stream",
	"max_tokens": "max_tokens", "max_completion_tokens": "max_tokens",
}

func (bd *Body) readModel(text []byte) error {
	if text[0] != '"' || json.Unmarshal(text, &bd.Model) != nil {
		return Malformed.New(`body: "model" is %s; give the model's name as a string`, truncate(text))
	}
	return nil
}

func (bd *Body) readStream(text []byte) error {
	switch string(text) {
	case "true":
		bd.Stream = true
	case "false", "null":
	default:
		return Malformed.New(`body: "stream" is %s; give true or false`, truncate(text))
	}
	return nil
}

// maxShownBytes limits how much of an invalid value an error message repeats.
const maxShownBytes = 64

func truncate(text []byte) []byte {
	return text[:min(len(text), maxShownBytes)]
}

func (bd *Body) readMaxTokens(text []byte) error {
	if string(text) == "null" {
		return nil
	}
	tokens, err := strconv.ParseInt(string(text), 10, 64)
	if err != nil || tokens < 1 {
		return Malformed.New(`body: "max_tokens" is %s; give a whole number above 0`, truncate(text))
	}
	bd.MaxTokens = tokens
	return nil
}
