package relay

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// anyRequest is a Protocol that reads only the ID and the timeout of a request. All answers of replicas bear the seal.
type anyRequest struct{ Protocol }

// ParseRequest implements Protocol.
func (anyRequest) ParseRequest(req *http.Request) RequestInfo {
	timeout, _ := time.ParseDuration(req.Header.Get("Timeout"))
	return RequestInfo{Name: req.Header.Get("X-Request-Id"), StatedTimeout: timeout}
}

// SetHeaders implements Protocol.
func (anyRequest) SetHeaders(http.Header, ForwardInfo) {}

// ParseResponse implements Protocol.
func (anyRequest) ParseResponse(resp *http.Response) ResponseInfo {
	return ResponseInfo{Name: resp.Header.Get("X-Request-Id"), Sealed: true}
}

// newFront returns an Instance that serves callers at the address. Requests below /stream/ may be resumed, the others run once. Its replica answers by
// the handler; there is none if that is nil.
func newFront(t *testing.T, answer http.HandlerFunc) (in *Instance, address string) {
	in = newTestInstance(t, "one", newFakeDirectory())
	in.protocol, in.opts.MaxBody = anyRequest{}, 1<<20
	plain := decl.Route{
		Name: "plain", Host: "hall.example", Prefix: "/", Shares: []decl.Share{{Service: "board", Weight: 1}}, Public: true, Attempts: 1,
		Timeout: decl.Duration(5 * time.Second), Goal: decl.Duration(time.Second),
	}
	stream := plain
	stream.Name, stream.Prefix, stream.Stream, stream.Gap = "stream", "/stream/", true, decl.Duration(time.Second)
	in.install(&decl.Routing{Version: 1, Routes: []decl.Route{plain, stream}, Services: map[string]decl.Pool{"board": {}}})
	if answer != nil {
		replica := httptest.NewServer(answer)
		t.Cleanup(replica.Close)
		t.Cleanup(in.pooled.CloseIdleConnections)
		t.Cleanup(replica.CloseClientConnections)
		in.apply(steer.Listed{Replicas: []steer.Replica{{Name: "board-0", Born: 1, Service: "board", Address: replica.Listener.Addr().String(), Slots: 4}}})
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := in.newCallerServer(http.HandlerFunc(in.serve), nil)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	t.Cleanup(func() {
		_ = server.Close()
		<-ended
	})
	return in, listener.Addr().String()
}
