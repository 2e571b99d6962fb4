// Package cause finds what requests that crash upstreams have in common. Requests have features, such as the parts of their prompts, and
// requests that are otherwise unlike may share them. A feature that crashes each upstream is known by two things: it is in the requests that
// died in one crash after the other, and in none that an upstream has answered. Each instance keeps a Table and sends the others the deaths
// that it observes and the features that it sees cleared, so instances that have received the same decide the same.
//
// A Table promises, for the deaths and answers that it has received:
//   - A feature, or several that always came together, under which Rules.Threshold upstreams have crashed, each time under another content, is held against requests that have
//     all of them. After that, requests with it are refused but for Rules.MaxTrials trials.
//   - A feature that an upstream has answered since a crash, or shortly before, is not held for that crash, whoever else died in it. So upstreams
//     that crash for other reasons hold nothing against what callers send meanwhile.
//   - A crash that one cause explains counts against nothing else that died in it.
//   - Upstreams that end at the same moment are no evidence: a cause needs crashes over Rules.MinSpan.
//   - Crashes under the requests of one caller are held against that caller alone.
package cause

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"
)

// Feature is a hash of something that requests may share.
type Feature uint64

// Death is the death of a request with the upstream that may have begun to answer it. All requests that die in one crash count alike.
type Death struct {
	// ID identifies the observation among those of all instances.
	ID uint64
	// Upstream identifies the upstream that crashed.
	Upstream uint64
	// Content identifies what the request asked for, as a whole.
	Content uint64
	// Caller identifies who sent it.
	Caller uint64
	// At is when the crash was observed, by the clock of this instance.
	At time.Time
	// Features are those of the request, sorted and without repetitions.
	Features []Feature
}

// Rules decide what is held against a feature. All instances need the same ones.
type Rules struct {
	// Threshold is the number of crashes, and of the contents that died in them, from which on requests are refused.
	Threshold int
	// MinSuspect is the number of crashes from which on requests are suspect.
	MinSuspect int
	// MinContents is the number of contents that have to die for a request to be suspect. A single one, sent again, is no evidence against
	// what it shares.
	MinContents int
	// MinSpan is the time over which the crashes must have come.
	MinSpan time.Duration
	// MinAge is how long ago the first of them must be, so that answers under way can end and clear what they share, unless there are SureCrashes.
	MinAge time.Duration
	// SureCrashes is the number of crashes from which on that is not waited for.
	SureCrashes int
	// SettleTime is how long a crash does not count towards a refusal. Its deaths are observed by several instances, and while some are not known
	// yet, those that are known may look like the cause.
	SettleTime time.Duration
	// Duration is how long a cause is held after its last crash, and after the last request that was refused for it.
	Duration time.Duration
	// AnsweredTime is how long an answer protects the features of its request from being held for crashes that come after it.
	AnsweredTime time.Duration
	// SuspectTime is how long after a death the answers with its features are of interest.
	SuspectTime time.Duration
	// AnnouncePeriod is the interval at which an answered feature is announced to the others.
	AnnouncePeriod time.Duration
	// SameCrash is the time within which deaths at one upstream are the same crash.
	SameCrash time.Duration
	// TrialDelays are the times after the last crash at which one request is let through, to find causes that are held wrongly. The length
	// is the number of trials.
	TrialDelays []time.Duration
	// MaxFeatures is the maximum number of features in the table, over all deaths. The oldest deaths go first.
	MaxFeatures int
}

// Cause is what crashed requests have in common.
type Cause struct {
	// Features are those that came together in all of them, sorted.
	Features []Feature
	// Crashes is the number of crashes that it explains, Contents that of the contents that died in them.
	Crashes, Contents int
	// First and Last are the times of the first and the last of them.
	First, Last time.Time
	// Callers are those whose requests had the features.
	Callers []uint64
	// Refused reports whether requests with all of the features are refused. Otherwise they are suspect.
	Refused bool
	// LastDeath is the ID of the last death in them, 0 if it is not known.
	LastDeath uint64
	// settled is the number of crashes that count towards a refusal.
	settled int
	// Trials is the number of crashes that came after a trial.
	Trials int
}

// Key identifies the cause by its features.
func (ca *Cause) Key() uint64 {
	key := uint64(len(ca.Features))
	for _, feature := range ca.Features {
		key = key*0x9E3779B97F4A7C15 ^ uint64(feature)
	}
	return key
}

// Holds reports whether the request has all features of the cause.
func (ca *Cause) Holds(features []Feature) bool {
	for _, feature := range ca.Features {
		if _, ok := slices.BinarySearch(features, feature); !ok {
			return false
		}
	}
	return true
}

