package relay

import (
	"context"
	"go/ast"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/lines"
	"dandelionsail.example/dandelionsail/internal/notice"
	"dandelionsail.example/dandelionsail/internal/source"
	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// headerProtocol is a Protocol for tests of exchange. Its replicas announce by headers of their own.
type headerProtocol struct{ Protocol }

// ParseResponse implements Protocol.
func (headerProtocol) ParseResponse(resp *http.Response) ResponseInfo {
	return ResponseInfo{
		Name: resp.Header.Get("Name"), Misdirected: resp.StatusCode == http.StatusMisdirectedRequest,
		Announced: notice.Announced{Leaving: resp.Header.Get("Leaving") != ""},
	}
}

// newExchangeTest returns an Instance that knows one replica, whose handler is answer, and that replica.
func newExchangeTest(t *testing.T, answer http.HandlerFunc) (*Instance, steer.Replica) {
	server := httptest.NewServer(answer)
	t.Cleanup(server.Close)
	in := New(Options{Name: "one", FailureDomain: "a", Seed: 1}, nil, headerProtocol{}, &log.Logger{Level: log.PanicLevel}, lines.New(io.Discard, 1))
	replica := steer.Replica{Name: "board-0", Born: 1, Service: "board", Address: server.Listener.Addr().String(), Slots: 4}
	in.apply(steer.Configured{Routing: &decl.Routing{Version: 1, Services: map[string]decl.Pool{"board": {}}}})
	in.apply(steer.Listed{Replicas: []steer.Replica{replica}})
	t.Cleanup(in.pooled.CloseIdleConnections)
	return in, replica
}

// send sends a message of the kind for the request named request.
func (in *Instance) send(t *testing.T, newConnection bool, replica steer.Replica, kind notice.Kind) error {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+replica.Address+"/", nil)
	assert.NilError(t, err)
	resp, _, err := in.exchange(newConnection, message{request: "request", name: "request", to: steer.Target{Replica: replica, Kind: kind}}, req)
	if err == nil {
		_ = resp.Body.Close()
	}
	return err
}

func TestAnnouncementIsReadFromTheReplicasOwnAnswersOnly(t *testing.T) {
	// Guards against a replica that is lost for good because of an answer that is not its own: one of another replica that has
	// taken its address, or a late one to an earlier request on the connection.
	cases := map[string]struct {
		name, body string
		status     int
		header     bool
		leaves     bool
	}{
		"answer":                        {"request", "", 200, true, true},
		"failure":                       {"request", "", 500, true, true},
		"refusal":                       {"request", "", 503, true, true},
		"answer without a name":         {"", "", 200, true, true},
		"another replica":               {"request", "", 421, true, false},
		"answer to another request":     {"earlier", "", 200, true, false},
		"body that looks like a header": {"request", "HTTP/1.1 200 OK\r\nLeaving: 1\r\n\r\n", 200, false, false},
		"nothing announced":             {"request", "", 200, false, false},
	}
	for name, tc := range cases {
		for kind := range notice.Kinds {
			if kind == notice.Probe {
				continue
			}
			t.Run(name+" "+kind.String(), func(t *testing.T) {
				in, replica := newExchangeTest(t, func(w http.ResponseWriter, _ *http.Request) {
					if tc.name != "" {
						w.Header().Set("Name", tc.name)
					}
					if tc.header {
						w.Header().Set("Leaving", "1")
					}
					w.WriteHeader(tc.status)
					_, _ = w.Write([]byte(tc.body))
				})
				assert.NilError(t, in.send(t, false, replica, kind))
				err := in.send(t, false, replica, notice.First)
				assert.Equal(t, isHeldBack(err), tc.leaves, "%v", err)
			})
		}
	}
}

func TestAnnouncementDuringDialHoldsMessageBack(t *testing.T) {
	// Opening the connection takes long. Meanwhile another answer says that the replica leaves: nothing may be sent any more.
	arrived := 0
	in, replica := newExchangeTest(t, func(http.ResponseWriter, *http.Request) { arrived++ })
	dialing, proceed := make(chan struct{}), make(chan struct{})
	slow := newTransport(newDialer(nil, dialTimeout), true, time.Second)
	slow.DialContext = notice.CheckedDialer(func(ctx context.Context, network, address string) (net.Conn, error) {
		close(dialing)
		<-proceed
		return (&net.Dialer{}).DialContext(ctx, network, address)
	})
	in.unpooled = slow
	ended := make(chan error, 1)
	go func() { ended <- in.send(t, true, replica, notice.First) }()
	<-dialing
	in.apply(steer.ResponseReceived{Replica: replica.Name, Born: replica.Born, Sent: time.Now(), Announced: notice.Announced{Leaving: true}})
	close(proceed)
	err := <-ended
	assert.Assert(t, isHeldBack(err), "%v", err)
	assert.Equal(t, arrived, 0)
}

func TestOnlyExchangeReachesReplicas(t *testing.T) {
	// Guards against a message that is sent to a replica past the gate, or more often than it was decided: only exchange.go may send on
	// the transports or open a connection to a replica, and on the completions front client.go; both send through trip.Do alone. share.go
	// fetches the configuration from another Instance, and detour.go passes messages to one, whose exchange sends them on.
	toReplicas := map[string]bool{"exchange.go": true, "client.go": true}
	allowed := map[string]map[string]bool{
		"RoundTrip": {"share.go": true}, "Do": {"exchange.go": true, "client.go": true, "detour.go": true},
		"Dial": toReplicas, "DialContext": toReplicas, "DialTimeout": toReplicas,
	}
	found := 0
	for _, dir := range []string{".", "../../platform", "../cmds", "../upstr"} {
		err := source.Walk(dir, func(path string, node ast.Node) {
			call, ok := node.(*ast.CallExpr)
			if !ok {
				return
			}
			if sel, ok := call.Fun.(*ast.SelectorExpr); ok && allowed[sel.Sel.Name] != nil {
				if of, ok := sel.X.(*ast.Ident); sel.Sel.Name != "Do" || ok && of.Name == "trip" {
					found++
					assert.Check(t, allowed[sel.Sel.Name][filepath.Base(path)], "%s calls %s", path, sel.Sel.Name)
				}
			}
			for _, arg := range call.Args {
				if sel, ok := arg.(*ast.SelectorExpr); ok && (sel.Sel.Name == "pooled" || sel.Sel.Name == "unpooled") {
					name := ""
					if fun, ok := call.Fun.(*ast.SelectorExpr); ok {
						name = fun.Sel.Name
					}
					assert.Check(t, name == "exchange", "%s passes a transport to %s", path, name)
				}
			}
		})
		assert.NilError(t, err)
	}
	assert.Assert(t, found > 0)
}
