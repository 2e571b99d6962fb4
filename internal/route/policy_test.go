package route_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/route"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newState returns the state of an instance in failure domain a with two replicas there and two in failure domain b.
func newState(policy route.Policy) *route.State {
	st := route.New("a", 1)
	st.Policy = policy
	var listed event.UpstreamsListed
	for i := range 4 {
		listed.Upstreams = append(listed.Upstreams, event.Upstream{
			Name:          fmt.Sprintf("lyric-%d", i),
			Service:       "lyric",
			Address:       fmt.Sprintf("127.0.0.1:%d", i+1),
			FailureDomain: string(rune('a' + i/2)),
		})
	}
	st.ApplyList(start, listed)
	return st
}

func TestBaselinesSpreadRequestsEvenly(t *testing.T) {
	cases := map[string]route.Policy{
		"round robin":    route.RoundRobin{},
		"least requests": route.LeastRequests{},
	}
	for name, policy := range cases {
		t.Run(name, func(t *testing.T) {
			st := newState(policy)
			for i := range 12 {
				rep := st.Pick(start, &route.PickCriteria{ID: event.RequestID(i), Service: "lyric", Prompt: 100})
				st.RecordSent(start, rep.Upstream.Name, &route.PickCriteria{ID: event.RequestID(i), Service: "lyric", Prompt: 100})
			}
			for _, rep := range st.Replicas {
				assert.Equal(t, rep.Running, int64(3), rep.Upstream.Name)
			}
		})
	}
}
