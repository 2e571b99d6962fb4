package once

import "dandelionsail.example/dandelionsail/internal/event"

// Recorder captures the start of a response for the record of its claim.
type Recorder struct {
	out event.Outcome
}

// Start records the response's status and content type.
func (rc *Recorder) Start(status int, contentType string) {
	rc.out = event.Outcome{Status: status, ContentType: contentType}
}

// Write implements io.Writer and never fails. It drops what exceeds MaxStoredBody.
func (rc *Recorder) Write(part []byte) (int, error) {
	room := MaxStoredBody - len(rc.out.Body)
	if len(part) > room {
		rc.out.Truncated = true
		rc.out.Body = append(rc.out.Body, part[:room]...)
		return len(part), nil
	}
	rc.out.Body = append(rc.out.Body, part...)
	return len(part), nil
}

// Complete marks the response as complete.
func (rc *Recorder) Complete() {
	rc.out.Known = true
}

// Outcome returns what was captured; its Known is false unless the response was complete.
func (rc *Recorder) Outcome() event.Outcome {
	return rc.out
}
