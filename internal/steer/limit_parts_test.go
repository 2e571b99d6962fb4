package steer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/steer"
)

// spread are so many engines and plain replicas over three failure domains.
func spread(engines, plain int) []steer.Replica {
	var list []steer.Replica
	for i := range engines {
		list = append(list, steer.Replica{Name: fmt.Sprintf("lyric-%d", i), Born: 1, Service: "lyric", Address: fmt.Sprintf("a%d", i), FailureDomain: string(rune('a' + i%3)), Slots: 16})
	}
	for i := range plain {
		list = append(list, steer.Replica{Name: fmt.Sprintf("board-%d", i), Born: 1, Service: "board", Address: fmt.Sprintf("b%d", i), FailureDomain: string(rune('a' + i%3)), Slots: 6})
	}
	return list
}

func TestLimitHoldsWithSubsets(t *testing.T) {
	// With hundreds of replicas an instance weighs a part of them and hears of the requests at these alone; calls of plain services
	// are told within failure domains. A limit holds for the instances of all of them.
	for _, instances := range []int{60, 300} {
		t.Run(fmt.Sprint(instances, " instances"), func(t *testing.T) {
			t.Parallel()
			lw := newLimitWorld(1, instances, spread(120, 6), usualBudget)
			lw.load(200, 13*time.Second, &short, 5000)
			lw.load(40, 13*time.Second, &update, 0)
			lw.pass(2 * time.Second)
			limited := []string{"board-0", "board-1", "board-3"}
			for i := range 12 {
				limited = append(limited, fmt.Sprintf("lyric-%d", 9*i))
			}
			for _, name := range limited {
				lw.name(name, 2.1)
			}
			lw.pass(12 * time.Second)
			for _, name := range limited {
				assert.Assert(t, lw.worst(name, 2.1) <= 0, "%s got %d more than allowed", name, lw.worst(name, 2.1))
				t.Logf("%s got %d in 4 s", name, lw.recent(name, 4*time.Second))
			}
			t.Logf("%d refused of %d", len(lw.refusals), lw.nextID)
		})
	}
}

func TestLimitHoldsWhereInstancesDoNotHearEachOther(t *testing.T) {
	// Parts of the instances are cut off from each other, and each part believes at first that it is all: together they keep to the limit,
	// though nothing excuses any of them.
	for _, parts := range []int{2, 3} {
		for _, instances := range []int{6, 30} {
			t.Run(fmt.Sprint(instances, " instances in ", parts, " parts"), func(t *testing.T) {
				t.Parallel()
				lw := newLimitWorld(1, instances, replicas(3), usualBudget)
				place := map[*limitNode]int{}
				for i, node := range lw.nodes {
					place[node] = i % parts
				}
				lw.load(40, 22*time.Second, &short, 5000)
				lw.load(12, 22*time.Second, &update, 0)
				lw.pass(2 * time.Second)
				for _, name := range []string{"lyric-0", "board-0", "board-1"} {
					lw.name(name, 2.1)
				}
				lw.pass(5 * time.Second)
				lw.parted = func(one, two *limitNode) bool { return place[one] != place[two] }
				lw.pass(8 * time.Second)
				lw.parted = nil
				lw.pass(6 * time.Second)
				for _, name := range []string{"lyric-0", "board-0", "board-1"} {
					assert.Assert(t, lw.worst(name, 2.1) <= 0, "%s got %d more than allowed", name, lw.worst(name, 2.1))
					t.Logf("%s: %d below the bound at the most", name, -lw.worst(name, 2.1))
				}
			})
		}
	}
}
