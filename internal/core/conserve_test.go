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

// fakeShell records the reducer's effects, so that a test can answer them in any order, as a shell and its upstreams may.
type fakeShell struct {
	st     *core.State
	now    time.Time
	open   map[event.RequestID]bool
	sends  map[event.RequestID]effect.Send
	claims map[event.RequestID]bool
}

func (fs *fakeShell) reduce(t *rapid.T, ev event.Event) {
	for _, eff := range fs.st.Reduce(fs.now, ev) {
		switch eff := eff.(type) {
		case effect.Send:
			_, twice := fs.sends[eff.ID]
			assert.Assert(t, !twice, "two attempts of one request at once")
			assert.Assert(t, fs.open[eff.ID], "sent after it finished")
			fs.sends[eff.ID] = eff
		case effect.Claim:
			fs.claims[eff.ID] = true
		case effect.Finish:
			assert.Assert(t, fs.open[eff.ID], "finished twice")
			_, sent := fs.sends[eff.ID]
			assert.Assert(t, !sent, "finished with an attempt under way")
			delete(fs.open, eff.ID)
		}
	}
}

// pickOne draws one of the IDs up to last that match, and returns false if none does.
func pickOne(t *rapid.T, last event.RequestID, match func(event.RequestID) bool) (event.RequestID, bool) {
	var ids []event.RequestID
	for id := event.RequestID(1); id <= last; id++ {
		if match(id) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(ids).Draw(t, "id"), true
}

// TestEveryRequestFinishesOnceAndIsReleased runs the reducer under random orders of arrivals, ends of attempts, disconnects
// and lists of upstreams. Each request must finish exactly once, and when all have finished nothing may be held for any
// organisation or on any replica.
func TestEveryRequestFinishesOnceAndIsReleased(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fs := &fakeShell{
			st:     core.New(core.Options{Name: "entry-0", FailureDomain: "a", Seed: 1}),
			now:    start,
			open:   map[event.RequestID]bool{},
			sends:  map[event.RequestID]effect.Send{},
			claims: map[event.RequestID]bool{},
		}
		discipline := rapid.SampledFrom([]string{decl.DisciplinePriority, decl.DisciplineWeighted}).Draw(t, "discipline")
		fs.reduce(t, event.ConfigAccepted{Config: &decl.Config{
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
		fs.reduce(t, listed)
		var last event.RequestID
		sent := func(id event.RequestID) bool { _, ok := fs.sends[id]; return ok }
		end := func(t *rapid.T, id event.RequestID, result event.Result) {
			send := fs.sends[id]
			delete(fs.sends, id)
			fs.reduce(t, event.AttemptEnded{ID: id, Attempt: send.Attempt, Upstream: send.Upstreams[0].Name, Result: result, Offset: send.Offset})
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				last++
				fs.open[last] = true
				ev := event.Arrived{
					ID:           last,
					Organisation: rapid.SampledFrom([]string{"small", "large"}).Draw(t, "organisation"),
					Service:      "lyric",
					PromptTokens: rapid.Int64Range(1, 300_000).Draw(t, "prompt"),
					MaxTokens:    100,
					Idempotent:   true,
					Digest:       event.Digest{byte(last), byte(last >> 8)},
					Deadline:     fs.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "time")) * time.Second),
					Prefixes:     []uint64{uint64(last % 5), uint64(last%5 + 100)},
				}
				if rapid.Bool().Draw(t, "board") {
					ev.Service, ev.PromptTokens, ev.MaxTokens, ev.Idempotent, ev.Prefixes = "board", 0, 0, false, nil
					ev.Key = rapid.SampledFrom([]string{"", "key"}).Draw(t, "key")
				}
				fs.reduce(t, ev)
			},
			"answering": func(t *rapid.T) {
				if id, ok := pickOne(t, last, sent); ok {
					fs.reduce(t, event.AnswerStarted{ID: id, Attempt: fs.sends[id].Attempt})
				}
			},
			"end": func(t *rapid.T) {
				if id, ok := pickOne(t, last, sent); ok {
					end(t, id, event.Result(rapid.IntRange(int(event.ResultDone), int(event.ResultCancelled)).Draw(t, "result")))
				}
			},
			"claimed": func(t *rapid.T) {
				if id, ok := pickOne(t, last, func(id event.RequestID) bool { return fs.claims[id] }); ok {
					delete(fs.claims, id)
					fs.reduce(t, event.ClaimSettled{ID: id, Result: event.ClaimResult(rapid.IntRange(1, 4).Draw(t, "claim"))})
				}
			},
			"gone": func(t *rapid.T) {
				if id, ok := pickOne(t, last, func(id event.RequestID) bool { return fs.open[id] }); ok {
					fs.reduce(t, event.CallerGone{ID: id})
				}
			},
			"list": func(t *rapid.T) {
				some := event.UpstreamsListed{Upstreams: listed.Upstreams[rapid.IntRange(0, 2).Draw(t, "missing"):]}
				fs.reduce(t, some)
			},
			"pass": func(t *rapid.T) {
				fs.now = fs.now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * time.Millisecond)
				fs.reduce(t, event.Ticked{})
			},
		})
		for round := 0; len(fs.open)+len(fs.claims) > 0; round++ {
			assert.Assert(t, round < 100, "requests that never finish: %v", fs.open)
			fs.now = fs.now.Add(time.Minute)
			fs.reduce(t, event.Ticked{})
			for id := range fs.claims {
				delete(fs.claims, id)
				fs.reduce(t, event.ClaimSettled{ID: id, Result: event.ClaimUnavailable})
			}
			for id := event.RequestID(1); id <= last; id++ {
				if sent(id) {
					end(t, id, event.ResultExpired)
				}
			}
		}
		assert.Equal(t, len(fs.st.Requests), 0)
		for _, name := range []string{"small", "large"} {
			requests, tokens := fs.st.Admit.InFlight(name)
			assert.Equal(t, requests, int64(0), name)
			assert.Equal(t, tokens, int64(0), name)
		}
		for name, rep := range fs.st.Route.Replicas {
			assert.Equal(t, rep.Running, int64(0), name)
			assert.Equal(t, rep.Tokens, int64(0), name)
		}
		for _, service := range []string{"lyric", "board"} {
			items, _ := fs.st.Admit.Waiting(service)
			assert.Equal(t, items, 0, service)
		}
	})
}