// Touches reports whether the request has any feature of the cause.
func (ca *Cause) Touches(features []Feature) bool {
	return slices.ContainsFunc(ca.Features, func(feature Feature) bool {
		_, ok := slices.BinarySearch(features, feature)
		return ok
	})
}

// bindsCaller reports whether the cause is held against the caller: crashes under the requests of a single caller are not held against
// others, whose features it may have named.
func (ca *Cause) bindsCaller(caller uint64) bool {
	return len(ca.Callers) != 1 || ca.Callers[0] == caller
}

// Table holds deaths and what clears features. It is not safe for concurrent use.
type Table struct {
	rules  Rules
	deaths map[uint64]*Death
	// suspected holds when a request with the feature last died.
	suspected map[Feature]time.Time
	// cleared holds when an upstream last answered a request with the feature. Only suspected features are in it.
	cleared map[Feature]time.Time
	// recent holds what was answered a short while ago, suspected or not.
	recent recentAnswers
	// announced holds when the feature was last announced as answered.
	announced map[Feature]time.Time
	// size is the number of features over all deaths.
	size int
	// imposed holds the causes that were found before this instance started, by key.
	imposed map[uint64]*Cause
	// refusedAt holds, by key, when a request was last refused for the cause.
	refusedAt map[uint64]time.Time
	causes    []Cause
	// explained holds the crashes that refused causes explain, by upstream.
	explained map[uint64][]time.Time
	// changed reports whether causes is out of date.
	changed bool
	// foundAt is when causes was determined.
	foundAt time.Time
	// expiresAt is when the first death or cause expires, or a crash is settled.
	expiresAt time.Time
}

// New returns an empty table.
func New(rules Rules) *Table {
	return &Table{rules: rules, deaths: map[uint64]*Death{}, suspected: map[Feature]time.Time{}, cleared: map[Feature]time.Time{}, announced: map[Feature]time.Time{}, imposed: map[uint64]*Cause{}, refusedAt: map[uint64]time.Time{}}
}

// Empty reports whether nothing is held against any feature.
func (tb *Table) Empty() bool { return len(tb.deaths) == 0 && len(tb.imposed) == 0 }

// Idle reports whether answers are of no interest, since nothing has crashed lately.
func (tb *Table) Idle() bool { return len(tb.suspected) == 0 }

// Add adds a death, and returns features of it that were answered here a short while ago, as Clear does. A death that is known gets the features that were
// missing: a long list comes in several messages.
func (tb *Table) Add(death Death) (answered []Feature) {
	if len(death.Features) == 0 {
		return nil
	}
	known, ok := tb.deaths[death.ID]
	if ok {
		merged := slices.Concat(known.Features, death.Features)
		slices.Sort(merged)
		merged = slices.Compact(merged)
		if len(merged) == len(known.Features) {
			return nil
		}
		tb.size += len(merged) - len(known.Features)
		known.Features = merged
	} else {
		death.Features = slices.Clone(death.Features)
		tb.deaths[death.ID] = &death
		tb.size += len(death.Features)
	}
	for _, feature := range death.Features {
		tb.suspected[feature] = latest(tb.suspected[feature], death.At)
		if at := tb.recent.at(feature); at.After(tb.cleared[feature]) {
			tb.cleared[feature] = at
			if tb.isNews(death.At, feature) {
				answered = append(answered, feature)
			}
		}
	}
	tb.changed = true
	tb.makeRoom()
	return answered
}

// makeRoom removes the oldest deaths from a table that is too large, those first that no cause explains.
func (tb *Table) makeRoom() {
	if tb.size <= tb.rules.MaxFeatures {
		return
	}
	list := tb.inOrder()
	slices.SortStableFunc(list, func(a, b *Death) int {
		return cmp.Compare(boolRank(tb.isExplained(a)), boolRank(tb.isExplained(b)))
	})
	for _, death := range list {
		if tb.size <= tb.rules.MaxFeatures {
			return
		}
		tb.remove(death)
	}
}

func boolRank(is bool) int {
	if is {
		return 1
	}
	return 0
}

func (tb *Table) remove(death *Death) {
	tb.size -= len(death.Features)
	delete(tb.deaths, death.ID)
	tb.changed = true
}

// Clear records that an upstream has answered a request with the features, and returns those that are to be announced to the other instances:
// they are in recent deaths and were not announced a short while ago.
func (tb *Table) Clear(now time.Time, features []Feature) []Feature {
	tb.recent.add(now, features, tb.rules.AnsweredTime)
	if tb.Idle() {
		return nil
	}
	var news []Feature
	for _, feature := range features {
		if at, ok := tb.suspected[feature]; !ok || now.Sub(at) >= tb.rules.SuspectTime && !tb.isPart(feature) {
			continue
		}
		tb.cleared[feature] = latest(tb.cleared[feature], now)
		tb.changed = true
		if tb.isNews(now, feature) {
			news = append(news, feature)
		}
	}
	return news
}

