package permit_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/permit"
	"dandelionsail.example/dandelionsail/internal/wire"
)

const memory = 400_000

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func engines(count int) []permit.Engine {
	list := make([]permit.Engine, count)
	for i := range list {
		list[i] = permit.Engine{Upstream: event.Upstream{Name: fmt.Sprintf("lyric-%02d", i)}, Memory: memory}
	}
	return list
}

// newCoordinator returns one that has settled, over so many engines, with nobody gone.
func newCoordinator(count int) *permit.Coordinator {
	co := permit.New("entry-0")
	pool := engines(count)
	co.Engines = func(permit.Pool) []permit.Engine { return pool }
	co.Upstream = func(name string) (event.Upstream, bool) { return event.Upstream{Name: name}, true }
	co.Gone = func(string, uint64) bool { return false }
	co.Listed = func(string) bool { return true }
	return co
}

func asks(request string, tokens int64) event.PermitAsked {
	return event.PermitAsked{
		Holder: "entry-1", Peer: "1", Request: request, Service: "lyric", FailureDomain: "a", Organisation: "parish",
		Weight: 1, Tokens: tokens, Wait: time.Minute,
	}
}

func grants(effects []effect.Effect) map[string][]string {
	granted := map[string][]string{}
	for _, eff := range effects {
		if tell, ok := eff.(effect.Tell); ok {
			if msg, ok := tell.Message.(wire.PermitGrant); ok && msg.Granted {
				granted[msg.Request] = msg.Upstreams
			}
		}
	}
	return granted
}

func TestReservationsNeverExceedMemoryAndEnd(t *testing.T) {
	// Requests of all lengths ask, renew, return or are forgotten by holders that died, in any order.
	// In the coordinator's own view no engine is reserved beyond its memory less the headroom, every grant names all the
	// engines it needs, and when the holders have fallen silent nothing stays reserved.
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 6).Draw(t, "engines")
		co := newCoordinator(count)
		now := start
		asked := 0
		key := permit.Pool{Service: "lyric", FailureDomain: "a"}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			request := fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "request"))
			var effects []effect.Effect
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				asked++
				effects = co.Reduce(now, asks(request, rapid.Int64Range(1, 3*memory).Draw(t, "tokens")))
			case 1:
				effects = co.Reduce(now, event.PermitReturned{Request: request, Service: "lyric", FailureDomain: "a"})
			case 2:
				effects = co.Reduce(now, event.PermitRenewed{Peer: "1", Service: "lyric", FailureDomain: "a", Requests: []string{request}})
			case 3:
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
				effects = co.Reduce(now, event.Ticked{})
			}
			for request, names := range grants(effects) {
				assert.Assert(t, len(names) > 0 && len(names) <= count, "%s: %v", request, names)
			}
			for name, tokens := range co.Reserved(key) {
				assert.Assert(t, float64(tokens) <= memory*(1-permit.Headroom), "%s has %d reserved", name, tokens)
			}
		}
		for range 60 {
			now = now.Add(2 * time.Second)
			co.Reduce(now, event.Ticked{})
		}
		assert.Equal(t, len(co.Reserved(key)), 0)
	})
}

func TestLargeRequestIsNotStarved(t *testing.T) {
	// A prompt that needs every engine waits while smaller ones come and go without end.
	// They overtake it for a part of its time; then nothing more is granted before it, and it gets all engines at once.
	co := newCoordinator(3)
	now := start
	co.Reduce(now, asks("small-0", 200_000))
	now = now.Add(time.Second)
	co.Reduce(now, event.Ticked{})
	large := asks("large", 3*memory*8/10)
	co.Reduce(now, large)
	var held []string
	for i := 1; i < 100; i++ {
		now = now.Add(time.Second)
		granted := grants(co.Reduce(now, asks(fmt.Sprintf("small-%d", i), 200_000)))
		for request := range granted {
			held = append(held, request)
		}
		co.Reduce(now, event.PermitRenewed{Peer: "1", Service: "lyric", FailureDomain: "a", Requests: held})
		if len(held) > 0 && i%2 == 0 {
			returned := event.PermitReturned{Request: held[0], Service: "lyric", FailureDomain: "a"}
			granted := grants(co.Reduce(now, returned))
			held = held[1:]
			if names, ok := granted["large"]; ok {
				assert.Equal(t, len(names), 3)
				return
			}
			for request := range granted {
				held = append(held, request)
			}
		}
		if _, ok := grants(co.Reduce(now, event.Ticked{}))["large"]; ok {
			return
		}
	}
	t.Fatal("the large request starved")
}

