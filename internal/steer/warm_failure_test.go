package steer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/steer"
)

// granterOf returns the instance that grants sends to the replica if all instances answer.
func (cw *coldWorld) granterOf(replica string) *limitNode {
	var best *limitNode
	highest := uint64(0)
	for _, node := range cw.nodes {
		if hash := xxhash.Sum64String(node.name + "/" + replica); best == nil || hash > highest {
			best, highest = node, hash
		}
	}
	return best
}

func TestColdReplicasSurviveFailures(t *testing.T) {
	// Guards against a cold replica that crashes because a failure leaves the instances without common knowledge: of its cold
	// state, of which of them grants, or of what the others send. All replicas restart in a burst, and then something else fails.
	cases := map[string]struct {
		// before is called before the replicas restart, and after 0.7 s later.
		before, after func(cw *coldWorld)
		// minUse is the least part of the rate that must be used after that.
		minUse float64
	}{
		"nothing": {minUse: 0.9},
		"notes lost": {
			before: func(cw *coldWorld) { cw.loss = 0.2 },
			minUse: 0.5,
		},
		"notes late": {
			before: func(cw *coldWorld) { cw.slow, cw.duplicated = 0.1, 0.1 },
			minUse: 0.5,
		},
		"granting instances stand still": {
			after: func(cw *coldWorld) {
				for _, rep := range cw.replicas {
					cw.granterOf(rep.Name).frozen = cw.now.Add(2 * time.Second)
				}
			},
			minUse: 0.15,
		},
		"granting instances are cut off": {
			after: func(cw *coldWorld) {
				for _, rep := range cw.replicas {
					cw.granterOf(rep.Name).cut = cw.now.Add(2 * time.Second)
				}
			},
			minUse: 0.15,
		},
		"granting instances restart": {
			after: func(cw *coldWorld) {
				for _, rep := range cw.replicas {
					cw.boot(cw.granterOf(rep.Name))
				}
			},
			minUse: 0.4,
		},
		"no notes between two halves": {
			after: func(cw *coldWorld) {
				cw.partitioned = func(a, b *limitNode) bool { return cw.number(a)%2 != cw.number(b)%2 }
			},
			minUse: 0.5,
		},
		"no notes between three parts": {
			after: func(cw *coldWorld) {
				cw.partitioned = func(a, b *limitNode) bool { return cw.number(a)%3 != cw.number(b)%3 }
			},
			minUse: 0.4,
		},
		"two thirds out of touch": {
			before: func(cw *coldWorld) {
				cw.withoutList = func(node *limitNode) bool { return cw.number(node)%3 > 0 }
			},
			minUse: 0.8,
		},
		"out of touch, and no answer states it": {
			before: func(cw *coldWorld) {
				cw.inAnswers = false
				cw.withoutList = func(node *limitNode) bool { return cw.number(node)%3 > 0 }
			},
			minUse: 0.8,
		},
		"entries are read late": {
			before: func(cw *coldWorld) { cw.entryDelay = 1500 * time.Millisecond },
			minUse: 0.8,
		},
		"entries state nothing": {
			before: func(cw *coldWorld) { cw.inEntries = false },
			minUse: 0.8,
		},
		"neither entries nor answers state it": {
			before: func(cw *coldWorld) { cw.inEntries, cw.inAnswers = false, false },
			minUse: 0.8,
		},
		"all instances restart": {
			after: func(cw *coldWorld) {
				for _, node := range cw.nodes {
					cw.boot(node)
				}
			},
			minUse: 0.1,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cw := newColdWorld(1, 18, spreadReplicas(3, 3))
			cw.load(2*coldPerS*3, 4*time.Second, &short, 5000)
			cw.load(2*coldPerS*3, 4*time.Second, &update, 0)
			cw.advance(500 * time.Millisecond)
			if tc.before != nil {
				tc.before(cw)
			}
			for _, rep := range cw.replicas {
				cw.restart(rep.Name, coldTime)
			}
			cw.advance(700 * time.Millisecond)
			if tc.after != nil {
				tc.after(cw)
			}
			cw.advance(2800 * time.Millisecond)
			least, mean := cw.leastSecond(700 * time.Millisecond)
			t.Logf("at most %d and at least %d in a second, %.2f a second", cw.worstSecond(), least, mean)
			assert.Assert(t, float64(cw.worstSecond()) <= maxColdPerS)
			assert.Assert(t, mean >= tc.minUse*coldPerS)
		})
	}
}

// number returns the index of the instance.
func (cw *coldWorld) number(node *limitNode) int {
	for i := range cw.nodes {
		if cw.nodes[i] == node {
			return i
		}
	}
	return -1
}

