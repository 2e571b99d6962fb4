package cause_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/cause"
)

var rules = cause.DefaultRules(10*time.Minute, 2*time.Second)

const (
	system cause.Feature = 1 + iota
	companion
	bad
	other
)

// story is a sequence of crashes and answers, a second apart.
type story struct {
	tb  *cause.Table
	now time.Time
	ids uint64
}

func newStory() *story { return &story{tb: cause.New(rules), now: time.Unix(1_000_000, 0)} }

// crash lets one upstream crash while it runs requests with the features, each of a content of its own, and lets a second pass.
func (sy *story) crash(requests ...[]cause.Feature) {
	sy.ids++
	upstream := sy.ids
	for _, features := range requests {
		sy.ids++
		sy.tb.Add(cause.Death{ID: sy.ids, Upstream: upstream, Content: sy.ids, Caller: sy.ids, At: sy.now, Features: features})
	}
	sy.pass(time.Second)
}

func (sy *story) pass(dur time.Duration) { sy.now = sy.now.Add(dur) }

func (sy *story) answer(features ...cause.Feature) { sy.tb.Clear(sy.now, features) }

func (sy *story) refused(features ...cause.Feature) bool {
	return sy.tb.Judge(sy.now, 0, features).Refused
}

func of(features ...cause.Feature) []cause.Feature { return features }

func TestPartsThatCrashUpstreamsAreFound(t *testing.T) {
	cases := map[string]struct {
		happens       func(sy *story)
		refused, free [][]cause.Feature
	}{
		"alone": {
			func(sy *story) { sy.crash(of(bad)); sy.crash(of(bad)); sy.crash(of(bad)) },
			[][]cause.Feature{of(bad), of(system, bad)},
			[][]cause.Feature{of(system)},
		},
		"with a first part that is answered": {
			func(sy *story) {
				for range 3 {
					sy.crash(of(system, bad), of(system, other))
					sy.answer(system)
				}
			},
			[][]cause.Feature{of(system, bad), of(bad)},
			[][]cause.Feature{of(system), of(system, other), of(system, companion)},
		},
		"always with a companion that nothing has cleared": {
			func(sy *story) {
				for range 4 {
					sy.crash(of(companion, bad), of(system))
				}
			},
			[][]cause.Feature{of(companion, bad)},
			[][]cause.Feature{of(companion), of(system)},
		},
		"companion cleared after the verdict": {
			func(sy *story) {
				for range 3 {
					sy.crash(of(companion, bad))
				}
				sy.answer(companion)
			},
			[][]cause.Feature{of(bad), of(companion, bad)},
			[][]cause.Feature{of(companion)},
		},
		"nothing else is answered": {
			func(sy *story) {
				for range 4 {
					sy.crash(of(system, bad), of(system), of(system, other), of(system))
				}
			},
			[][]cause.Feature{of(system, bad)},
			[][]cause.Feature{of(system), of(system, companion)},
		},
		"two at a time": {
			func(sy *story) {
				for range 3 {
					sy.crash(of(system, bad), of(system))
					sy.crash(of(system, other), of(system))
					sy.answer(system)
				}
			},
			[][]cause.Feature{of(system, bad), of(system, other)},
			[][]cause.Feature{of(system), of(system, companion)},
		},
		"crashes for other reasons": {
			func(sy *story) {
				for range 14 {
					sy.crash(of(system, companion), of(system, companion))
					sy.answer(system, companion)
				}
			},
			nil,
			[][]cause.Feature{of(system, companion), of(system), of(companion)},
		},
		"one content alone": {
			func(sy *story) {
				for id := range uint64(4) {
					sy.tb.Add(cause.Death{ID: id, Upstream: id, Content: 7, At: sy.now.Add(time.Duration(id) * time.Second), Features: of(system, bad)})
				}
				sy.pass(5 * time.Second)
			},
			nil,
			[][]cause.Feature{of(system), of(system, bad)},
		},
		"many at the same moment": {
			func(sy *story) {
				for range 6 {
					sy.crash(of(system, bad))
					sy.pass(-time.Second)
				}
			},
			nil,
			[][]cause.Feature{of(system), of(system, bad)},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			sy := newStory()
			tc.happens(sy)
			for _, features := range tc.refused {
				assert.Assert(t, sy.refused(features...), "%v: %+v", features, sy.tb.Causes(sy.now))
			}
			for _, features := range tc.free {
				assert.Assert(t, !sy.refused(features...), "%v: %+v", features, sy.tb.Causes(sy.now))
			}
		})
	}
}

func TestCallerCannotGetPartsOfOthersRefused(t *testing.T) {
	// A caller names another one's part in requests that crash upstreams. The other one's requests are served until one of these has crashed
	// an upstream, too.
	sy := newStory()
	for id := range uint64(4) {
		sy.tb.Add(cause.Death{ID: id, Upstream: id, Content: id, Caller: 7, At: sy.now, Features: of(companion)})
		sy.pass(time.Second)
	}
	assert.Assert(t, sy.tb.Judge(sy.now, 7, of(companion)).Refused)
	assert.Assert(t, !sy.tb.Judge(sy.now, 8, of(companion)).Refused)
	sy.tb.Add(cause.Death{ID: 9, Upstream: 9, Content: 9, Caller: 8, At: sy.now, Features: of(companion)})
	assert.Assert(t, sy.tb.Judge(sy.now, 8, of(companion)).Refused)
}

