package relay

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/steer"
)

// newSilenceTest returns an attempt whose replica is watched by hand: its timer does not fire by itself.
func newSilenceTest(t *testing.T) *silenceWatch {
	in := newTestInstance(t, "one", newFakeDirectory())
	cl := &call{w: httptest.NewRecorder(), req: httptest.NewRequest(http.MethodPost, "/", nil)}
	att := &attempt{in: in, cl: cl}
	sw := att.watchSilence(t.Context(), time.Hour)
	t.Cleanup(sw.stop)
	return sw
}

func TestWriteToTheCallerIsNoSilence(t *testing.T) {
	// Guards against a caller that reads slowly, which its replica would be taken as silent for: the next event is not read before the last one is
	// written.
	sw := newSilenceTest(t)
	now := time.Now()
	sw.progressed(now, time.Hour)
	for range 100 {
		now = now.Add(sw.clock.Timer())
		assert.Assert(t, !sw.timerEnded(now))
	}
	sw.wrote()
	sw.endTimers(now)
	assert.Assert(t, sw.clock.IsOver())
}

// endTimers lets the timers fire until the replica is to be looked at.
func (sw *silenceWatch) endTimers(now time.Time) {
	for range 100 {
		now = now.Add(sw.clock.Timer())
		if sw.timerEnded(now) {
			return
		}
	}
}

func TestWhatWaitsInTheSocketIsNoSilence(t *testing.T) {
	// Guards against a silence that is reported although events wait to be read.
	for _, waiting := range []bool{true, false} {
		t.Run(fmt.Sprint(waiting), func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = listener.Close() }()
			conn, err := net.Dial("tcp", listener.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			other, err := listener.Accept()
			assert.NilError(t, err)
			defer func() { _ = other.Close() }()
			if waiting {
				_, err = other.Write([]byte("id: 1\n"))
				assert.NilError(t, err)
				for !hasUnread(conn) {
					time.Sleep(time.Millisecond)
				}
			}
			unacknowledged, _ := acknowledgement(conn)
			assert.Assert(t, !unacknowledged)
			sw := newSilenceTest(t)
			sw.att.delivery.conn.Store(&replicaConn{Conn: conn})
			sw.att.eff.Helpers = []steer.Helper{{Tokens: 1}}
			sw.endTimers(time.Now())
			sw.look()
			assert.Equal(t, sw.seen, !waiting)
		})
	}
}

func TestReservationsAreNotRenewedInVain(t *testing.T) {
	// Guards against memory that is held at helpers until the deadline for a replica that is gone without a sign. An answer whose pauses may be longer
	// keeps its memory for that long.
	cases := map[string]struct {
		limit, silent time.Duration
		inVain        bool
	}{
		"not silent for long": {time.Second, maxUnusedReservation - time.Second, false},
		"silent for long":     {time.Second, maxUnusedReservation + time.Second, true},
		"long pauses":         {40 * time.Second, maxUnusedReservation + time.Second, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			sw := newSilenceTest(t)
			sw.clock.Heard(time.Now().Add(-tc.silent), tc.limit)
			assert.Equal(t, sw.reservesInVain(), tc.inVain)
		})
	}
}