func TestColdBoundHoldsUnderRandomFaults(t *testing.T) {
	// Replicas turn cold at any moment or restart, while instances restart, stand still and are cut off, and notes are late or
	// lost. The bound must hold whatever coincides.
	for seed := uint64(1); seed <= 20; seed++ {
		random := rand.New(rand.NewPCG(seed, 2))
		cw := newColdWorld(seed, 1+random.IntN(9), replicas(1+random.IntN(3)))
		cw.loss = []float64{0, 0.03, 0.2}[random.IntN(3)]
		cw.inAnswers = random.IntN(2) == 0
		cw.load(5+50*random.Float64(), 4*time.Second, &short, 5000)
		cw.load(5+30*random.Float64(), 4*time.Second, &update, 0)
		cw.advance(500 * time.Millisecond)
		for range 4 {
			replica := cw.replicas[random.IntN(len(cw.replicas))].Name
			if random.IntN(2) == 0 {
				cw.restart(replica, coldTime)
			} else {
				cw.turnCold(replica, 300*time.Millisecond+time.Duration(random.Int64N(int64(2700*time.Millisecond))))
			}
			cw.advance(time.Duration(random.Int64N(int64(600 * time.Millisecond))))
			node := cw.nodes[random.IntN(len(cw.nodes))]
			until := cw.now.Add(time.Duration(random.Int64N(int64(2 * time.Second))))
			switch random.IntN(3) {
			case 0:
				cw.boot(node)
			case 1:
				node.frozen = until
			case 2:
				node.cut = until
			}
			cw.advance(time.Duration(random.Int64N(int64(300 * time.Millisecond))))
		}
		cw.advance(800 * time.Millisecond)
		assert.Check(t, float64(cw.worstSecond()) <= maxColdPerS, "seed %d: a cold replica got %d requests in a second", seed, cw.worstSecond())
	}
}

func TestEndOfColdStateCausesNoBurst(t *testing.T) {
	// Guards against a burst at the end of the cold state: all instances hold requests back for the same replica, and its cold state ends at all of
	// them at the same moment, so that it, idle by the knowledge of each, gets all of them at once.
	cw := newColdWorld(1, 60, spreadReplicas(3, 3))
	cw.load(4*coldPerS*3, 6*time.Second, &short, 5000)
	cw.load(2*coldPerS*3, 6*time.Second, &update, 0)
	cw.advance(500 * time.Millisecond)
	for _, rep := range cw.replicas {
		cw.restart(rep.Name, coldTime)
	}
	cw.advance(5 * time.Second)
	for _, name := range append(cw.names("lyric"), cw.names("board")...) {
		end := cw.coldUntil[name]
		worst := 0
		for from := end.Add(-100 * time.Millisecond); from.Before(end.Add(time.Second)); from = from.Add(10 * time.Millisecond) {
			worst = max(worst, cw.receivedBetween(name, from, from.Add(100*time.Millisecond)))
		}
		later := cw.receivedBetween(name, end.Add(700*time.Millisecond), end.Add(1700*time.Millisecond))
		t.Logf("%s: at most %d in 0.1 s around the end, %d in a second afterwards", name, worst, later)
		assert.Assert(t, worst <= 16)
		assert.Assert(t, later > coldPerS)
		assert.Equal(t, cw.coldNodes(name), 0)
	}
}

func TestInstancesLearnOfColdReplicaQuickly(t *testing.T) {
	// A replica drops its caches and stays as it is. One answer states that before its next entry does; all instances must know
	// it a few milliseconds later, those without contact to the list's store included.
	cw := newColdWorld(1, 30, spreadReplicas(3, 3))
	cw.withoutList = func(*limitNode) bool { return true }
	cw.turnCold("lyric-0", coldTime)
	cw.reduce(cw.nodes[7], steer.ResponseReceived{Replica: "lyric-0", Born: 1, Sent: cw.now, Announced: coldAnswer(coldTime)})
	assert.Equal(t, cw.coldNodes("lyric-0"), 1)
	cw.advance(10 * time.Millisecond)
	assert.Equal(t, cw.coldNodes("lyric-0"), 30)
	cw.advance(coldTime - 10*time.Millisecond + maxEndSpread/2)
	left := cw.coldNodes("lyric-0")
	assert.Assert(t, left > 5 && left < 25, "%d of 30 instances take it for cold in the middle of the time over which the ends are spread", left)
	cw.advance(maxEndSpread)
	assert.Equal(t, cw.coldNodes("lyric-0"), 0)
}
