package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/fault"
)

func TestAnswersWithABrokenHeadReachNoCaller(t *testing.T) {
	// A replica in trouble sends a head that is none. Its caller must get an answer of the instance itself: neither the status, the line or the body of the
	// replica, directly, in a stream, or through another instance.
	in := newTestInstance(t, "one", newFakeDirectory())
	in.opts.MaxBody = 1 << 20
	rep := newCutReplica(t)
	in.knowCutReplica(rep.Addr().String())
	ctx, cancel := context.WithCancel(t.Context())
	ticked := make(chan error, 1)
	go func() { ticked <- in.tick(ctx) }()
	t.Cleanup(func() { cancel(); <-ticked })
	front := httptest.NewServer(http.HandlerFunc(in.serve))
	t.Cleanup(front.Close)
	two := newTestInstance(t, "two", newFakeDirectory())
	list := two.knowCutReplica(rep.Addr().String())
	two.setPeers(peersByName([]Peer{{Name: "one", Address: "127.0.0.1:9"}}))
	detour := httptest.NewServer(http.HandlerFunc(two.serveDetour))
	t.Cleanup(detour.Close)
	sendVia := newDetourSender(t, detour.Listener.Addr().String())
	used := 0
	for name, text := range fault.BrokenAnswers("Name: r\r\nSeal: s\r\n", "whole answer") {
		t.Run(name, func(t *testing.T) {
			rep.set([]byte(text), endClose)
			for _, kind := range []string{"c", "s"} {
				used++
				req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("%s/%s/%d/", front.URL, kind, used), strings.NewReader("x"))
				assert.NilError(t, err)
				req.Host = "h"
				req.Header.Set("Name", "r")
				resp, err := http.DefaultTransport.RoundTrip(req)
				if err != nil {
					continue
				}
				body, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				assert.Check(t, err != nil || resp.StatusCode == http.StatusBadGateway && resp.Header.Get("Seal") == "", "%s: %d, header %q, body %q", kind, resp.StatusCode, resp.Header, body)
			}
			used++
			resp, body, err := sendVia(list[used])
			assert.Check(t, err != nil, "detour: %v, body %q", resp, body)
		})
	}
}
