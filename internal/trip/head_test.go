package trip_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/fault"
	"dandelionsail.example/dandelionsail/internal/trip"
)

func TestAnswersWithABrokenHeadAreNone(t *testing.T) {
	// A server in trouble answers with a status that is none, or with a field whose name holds a blank or a control byte. The answer must count as
	// missing: passed on, its line reaches the caller, and where the line would have framed the body, so does another body.
	for name, text := range fault.BrokenAnswers("X-Mark: m\r\n", "whole answer") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			transport := &http.Transport{DialContext: trip.CountingDialer((&net.Dialer{}).DialContext), DisableKeepAlives: true}
			req, err := http.NewRequest(http.MethodGet, "http://"+answerRaw(t, text, closes), nil)
			assert.NilError(t, err)
			res, err := trip.Do(transport, req, trip.Hooks{})
			if err == nil {
				defer func() { _ = res.Response.Body.Close() }()
				body, err := io.ReadAll(res.Response.Body)
				t.Fatalf("status %d, header %q, body %q, %v", res.Response.StatusCode, res.Response.Header, body, err)
			}
			assert.Assert(t, res.Written && res.Response == nil)
		})
	}
}
