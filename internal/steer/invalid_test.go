package steer_test

import (
	"encoding/binary"
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// servesAfter fails the test unless a prompt and a call are sent after a while, whatever has happened before, once new replicas are registered.
func (in *instance) servesAfter() {
	in.t.Helper()
	for range 40 {
		in.advance(time.Second)
	}
	var list []steer.Replica
	for _, rep := range replicas(2) {
		rep.Name, rep.Born = "new-"+rep.Name, 9
		list = append(list, rep)
	}
	in.reduce(steer.Listed{Replicas: list})
	in.advance(time.Second)
	in.waitForSend(time.Second, in.arrive(&short, 5000))
	in.waitForSend(time.Second, in.arrive(&update, 0))
}

func TestOddNotesKeepRequestsFromNoReplica(t *testing.T) {
	// A note of another instance, of another release or damaged, has numbers that are none or out of any range. Sums and forecasts that become NaN would
	// keep requests from an engine or from all of them.
	nan, inf := float32(math.NaN()), float32(math.Inf(1))
	job := steer.Job{ID: 1, Replicas: []string{"lyric-0"}, Prompt: 5000, Answer: 1000, Goal: 300, Gap: 250, MaxPause: 2000, Value: 1}
	with := func(change func(job *steer.Job)) steer.Note {
		odd := job
		change(&odd)
		return steer.Note{Jobs: []steer.Job{odd}}
	}
	cases := map[string]steer.Note{
		"value NaN":        with(func(job *steer.Job) { job.Value = nan }),
		"value infinite":   with(func(job *steer.Job) { job.Value = inf }),
		"value negative":   with(func(job *steer.Job) { job.Value = -inf }),
		"value huge":       with(func(job *steer.Job) { job.Value = math.MaxFloat32 }),
		"pace NaN":         {Paces: []steer.Pace{{Replica: "lyric-0", Times: nan}}},
		"pace infinite":    {Paces: []steer.Pace{{Replica: "lyric-0", Times: inf}}},
		"pace negative":    {Paces: []steer.Pace{{Replica: "lyric-0", Times: -inf}}},
		"demand NaN":       {Full: true, Demand: steer.Demand{Value: nan, Reading: nan, WeightedGoal: nan}},
		"demand huge":      {Full: true, Demand: steer.Demand{Value: math.MaxFloat32, Reading: math.MaxFloat32, WeightedGoal: math.MaxFloat32}},
		"waiting huge":     {Full: true, Waiting: math.MaxInt},
		"waiting negative": {Full: true, Waiting: math.MinInt},
		"limit NaN":        {Limits: []steer.Limit{{Replica: "lyric-0", PerS: math.NaN()}}},
		"uptime negative":  {UptimeMs: math.MinInt64, Full: true},
		"goal, gap and pause": with(func(job *steer.Job) {
			job.Goal, job.Gap, job.MaxPause, job.Age = math.MinInt32, math.MinInt32, math.MinInt32, math.MinInt32
		}),
		"goal, gap and pause ": with(func(job *steer.Job) {
			job.Goal, job.Gap, job.MaxPause, job.Age = math.MaxInt32, math.MaxInt32, math.MaxInt32, math.MaxInt32
		}),
		"longest prompt": with(func(job *steer.Job) { job.Prompt, job.Answer = 1<<30, 1<<30 }),
		"same replica twice": with(func(job *steer.Job) {
			job.Replicas, job.Reservations = []string{"lyric-0", "lyric-0", "lyric-0"}, []int64{1 << 30}
		}),
		"no such replica": with(func(job *steer.Job) { job.Replicas = []string{"", "x"} }),
		"ages huge": {
			Limits: []steer.Limit{{Replica: "lyric-0", PerS: 1, AgeMs: math.MaxInt32}}, Cold: []steer.Cold{{Replica: "lyric-0", LeftMs: 1, AgeMs: math.MaxInt32, ProvenAgeMs: math.MaxInt32}},
			GrantRequests: []steer.GrantRequest{{Replica: "lyric-0", AcceptedWaitMs: math.MaxInt32, MaxWaitMs: math.MaxInt32, Recent: math.MaxInt, RecentCold: math.MaxInt}},
			Grants:        []steer.Grant{{Replica: "lyric-0", AfterMs: math.MaxInt32}}, SlotRequests: []steer.SlotRequest{{Job: job, MaxFirstMs: math.MaxInt32}},
		},
	}
	for name, note := range cases {
		t.Run(name, func(t *testing.T) {
			in := newInstance(t, "one", 2)
			in.reduce(steer.Peered{Instances: []steer.Instance{{Name: "two", FailureDomain: "a"}}, Listed: true})
			note.From, note.Run = "two", 1
			note.DropInvalid()
			in.reduce(steer.NoteReceived{Note: note})
			in.advance(10 * time.Millisecond)
			for range 8 {
				sent := in.waitForSend(2*time.Second, in.arrive(&short, 5000))
				in.end(sent, steer.ResultDone)
			}
			in.servesAfter()
		})
	}
}

func TestPromptsOfNoLengthKeepRequestsFromNoReplica(t *testing.T) {
	// Callers state no length of their prompts, or a job of such a request is known from a note. The work that is left of it is 0, not 0 divided by 0.
	in := newInstance(t, "one", 2)
	for range 4 {
		in.waitForSend(time.Second, in.arrive(&short, 0))
	}
	in.reduce(steer.NoteReceived{Note: steer.Note{From: "two", Run: 1, Jobs: []steer.Job{{ID: 1, Replicas: []string{"lyric-0", "lyric-1"}}, {ID: 2, Replicas: []string{"lyric-1", "lyric-0"}}}}})
	for range 8 {
		sent := in.waitForSend(time.Second, in.arrive(&short, 5000))
		in.advance(10 * time.Millisecond)
		in.end(sent, steer.ResultDone)
	}
	in.waitForSend(time.Second, in.arrive(&long, 50_000))
}

func FuzzNote(f *testing.F) {
	for _, note := range []steer.Note{
		{From: "two", Run: 1, Full: true, Jobs: []steer.Job{{ID: 1, Replicas: []string{"lyric-0", "lyric-1"}, Prompt: 5, Reservations: []int64{1}, Value: 1}}, Demand: steer.Demand{Value: 1, Reading: 1, WeightedGoal: 1}},
		{From: "two", Paces: []steer.Pace{{Replica: "lyric-0", Times: 3}}, Limits: []steer.Limit{{Replica: "board-0", PerS: 3}}, Down: []string{"lyric-0"}, LostPaths: []string{"lyric"}},
		{From: "two", Full: true, Uses: []steer.ServiceUse{{Service: "lyric", Scarce: true, Organisations: []steer.OrganisationUse{{Organisation: 1, Asked: math.MaxUint32, Used: math.MaxUint32}}, Kinds: []steer.KindUse{{Priority: -1, Decided: 3, Sent: 1}}}}},
		{From: "two", Cold: []steer.Cold{{Replica: "lyric-0", LeftMs: 1}}, GrantRequests: []steer.GrantRequest{{Replica: "lyric-0", MaxWaitMs: 5}}, Grants: []steer.Grant{{Replica: "lyric-0", AfterMs: 1}}, Departures: []steer.Departure{{Replica: "lyric-0", Born: 1}}},
		{From: "two", SlotRequests: []steer.SlotRequest{{Job: steer.Job{ID: 3, Replicas: []string{"lyric-0"}, Prompt: 9}}}, SlotGrants: []steer.SlotGrant{{Job: 1}}, GrantReturns: []steer.GrantReturn{{Replica: "lyric-0", Job: 1}}},
		{From: "two", Deaths: []steer.Death{{Digest: 1, Count: 2, ID: 3, Upstream: 4, AgeMs: 5}}, Suspicions: []steer.Suspicion{{ID: 3, Upstream: 4, Content: 1, Parts: []steer.Part{1}}}, Cleared: []steer.ClearedPart{{Part: 1}}},
	} {
		raw, err := cbor.Marshal(note)
		assert.NilError(f, err)
		f.Add(raw, raw)
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		in := newInstance(t, "one", 2)
		in.reduce(steer.Peered{Instances: []steer.Instance{{Name: "two", FailureDomain: "a"}, {Name: "three", FailureDomain: "a"}}, Listed: true})
		in.arrive(&long, 50_000)
		for _, raw := range [][]byte{first, second} {
			var note steer.Note
			if len(raw) > 8<<10 || cbor.Unmarshal(raw, &note) != nil {
				continue
			}
			if _, usable := note.DropInvalid(); !usable {
				continue
			}
			in.reduce(steer.NoteReceived{Note: note})
			in.advance(10 * time.Millisecond)
			in.arrive(&short, 5000)
			in.arrive(&update, 0)
			in.reduce(steer.Summarized{})
		}
		in.reduce(steer.Peered{Listed: true})
		in.next += 1 << 40
		in.servesAfter()
	})
}

