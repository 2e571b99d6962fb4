package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/steer"
)

func TestConnectionStalled(t *testing.T) {
	// Guards against a stream that hangs until its caller leaves, eight seconds and more, although it may be resumed: its connection dies
	// midway while the replica continues to serve others, whose events make the replica look alive. The engine sends the
	// events of all streams together, so the silence of a stream without events while others have some is reported at once.
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	const limit = 1100 * time.Millisecond
	cases := map[string]struct {
		last     *time.Time
		lastSeen time.Time
		stalled  bool
	}{
		"event for others a second later":     {&start, start.Add(time.Second), true},
		"same long pass for all":              {&start, start.Add(2 * time.Millisecond), false},
		"event for others earlier":            {&start, start.Add(-time.Second), false},
		"no event for others":                 {&start, time.Time{}, false},
		"event for others, none yet for this": {nil, start, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, connectionStalled(tc.last, tc.lastSeen, limit), tc.stalled)
		})
	}
}

func TestSilenceCheckWhileResponseBegins(t *testing.T) {
	// An attempt with reservations is looked at in the moment in which its response begins. That depends on whether the caller has a header
	// already, which the goroutine that reads the response writes. The race detector guards this.
	in := newTestInstance(t, "one", newFakeDirectory())
	cl := &call{w: httptest.NewRecorder(), req: httptest.NewRequest(http.MethodPost, "/", nil)}
	att := &attempt{in: in, cl: cl, eff: steer.Send{Helpers: []steer.Helper{{Tokens: 1}}}}
	att.watch = att.watchSilence(t.Context(), time.Hour)
	defer att.watch.stop()
	checked := make(chan struct{})
	go func() {
		defer close(checked)
		att.watch.look()
	}()
	att.startResponse(t.Context(), &http.Response{Header: http.Header{}})
	<-checked
	assert.Assert(t, cl.headerSent.Load())
}

func TestFailedReservationBlamesTheHelperThatRefused(t *testing.T) {
	// One of two helpers refuses to reserve memory while the other one has not answered yet. The order to the other one is
	// cancelled then, which is not its fault: blamed, it would be avoided, and so would be all helpers that are slower than a refusal.
	slow := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) { <-req.Context().Done() }))
	defer slow.Close()
	refusing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusConflict) }))
	defer refusing.Close()
	in := newTestInstance(t, "one", newFakeDirectory())
	in.protocol = plainOrders{}
	helpers := []steer.Helper{
		{Replica: steer.Replica{Name: "slow", Service: "lyric", Address: slow.Listener.Addr().String(), Slots: 1}, Tokens: 1},
		{Replica: steer.Replica{Name: "refusing", Service: "lyric", Address: refusing.Listener.Addr().String(), Slots: 1}, Tokens: 1},
	}
	in.apply(steer.Listed{Replicas: []steer.Replica{helpers[0].Replica, helpers[1].Replica}})
	att := &attempt{in: in, cl: &call{}, eff: steer.Send{Helpers: helpers, DecidedAt: time.Now()}, expiresAt: make([]time.Time, 2), cancel: func() {}}
	assert.Equal(t, att.reserve(t.Context()), steer.ResultNotRun)
	assert.Equal(t, att.ended.FaultyReplica, "refusing")
	in.background.Wait()
}

func TestCallerThatLeavesDuringReservationBlamesNobody(t *testing.T) {
	// A caller leaves while a helper has not answered the order to reserve memory. The order is cancelled: neither that helper
	// nor the replica that was to answer may be avoided for it.
	slow := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) { <-req.Context().Done() }))
	defer slow.Close()
	in := newTestInstance(t, "one", newFakeDirectory())
	in.protocol = plainOrders{}
	helper := steer.Helper{Replica: steer.Replica{Name: "slow", Service: "lyric", Address: slow.Listener.Addr().String(), Slots: 1}, Tokens: 1}
	in.apply(steer.Listed{Replicas: []steer.Replica{helper.Replica}})
	att := &attempt{in: in, cl: &call{}, eff: steer.Send{Helpers: []steer.Helper{helper}, DecidedAt: time.Now()}, expiresAt: make([]time.Time, 1), cancel: func() {}}
	ctx, leave := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, leave)
	assert.Equal(t, att.reserve(ctx), steer.ResultHeld)
	assert.Equal(t, att.ended.FaultyReplica, "")
	in.background.Wait()
}

// plainOrders is a Protocol that sends reservation orders as plain requests.
type plainOrders struct{ Protocol }

func (plainOrders) Reserve(ctx context.Context, to steer.Replica, _ Reservation) (*http.Request, error) {
	return http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Address+"/", nil)
}

func (plainOrders) Release(ctx context.Context, to steer.Replica, _ string) (*http.Request, error) {
	limited, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
	context.AfterFunc(limited, cancel)
	return http.NewRequestWithContext(limited, http.MethodDelete, "http://"+to.Address+"/", nil)
}

func (plainOrders) ParseResponse(*http.Response) ResponseInfo { return ResponseInfo{} }
