// Package deaths counts the upstreams that crashed while they ran the same content, so that instances can quarantine
// content that crashes what runs it. Each instance keeps a Table and sends the others each Death that it observes. Tables
// hold sets of deaths and everything else is derived from these, so instances that have received the same deaths, in any
// order and however often, decide the same.
package deaths

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"
)

// Death is a crash of an upstream that was running some content, as one instance observed it.
type Death struct {
	// ID identifies the observation among those of all instances.
	ID uint64
	// Upstream identifies the upstream that crashed.
	Upstream uint64
	// At is when the crash was observed, by the clock of this instance. Messages carry the age of a death, so it is late here by
	// the time that the message took, which is short compared with the times of the Rules.
	At time.Time
}

// Rules decide how long content is held against its caller. All instances need the same ones.
type Rules struct {
	// Threshold is the number of crashes that put content into quarantine. Content with fewer is suspect.
	Threshold int
	// SuspectTime is how long content stays suspect after a crash.
	SuspectTime time.Duration
	// QuarantineTime is how long content stays in quarantine after its last crash.
	QuarantineTime time.Duration
	// SameCrash is the time within which deaths of one upstream are the same crash. Several requests with the same content
	// may be running on it, at one instance or at several, and each observes the crash.
	SameCrash time.Duration
	// MaxContents is the maximum number of contents in the table.
	MaxContents int
}

// maxDeaths is the number of deaths of one content from which on observations of crashes that are known already are not kept.
const maxDeaths = 64

// Verdict is what the deaths of a content amount to.
type Verdict struct {
	// Crashes is the number of crashes, 0 if the last of them is too long ago to count.
	Crashes int
	// Until is when the crashes cease to count unless there is another one.
	Until time.Time
	// Quarantined reports whether there were enough crashes for a quarantine.
	Quarantined bool
}

// Suspect reports whether an upstream has crashed while running the content, too few for a quarantine.
func (vd Verdict) Suspect() bool { return vd.Crashes > 0 && !vd.Quarantined }

// Table holds the deaths of all contents. It is not safe for concurrent use.
type Table[Content comparable] struct {
	// Excused reports whether the upstream's crash is known to have another cause than the content, so that the death does not count.
	// Nil excuses none.
	Excused  func(death Death) bool
	rules    Rules
	contents map[Content]map[uint64]Death
}

// New returns an empty table.
func New[Content comparable](rules Rules) *Table[Content] {
	return &Table[Content]{rules: rules, contents: map[Content]map[uint64]Death{}}
}

// Add adds a death of the content unless it is known. A message that is repeated or was delayed so does not prolong a
// quarantine.
func (tb *Table[Content]) Add(now time.Time, content Content, death Death) {
	known, ok := tb.contents[content]
	if !ok {
		if !tb.makeRoom(now) {
			return
		}
		known = map[uint64]Death{}
		tb.contents[content] = known
	}
	if _, ok := known[death.ID]; ok || len(known) >= maxDeaths && tb.isKnownCrash(known, death) {
		return
	}
	known[death.ID] = death
}

// isKnownCrash reports whether the death is an observation of a crash that is among the known ones.
func (tb *Table[Content]) isKnownCrash(known map[uint64]Death, death Death) bool {
	for _, other := range known {
		if other.Upstream == death.Upstream && death.At.Sub(other.At).Abs() < tb.rules.SameCrash {
			return true
		}
	}
	return false
}

// makeRoom reports whether another content fits into the table, and removes those whose deaths no longer count if it is
// full. If all of them count, leaving out a new one does less harm than forgetting one of these.
func (tb *Table[Content]) makeRoom(now time.Time) bool {
	if len(tb.contents) < tb.rules.MaxContents {
		return true
	}
	maps.DeleteFunc(tb.contents, func(_ Content, known map[uint64]Death) bool {
		return tb.judge(now, known).Crashes == 0
	})
	return len(tb.contents) < tb.rules.MaxContents
}

// Judge returns the verdict on the content.
func (tb *Table[Content]) Judge(now time.Time, content Content) Verdict {
	known, ok := tb.contents[content]
	if !ok {
		return Verdict{}
	}
	return tb.judge(now, known)
}

// judge goes through the deaths up to now in order. A death that comes after the earlier ones have ceased to count starts anew.
func (tb *Table[Content]) judge(now time.Time, known map[uint64]Death) Verdict {
	ru := &tb.rules
	var vd Verdict
	crashedAt := map[uint64]time.Time{}
	for _, death := range inOrder(known) {
		if death.At.After(now) {
			break
		}
		if tb.Excused != nil && tb.Excused(death) {
			continue
		}
		if vd.Crashes > 0 && !death.At.Before(vd.Until) {
			vd = Verdict{}
			clear(crashedAt)
		}
		if at, ok := crashedAt[death.Upstream]; !ok || death.At.Sub(at) >= ru.SameCrash {
			crashedAt[death.Upstream] = death.At
			vd.Crashes++
		}
		vd.Quarantined = vd.Crashes >= ru.Threshold
		if until := death.At.Add(ru.duration(vd.Quarantined)); until.After(vd.Until) {
			vd.Until = until
		}
	}
	if !now.Before(vd.Until) {
		return Verdict{}
	}
	return vd
}

func (ru *Rules) duration(quarantined bool) time.Duration {
	if quarantined {
		return ru.QuarantineTime
	}
	return ru.SuspectTime
}

func inOrder(known map[uint64]Death) []Death {
	return slices.SortedFunc(maps.Values(known), func(a, b Death) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.ID, b.ID))
	})
}

// Clear forgets the deaths of the content unless it is in quarantine. An upstream has run it to its end, so its crashes had
// another cause: all that an upstream runs when it crashes becomes suspect.
func (tb *Table[Content]) Clear(now time.Time, content Content) {
	if known, ok := tb.contents[content]; ok && !tb.judge(now, known).Quarantined {
		delete(tb.contents, content)
	}
}

// Deaths returns the deaths of the content, in the order of their times.
func (tb *Table[Content]) Deaths(content Content) []Death { return inOrder(tb.contents[content]) }

// Verdicts returns the contents whose deaths count, in no particular order, with their verdicts.
func (tb *Table[Content]) Verdicts(now time.Time) iter.Seq2[Content, Verdict] {
	return func(yield func(Content, Verdict) bool) {
		for content, known := range tb.contents {
			if vd := tb.judge(now, known); vd.Crashes > 0 && !yield(content, vd) {
				return
			}
		}
	}
}