// oddReplica returns the replica that the bytes describe, as another writer may have left it.
func oddReplica(raw []byte) steer.Replica {
	number := func(at int) int64 {
		var buf [8]byte
		copy(buf[:], raw[min(at, len(raw)):])
		return int64(binary.LittleEndian.Uint64(buf[:]))
	}
	services := []string{"lyric", "board", "", "other", string(raw)}
	names := []string{"lyric-0", "board-0", "", "odd", string(raw)}
	kind := number(0)
	return steer.Replica{
		Name: names[uint8(kind)%5], Service: services[uint8(kind>>8)%5], Address: string(raw[min(3, len(raw)):]), FailureDomain: []string{"a", "", string(raw)}[uint8(kind>>16)%3],
		Leaving: kind>>24&1 == 1, Slots: int(number(4)), Born: number(12), ColdMs: number(20),
	}
}

func FuzzReplicas(f *testing.F) {
	f.Add([]byte{}, []byte{1, 1, 1})
	f.Add([]byte{3, 0, 0, 0, 255, 255, 255, 255, 255, 255, 255, 127, 255, 255, 255, 255, 255, 255, 255, 127, 255, 255, 255, 255, 255, 255, 255, 127}, []byte{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 128, 0, 0, 0, 0, 0, 0, 0, 128, 0, 0, 0, 0, 0, 0, 0, 128})
	f.Fuzz(func(t *testing.T, first, second []byte) {
		in := newInstance(t, "one", 2)
		slowStart := decl.SlowStart{Duration: decl.Duration(5 * time.Second), PerS: 2}
		in.reduce(steer.Configured{Routing: &decl.Routing{Version: 2, Services: map[string]decl.Pool{"lyric": {Engine: &figures, Connections: 100, SlowStart: slowStart}, "board": {Connections: 100, SlowStart: slowStart}}}})
		in.reduce(steer.Peered{Instances: []steer.Instance{{Name: "two", FailureDomain: "a"}}, Listed: true})
		odd := []steer.Replica{oddReplica(first), oddReplica(second)}
		in.reduce(steer.ListChanged{Replicas: odd[:1]})
		in.arrive(&short, 5000)
		in.arrive(&update, 0)
		in.reduce(steer.Listed{Replicas: append(replicas(2), odd...), FromCopy: len(first)%2 == 1, AfterOutage: len(second)%2 == 1})
		for range 3 {
			in.arrive(&long, 100_000)
			in.arrive(&update, 0)
			in.advance(100 * time.Millisecond)
			in.reduce(steer.Summarized{})
		}
		in.reduce(steer.ListChanged{Gone: []string{odd[0].Name, odd[1].Name}})
		in.reduce(steer.Peered{Listed: true})
		in.servesAfter()
	})
}
