package entry_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/certs"
	"dandelionsail.example/dandelionsail/internal/entry"
)

func TestCallersOverTLS(t *testing.T) {
	// With a certificate configured, a caller that trusts its authority must be served over TLS, and a caller that uses
	// plain HTTP must be refused.
	authority, err := certs.New()
	assert.NilError(t, err)
	files, err := authority.Write(t.TempDir(), "entry-0")
	assert.NilError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	opts := entry.Options{
		Name: "entry-0", FailureDomain: "a", Listen: listener.Addr().String(), Platform: "127.0.0.1:1", Store: "127.0.0.1:1",
		ListPeriod: time.Second, LoadPeriod: time.Second, DrainTime: time.Second, BodyTimeout: time.Second,
		TLSCert: files.Certificate, TLSKey: files.Key,
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	instance := entry.New(opts, &log.Logger{Level: log.PanicLevel})
	go func() { ended <- instance.Serve(ctx, listener) }()

	roots := x509.NewCertPool()
	assert.Assert(t, roots.AppendCertsFromPEM(authority.Certificate))
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots, ServerName: "entry-0"}}
	trusting := &http.Client{Transport: transport}
	resp, err := trusting.Get("https://" + opts.Listen + "/healthz")
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	plain, err := http.Get("http://" + opts.Listen + "/healthz")
	assert.NilError(t, err)
	assert.NilError(t, plain.Body.Close())
	assert.Equal(t, plain.StatusCode, http.StatusBadRequest)

	transport.CloseIdleConnections()
	stop()
	assert.NilError(t, <-ended)
}
