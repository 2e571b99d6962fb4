package load_test

import (
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/load"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

func scenario(t *testing.T, name string) *load.Scenario {
	sc, err := load.ReadScenario("../../scenarios/" + name + ".json")
	assert.NilError(t, err)
	return sc
}

func TestScenariosHaveDeclaredSizes(t *testing.T) {
	for name, replicas := range map[string]int{"sreekovil": 14, "sundarban": 18} {
		t.Run(name, func(t *testing.T) {
			sc := scenario(t, name)
			assert.Equal(t, sc.Model.Replicas, replicas)
			assert.Equal(t, sc.Plain.Replicas, 3)
			assert.Equal(t, len(sc.FailureDomains), 3)
			assert.Equal(t, len(sc.Organisations), 10)
			assert.Equal(t, float64(sc.Mix.MaxTokens), 2.5*float64(sc.Model.MemoryTokens))
			total := 0.0
			for _, org := range sc.Organisations {
				total += org.Share
			}
			assert.Assert(t, math.Abs(total-1) < 1e-9)
		})
	}
}

func TestPlanMatchesMix(t *testing.T) {
	sc := scenario(t, "sreekovil")
	sc.Mix.Duration = decl.Duration(20_000 * time.Second)
	plan := load.Plan(sc, 7, true)
	long, work, calls := 0, 0.0, 0
	for i, req := range plan {
		assert.Assert(t, i == 0 || plan[i-1].At <= req.At)
		if req.Plain {
			calls++
			continue
		}
		assert.Assert(t, req.PromptTokens >= 1000 && req.PromptTokens <= 1_000_000)
		work += sc.Work(req.PromptTokens, req.Answer)
		if req.PromptTokens > sc.Mix.SplitTokens {
			long++
		}
	}
	completions := float64(len(plan) - calls)
	assert.Assert(t, math.Abs(float64(long)/completions-0.02) < 0.002, "one in fifty is long: %d of %.0f", long, completions)
	offered := work / sc.Mix.Duration.Std().Seconds() / sc.Capacity()
	assert.Assert(t, math.Abs(offered-sc.Mix.Utilisation) < 0.02, "offered %.3f of capacity", offered)
}

func TestPlanWithoutLongPromptsKeepsOthers(t *testing.T) {
	sc := scenario(t, "sundarban")
	with, without := load.Plan(sc, 3, true), load.Plan(sc, 3, false)
	var kept []load.PlannedRequest
	for _, req := range with {
		if req.PromptTokens <= sc.Mix.SplitTokens {
			kept = append(kept, req)
		}
	}
	assert.DeepEqual(t, kept, without)
	assert.Assert(t, len(with) > len(without))
}

func TestFloodAddsOnlyToItsOrganisation(t *testing.T) {
	sc := scenario(t, "sreekovil")
	calm := count(load.Plan(sc, 3, true))
	sc.Organisations[4].Flood = 10
	flooded := count(load.Plan(sc, 3, true))
	for name, sent := range calm {
		if name != sc.Organisations[4].Name {
			assert.Equal(t, flooded[name], sent, name)
		}
	}
	assert.Assert(t, flooded[sc.Organisations[4].Name] > 5*calm[sc.Organisations[4].Name])
}

func count(plan []load.PlannedRequest) map[string]int {
	sent := map[string]int{}
	for _, req := range plan {
		sent[req.Organisation]++
	}
	return sent
}

func TestSessionsSharePrefixes(t *testing.T) {
	a, b := load.SessionPrompt(9000, 4000, 5, 1), load.SessionPrompt(6000, 4000, 5, 2)
	assert.Equal(t, a[:4*3900], b[:4*3900])
	assert.Assert(t, a[:4*4100] != b[:4*4100])
	assert.Assert(t, strings.HasPrefix(a, load.SessionPrompt(2000, 4000, 5, 3)))
	assert.Assert(t, !strings.HasPrefix(a, load.SessionPrompt(2000, 4000, 6, 3)))
}

func TestLatencyIsMeasuredFromPlannedTime(t *testing.T) {
	// The sender's machine stalls, so a request is sent after its planned time. A latency measured from the send would
	// hide the stall, so it is measured from the planned time, and the late send is counted as well.
	rc := load.Record{
		Planned: load.PlannedRequest{PromptTokens: 1000, Answer: 1, Deadline: time.Second},
		Result:  load.Result{Outcome: load.OutcomeWhole, FirstToken: 100 * time.Millisecond, Total: 200 * time.Millisecond},
		Late:    900 * time.Millisecond,
	}
	sm := load.Summarise([]load.Record{rc})
	figures := sm.Classes["Short"].Figures()
	assert.Assert(t, figures.P50 >= 990)
	assert.Equal(t, figures.Whole, int64(1))
	assert.Equal(t, figures.InTime, int64(0))
	assert.Equal(t, sm.LateSends, int64(1))
}

func TestSummariesMerge(t *testing.T) {
	refused := load.Record{
		Planned: load.PlannedRequest{PromptTokens: 1000, Deadline: time.Second},
		Result:  load.Result{Outcome: load.OutcomeRefused, Ran: "NotRun", Total: 80 * time.Millisecond},
	}
	sm := load.Summarise([]load.Record{refused})
	sm.Merge(load.Summarise([]load.Record{refused, refused}))
	figures := sm.Classes[load.ClassAll].Figures()
	assert.Equal(t, figures.Sent, int64(3))
	assert.Equal(t, figures.NotRun, int64(3))
	assert.Equal(t, figures.RefusedLate, int64(3))
}

func TestRunIsOpenLoop(t *testing.T) {
	// The server answers only after all requests of the run have arrived, so a closed loop would never end.
	sc := scenario(t, "sreekovil")
	plan := make([]load.PlannedRequest, 8)
	for i := range plan {
		plan[i] = load.PlannedRequest{Plain: true, Key: uint64(i), Deadline: 10 * time.Second, Organisation: "cathedral"}
	}
	arrived := make(chan struct{}, len(plan))
	all := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		arrived <- struct{}{}
		<-all
		_, _ = w.Write([]byte("{}"))
	}))
	defer server.Close()
	go func() {
		for range plan {
			<-arrived
		}
		close(all)
	}()
	runner := &load.Runner{Scenario: sc, Balancer: &load.Balancer{}, HTTP: server.Client()}
	runner.Balancer.Set([]string{strings.TrimPrefix(server.URL, "http://")})
	for _, rc := range runner.Run(t.Context(), plan) {
		assert.Equal(t, rc.Result.Outcome, load.OutcomeWhole, rc.Result.Detail)
	}
}