func TestDeadHolderIsSwept(t *testing.T) {
	// An instance dies while its long prompt runs over two engines. Its streams may look open to the engines for long.
	// The coordinator ends the reservation and has both engines free what they hold; for a holder that lives but could
	// not be heard it frees nothing, since its caller may still be getting the answer.
	cases := map[string]struct {
		gone  bool
		swept int
	}{"dead": {true, 2}, "not heard": {false, 0}}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			co := newCoordinator(2)
			now := start
			co.Reduce(now, asks("r", 500_000))
			now = now.Add(time.Second)
			assert.Equal(t, len(grants(co.Reduce(now, event.Ticked{}))["r"]), 2)
			co.Gone = func(string, uint64) bool { return tc.gone }
			now = now.Add(permit.Lasts)
			swept := 0
			for _, eff := range co.Reduce(now, event.Ticked{}) {
				if sw, ok := eff.(effect.Sweep); ok {
					swept += len(sw.Upstreams)
				}
			}
			assert.Equal(t, swept, tc.swept)
			assert.Equal(t, len(co.Reserved(permit.Pool{Service: "lyric", FailureDomain: "a"})), 0)
		})
	}
}

func TestOrganisationsTakeTurns(t *testing.T) {
	// One organisation queues ten long prompts before another queues one. When memory comes free, the other one's goes
	// first, since the first organisation has had its turn.
	co := newCoordinator(1)
	now := start
	for i := range 10 {
		co.Reduce(now, asks(fmt.Sprint("much-", i), 300_000))
	}
	now = now.Add(time.Second)
	assert.Equal(t, len(grants(co.Reduce(now, event.Ticked{}))), 1)
	other := asks("little", 300_000)
	other.Organisation = "choir"
	co.Reduce(now, other)
	granted := grants(co.Reduce(now, event.PermitReturned{Request: "much-0", Service: "lyric", FailureDomain: "a"}))
	assert.Equal(t, len(granted["little"]), 1, "%v", granted)
}

// pair is a holder and two coordinators whose messages arrive at once unless the coordinator is down.
type pair struct {
	now    time.Time
	holder *permit.Holder
	cos    map[string]*permit.Coordinator
	down   string
	// lose makes the next grants get lost.
	lose   int
	told   []string
	answer []event.PermitAnswered
}

func newPair() *pair {
	self := event.Instance{Name: "entry-9", Peer: "entry-9", FailureDomain: "a"}
	pr := &pair{now: start, holder: permit.NewHolder(self, 1), cos: map[string]*permit.Coordinator{}}
	for _, name := range []string{"entry-0", "entry-1"} {
		pr.cos[name] = newCoordinator(3)
		pr.cos[name].Self = name
		pr.holder.Instances = append(pr.holder.Instances, event.Instance{Name: name, Peer: name, FailureDomain: "a"})
	}
	return pr
}

func (pr *pair) carry(effects []effect.Effect) {
	for _, eff := range append([]effect.Effect(nil), effects...) {
		tell, ok := eff.(effect.Tell)
		if !ok || tell.Address == pr.down {
			continue
		}
		pr.told = append(pr.told, tell.Address)
		switch msg := tell.Message.(type) {
		case wire.PermitAsk:
			pr.carry(pr.cos[tell.Address].Reduce(pr.now, event.PermitAsked(msg)))
		case wire.PermitRenew:
			pr.carry(pr.cos[tell.Address].Reduce(pr.now, event.PermitRenewed(msg)))
		case wire.PermitReturn:
			pr.carry(pr.cos[tell.Address].Reduce(pr.now, event.PermitReturned(msg)))
		case wire.PermitGrant:
			if msg.Granted && pr.lose > 0 {
				pr.lose--
				continue
			}
			pr.hear(event.PermitGranted(msg))
		case wire.PermitState:
			pr.hear(event.PermitsKnown(msg))
		}
	}
}

func (pr *pair) hear(ev event.Event) {
	effects, answers := pr.holder.Reduce(pr.now, ev)
	pr.answer = append(pr.answer, answers...)
	pr.carry(effects)
}

func (pr *pair) run(period time.Duration) {
	for end := pr.now.Add(period); pr.now.Before(end); {
		pr.now = pr.now.Add(10 * time.Millisecond)
		for name, co := range pr.cos {
			if name != pr.down {
				pr.carry(co.Reduce(pr.now, event.Ticked{}))
			}
		}
		pr.hear(event.Ticked{})
	}
}

