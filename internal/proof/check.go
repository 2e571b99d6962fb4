package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/internal/conf"
	"dandelionsail.example/dandelionsail/internal/delay"
	"dandelionsail.example/dandelionsail/internal/load"
	"dandelionsail.example/dandelionsail/internal/stand"
	"dandelionsail.example/dandelionsail/internal/store"
)

const (
	// deadlineTolerance is how long after the deadline a request may end, since a busy machine notices the end late.
	deadlineTolerance = 2 * time.Second
	// recoveryWindow is the length of the windows after the faults that are each checked for recovery.
	recoveryWindow = 500 * time.Millisecond
	// maxBadShare is the share of a window's short prompts that may be slow or not answered. With more, the window counts as
	// not recovered.
	maxBadShare = 0.05
	// slowFactor times the 95th percentile from before the faults is the time to first token above which an answer is slow.
	slowFactor = 3
	// minSlow is the minimum time to first token of a slow answer, so that short stalls of a busy machine do not count.
	minSlow = 50 * time.Millisecond
	// maxShown is the maximum number of violations of one kind, and of refusals, that a report lists.
	maxShown = 5
	// maxPoisonCrashes is the maximum number of engines that one request content may crash before it is quarantined.
	maxPoisonCrashes = 2
)

// buildReport checks the invariants and returns the report of the run.
func (st *setup) buildReport(ctx context.Context, opts Options, calls []*call) (*Report, error) {
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
	runs, err := st.runCounts(ctx)
	if err != nil {
		return nil, err
	}
	for _, cl := range calls {
		ck.checkResponses(cl)
		if cl.digest != 0 {
			ck.checkRuns(cl, runs[cl.digest])
		}
	}
	if err := ck.checkEngineMemory(ctx); err != nil {
		return nil, err
	}
	ck.checkVersions(ctx)
	if st.crashes > maxPoisonCrashes {
		ck.addViolation("poison killed too many engines", fmt.Sprint(st.crashes))
	}
	rp.Violations = ck.violations
	return rp, nil
}

// checker checks the invariants and collects violations.
type checker struct {
	st         *setup
	violations []string
	counts     map[string]int
}

func (ck *checker) addViolation(what, detail string) {
	ck.counts[what]++
	if ck.counts[what] <= maxShown {
		ck.violations = append(ck.violations, what+": "+detail)
	}
}

// checkResponses checks the outcome and the duration of each attempt. Cut or late attempts are allowed at an instance that
// was killed or paused meanwhile.
func (ck *checker) checkResponses(cl *call) {
	for _, att := range cl.attempts {
		end := att.at.Add(att.Total)
		excused := ck.st.balancer.faultedDuring(att.member, att.at, end)
		detail := fmt.Sprintf("%s at %s after %s: %s %s", cl.kind, att.member.name, att.Total.Round(time.Millisecond), att.Outcome, att.Detail)
		switch {
		case att.Outcome == load.OutcomeWrong:
			ck.addViolation("wrong answer", detail)
		case att.Outcome == load.OutcomeShort:
			ck.addViolation("short answer", detail)
		case (att.Outcome == load.OutcomeCut || att.Outcome == load.OutcomeBroken) && !excused:
			ck.addViolation("request cut", detail)
		}
		if att.Total > deadline+deadlineTolerance && !excused {
			ck.addViolation("request past its time", detail)
		}
	}
}

// checkRuns compares the answers to an update with how often the services ran it.
func (ck *checker) checkRuns(cl *call, ran int) {
	detail := fmt.Sprintf("%s %08x ran %d times, sent %d times", cl.kind, cl.digest, ran, len(cl.attempts))
	if ran > 1 {
		ck.addViolation("double run", detail)
	}
	allNotRun := true
	whole := false
	for _, att := range cl.attempts {
		allNotRun = allNotRun && att.Outcome == load.OutcomeRefused && att.Ran == "NotRun"
		whole = whole || att.Outcome == load.OutcomeWhole
	}
	if allNotRun && ran > 0 {
		ck.addViolation("false not run", detail)
	}
	if whole && ran == 0 {
		ck.addViolation("answered without a run", detail)
	}
}

