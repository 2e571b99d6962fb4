package steer

import (
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

// fairTuning returns the weights with shares of organisations.
func fairTuning() Tuning {
	tune := DefaultTuning()
	tune.ShareWeight = FairShareWeight
	return tune
}

func used(wanted, got float64) use {
	return use{asked: resources{time: wanted}, used: resources{time: got}}
}

func TestMaxMinDividesWhatWasUsed(t *testing.T) {
	// A wrong level would put organisations above their share that ask for less, or none that asks for more.
	cases := map[string]struct {
		all   map[uint32]use
		level float64
		above []uint32
	}{
		"no organisation":                   {all: nil},
		"all served":                        {all: map[uint32]use{1: used(10, 10), 2: used(90, 90)}},
		"one asks for more than it may":     {all: map[uint32]use{1: used(10, 5), 2: used(20, 15), 3: used(200, 70)}, level: 60, above: []uint32{3}},
		"two ask for more":                  {all: map[uint32]use{1: used(10, 10), 2: used(100, 50), 3: used(200, 40)}, level: 45, above: []uint32{2, 3}},
		"one alone":                         {all: map[uint32]use{1: used(200, 50)}, level: 200},
		"all ask for more":                  {all: map[uint32]use{1: used(200, 50), 2: used(200, 50)}, level: 200},
		"memory is what one needs most":     {all: map[uint32]use{1: {asked: resources{10, 200}, used: resources{5, 80}}, 2: used(20, 20)}, level: 80, above: []uint32{1}},
		"slightly more than its share only": {all: map[uint32]use{1: used(10, 10), 2: used(60, 50)}, level: 50},
		"all more than little was used":     {all: map[uint32]use{1: used(20, 5), 2: used(20, 5), 3: used(200, 5)}, level: 80, above: []uint32{3}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			level, above := maxMin(tc.all)
			assert.Assert(t, math.Abs(level-tc.level) < 1e-9, "level %v", level)
			assert.Equal(t, len(above), len(tc.above))
			for _, org := range tc.above {
				_, ok := above[org]
				assert.Assert(t, ok, "organisation %d", org)
			}
		})
	}
}

func TestKindsYieldToMoreUrgentOnesThatAreServedLessOften(t *testing.T) {
	// The urgency of a kind must not be inverted: only a less urgent kind gives way, and only while a more urgent one lacks answers.
	cases := map[string]struct {
		kinds    map[int]kindUse
		yielding []int
	}{
		"all served":                    {kinds: map[int]kindUse{0: {10, 10}, 5: {10, 10}}},
		"the more urgent one lacks":     {kinds: map[int]kindUse{0: {10, 6}, 5: {10, 9}}, yielding: []int{5}},
		"the less urgent one lacks":     {kinds: map[int]kindUse{0: {10, 9}, 5: {10, 5}}},
		"too few of the more urgent":    {kinds: map[int]kindUse{0: {2, 0}, 5: {10, 10}}},
		"the least urgent of three too": {kinds: map[int]kindUse{0: {10, 5}, 3: {10, 8}, 9: {10, 9}}, yielding: []int{3, 9}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			yielding := yieldingKinds(tc.kinds)
			assert.Equal(t, len(yielding), len(tc.yielding))
			for _, priority := range tc.yielding {
				assert.Assert(t, yielding[priority], "priority %d", priority)
			}
		})
	}
}

func TestSharesCountWhereThereIsSomethingToDivide(t *testing.T) {
	// A deployment with one organisation and one urgency must send the same bytes as without shares, also while requests wait.
	cases := map[string]struct {
		routing decl.Routing
		want    bool
	}{
		"nothing":                    {},
		"one organisation":           {routing: decl.Routing{Tokens: map[string]string{"1": "parish", "2": "parish"}}},
		"two organisations":          {routing: decl.Routing{Tokens: map[string]string{"1": "parish", "2": "abbey", "3": "parish"}}, want: true},
		"routes of one urgency":      {routing: decl.Routing{Routes: []decl.Route{{Priority: 3}, {Priority: 3}}}},
		"routes of two urgencies":    {routing: decl.Routing{Routes: []decl.Route{{Priority: 3}, {Priority: 0}}}, want: true},
		"organisations of their own": {routing: decl.Routing{Priorities: map[string]int{"parish": 1, "abbey": 2}}, want: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, dividesShares(&tc.routing), tc.want) })
	}
}