// isNews reports whether the feature is to be announced as answered, and records that it is.
func (tb *Table) isNews(now time.Time, feature Feature) bool {
	if at, ok := tb.announced[feature]; ok && now.Sub(at) < tb.rules.AnnouncePeriod {
		return false
	}
	tb.announced[feature] = now
	return true
}

// isPart reports whether the feature is part of a cause, as they were last determined, or of one that was imposed since.
func (tb *Table) isPart(feature Feature) bool {
	for _, ca := range tb.imposed {
		if slices.Contains(ca.Features, feature) {
			return true
		}
	}
	return slices.ContainsFunc(tb.causes, func(ca Cause) bool { return slices.Contains(ca.Features, feature) })
}

// ClearAt records that another instance has seen the feature cleared.
func (tb *Table) ClearAt(feature Feature, at time.Time) {
	if _, ok := tb.suspected[feature]; !ok && len(tb.imposed) == 0 {
		return
	}
	tb.cleared[feature] = latest(tb.cleared[feature], at)
	tb.changed = true
}

// holds reports whether the death is held against the feature: no upstream has answered it since, or shortly before.
func (tb *Table) holds(death *Death, feature Feature) bool {
	at, ok := tb.cleared[feature]
	return !ok || at.Add(tb.rules.AnsweredTime).Before(death.At)
}

// Impose adds a cause that was found before this instance started.
func (tb *Table) Impose(ca Cause) {
	if len(ca.Features) == 0 {
		return
	}
	ca.Refused = true
	tb.imposed[ca.Key()] = &ca
	for _, feature := range ca.Features {
		tb.suspected[feature] = latest(tb.suspected[feature], ca.Last)
	}
	tb.changed = true
}

// Causes returns the causes that are held now, those that explain most first.
func (tb *Table) Causes(now time.Time) []Cause {
	isDue := tb.changed || !tb.expiresAt.IsZero() && !now.Before(tb.expiresAt)
	if !isDue || tb.size > freeSize && now.Sub(tb.foundAt) < time.Duration(tb.size)*findPause {
		return tb.causes
	}
	tb.changed, tb.foundAt = false, now
	tb.expire(now)
	tb.find(now)
	return tb.causes
}

const (
	// answerMemory is how long answers and deaths are remembered of features that are part of no cause.
	answerMemory = time.Minute
	// freeSize is the number of features up to which the causes are determined after each change. With prompts of hundreds of parts that would
	// take all of the processor while replicas crash.
	freeSize = 1 << 12
	// findPause is the pause between two determinations in a larger table, for each feature in it. It is some twenty times what one takes.
	findPause = 5 * time.Microsecond
)

// expire removes what is too old to be held.
func (tb *Table) expire(now time.Time) {
	tb.expiresAt = time.Time{}
	lastOf := map[uint64]time.Time{}
	for i := range tb.causes {
		ca := &tb.causes[i]
		for _, death := range tb.deaths {
			if ca.Holds(death.Features) {
				lastOf[death.ID] = latest(lastOf[death.ID], latest(ca.Last, tb.refusedAt[ca.Key()]))
			}
		}
	}
	for _, death := range tb.deaths {
		// A feature that is cleared for a death stays so.
		remaining := tb.remaining(death)
		tb.size -= len(death.Features) - len(remaining)
		death.Features = remaining
		if len(remaining) == 0 {
			tb.remove(death)
			continue
		}
		tb.expireAt(now, latest(death.At, lastOf[death.ID]), func() { tb.remove(death) })
	}
	for key, ca := range tb.imposed {
		ca.Features = tb.unclearedSince(ca.Last, ca.Features)
		if len(ca.Features) == 0 {
			delete(tb.imposed, key)
			continue
		}
		tb.expireAt(now, latest(ca.Last, tb.refusedAt[ca.Key()]), func() { delete(tb.imposed, key) })
	}
	for _, times := range []map[Feature]time.Time{tb.suspected, tb.announced, tb.cleared} {
		maps.DeleteFunc(times, func(feature Feature, at time.Time) bool {
			return tb.Empty() || now.Sub(at) >= answerMemory && !tb.isPart(feature)
		})
	}
	maps.DeleteFunc(tb.refusedAt, func(_ uint64, at time.Time) bool { return tb.Empty() || now.Sub(at) >= tb.rules.Duration })
	tb.changed = false
}

// unclearedSince returns the features that no answer has cleared since the time.
func (tb *Table) unclearedSince(since time.Time, features []Feature) []Feature {
	var list []Feature
	for _, feature := range features {
		if at, ok := tb.cleared[feature]; !ok || at.Before(since) {
			list = append(list, feature)
		}
	}
	return list
}