func TestAnotherCoordinatorTakesOver(t *testing.T) {
	// A long prompt runs and another waits when their coordinator is killed.
	// The holder gets no answers, passes the coordinator over and names what it has to the next one, which notes the
	// running one's memory as taken before it grants anything; the waiting one goes on waiting there.
	pr := newPair()
	pr.carry(pr.holder.Ask(pr.now, 1, asks("running", 1_000_000), []string{"a"}))
	pr.run(time.Second)
	assert.Equal(t, len(pr.answer), 1)
	assert.Equal(t, len(pr.answer[0].Upstreams), 3)
	pr.down = pr.told[0]
	pr.carry(pr.holder.Ask(pr.now, 2, asks("waiting", 300_000), []string{"a"}))
	pr.run(2 * time.Second)
	assert.Equal(t, len(pr.answer), 1, "the second must wait: %v", pr.answer)
	pr.carry(pr.holder.Release(pr.now, "running"))
	pr.run(200 * time.Millisecond)
	assert.Equal(t, len(pr.answer), 2)
	assert.Assert(t, pr.answer[1].Granted)
}

func TestLostGrantIsToldAgain(t *testing.T) {
	// The coordinator has told the holder that its request waits, and then its grant gets lost on the way.
	// The holder renews the request as one that waits, hears of the grant with the answer, and its caller gets an answer
	// a second later instead of never.
	pr := newPair()
	pr.lose = 1
	pr.carry(pr.holder.Ask(pr.now, 1, asks("r", 1_000_000), []string{"a"}))
	pr.run(3 * time.Second)
	assert.Equal(t, pr.lose, 0)
	assert.Equal(t, len(pr.answer), 1)
	assert.Assert(t, pr.answer[0].Granted)
}

func TestNoCoordinatorIsSaid(t *testing.T) {
	// No coordinator answers, the instance itself is the last that is asked. The request hears that they are lost and
	// goes on without a permit, within two seconds.
	pr := newPair()
	pr.cos = map[string]*permit.Coordinator{}
	pr.holder.Instances = pr.holder.Instances[:1]
	pr.down = pr.holder.Instances[0].Name
	pr.carry(pr.holder.Ask(pr.now, 1, asks("r", 1000), []string{"a"}))
	pr.run(2 * time.Second)
	assert.Equal(t, len(pr.answer), 1)
	assert.Assert(t, pr.answer[0].Lost)
}

// poolSize is that of the largest pools in sight: 12,000 replicas of 40 models in 7 failure domains.
const poolSize = 43

func BenchmarkCoordinator(b *testing.B) {
	for _, waiting := range []int{0, 10, 100} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			co := newCoordinator(poolSize)
			now := start.Add(time.Second)
			co.Reduce(start, asks("first", 1))
			for i := range waiting {
				ask := asks(fmt.Sprint("wait-", i), poolSize*memory*8/10)
				ask.Wait = 1000 * time.Hour
				co.Reduce(now, ask)
			}
			for b.Loop() {
				co.Reduce(now, asks("r", 200_000))
				co.Reduce(now, event.PermitReturned{Request: "r", Service: "lyric", FailureDomain: "a"})
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "permits/s")
		})
	}
}

// BenchmarkBytes gives the encoded bytes that one permit takes between its holder and the coordinator.
func BenchmarkBytes(b *testing.B) {
	request := "entry-012.5f3k2a9c1d-3f"
	ask := wire.PermitAsk(asks(request, 1_000_000))
	names := []string{"lyric-assist-0123", "lyric-assist-0124", "lyric-assist-0125"}
	messages := map[string]wire.Message{
		"Ask":    ask,
		"Grant":  wire.PermitGrant{From: "entry-012", Request: request, Service: "lyric", FailureDomain: "south-a", Granted: true, Upstreams: names, Lasts: permit.Lasts},
		"Return": wire.PermitReturn{Request: request, Service: "lyric", FailureDomain: "south-a"},
		"Renew":  wire.PermitRenew{Holder: "entry-012", Incarnation: 1 << 50, Peer: "10.0.0.1:8081", Service: "lyric", FailureDomain: "south-a", Requests: []string{request}},
		"State":  wire.PermitState{From: "entry-012"},
	}
	for name, msg := range messages {
		b.Run(name, func(b *testing.B) {
			var raw []byte
			for b.Loop() {
				raw, _ = wire.Encode(msg)
			}
			b.ReportMetric(float64(len(raw)), "B")
		})
	}
}
