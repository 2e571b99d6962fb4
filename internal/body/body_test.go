package body_test

import (
	"encoding/json"
	"io"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/body"
)

func TestScan(t *testing.T) {
	cases := map[string]struct {
		raw    string
		model  string
		prompt string
		stream bool
		tokens int64
		chat   bool
	}{
		"plain prompt":    {raw: `{"model":"m","prompt":"hello","stream":true,"max_tokens":7}`, model: "m", prompt: `"hello"`, stream: true, tokens: 7},
		"escaped quote":   {raw: `{"prompt":"a\"b\\","model":"m"}`, model: "m", prompt: `"a\"b\\"`},
		"messages":        {raw: `{"model":"m","messages":[{"role":"user","content":"x"}]}`, model: "m", prompt: `[{"role":"user","content":"x"}]`, chat: true},
		"unknown members": {raw: ` { "a" : [1, {"b":null}, -2.5e3] , "model":"m", "prompt":"p" } `, model: "m", prompt: `"p"`},
		"stream false":    {raw: `{"model":"m","prompt":"p","stream":false}`, model: "m", prompt: `"p"`},
		"null max_tokens": {raw: `{"model":"m","prompt":"p","max_tokens":null}`, model: "m", prompt: `"p"`},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			bd, err := body.Scan([]byte(tc.raw))
			assert.NilError(t, err)
			assert.Equal(t, bd.Model, tc.model)
			assert.Equal(t, string(bd.PromptBytes()), tc.prompt)
			assert.Equal(t, bd.Stream, tc.stream)
			assert.Equal(t, bd.MaxTokens, tc.tokens)
			assert.Equal(t, bd.Chat, tc.chat)
		})
	}
}

func TestScanRefuses(t *testing.T) {
	cases := map[string]string{
		"empty":                   ``,
		"not an object":           `["model"]`,
		"truncated":               `{"model":"m","prompt":"hel`,
		"no prompt":               `{"model":"m"}`,
		"model not a string":      `{"model":1,"prompt":"p"}`,
		"max_tokens below 1":      `{"model":"m","prompt":"p","max_tokens":0}`,
		"two objects":             `{"model":"m","prompt":"p"}{}`,
		"unquoted string":         `{"model":m,"prompt":"p"}`,
		"control character":       "{\"model\":\"m\",\"prompt\":\"a long prompt with a\nline feed\"}",
		"unknown escape":          `{"model":"m","prompt":"\x"}`,
		"short escape":            `{"model":"m","prompt":"\u12"}`,
		"leading zero":            `{"model":"m","prompt":"p","n":01}`,
		"two signs":               `{"model":"m","prompt":"p","n":--1}`,
		"empty fraction":          `{"model":"m","prompt":"p","n":1.}`,
		"empty exponent":          `{"model":"m","prompt":"p","n":1e}`,
		"model twice":             `{"model":"m","prompt":"p","model":"x"}`,
		"prompt twice":            `{"model":"m","prompt":"p","messages":[]}`,
		"escaped key":             `{"model":"m","prompt":"p","str\u0065am":true}`,
		"stream is a number":      `{"model":"m","prompt":"p","stream":1}`,
		"max_tokens over 64 bits": `{"model":"m","prompt":"p","max_tokens":99999999999999999999}`,
	}
	for name, raw := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := body.Scan([]byte(raw))
			assert.Assert(t, errorx.IsOfType(err, body.Malformed), "got %v", err)
		})
	}
}

func TestStreamed(t *testing.T) {
	cases := map[string]struct{ raw, want string }{
		"stream absent": {`{"model":"m","prompt":"p"}`, `{"stream":true,"model":"m","prompt":"p"}`},
		"stream false":  {`{"prompt":"p","stream":false}`, `{"prompt":"p","stream":true}`},
		"stream true":   {`{"prompt":"p","stream":true}`, `{"prompt":"p","stream":true}`},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			bd, err := body.Scan([]byte(tc.raw))
			assert.NilError(t, err)
			reader, length := bd.Streamed()
			got, err := io.ReadAll(reader)
			assert.NilError(t, err)
			assert.Equal(t, string(got), tc.want)
			assert.Equal(t, length, int64(len(got)))
		})
	}
}

// FuzzScan compares Scan with the standard library: invalid JSON must be rejected, and the prompt of an accepted
// request must be the same bytes that the standard library finds.
func FuzzScan(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","prompt":"hello","stream":true,"max_tokens":7}`,
		`{"prompt":"a\"b\\","model":"m"}`,
		`{"model":"m","messages":[{"role":"user","content":"x"}],"n":-1.5e+3}`,
		"{\"model\":\"m\",\"prompt\":\"\x01\"}",
		`{"model":"\u00e9\ud83d\ude00","prompt":["a",1,null,true]}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		bd, err := body.Scan(raw)
		if err != nil {
			return
		}
		var want map[string]json.RawMessage
		assert.NilError(t, json.Unmarshal(raw, &want))
		prompt := want["prompt"]
		if bd.Chat {
			prompt = want["messages"]
		}
		assert.Equal(t, string(bd.PromptBytes()), string(prompt))
		reader, length := bd.Streamed()
		streamed, err := io.ReadAll(reader)
		assert.NilError(t, err)
		assert.Equal(t, length, int64(len(streamed)))
		again, err := body.Scan(streamed)
		assert.NilError(t, err)
		assert.Assert(t, again.Stream)
	})
}

func BenchmarkScan(b *testing.B) {
	raw := []byte(`{"model":"m","prompt":"` + strings.Repeat("lorem ipsum dolor ", 4<<20/18) + `"}`)
	b.SetBytes(int64(len(raw)))
	for b.Loop() {
		if _, err := body.Scan(raw); err != nil {
			b.Fatal(err)
		}
	}
}
