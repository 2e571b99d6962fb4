package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/internal/delay"
	"dandelionsail.example/dandelionsail/internal/load"
	"dandelionsail.example/dandelionsail/internal/stand"
)

const (
	// late is how far beyond the deadline an end may be seen on a busy machine.
	late = 2 * time.Second
	// recoverySpan and recoveryShare define a bad half second.
	recoverySpan  = 500 * time.Millisecond
	recoveryShare = 0.05
	// slowFactor is how much slower than before a first token counts as not recovered.
	slowFactor = 3
	// leastSlow keeps a busy machine's hiccups from counting.
	leastSlow = 50 * time.Millisecond
	// maxShown bounds the violations of one kind that a report spells out.
	maxShown = 5
	// poisonDeaths is how many engines may die of one content.
	poisonDeaths = 2
)

// judge checks everything that must always hold.
func (st *site) judge(ctx context.Context, opts Options, calls []*call) (*Report, error) {
	rp := &Report{Faults: opts.Faults, Seed: opts.Seed, Requests: len(calls), Outcomes: map[string]int{}, Notes: st.notes}
	for _, cl := range calls {
		last := cl.last()
		rp.Outcomes[string(cl.kind)+" "+string(last.Outcome)]++
		if last.Outcome != load.OutcomeWhole && len(rp.Refusals) < maxShown {
			after := last.at.Sub(st.injectedAt).Round(time.Millisecond)
			rp.Refusals = append(rp.Refusals, fmt.Sprintf("%s, %s after the injection: %s", cl.kind, after, last.Detail))
		}
	}
	rp.measure(st, calls)
	ck := &checker{st: st, counts: map[string]int{}}
	runs, err := st.runs(ctx)
	if err != nil {
		return nil, err
	}
	for _, cl := range calls {
		ck.answers(cl)
		if cl.digest != 0 {
			ck.runs(cl, runs[cl.digest])
		}
	}
	if err := ck.memory(ctx); err != nil {
		return nil, err
	}
	ck.configuration(ctx)
	if st.deaths > poisonDeaths {
		ck.violated("poison killed too many engines", fmt.Sprint(st.deaths))
	}
	rp.Violations = ck.found
	return rp, nil
}

// checker collects violations.
type checker struct {
	st     *site
	found  []string
	counts map[string]int
}

func (ck *checker) violated(what, detail string) {
	ck.counts[what]++
	if ck.counts[what] <= maxShown {
		ck.found = append(ck.found, what+": "+detail)
	}
}

// answers checks what the caller saw of each time it sent the request.
func (ck *checker) answers(cl *call) {
	for _, sn := range cl.sends {
		end := sn.at.Add(sn.Total)
		excused := ck.st.balancer.excuses(sn.member, sn.at, end)
		detail := fmt.Sprintf("%s at %s after %s: %s %s", cl.kind, sn.member.name, sn.Total.Round(time.Millisecond), sn.Outcome, sn.Detail)
		switch {
		case sn.Outcome == load.OutcomeWrong:
			ck.violated("wrong answer", detail)
		case sn.Outcome == load.OutcomeShort:
			ck.violated("short answer", detail)
		case (sn.Outcome == load.OutcomeCut || sn.Outcome == load.OutcomeBroken) && !excused:
			ck.violated("request cut", detail)
		}
		if sn.Total > deadline+late && !excused {
			ck.violated("request past its time", detail)
		}
	}
}

// runs checks what the caller was told of an update against how often the service ran it.
func (ck *checker) runs(cl *call, ran int) {
	detail := fmt.Sprintf("%s %08x ran %d times, sent %d times", cl.kind, cl.digest, ran, len(cl.sends))
	if ran > 1 {
		ck.violated("double run", detail)
	}
	all := true
	whole := false
	for _, sn := range cl.sends {
		all = all && sn.Outcome == load.OutcomeRefused && sn.Ran == "NotRun"
		whole = whole || sn.Outcome == load.OutcomeWhole
	}
	if all && ran > 0 {
		ck.violated("false not run", detail)
	}
	if whole && ran == 0 {
		ck.violated("answered without a run", detail)
	}
}

// runs counts the updates that the services ran, by digest.
func (st *site) runs(ctx context.Context) (map[uint32]int, error) {
	counts := map[uint32]int{}
	for _, up := range st.of("board") {
		var runs []stand.Run
		if err := get(ctx, up.process.Address, stand.PathRuns, &runs); err != nil {
			return nil, err
		}
		for _, run := range runs {
			counts[run.Digest]++
		}
	}
	return counts, nil
}

// memory checks that every engine's memory is free again soon after the end of the load.
func (ck *checker) memory(ctx context.Context) error {
	until := time.Now().Add(settleTime)
	for _, up := range ck.st.of("lyric") {
		for {
			var state stand.State
			if err := get(ctx, up.process.Address, stand.PathState, &state); err != nil {
				return err
			}
			if state.UsedTokens == 0 && len(state.Requests) == 0 && len(state.Exports) == 0 {
				break
			}
			if time.Now().After(until) {
				ck.violated("engine memory left", fmt.Sprintf("%s holds %d tokens for %v", up.name, state.UsedTokens, state.Requests))
				break
			}
			if !delay.For(ctx, probePeriod) {
				return ctx.Err()
			}
		}
	}
	return nil
}

// configuration checks that no version went back and that all that was accepted is in force everywhere.
func (ck *checker) configuration(ctx context.Context) {
	vs := ck.st.versions
	if vs.back > 0 {
		ck.violated("version went back", fmt.Sprint(vs.back, " times"))
	}
	for _, mb := range ck.st.balancer.all() {
		version, ok := vs.version(ctx, mb)
		if !ok || version < ck.st.landed {
			ck.violated("accepted version not in force", fmt.Sprintf("%s has %d of %d", mb.name, version, ck.st.landed))
		}
	}
}

func get(ctx context.Context, address, path string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(out)
}

// measure takes the times of short prompts in the three parts of the run, and the recovery.
func (rp *Report) measure(st *site, calls []*call) {
	var before, during, after []time.Duration
	for _, cl := range calls {
		sn := cl.sends[0]
		if cl.kind != kindShort || sn.Outcome != load.OutcomeWhole {
			continue
		}
		switch {
		case sn.at.Before(st.injectedAt):
			before = append(before, sn.FirstToken)
		case sn.at.Before(st.undoneAt):
			during = append(during, sn.FirstToken)
		default:
			after = append(after, sn.FirstToken)
		}
	}
	rp.ShortBefore, rp.ShortDuring, rp.ShortAfter = high(before), high(during), high(after)
	rp.Recovery = recovery(st.undoneAt, max(leastSlow, slowFactor*rp.ShortBefore), calls)
}

// high returns the 95th percentile.
func high(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)*95/100]
}

// recovery returns the end of the last bad span after the faults were undone.
func recovery(undone time.Time, slow time.Duration, calls []*call) time.Duration {
	type span struct{ bad, all int }
	spans := map[int]span{}
	last := -1
	for _, cl := range calls {
		sn := cl.sends[0]
		if cl.kind != kindShort || sn.at.Before(undone) {
			continue
		}
		number := int(sn.at.Sub(undone) / recoverySpan)
		sp := spans[number]
		sp.all++
		if sn.Outcome != load.OutcomeWhole || sn.FirstToken > slow {
			sp.bad++
		}
		spans[number] = sp
		last = max(last, number)
	}
	for ; last >= 0; last-- {
		if sp := spans[last]; float64(sp.bad) > recoveryShare*float64(sp.all) {
			return time.Duration(last+1) * recoverySpan
		}
	}
	return 0
}