// runCounts returns how often the services ran each update, by the digest of its body.
func (st *setup) runCounts(ctx context.Context) (map[uint32]int, error) {
	counts := map[uint32]int{}
	for _, up := range st.replicas("board") {
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

// checkEngineMemory checks that the memory of every engine is free within settleTime after the end of the load.
func (ck *checker) checkEngineMemory(ctx context.Context) error {
	until := time.Now().Add(settleTime)
	for _, up := range ck.st.replicas("lyric") {
		for {
			var state stand.State
			if err := get(ctx, up.process.Address, stand.PathState, &state); err != nil {
				return err
			}
			if state.UsedTokens == 0 && len(state.Requests) == 0 && len(state.Exports) == 0 {
				break
			}
			if time.Now().After(until) {
				ck.addViolation("engine memory left", fmt.Sprintf("%s holds %d tokens for %v", up.name, state.UsedTokens, state.Requests))
				break
			}
			if !delay.For(ctx, probePeriod) {
				return ctx.Err()
			}
		}
	}
	return nil
}

// checkVersions checks that no instance went back to an older configuration, and that the latest accepted version is in
// force on all instances and in the store's log.
func (ck *checker) checkVersions(ctx context.Context) {
	vs := ck.st.versions
	if vs.regressions > 0 {
		ck.addViolation("version went back", fmt.Sprint(vs.regressions, " times"))
	}
	for _, mb := range ck.st.balancer.all() {
		version, ok := vs.version(ctx, mb)
		if !ok || version < ck.st.acceptedVersion {
			ck.addViolation("accepted version not in force", fmt.Sprintf("%s has %d of %d", mb.name, version, ck.st.acceptedVersion))
		}
	}
	client := store.New(ck.st.fleet.Platform.Address)
	defer client.Close()
	// A new reader has only what the store holds.
	cfg, err := conf.New(client).Load(ctx)
	if err != nil {
		ck.addViolation("log not readable", err.Error())
	} else if cfg.Version < ck.st.acceptedVersion {
		ck.addViolation("accepted version not in the log", fmt.Sprintf("%d of %d", cfg.Version, ck.st.acceptedVersion))
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

// measure computes the times to first token of short prompts before, during and after the faults, and the recovery time.
func (rp *Report) measure(st *setup, calls []*call) {
	var before, during, after []time.Duration
	for _, cl := range calls {
		att := cl.attempts[0]
		if cl.kind != kindShort || att.Outcome != load.OutcomeWhole {
			continue
		}
		switch {
		case att.at.Before(st.injectedAt):
			before = append(before, att.FirstToken)
		case att.at.Before(st.undoneAt):
			during = append(during, att.FirstToken)
		default:
			after = append(after, att.FirstToken)
		}
	}
	rp.ShortBefore, rp.ShortDuring, rp.ShortAfter = percentile95(before), percentile95(during), percentile95(after)
	rp.Recovery = recoveryTime(st.undoneAt, max(minSlow, slowFactor*rp.ShortBefore), calls)
}

// percentile95 returns the 95th percentile, or 0 without times. It sorts its argument.
func percentile95(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)*95/100]
}

// recoveryTime returns the time from the undoing of the faults to the end of the last window that had not recovered.
func recoveryTime(undone time.Time, slow time.Duration, calls []*call) time.Duration {
	type span struct{ bad, all int }
	spans := map[int]span{}
	last := -1
	for _, cl := range calls {
		att := cl.attempts[0]
		if cl.kind != kindShort || att.at.Before(undone) {
			continue
		}
		number := int(att.at.Sub(undone) / recoveryWindow)
		sp := spans[number]
		sp.all++
		if att.Outcome != load.OutcomeWhole || att.FirstToken > slow {
			sp.bad++
		}
		spans[number] = sp
		last = max(last, number)
	}
	for ; last >= 0; last-- {
		if sp := spans[last]; float64(sp.bad) > maxBadShare*float64(sp.all) {
			return time.Duration(last+1) * recoveryWindow
		}
	}
	return 0
}
