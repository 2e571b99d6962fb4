package steer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/steer"
)

// spreadReplicas returns engines and plain replicas distributed over three failure domains.
func spreadReplicas(engines, plain int) []steer.Replica {
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
	// With hundreds of replicas an instance considers only a subset of them and receives notes only about requests there.
	// Notes about calls to plain services stay within a failure domain. A limit must still hold for the sends of all
	// instances together.
	for _, instances := range []int{60, 300} {
		t.Run(fmt.Sprint(instances, " instances"), func(t *testing.T) {
			t.Parallel()
			lw := newLimitWorld(1, instances, spreadReplicas(120, 6), usualBudget)
			lw.load(200, 13*time.Second, &short, 5000)
			lw.load(40, 13*time.Second, &update, 0)
			lw.advance(2 * time.Second)
			limited := []string{"board-0", "board-1", "board-3"}
			for i := range 12 {
				limited = append(limited, fmt.Sprintf("lyric-%d", 9*i))
			}
			for _, name := range limited {
				lw.setLimit(name, 2.1)
			}
			lw.advance(12 * time.Second)
			for _, name := range limited {
				assert.Assert(t, lw.maxExcess(name, 2.1) <= 0, "%s got %d more than allowed", name, lw.maxExcess(name, 2.1))
				t.Logf("%s got %d in 4 s", name, lw.receivedIn(name, 4*time.Second))
			}
			t.Logf("%d refused of %d", len(lw.refusals), lw.nextID)
		})
	}
}

func TestLimitHoldsAcrossPartition(t *testing.T) {
	// A network partition cuts the instances into parts, and each part first assumes that it is the whole fleet. Together
	// they must keep the limit. maxExcess counts the sends of all of them, since partitioned is not recorded as a
	// disturbance.
	for _, parts := range []int{2, 3} {
		for _, instances := range []int{6, 30} {
			t.Run(fmt.Sprint(instances, " instances in ", parts, " parts"), func(t *testing.T) {
				t.Parallel()
				lw := newLimitWorld(1, instances, replicas(3), usualBudget)
				part := map[*limitNode]int{}
				for i, node := range lw.nodes {
					part[node] = i % parts
				}
				lw.load(40, 22*time.Second, &short, 5000)
				lw.load(12, 22*time.Second, &update, 0)
				lw.advance(2 * time.Second)
				for _, name := range []string{"lyric-0", "board-0", "board-1"} {
					lw.setLimit(name, 2.1)
				}
				lw.advance(5 * time.Second)
				lw.partitioned = func(a, b *limitNode) bool { return part[a] != part[b] }
				lw.advance(8 * time.Second)
				lw.partitioned = nil
				lw.advance(6 * time.Second)
				for _, name := range []string{"lyric-0", "board-0", "board-1"} {
					assert.Assert(t, lw.maxExcess(name, 2.1) <= 0, "%s got %d more than allowed", name, lw.maxExcess(name, 2.1))
					t.Logf("%s: at least %d below the bound", name, -lw.maxExcess(name, 2.1))
				}
			})
		}
	}
}
