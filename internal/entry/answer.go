package entry

import (
	"encoding/json"
	"net/http"

	"dandelionsail.example/dandelionsail/internal/memory"
	"dandelionsail.example/dandelionsail/internal/upstr"
)

// answer assembles the chunks of a streamed answer for a caller that did not ask for a stream.
type answer struct {
	text []byte
	// held counts text.
	held   memory.Part
	id     string
	model  string
	finish string
	usage  json.RawMessage
}

type chunkChoice struct {
	Text         string `json:"text"`
	Delta        delta  `json:"delta"`
	FinishReason string `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content"`
}

type chunkDocument struct {
	ID      string          `json:"id"`
	Model   string          `json:"model"`
	Choices []chunkChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage"`
}

// add appends one chunk to the answer.
func (an *answer) add(data []byte) error {
	var doc chunkDocument
	if err := json.Unmarshal(data, &doc); err != nil {
		return upstr.Failed.Wrap(err, "entry: a chunk of the upstream's answer is not valid JSON")
	}
	an.id = doc.ID
	an.model = doc.Model
	if len(doc.Usage) > 0 {
		an.usage = doc.Usage
	}
	for _, choice := range doc.Choices {
		text, ok := an.held.Extend(an.text, len(choice.Text)+len(choice.Delta.Content))
		if !ok {
			return upstr.Failed.New("entry: no memory for the upstream's answer, of which %d bytes have come", len(an.text))
		}
		an.text = append(append(text, choice.Text...), choice.Delta.Content...)
		if choice.FinishReason != "" {
			an.finish = choice.FinishReason
		}
	}
	return nil
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type wholeChoice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason string   `json:"finish_reason"`
}

type wholeDocument struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Model   string          `json:"model"`
	Choices []wholeChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

// write sends the assembled answer to the caller as one JSON document.
func (an *answer) write(cl *call) {
	doc := wholeDocument{ID: an.id, Object: "text_completion", Model: an.model, Usage: an.usage}
	choice := wholeChoice{FinishReason: an.finish}
	if cl.body.Chat {
		doc.Object = "chat.completion"
		choice.Message = &message{Role: "assistant", Content: string(an.text)}
	} else {
		choice.Text = string(an.text)
	}
	doc.Choices = []wholeChoice{choice}
	cl.w.Header().Set("Content-Type", "application/json")
	cl.w.WriteHeader(http.StatusOK)
	_ = json.NewEncoder(cl.w).Encode(doc)
}