func TestCrashesOfKnownCauseCountAgainstNothingElse(t *testing.T) {
	// A sound request dies in two crashes that a bad part caused. They must not count as its own.
	sy := newStory()
	for range 3 {
		sy.crash(of(system, bad), of(system, other))
	}
	assert.Assert(t, sy.tb.Explains(sy.now, 1, sy.now.Add(-3*time.Second)))
	assert.Assert(t, !sy.tb.Explains(sy.now, 2, sy.now.Add(-3*time.Second)))
	sy.answer(system, bad, other)
	assert.Assert(t, !sy.tb.Explains(sy.now, 1, sy.now.Add(-3*time.Second)))
}

func TestVerdictEndsAndIsTried(t *testing.T) {
	// A verdict may be wrong: one request is tried a while after the last crash and one later after the crash of that one, and no
	// more. It is held while requests with the part come, and forgotten when none has come for the time of the rules.
	sy := newStory()
	for range 3 {
		sy.crash(of(bad))
	}
	last := sy.now.Add(-time.Second)
	assert.Equal(t, sy.tb.Judge(sy.now, 0, of(bad)).TrialAt, last.Add(rules.TrialDelays[0]))
	sy.pass(rules.TrialDelays[0])
	sy.crash(of(bad))
	assert.Equal(t, sy.tb.Judge(sy.now, 0, of(bad)).TrialAt, last.Add(time.Second+rules.TrialDelays[0]+rules.TrialDelays[1]))
	sy.pass(rules.TrialDelays[1])
	sy.crash(of(bad))
	found := sy.tb.Judge(sy.now, 0, of(bad))
	assert.Assert(t, found.Refused && found.TrialAt.IsZero())
	for range 4 {
		sy.pass(9 * time.Minute)
		found = sy.tb.Judge(sy.now, 0, of(bad))
		assert.Assert(t, found.Refused)
		sy.tb.NoteRefusal(sy.now, found.Cause)
	}
	sy.pass(10 * time.Minute)
	assert.Assert(t, !sy.refused(bad))
	assert.Assert(t, sy.tb.Empty())
}

func TestImposedCauseIsHeldAndCleared(t *testing.T) {
	// All instances were killed, and those that start read the cause from the store.
	sy := newStory()
	sy.tb.Impose(cause.Cause{Features: of(companion, bad), Crashes: 5, First: sy.now.Add(-time.Minute), Last: sy.now.Add(-10 * time.Second), Callers: []uint64{1, 2}})
	assert.Assert(t, sy.refused(companion, bad))
	assert.Assert(t, !sy.refused(companion))
	sy.answer(companion)
	assert.Assert(t, sy.refused(bad))
	sy.answer(bad)
	assert.Assert(t, !sy.refused(bad))
}

func TestPromptsOfHundredsOfParts(t *testing.T) {
	// Ten prompts die in each crash, each with 600 parts, of which they share the first two. One of the ten has the bad one besides. The table must hold
	// enough of them to find it.
	sy := newStory()
	next := cause.Feature(1000)
	for range 5 {
		var requests [][]cause.Feature
		for i := range 10 {
			features := of(system, companion)
			if i == 0 {
				features = append(features, bad)
			}
			for len(features) < 600 {
				next++
				features = append(features, next)
			}
			requests = append(requests, features)
		}
		sy.crash(requests...)
		sy.answer(system, companion)
	}
	assert.Assert(t, sy.refused(system, companion, bad))
	assert.Assert(t, !sy.refused(system, companion))
}

func TestDeathsThatAreNotYetKnownCondemnNothing(t *testing.T) {
	// A sound prompt's part died in three crashes, each time beside the bad one. Of the third crash only the sound death is known so far, since the other
	// one is on its way from another instance. The sound part must not be refused for that moment, nor after it.
	sy := newStory()
	sy.crash(of(other), of(bad))
	sy.crash(of(other), of(bad))
	third := sy.now
	for id := range uint64(2) {
		sy.tb.Add(cause.Death{ID: 1000 + id, Upstream: 1000, Content: 1000 + id, Caller: 1000 + id, At: third, Features: of(other)})
	}
	assert.Assert(t, !sy.refused(other))
	sy.pass(50 * time.Millisecond)
	assert.Assert(t, !sy.refused(other))
	sy.tb.Add(cause.Death{ID: 1002, Upstream: 1000, Content: 1002, Caller: 1002, At: third, Features: of(bad)})
	sy.pass(rules.SettleTime)
	assert.Assert(t, !sy.refused(other))
	assert.Assert(t, sy.refused(bad))
}

// BenchmarkAnswerOnCalmDay measures what an answer costs while nothing crashes: three parts, two of them shared by all prompts.
func BenchmarkAnswerOnCalmDay(b *testing.B) {
	tb := cause.New(rules)
	now := time.Unix(1_000_000, 0)
	for number := range b.N {
		tb.Clear(now.Add(time.Duration(number)*time.Millisecond), of(system, companion, cause.Feature(1000+number%5000)))
	}
}