func TestUseDecays(t *testing.T) {
	// What was used long ago must not count against an organisation, and one that asks for nothing any more must not be kept.
	sh, now := newServiceShares(), time.Unix(1000, 0)
	sh.add(now, 1, resources{time: 100}, resources{time: 50})
	sh.decay(now.Add(useTimeConstant))
	assert.Assert(t, math.Abs(sh.own[1].asked.time-100/math.E) < 1e-6)
	sh.decay(now.Add(time.Minute * 2))
	assert.Equal(t, len(sh.own), 0)
}

func TestSummaryNamesOnlyTheOrganisationsThatAskForMost(t *testing.T) {
	// With 1,700 organisations a summary that named all would not fit into a datagram.
	st := New(Options{Name: "one", Tuning: fairTuning()})
	st.dividesShares = true
	st.now = time.Unix(1000, 0)
	st.serviceOf("lyric")
	for i := range 1700 {
		st.sharesOf("lyric").add(st.now, organisationHash("org-"+strconv.Itoa(i)), resources{time: float64(1 + i)}, resources{time: 1})
	}
	assert.Equal(t, len(st.ownUses()), 0)
	st.sharesOf("lyric").scarceUntil = st.now.Add(time.Second)
	uses := st.ownUses()
	assert.Equal(t, len(uses), 1)
	assert.Equal(t, len(uses[0].Organisations), maxUsesInNote)
	assert.Equal(t, uses[0].Organisations[0].Asked, uint32(1700))
	small, err := cbor.Marshal(uses)
	assert.NilError(t, err)
	for i := range uses[0].Organisations {
		uses[0].Organisations[i] = OrganisationUse{Organisation: math.MaxUint32, Asked: math.MaxUint32, AskedMemory: math.MaxUint32, Used: math.MaxUint32, UsedMemory: math.MaxUint32}
	}
	large, err := cbor.Marshal(uses)
	assert.NilError(t, err)
	t.Logf("%d bytes for %d organisations, at most %d", len(small), maxUsesInNote, len(large))
	assert.Assert(t, len(large) <= 1024+32)
}

func TestWrongSummariesAreBounded(t *testing.T) {
	// One instance, by a fault or on purpose, claims that an organisation asks for more than there is, or lists more than a
	// summary has. Its callers must not be refused at all other instances for that.
	st := New(Options{Name: "one", Tuning: fairTuning()})
	st.dividesShares = true
	st.now, st.live = time.Unix(1000, 0), 80
	svc := st.serviceOf("board")
	for range 10 {
		svc.replicas = append(svc.replicas, &replica{Replica: Replica{Slots: 6}})
	}
	sh := st.sharesOf("board")
	claim := ServiceUse{Service: "board", Scarce: true, Organisations: []OrganisationUse{{Organisation: 7, Asked: math.MaxUint32, Used: math.MaxUint32}}, Kinds: []KindUse{{Priority: 0, Decided: math.MaxUint32}}}
	pr := &peer{}
	st.peers["two"] = pr
	st.receiveUses(pr, []ServiceUse{claim, {Service: "unknown", Scarce: true}})
	st.sumPeerUses()
	capacity := 60 * plainRate * useTimeConstant.Seconds()
	assert.Equal(t, sh.others[7].asked.time, capacity*peerUseFactor/80)
	assert.Assert(t, sh.otherKinds[0].decided <= maxPeerRequests)
	assert.Equal(t, len(st.shares), 1, "a service that is not known takes no memory")

	many := ServiceUse{Service: "board", Organisations: make([]OrganisationUse, maxUsesInNote+1)}
	nt := Note{From: "two", Uses: []ServiceUse{many, {}, {Service: "board", Kinds: []KindUse{{Decided: 1, Sent: 2}}}, claim}}
	dropped, usable := nt.DropInvalid()
	assert.Assert(t, usable)
	assert.Equal(t, dropped, 3)
}
