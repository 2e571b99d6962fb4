package conns_test

import (
	"maps"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/conns"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// keepAlive returns a header with the Keep-Alive value, or none if it is empty.
func keepAlive(value string) http.Header {
	if value == "" {
		return http.Header{}
	}
	return http.Header{"Keep-Alive": {value}}
}

func TestIdleConnectionIsKeptUntilShortlyBeforeTheReplicaClosesIt(t *testing.T) {
	// Guards against a request that is written to a connection which its replica is just closing: it is then unknown whether it ran.
	// A connection that is closed long before that costs a new one for the next request.
	cases := map[string]struct {
		header string
		limit  time.Duration
	}{
		"five seconds":                 {"timeout=5", 4 * time.Second},
		"with another parameter":       {"max=100, timeout=5", 4 * time.Second},
		"quoted":                       {`Timeout="5"`, 4 * time.Second},
		"three seconds":                {"timeout=3", 2 * time.Second},
		"a minute and a half":          {"timeout=90", conns.MaxIdle},
		"nothing is kept":              {"timeout=0", 0},
		"no header":                    {"", conns.MaxIdle},
		"no timeout":                   {"max=100", conns.MaxIdle},
		"negative":                     {"timeout=-5", conns.MaxIdle},
		"not a number":                 {"timeout=soon", conns.MaxIdle},
		"beyond what a duration holds": {"timeout=99999999999999999999", conns.MaxIdle},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			tbl := conns.New()
			conn := tbl.Opened("a", start)
			use, _ := tbl.Taken(conn, start, false)
			tbl.Answered(conn, keepAlive(tc.header))
			tbl.Returned(conn, use, start)
			left, idle := tbl.Expiry(conn, start)
			assert.Assert(t, idle)
			assert.Equal(t, left, tc.limit)
			_, ok := tbl.Taken(conn, start.Add(tc.limit), false)
			assert.Assert(t, !ok)
		})
	}
}

func TestShortTimeoutsLeaveSomeTime(t *testing.T) {
	tbl := conns.New()
	conn := tbl.Opened("a", start)
	use, _ := tbl.Taken(conn, start, false)
	tbl.Answered(conn, keepAlive("timeout=1"))
	tbl.Returned(conn, use, start)
	left, _ := tbl.Expiry(conn, start)
	assert.Assert(t, left > 600*time.Millisecond && left < 700*time.Millisecond, "%v", left)
}

func TestTimeoutAppliesToAllConnectionsOfTheReplica(t *testing.T) {
	// The header of an error often lacks the timeout. One that a response on another connection has stated must then still apply.
	tbl := conns.New()
	first, second := tbl.Opened("a", start), tbl.Opened("a", start)
	tbl.Taken(first, start, false)
	tbl.Answered(first, keepAlive("timeout=5"))
	use, _ := tbl.Taken(second, start, false)
	tbl.Answered(second, http.Header{})
	tbl.Returned(second, use, start)
	left, _ := tbl.Expiry(second, start)
	assert.Equal(t, left, 4*time.Second)
}

func TestEndOfAUseAfterTheNextHasBegun(t *testing.T) {
	// net/http may report that a connection is kept after giving it to the next request. The connection must then count as in use.
	tbl := conns.New()
	conn := tbl.Opened("a", start)
	first, _ := tbl.Taken(conn, start, false)
	second, ok := tbl.Taken(conn, start, false)
	assert.Assert(t, ok)
	tbl.Returned(conn, first, start)
	_, idle := tbl.Expiry(conn, start)
	assert.Assert(t, !idle)
	tbl.Returned(conn, second, start)
	_, idle = tbl.Expiry(conn, start)
	assert.Assert(t, idle)
}

func TestChangesAreReportedOnce(t *testing.T) {
	// Guards against an event for each request, and against a reducer that prefers a replica for a connection that was closed.
	tbl := conns.New()
	check := func(want map[string]bool) {
		t.Helper()
		assert.Equal(t, tbl.HasChanges(), len(want) > 0)
		got := tbl.Changes()
		assert.Assert(t, maps.Equal(got, want), "%v", got)
	}
	check(nil)
	first := tbl.Opened("a", start)
	use, _ := tbl.Taken(first, start, false)
	check(nil)
	tbl.Returned(first, use, start)
	check(map[string]bool{"a": true})
	second := tbl.Opened("a", start)
	check(nil)
	tbl.Closed(second)
	tbl.Closed(second)
	check(nil)
	use, _ = tbl.Taken(first, start, false)
	tbl.Returned(first, use, start)
	check(nil)
	tbl.Closed(first)
	check(map[string]bool{"a": false})
	tbl.Returned(first, use, start)
	check(nil)
	open, idle := tbl.Counts()
	assert.Equal(t, open, 0)
	assert.Equal(t, idle, 0)
}

func TestProvenConnection(t *testing.T) {
	// A request that may run only once is given a kept connection only if a response has just ended on it: on a connection that has
	// gone silent since, the request would be lost.
	cases := map[string]struct {
		header string
		age    time.Duration
		ok     bool
	}{
		"just answered":            {"", 0, true},
		"answered recently":        {"", conns.ProvenAge - time.Millisecond, true},
		"answered too long ago":    {"", conns.ProvenAge, false},
		"soon closed by a replica": {"timeout=2", 700 * time.Millisecond, false},
		"nothing is kept":          {"timeout=0", 0, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			tbl := conns.New()
			conn := tbl.Opened("a", start)
			use, _ := tbl.Taken(conn, start, false)
			tbl.Answered(conn, keepAlive(tc.header))
			tbl.Returned(conn, use, start)
			_, ok := tbl.Taken(conn, start.Add(tc.age), true)
			assert.Equal(t, ok, tc.ok)
		})
	}
}

func TestExcessIsTheConnectionThatWasIdleTheLongest(t *testing.T) {
	tbl := conns.New()
	assert.Assert(t, tbl.Excess("a", 0) == nil)
	var list []*conns.Conn
	for i := range 3 {
		at := start.Add(time.Duration(i) * time.Second)
		conn := tbl.Opened("a", at)
		use, _ := tbl.Taken(conn, at, false)
		if i < 2 {
			tbl.Returned(conn, use, at)
		}
		list = append(list, conn)
	}
	assert.Assert(t, tbl.Excess("a", 2) == nil)
	assert.Equal(t, tbl.Excess("a", 1), list[0])
	tbl.Closed(list[0])
	assert.Assert(t, tbl.Excess("a", 1) == nil)
	assert.Equal(t, tbl.Excess("a", 0), list[1])
	assert.Assert(t, tbl.Excess("b", 0) == nil)
}
