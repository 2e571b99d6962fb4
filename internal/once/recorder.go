package once

import "dandelionsail.example/dandelionsail/internal/event"

// Recorder keeps the start of an answer for its claim's record.
type Recorder struct {
	out event.Outcome
}

// Start notes the answer's status.
func (rc *Recorder) Start(status int, contentType string) {
	rc.out = event.Outcome{Status: status, ContentType: contentType}
}

// Write implements io.Writer and never fails.
func (rc *Recorder) Write(part []byte) (int, error) {
	room := KeptBody - len(rc.out.Body)
	if len(part) > room {
		rc.out.Truncated = true
		rc.out.Body = append(rc.out.Body, part[:room]...)
		return len(part), nil
	}
	rc.out.Body = append(rc.out.Body, part...)
	return len(part), nil
}

// Complete notes that the answer was whole.
func (rc *Recorder) Complete() {
	rc.out.Known = true
}

// Outcome returns what was kept; its Known is false unless the answer was whole.
func (rc *Recorder) Outcome() event.Outcome {
	return rc.out
}
