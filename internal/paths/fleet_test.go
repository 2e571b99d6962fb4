package paths_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/paths"
)

// peersOf returns near and far peers, whose notes arrive if they are alive.
func peersOf(near, far int, alive bool) []paths.Peer {
	var peers []paths.Peer
	for i := range near {
		peers = append(peers, paths.Peer{Name: fmt.Sprint("near-", i), Near: true, Alive: alive})
	}
	for i := range far {
		peers = append(peers, paths.Peer{Name: fmt.Sprint("far-", i), Alive: alive})
	}
	return peers
}

// chosen returns how often each failure domain is chosen in a thousand messages.
func chosen(fl *paths.Fleet, now time.Time, peers []paths.Peer) map[string]int {
	random := rand.New(rand.NewPCG(1, 1))
	counts := map[string]int{}
	for range 1000 {
		domain, _, _ := strings.Cut(fl.Choose(now, random, "lyric", peers).Peer, "-")
		counts[domain]++
	}
	return counts
}

func TestWayOfMessages(t *testing.T) {
	cases := map[string]struct {
		events func(fl *paths.Fleet)
		peers  []paths.Peer
		near   int
		far    int
	}{
		"own failure domain first": {func(*paths.Fleet) {}, peersOf(4, 4, true), 1000, 0},
		"few left there": {func(fl *paths.Fleet) {
			for i := range 3 {
				fl.Stated(start, fmt.Sprint("near-", i), []string{"lyric"})
			}
		}, peersOf(4, 999, true), 0, 990},
		"all lost there": {func(fl *paths.Fleet) {
			for i := range 4 {
				fl.Refused(start, fmt.Sprint("near-", i), "lyric", true)
			}
		}, peersOf(4, 4, true), 0, 1000},
		"known before unknown":   {func(fl *paths.Fleet) { fl.Served(start, "far-0", "lyric") }, peersOf(4, 4, false), 0, 1000},
		"unknown, one lost near": {func(fl *paths.Fleet) { fl.Refused(start, "near-0", "lyric", true) }, peersOf(2, 999, false), 0, 990},
		"another service":        {func(fl *paths.Fleet) { fl.Stated(start, "near-0", []string{"board"}) }, peersOf(1, 1, true), 1000, 0},
		"another run":            {func(fl *paths.Fleet) { fl.Refused(start, "near-0", "lyric", true); fl.Forget("near-0") }, peersOf(1, 1, true), 1000, 0},
		"a later statement": {func(fl *paths.Fleet) {
			fl.Refused(start, "near-0", "lyric", true)
			fl.Stated(start, "near-0", nil)
		}, peersOf(1, 1, true), 1000, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			fl := &paths.Fleet{}
			tc.events(fl)
			counts := chosen(fl, start, tc.peers)
			assert.Assert(t, counts["near"] >= tc.near && counts["far"] >= tc.far, "%v", counts)
		})
	}
}

func TestNobodyIsChosenOnlyIfAllPathsAreLost(t *testing.T) {
	// A peer that is busy or does not answer for a moment may be able to pass a message on soon, unless it is gone.
	random := rand.New(rand.NewPCG(1, 1))
	fl := &paths.Fleet{}
	fl.Stated(start, "near-0", []string{"lyric"})
	fl.Busy(start, "near-1", "lyric")
	assert.Equal(t, fl.Choose(start, random, "lyric", peersOf(2, 0, true)), paths.Choice{RetryAt: start.Add(200 * time.Millisecond)})
	fl.Unreached(start, "near-1", "lyric")
	assert.Equal(t, fl.Choose(start, random, "lyric", peersOf(2, 0, true)), paths.Choice{RetryAt: start.Add(time.Second)})
	assert.Equal(t, fl.Choose(start, random, "lyric", peersOf(2, 0, false)), paths.Choice{})
	later := start.Add(11 * time.Second)
	fl.DropExpired(later)
	assert.Assert(t, fl.Choose(later, random, "lyric", peersOf(2, 0, false)).Peer != "")
}