// expireAt calls remove if Duration has passed since the time given, and otherwise remembers when that will be.
func (tb *Table) expireAt(now, since time.Time, remove func()) {
	at := since.Add(tb.rules.Duration)
	if !now.Before(at) {
		remove()
		return
	}
	tb.determineAt(at)
}

// determineAt makes the causes be determined again at the time, if not before.
func (tb *Table) determineAt(at time.Time) {
	if tb.expiresAt.IsZero() || at.Before(tb.expiresAt) {
		tb.expiresAt = at
	}
}

func latest(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// remaining returns the features of the death that no answer has cleared since.
func (tb *Table) remaining(death *Death) []Feature {
	var list []Feature
	for _, feature := range death.Features {
		if tb.holds(death, feature) {
			list = append(list, feature)
		}
	}
	return list
}

func (tb *Table) inOrder() []*Death {
	return slices.SortedFunc(maps.Values(tb.deaths), func(a, b *Death) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.ID, b.ID))
	})
}

// Finding is what is held against a request.
type Finding struct {
	// Cause is nil if nothing is held against it.
	Cause *Cause
	// Refused reports whether the request is to be refused.
	Refused bool
	// TrialAt is when one request with the cause may be tried, zero if none may any more.
	TrialAt time.Time
}

// Judge returns what is held against a request of the caller with the features. A request that has some features of a cause and not all
// is suspect: which of them it is, is not known yet.
func (tb *Table) Judge(now time.Time, caller uint64, features []Feature) Finding {
	if tb.Empty() {
		return Finding{}
	}
	var found Finding
	causes := tb.Causes(now)
	for i := range causes {
		ca := &causes[i]
		if !ca.Touches(features) {
			continue
		}
		if ca.Refused && ca.Holds(features) && ca.bindsCaller(caller) {
			return Finding{Cause: ca, Refused: true, TrialAt: tb.trialAt(ca)}
		}
		if found.Cause == nil {
			found.Cause = ca
		}
	}
	return found
}

// MustWait reports whether a request with the features may not be sent now, although it is not to be refused for what was found. Of the
// requests with features of a cause one runs at a time, and shows whether it crashes its upstream. One whose upstream has crashed, at diedAt,
// waits until that is known of others with the same features first: if it is the cause, it would take the next upstream down. running
// yields the features of the others under way whose answers have not gone on for long enough.
func (tb *Table) MustWait(now, diedAt time.Time, found Finding, features []Feature, running iter.Seq[[]Feature]) bool {
	ca := found.Cause
	if now.Sub(diedAt) < DoubtTime && ca.Holds(features) {
		return true
	}
	if now.Sub(ca.First) < tb.rules.MinSpan {
		return false
	}
	for others := range running {
		if ca.Touches(others) {
			return true
		}
	}
	return false
}

// NoteRefusal records that a request was refused for the cause, which is held for as long as such requests come.
func (tb *Table) NoteRefusal(now time.Time, ca *Cause) { tb.refusedAt[ca.Key()] = now }

func (tb *Table) trialAt(ca *Cause) time.Time {
	if ca.Trials >= len(tb.rules.TrialDelays) {
		return time.Time{}
	}
	return ca.Last.Add(tb.rules.TrialDelays[ca.Trials])
}

// Until returns when the cause is not held any more if no request with it comes.
func (tb *Table) Until(ca *Cause) time.Time {
	return latest(ca.Last, tb.refusedAt[ca.Key()]).Add(tb.rules.Duration)
}

// Explains reports whether a refused cause explains the crash of the upstream at the time.
func (tb *Table) Explains(now time.Time, upstream uint64, at time.Time) bool {
	if tb.Empty() {
		return false
	}
	tb.Causes(now)
	return tb.isExplained(&Death{Upstream: upstream, At: at})
}

func (tb *Table) isExplained(death *Death) bool {
	return slices.ContainsFunc(tb.explained[death.Upstream], func(crashed time.Time) bool {
		return crashed.Sub(death.At).Abs() < tb.rules.SameCrash
	})
}

// Deaths returns the deaths in the order of their times.
func (tb *Table) Deaths() []Death {
	list := make([]Death, 0, len(tb.deaths))
	for _, death := range tb.inOrder() {
		list = append(list, *death)
	}
	return list
}

// RecentlyCleared returns the features that were cleared within SuspectTime, with the times, for the others that may have missed that.
func (tb *Table) RecentlyCleared(now time.Time) map[Feature]time.Time {
	recent := map[Feature]time.Time{}
	for feature, at := range tb.cleared {
		if now.Sub(at) < tb.rules.SuspectTime {
			recent[feature] = at
		}
	}
	return recent
}

// Cleared returns when each feature was last cleared.
func (tb *Table) Cleared() map[Feature]time.Time { return tb.cleared }
