package steer_test

import (
	"fmt"
	"testing"
	"time"

	"dandelionsail.example/dandelionsail/internal/notice"
	"dandelionsail.example/dandelionsail/internal/steer"
)

// newBusyInstance returns an instance whose engines each serve eight streams of another instance.
func newBusyInstance(engines int) *instance {
	in := newInstance(nil, "one", engines)
	in.reduce(steer.Peered{Instances: []steer.Instance{{Name: "two"}}, Listed: true})
	nt := steer.Note{From: "two", Run: 1}
	for engine := range engines {
		for range 8 {
			nt.Jobs = append(nt.Jobs, steer.Job{
				ID: steer.JobID(len(nt.Jobs)), Replicas: []string{fmt.Sprintf("lyric-%d", engine)}, Prompt: 5000, Goal: 300, Gap: 250, Value: 1, Begun: true,
			})
		}
	}
	in.reduce(steer.NoteReceived{Note: nt})
	return in
}

func BenchmarkDecision(b *testing.B) {
	cases := map[string]struct {
		engines int
		prompt  int64
	}{
		"short, 14 engines": {14, 5000}, "long, 14 engines": {14, 154_000},
		"short, 64 engines": {64, 5000}, "long, 64 engines": {64, 154_000},
	}
	for name, tc := range cases {
		b.Run(name, func(b *testing.B) {
			in := newBusyInstance(tc.engines)
			route := &short
			if tc.prompt > 100_000 {
				route = &long
			}
			for b.Loop() {
				in.arrive(route, tc.prompt)
				in.reduce(steer.CallerGone{ID: in.next})
				in.reduce(steer.AttemptEnded{ID: in.next, Attempt: 1, Result: steer.ResultCancelled})
				in.now = in.now.Add(time.Millisecond)
			}
		})
	}
}

func BenchmarkProgress(b *testing.B) {
	in := newBusyInstance(64)
	sent := in.arrive(&short, 5000)
	var id steer.RequestID
	for _, eff := range sent {
		if eff, ok := eff.(steer.Send); ok {
			id = eff.ID
		}
	}
	in.reduce(steer.Began{ID: id, Attempt: 1})
	for b.Loop() {
		in.now = in.now.Add(50 * time.Millisecond)
		in.reduce(steer.Progressed{ID: id, Attempt: 1})
	}
}

func BenchmarkGate(b *testing.B) {
	in := newBusyInstance(64)
	in.t = nil
	target := steer.Target{Replica: steer.Replica{Name: "lyric-7", Born: 1}, Kind: notice.First}
	for b.Loop() {
		in.st.Reduce(in.now, steer.Sending{ID: 1, Targets: []steer.Target{target}, DecidedAt: in.now})
	}
}
