package upstr_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/upstr"
)

func TestStatementThatMayBeOfAnotherCallIsNoProof(t *testing.T) {
	// Guards against a call that runs twice: a statement that nothing ran is taken from an answer that may belong to an earlier call on the
	// connection, or from one that is no refusal.
	cases := map[string]struct {
		kept   bool
		status int
		named  string
		proven bool
	}{
		"named":               {false, 503, "call", true},
		"named, kept":         {true, 503, "call", true},
		"unnamed":             {false, 503, "", true},
		"unnamed, kept":       {true, 503, "", false},
		"another call":        {true, 503, "earlier", false},
		"an answer after all": {false, 200, "call", false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			calls := 0
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if calls++; calls == 1 && tc.kept {
					return
				}
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				name := ""
				if tc.named != "" {
					name = "X-Request-Id: " + tc.named + "\r\n"
				}
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d Status\r\n%sX-Run-State: NotRun\r\nContent-Length: 0\r\n\r\n", tc.status, name)
				_ = conn.Close()
			}))
			defer server.Close()
			client := upstr.New()
			defer client.Close()
			call := upstr.Call{Address: server.Listener.Addr().String(), Method: http.MethodPost, Path: "/", Request: "call"}
			if tc.kept {
				resp, err := client.Do(t.Context(), call)
				assert.NilError(t, err)
				_ = resp.Body.Close()
			}
			resp, err := client.Do(t.Context(), call)
			if err == nil {
				_ = resp.Body.Close()
			}
			_, proven := errorx.ExtractProperty(err, upstr.PropertyProof)
			assert.Equal(t, proven, tc.proven, "%v", err)
		})
	}
}
