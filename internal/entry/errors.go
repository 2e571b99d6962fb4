package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"dandelionsail.example/dandelionsail/internal/effect"
)

// Names of headers in callers' requests and in answers to them.
const (
	// HeaderRunState reports whether a refused or failed request ran: NotRun, Ran or Unknown.
	HeaderRunState = "Dandelionsail-Run"
	// HeaderDeadline is the caller's deadline, as a duration such as "30s" or as an RFC 3339 time.
	HeaderDeadline = "X-Request-Deadline"
	// HeaderForwardedBy names the instance that has passed a request on. Its only effect is that the request is not passed on again.
	HeaderForwardedBy = "X-Forwarded-By-Instance"
	// HeaderForwardRefused is set in the refusal of a request that was passed on and that another instance may take.
	HeaderForwardRefused = "X-Forward-Refused"
	// HeaderRequestID carries the request's id in the answer, for support.
	HeaderRequestID = "X-Request-Id"
)

// apiError is an error in the format that clients of the completions API expect.
type apiError struct {
	Status int `json:"-"`
	// RunState reports whether the request ran. It is sent in the header HeaderRunState.
	RunState effect.RunState `json:"-"`
	// RetryAfter is sent in the header Retry-After, unless it is 0.
	RetryAfter time.Duration `json:"-"`
	Message    string        `json:"message"`
	Type       string        `json:"type"`
	Code       string        `json:"code"`
}

// badRequest returns the error for a request that is refused before it reaches the reducer.
func badRequest(status int, code, message string) *apiError {
	return &apiError{Status: status, RunState: effect.NotRun, Message: message, Type: "invalid_request_error", Code: code}
}

// statuses maps the reason of a refusal to its HTTP status.
var statuses = map[effect.Reason]int{
	effect.ReasonLimit:         http.StatusTooManyRequests,
	effect.ReasonOverloaded:    http.StatusServiceUnavailable,
	effect.ReasonDeadline:      http.StatusGatewayTimeout,
	effect.ReasonPromptTooLong: http.StatusRequestEntityTooLarge,
	effect.ReasonNoUpstream:    http.StatusServiceUnavailable,
	effect.ReasonUpstream:      http.StatusBadGateway,
	effect.ReasonBudget:        http.StatusBadGateway,
	effect.ReasonQuarantine:    http.StatusUnprocessableEntity,
	effect.ReasonKeyReused:     http.StatusUnprocessableEntity,
	effect.ReasonKeyRunning:    http.StatusConflict,
	effect.ReasonClaim:         http.StatusServiceUnavailable,
	effect.ReasonDraining:      http.StatusServiceUnavailable,
	effect.ReasonNoPath:        http.StatusServiceUnavailable,
	effect.ReasonUnknownModel:  http.StatusNotFound,
	effect.ReasonOutcome:       http.StatusBadGateway,
	effect.ReasonAnswerNotKept: http.StatusConflict,
	effect.ReasonRejected:      http.StatusBadRequest,
}

// fromRefusal converts a refusal by the reducer.
func fromRefusal(refusal *effect.Refusal) *apiError {
	status, ok := statuses[refusal.Reason]
	if !ok {
		status = http.StatusInternalServerError
	}
	kind := "server_error"
	if status == http.StatusTooManyRequests {
		kind = "rate_limit_error"
	} else if status < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	return &apiError{
		Status:     status,
		RunState:   refusal.RunState,
		RetryAfter: refusal.RetryAfter,
		Message:    string(refusal.Reason) + ": " + refusal.Remedy,
		Type:       kind,
		Code:       string(refusal.Reason),
	}
}

// document returns the error's JSON.
func (ae *apiError) document() []byte {
	raw, err := json.Marshal(struct {
		Error *apiError `json:"error"`
	}{ae})
	if err != nil {
		return []byte(`{"error":{"message":"the error does not encode","type":"server_error","code":"Internal"}}`)
	}
	return raw
}

// write answers a request for which no header was sent yet.
func (ae *apiError) write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderRunState, string(ae.RunState))
	if ae.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(ae.RetryAfter.Seconds()))))
	}
	if ae.Status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(ae.Status)
	_, _ = w.Write(ae.document())
}
