package front

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/memory"
)

func TestDrainOverTLS(t *testing.T) {
	// Guards against requests over TLS, or HTTP/2, that the drain drops, and against a drain that never ends because such a connection is kept.
	// The cases are named by what the handler sees.
	for proto, protocol := range map[string]string{"HTTP/1.1": "http/1.1", "HTTP/2.0": "h2"} {
		t.Run(proto, func(t *testing.T) {
			pair := httptest.NewTLSServer(nil)
			defer pair.Close()
			entered, leave := make(chan struct{}), make(chan struct{})
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			srv := New(Options{Limiter: NewLimiter(memory.New(0), 10_000), Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				RequestOf(req).ReadWhole("one")
				if req.URL.Path == "/wait" {
					close(entered)
					<-leave
				}
				_, _ = io.WriteString(w, req.Proto)
			})})
			ended := make(chan error, 1)
			go func() {
				ended <- srv.ServeTLS(inner, &tls.Config{Certificates: pair.TLS.Certificates, NextProtos: []string{protocol}})
			}()
			transport := pair.Client().Transport.(*http.Transport).Clone()
			transport.ForceAttemptHTTP2 = protocol == "h2"
			transport.TLSClientConfig.NextProtos = []string{protocol}
			defer transport.CloseIdleConnections()
			client := &http.Client{Transport: transport}
			get := func(path string) (string, error) {
				resp, err := client.Get("https://" + inner.Addr().String() + path)
				if err != nil {
					return "", err
				}
				defer func() { _ = resp.Body.Close() }()
				body, err := io.ReadAll(resp.Body)
				return string(body), err
			}
			first, err := get("/")
			assert.NilError(t, err)
			assert.Equal(t, first, proto)
			second := make(chan error, 1)
			go func() {
				body, err := get("/wait")
				if err == nil && body != first {
					err = io.ErrUnexpectedEOF
				}
				second <- err
			}()
			<-entered
			done := make(chan error, 1)
			go func() { done <- srv.Drain(t.Context()) }()
			assert.Equal(t, <-ended, http.ErrServerClosed)
			close(leave)
			assert.NilError(t, <-second)
			assert.NilError(t, <-done)
		})
	}
}
