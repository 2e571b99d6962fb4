package core_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dandelionsail.example/dandelionsail/internal/core"
	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// world answers the reducer's effects in any order, as a shell and its upstreams may.
type world struct {
	st     *core.State
	now    time.Time
	open   map[event.RequestID]bool
	sends  map[event.RequestID]effect.Send
	claims map[event.RequestID]bool
}

func (wo *world) reduce(t *rapid.T, ev event.Event) {
	for _, eff := range wo.st.Reduce(wo.now, ev) {
		switch eff := eff.(type) {
		case effect.Send:
			_, twice := wo.sends[eff.ID]
			assert.Assert(t, !twice, "two attempts of one request at once")
			assert.Assert(t, wo.open[eff.ID], "sent after its end")
			wo.sends[eff.ID] = eff
		case effect.Claim:
			wo.claims[eff.ID] = true
		case effect.Finish:
			assert.Assert(t, wo.open[eff.ID], "finished twice")
			_, sent := wo.sends[eff.ID]
			assert.Assert(t, !sent, "finished with an attempt under way")
			delete(wo.open, eff.ID)
		}
	}
}

// pickOne draws one of the ids up to last for which there tells true.
func pickOne(t *rapid.T, last event.RequestID, there func(event.RequestID) bool) (event.RequestID, bool) {
	var ids []event.RequestID
	for id := event.RequestID(1); id <= last; id++ {
		if there(id) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(ids).Draw(t, "id"), true
}

// TestEveryRequestEndsOnceAndLeavesNothing runs the reducer under any order of arrivals, ends, departures and
// listings: each request has one end, and when all have ended nothing is held for any organisation or on any replica.
func TestEveryRequestEndsOnceAndLeavesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wo := &world{
			st:     core.New(core.Options{Name: "entry-0", FailureDomain: "a", Seed: 1}),
			now:    start,
			open:   map[event.RequestID]bool{},
			sends:  map[event.RequestID]effect.Send{},
			claims: map[event.RequestID]bool{},
		}
		discipline := rapid.SampledFrom([]string{decl.DisciplinePriority, decl.DisciplineWeighted}).Draw(t, "discipline")
		wo.reduce(t, event.ConfigAccepted{Config: &decl.Config{
			Version: 1,
			Services: map[string]decl.Service{
				"lyric": {Kind: decl.KindModel, MemoryTokens: 400_000, MaxRunning: 2, Discipline: discipline},
				"board": {Kind: decl.KindPlain, Path: "/board/", MaxRunning: 2},
			},
			Organisations: map[string]decl.Organisation{
				"small": {Limits: decl.Limits{RequestsInFlight: 3, TokensPerSecond: 50_000}},
				"large": {Weight: 3},
			},
		}})
		var listed event.UpstreamsListed
		for i := range 4 {
			listed.Upstreams = append(listed.Upstreams, event.Upstream{
				Name: fmt.Sprintf("replica-%d", i), Service: []string{"lyric", "board"}[i%2], Address: fmt.Sprintf("127.0.0.1:%d", i+1), FailureDomain: "a",
			})
		}
		wo.reduce(t, listed)
		var last event.RequestID
		sent := func(id event.RequestID) bool { _, ok := wo.sends[id]; return ok }
		end := func(t *rapid.T, id event.RequestID, result event.Result) {
			send := wo.sends[id]
			delete(wo.sends, id)
			wo.reduce(t, event.AttemptEnded{ID: id, Attempt: send.Attempt, Upstream: send.Upstreams[0].Name, Result: result, Offset: send.Offset})
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				last++
				wo.open[last] = true
				ev := event.Arrived{
					ID:           last,
					Organisation: rapid.SampledFrom([]string{"small", "large"}).Draw(t, "organisation"),
					Service:      "lyric",
					PromptTokens: rapid.Int64Range(1, 300_000).Draw(t, "prompt"),
					MaxTokens:    100,
					Idempotent:   true,
					Digest:       event.Digest{byte(last), byte(last >> 8)},
					Deadline:     wo.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "time")) * time.Second),
					Prefixes:     []uint64{uint64(last % 5), uint64(last%5 + 100)},
				}
				if rapid.Bool().Draw(t, "board") {
					ev.Service, ev.PromptTokens, ev.MaxTokens, ev.Idempotent, ev.Prefixes = "board", 0, 0, false, nil
					ev.Key = rapid.SampledFrom([]string{"", "key"}).Draw(t, "key")
				}
				wo.reduce(t, ev)
			},
			"answering": func(t *rapid.T) {
				if id, ok := pickOne(t, last, sent); ok {
					wo.reduce(t, event.Answering{ID: id, Attempt: wo.sends[id].Attempt})
				}
			},
			"end": func(t *rapid.T) {
				if id, ok := pickOne(t, last, sent); ok {
					end(t, id, event.Result(rapid.IntRange(int(event.ResultDone), int(event.ResultCancelled)).Draw(t, "result")))
				}
			},
			"claimed": func(t *rapid.T) {
				if id, ok := pickOne(t, last, func(id event.RequestID) bool { return wo.claims[id] }); ok {
					delete(wo.claims, id)
					wo.reduce(t, event.ClaimSettled{ID: id, Result: event.ClaimResult(rapid.IntRange(1, 4).Draw(t, "claim"))})
				}
			},
			"gone": func(t *rapid.T) {
				if id, ok := pickOne(t, last, func(id event.RequestID) bool { return wo.open[id] }); ok {
					wo.reduce(t, event.CallerGone{ID: id})
				}
			},
			"list": func(t *rapid.T) {
				some := event.UpstreamsListed{Upstreams: listed.Upstreams[rapid.IntRange(0, 2).Draw(t, "missing"):]}
				wo.reduce(t, some)
			},
			"pass": func(t *rapid.T) {
				wo.now = wo.now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * time.Millisecond)
				wo.reduce(t, event.Ticked{})
			},
		})
		for round := 0; len(wo.open)+len(wo.claims) > 0; round++ {
			assert.Assert(t, round < 100, "requests without an end: %v", wo.open)
			wo.now = wo.now.Add(time.Minute)
			wo.reduce(t, event.Ticked{})
			for id := range wo.claims {
				delete(wo.claims, id)
				wo.reduce(t, event.ClaimSettled{ID: id, Result: event.ClaimUnavailable})
			}
			for id := event.RequestID(1); id <= last; id++ {
				if sent(id) {
					end(t, id, event.ResultExpired)
				}
			}
		}
		assert.Equal(t, len(wo.st.Requests), 0)
		for _, name := range []string{"small", "large"} {
			requests, tokens := wo.st.Admit.InFlight(name)
			assert.Equal(t, requests, int64(0), name)
			assert.Equal(t, tokens, int64(0), name)
		}
		for name, rep := range wo.st.Route.Replicas {
			assert.Equal(t, rep.Running, int64(0), name)
			assert.Equal(t, rep.Tokens, int64(0), name)
		}
		for _, service := range []string{"lyric", "board"} {
			items, _ := wo.st.Admit.Waiting(service)
			assert.Equal(t, items, 0, service)
		}
	})
}
