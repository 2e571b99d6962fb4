package cause

import (
	"slices"
	"time"
)

// crash is the end of one upstream with the requests that died in it.
type crash struct {
	upstream uint64
	at       time.Time
	// isSettled reports whether all deaths are known by now.
	isSettled bool
	deaths    []*Death
	// features holds those of each death that are not cleared.
	features [][]Feature
}

// find determines the causes: the one that explains most crashes first, then the one that explains most of the rest, and so on.
func (tb *Table) find(now time.Time) {
	tb.causes, tb.explained = nil, map[uint64][]time.Time{}
	crashes := tb.crashes()
	for _, cr := range crashes {
		if at := cr.at.Add(tb.rules.SettleTime); now.Before(at) {
			tb.determineAt(at)
		} else {
			cr.isSettled = true
		}
	}
	for _, imposed := range tb.imposed {
		ca := *imposed
		ca.Callers = slices.Clone(ca.Callers)
		tb.countLater(&ca, crashes)
		tb.causes = append(tb.causes, ca)
	}
	slices.SortFunc(tb.causes, func(a, b Cause) int { return slices.Compare(a.Features, b.Features) })
	for i := range tb.causes {
		crashes = tb.explain(&tb.causes[i], crashes)
	}
	for {
		feature, ok := tb.strongest(crashes)
		if !ok {
			return
		}
		ca := tb.causeOf(feature, crashes)
		ca.Refused = tb.isSure(now, &ca)
		tb.causes = append(tb.causes, ca)
		crashes = tb.explain(&ca, crashes)
	}
}

// isSure reports whether requests are refused for the cause.
func (tb *Table) isSure(now time.Time, ca *Cause) bool {
	if ca.settled < tb.rules.Threshold || ca.Contents < tb.rules.Threshold || ca.Last.Sub(ca.First) < tb.rules.MinSpan {
		return false
	}
	if at := ca.First.Add(tb.rules.MinAge); ca.settled < tb.rules.SureCrashes && now.Before(at) {
		tb.determineAt(at)
		return false
	}
	return true
}

// crashes returns the crashes in which requests with uncleared features died.
func (tb *Table) crashes() []*crash {
	var list []*crash
	last := map[uint64]*crash{}
	for _, death := range tb.inOrder() {
		cr := last[death.Upstream]
		if cr == nil || death.At.Sub(cr.at) >= tb.rules.SameCrash {
			cr = &crash{upstream: death.Upstream, at: death.At}
			last[death.Upstream] = cr
			list = append(list, cr)
		}
		cr.deaths = append(cr.deaths, death)
		cr.features = append(cr.features, death.Features)
	}
	return list
}

// weight is what a feature explains.
type weight struct {
	// share sums, over the crashes, one divided by the number of requests with the feature that died in it. Of these, one at most crashed it:
	// what most requests have is in many deaths of each crash, and the cause in few.
	share float64
	// crashes is the number of crashes in which requests with the feature died.
	crashes int
	// contents are the contents that died with the feature.
	contents map[uint64]bool
	// common are the features that came with it each time, itself included. Of features that explain the same, the one that came with more is
	// in fewer requests.
	common []Feature
}

func (wt *weight) more(other *weight) bool {
	const same = 1e-9
	if diff := wt.share - other.share; diff > same || diff < -same {
		return diff > 0
	}
	return len(wt.common) > len(other.common)
}

// strongest returns the feature that explains the most of the crashes, of those that explain enough to be suspect.
func (tb *Table) strongest(crashes []*crash) (Feature, bool) {
	weights := map[Feature]*weight{}
	for _, cr := range crashes {
		addWeights(weights, cr)
	}
	var best Feature
	var bestWeight *weight
	for feature, wt := range weights {
		if wt.crashes < tb.rules.MinSuspect || len(wt.contents) < tb.rules.MinContents {
			continue
		}
		if bestWeight == nil || wt.more(bestWeight) || !bestWeight.more(wt) && feature < best {
			best, bestWeight = feature, wt
		}
	}
	return best, bestWeight != nil
}

// addWeights adds what the features explain of one crash.
func addWeights(weights map[Feature]*weight, cr *crash) {
	counts := map[Feature]int{}
	for i, features := range cr.features {
		for _, feature := range features {
			counts[feature]++
			wt, ok := weights[feature]
			if !ok {
				wt = &weight{contents: map[uint64]bool{}, common: features}
				weights[feature] = wt
			}
			wt.contents[cr.deaths[i].Content] = true
			wt.common = intersect(wt.common, features)
		}
	}
	for feature, count := range counts {
		weights[feature].crashes++
		weights[feature].share += 1 / float64(count)
	}
}

// intersect returns the features that are in both sorted lists.
func intersect(a, b []Feature) []Feature {
	var both []Feature
	for _, feature := range a {
		if _, ok := slices.BinarySearch(b, feature); ok {
			both = append(both, feature)
		}
	}
	return both
}

// causeOf returns the cause that the feature is part of.
func (tb *Table) causeOf(feature Feature, crashes []*crash) Cause {
	var ca Cause
	contents := map[uint64]bool{}
	for _, cr := range crashes {
		died := false
		for i, features := range cr.features {
			if _, ok := slices.BinarySearch(features, feature); !ok {
				continue
			}
			if !died && ca.Crashes == 0 {
				ca.Features = features
			}
			died = true
			ca.Features = intersect(ca.Features, features)
			contents[cr.deaths[i].Content] = true
			ca.addCaller(cr.deaths[i].Caller)
			ca.LastDeath = cr.deaths[i].ID
		}
		if died {
			tb.count(&ca, cr)
		}
	}
	ca.Contents = len(contents)
	return ca
}

func (ca *Cause) addCaller(caller uint64) {
	if at, ok := slices.BinarySearch(ca.Callers, caller); !ok {
		ca.Callers = slices.Insert(ca.Callers, at, caller)
	}
}

// count adds a crash to the cause.
func (tb *Table) count(ca *Cause, cr *crash) {
	at := cr.at
	if cr.isSettled {
		ca.settled++
	}
	if ca.Crashes == 0 {
		ca.First = at
	}
	if trials := tb.rules.TrialDelays; ca.Crashes >= tb.rules.Threshold && ca.Trials < len(trials) && at.Sub(ca.Last) >= trials[ca.Trials] {
		ca.Trials++
	}
	ca.Crashes++
	ca.Last = latest(ca.Last, at)
}

// countLater adds the crashes to an imposed cause that came after it was found.
func (tb *Table) countLater(ca *Cause, crashes []*crash) {
	for _, cr := range crashes {
		died := false
		for i, features := range cr.features {
			if ca.Holds(features) && cr.at.After(ca.Last) {
				died = true
				ca.addCaller(cr.deaths[i].Caller)
				ca.LastDeath = cr.deaths[i].ID
			}
		}
		if died {
			tb.count(ca, cr)
		}
	}
}

// explain returns the crashes that the cause does not explain. Those that a refused cause explains count against nothing else.
func (tb *Table) explain(ca *Cause, crashes []*crash) []*crash {
	var rest []*crash
	for _, cr := range crashes {
		if !slices.ContainsFunc(cr.features, ca.Holds) {
			rest = append(rest, cr)
			continue
		}
		if ca.Refused {
			tb.explained[cr.upstream] = append(tb.explained[cr.upstream], cr.at)
		}
	}
	return rest
}
