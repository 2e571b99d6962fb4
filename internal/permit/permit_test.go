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

// newCoordinator returns a coordinator of count engines. No holder is gone, and all are listed.
func newCoordinator(count int) *permit.Coordinator {
	co := permit.New("entry-0")
	pool := engines(count)
	co.Engines = func(permit.Pool) []permit.Engine { return pool }
	co.Upstream = func(name string) (event.Upstream, bool) { return event.Upstream{Name: name}, true }
	co.HolderGone = func(string, uint64) bool { return false }
	co.HolderListed = func(string) bool { return true }
	return co
}

func newRequest(request string, tokens int64) event.PermitRequested {
	return event.PermitRequested{
		Holder: "entry-1", Peer: "1", Request: request, Service: "lyric", FailureDomain: "a", Organisation: "parish",
		Weight: 1, Tokens: tokens, Wait: time.Minute,
	}
}

func grantedUpstreams(effects []effect.Effect) map[string][]string {
	granted := map[string][]string{}
	for _, eff := range effects {
		if send, ok := eff.(effect.SendToPeer); ok {
			if msg, ok := send.Message.(wire.PermitDecision); ok && msg.Granted {
				granted[msg.Request] = msg.Upstreams
			}
		}
	}
	return granted
}

func TestReservationsStayWithinMemoryAndExpire(t *testing.T) {
	// Permits for requests of all lengths are requested, renewed, returned or abandoned by holders that died, in any order.
	// By the coordinator's state no engine may be reserved beyond its memory less the headroom, and every grant must name
	// at least one engine and at most all of them. Once the holders send nothing more, all reservations must expire.
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 6).Draw(t, "engines")
		co := newCoordinator(count)
		now := start
		// asked holds the requests for which a permit was requested.
		asked := map[string]bool{}
		key := permit.Pool{Service: "lyric", FailureDomain: "a"}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			request := fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "request"))
			var effects []effect.Effect
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				asked[request] = true
				effects = co.Reduce(now, newRequest(request, rapid.Int64Range(1, 3*memory).Draw(t, "tokens")))
			case 1:
				effects = co.Reduce(now, event.PermitReturned{Request: request, Service: "lyric", FailureDomain: "a"})
			case 2:
				effects = co.Reduce(now, event.PermitRenewed{Peer: "1", Service: "lyric", FailureDomain: "a", Requests: []string{request}})
			case 3:
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
				effects = co.Reduce(now, event.Ticked{})
			}
			for request, names := range grantedUpstreams(effects) {
				assert.Assert(t, len(names) > 0 && len(names) <= count, "%s: %v", request, names)
				assert.Assert(t, asked[request], "%s was granted a permit that it did not request", request)
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
	// A prompt that needs every engine waits while smaller ones are granted and returned without end. Without a limit to
	// overtaking they would take all memory that becomes free. They may overtake the large prompt for a fraction of its
	// wait; after that nothing else is granted before it, and it gets all engines at once.
	co := newCoordinator(3)
	now := start
	co.Reduce(now, newRequest("small-0", 200_000))
	now = now.Add(time.Second)
	co.Reduce(now, event.Ticked{})
	large := newRequest("large", 3*memory*8/10)
	co.Reduce(now, large)
	var held []string
	for i := 1; i < 100; i++ {
		now = now.Add(time.Second)
		granted := grantedUpstreams(co.Reduce(now, newRequest(fmt.Sprintf("small-%d", i), 200_000)))
		for request := range granted {
			held = append(held, request)
		}
		co.Reduce(now, event.PermitRenewed{Peer: "1", Service: "lyric", FailureDomain: "a", Requests: held})
		if len(held) > 0 && i%2 == 0 {
			returned := event.PermitReturned{Request: held[0], Service: "lyric", FailureDomain: "a"}
			granted := grantedUpstreams(co.Reduce(now, returned))
			held = held[1:]
			if names, ok := granted["large"]; ok {
				assert.Equal(t, len(names), 3)
				return
			}
			for request := range granted {
				held = append(held, request)
			}
		}
		if _, ok := grantedUpstreams(co.Reduce(now, event.Ticked{}))["large"]; ok {
			return
		}
	}
	t.Fatal("the large request starved")
}

func TestReservationOfDeadHolderIsSwept(t *testing.T) {
	// An instance dies while its long prompt runs on two engines, to which its streams may look open for a long time. The
	// coordinator must end the reservation and have both engines free what they hold. For a live holder whose renewals do
	// not arrive it must free nothing on the engines, since the caller may still be receiving the answer.
	cases := map[string]struct {
		dead  bool
		swept int
	}{"dead": {true, 2}, "alive but unreachable": {false, 0}}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			co := newCoordinator(2)
			now := start
			co.Reduce(now, newRequest("r", 500_000))
			now = now.Add(time.Second)
			assert.Equal(t, len(grantedUpstreams(co.Reduce(now, event.Ticked{}))["r"]), 2)
			co.HolderGone = func(string, uint64) bool { return tc.dead }
			now = now.Add(permit.ReservationTTL)
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

func TestQueueIsFairBetweenOrganisations(t *testing.T) {
	// One organisation queues ten long prompts before another queues one. When memory becomes free, the other organisation's
	// prompt must be granted first, since the first one has already been granted memory.
	co := newCoordinator(1)
	now := start
	for i := range 10 {
		co.Reduce(now, newRequest(fmt.Sprint("much-", i), 300_000))
	}
	now = now.Add(time.Second)
	assert.Equal(t, len(grantedUpstreams(co.Reduce(now, event.Ticked{}))), 1)
	other := newRequest("little", 300_000)
	other.Organisation = "choir"
	co.Reduce(now, other)
	granted := grantedUpstreams(co.Reduce(now, event.PermitReturned{Request: "much-0", Service: "lyric", FailureDomain: "a"}))
	assert.Equal(t, len(granted["little"]), 1, "%v", granted)
}

// cluster simulates a holder and two coordinators. Messages arrive immediately unless the coordinator is down.
type cluster struct {
	now    time.Time
	holder *permit.Holder
	cos    map[string]*permit.Coordinator
	// down is the name of the coordinator that receives nothing.
	down string
	// lostGrants is the number of grants still to be lost.
	lostGrants int
	// recipients contains the addresses of all delivered messages.
	recipients []string
	answers    []event.PermitAnswered
}

func newCluster() *cluster {
	self := event.Instance{Name: "entry-9", Peer: "entry-9", FailureDomain: "a"}
	cl := &cluster{now: start, holder: permit.NewHolder(self, 1), cos: map[string]*permit.Coordinator{}}
	for _, name := range []string{"entry-0", "entry-1"} {
		cl.cos[name] = newCoordinator(3)
		cl.cos[name].Self = name
		cl.holder.Instances = append(cl.holder.Instances, event.Instance{Name: name, Peer: name, FailureDomain: "a"})
	}
	return cl
}

func (cl *cluster) deliver(effects []effect.Effect) {
	for _, eff := range append([]effect.Effect(nil), effects...) {
		send, ok := eff.(effect.SendToPeer)
		if !ok || send.Address == cl.down {
			continue
		}
		cl.recipients = append(cl.recipients, send.Address)
		switch msg := send.Message.(type) {
		case wire.PermitRequest:
			cl.deliver(cl.cos[send.Address].Reduce(cl.now, event.PermitRequested(msg)))
		case wire.PermitRenew:
			cl.deliver(cl.cos[send.Address].Reduce(cl.now, event.PermitRenewed(msg)))
		case wire.PermitReturn:
			cl.deliver(cl.cos[send.Address].Reduce(cl.now, event.PermitReturned(msg)))
		case wire.PermitDecision:
			if msg.Granted && cl.lostGrants > 0 {
				cl.lostGrants--
				continue
			}
			cl.reduce(event.PermitDecided(msg))
		case wire.PermitStatus:
			cl.reduce(event.PermitStatusReceived(msg))
		}
	}
}

func (cl *cluster) reduce(ev event.Event) {
	effects, answers := cl.holder.Reduce(cl.now, ev)
	cl.answers = append(cl.answers, answers...)
	cl.deliver(effects)
}

func (cl *cluster) run(period time.Duration) {
	for end := cl.now.Add(period); cl.now.Before(end); {
		cl.now = cl.now.Add(10 * time.Millisecond)
		for name, co := range cl.cos {
			if name != cl.down {
				cl.deliver(co.Reduce(cl.now, event.Ticked{}))
			}
		}
		cl.reduce(event.Ticked{})
	}
}

func TestAnotherCoordinatorTakesOver(t *testing.T) {
	// A long prompt runs when its coordinator is killed, and another prompt asks for a permit. The holder gets no answers
	// and reports its permit to the next coordinator, which must record the memory of the running prompt as reserved before
	// it grants anything. The other prompt must wait there until the running one is released.
	cl := newCluster()
	cl.deliver(cl.holder.Request(cl.now, 1, newRequest("running", 1_000_000), []string{"a"}))
	cl.run(time.Second)
	assert.Equal(t, len(cl.answers), 1)
	assert.Equal(t, len(cl.answers[0].Upstreams), 3)
	cl.down = cl.recipients[0]
	cl.deliver(cl.holder.Request(cl.now, 2, newRequest("waiting", 300_000), []string{"a"}))
	cl.run(2 * time.Second)
	assert.Equal(t, len(cl.answers), 1, "the second must wait: %v", cl.answers)
	cl.deliver(cl.holder.Release(cl.now, "running"))
	cl.run(200 * time.Millisecond)
	assert.Equal(t, len(cl.answers), 2)
	assert.Assert(t, cl.answers[1].Granted)
}

func TestLostGrantIsResent(t *testing.T) {
	// The coordinator has queued a request, and the message that grants it later is lost. The holder renews the request as
	// a waiting one, a second later at the latest, and the coordinator must answer that with the grant. Otherwise the caller
	// would never get an answer.
	cl := newCluster()
	cl.lostGrants = 1
	cl.deliver(cl.holder.Request(cl.now, 1, newRequest("r", 1_000_000), []string{"a"}))
	cl.run(3 * time.Second)
	assert.Equal(t, cl.lostGrants, 0)
	assert.Equal(t, len(cl.answers), 1)
	assert.Assert(t, cl.answers[0].Granted)
}

func TestMissingCoordinatorIsReported(t *testing.T) {
	// The only coordinator does not answer. Within two seconds the holder must answer the request with Lost, so that it can
	// proceed without a permit.
	cl := newCluster()
	cl.cos = map[string]*permit.Coordinator{}
	cl.holder.Instances = cl.holder.Instances[:1]
	cl.down = cl.holder.Instances[0].Name
	cl.deliver(cl.holder.Request(cl.now, 1, newRequest("r", 1000), []string{"a"}))
	cl.run(2 * time.Second)
	assert.Equal(t, len(cl.answers), 1)
	assert.Assert(t, cl.answers[0].Lost)
}

// poolSize is the size of the largest expected pools: 12,000 replicas of 40 models in 7 failure domains.
const poolSize = 43

func BenchmarkCoordinator(b *testing.B) {
	for _, waiting := range []int{0, 10, 100} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			co := newCoordinator(poolSize)
			now := start.Add(time.Second)
			co.Reduce(start, newRequest("first", 1))
			for i := range waiting {
				req := newRequest(fmt.Sprint("wait-", i), poolSize*memory*8/10)
				req.Wait = 1000 * time.Hour
				co.Reduce(now, req)
			}
			for b.Loop() {
				co.Reduce(now, newRequest("r", 200_000))
				co.Reduce(now, event.PermitReturned{Request: "r", Service: "lyric", FailureDomain: "a"})
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "permits/s")
		})
	}
}

// BenchmarkBytes measures the encoded size of each message that the holder and the coordinator exchange for one permit.
func BenchmarkBytes(b *testing.B) {
	request := "entry-012.5f3k2a9c1d-3f"
	req := wire.PermitRequest(newRequest(request, 1_000_000))
	names := []string{"lyric-assist-0123", "lyric-assist-0124", "lyric-assist-0125"}
	messages := map[string]wire.Message{
		"Ask":    req,
		"Grant":  wire.PermitDecision{From: "entry-012", Request: request, Service: "lyric", FailureDomain: "south-a", Granted: true, Upstreams: names, Lasts: permit.ReservationTTL},
		"Return": wire.PermitReturn{Request: request, Service: "lyric", FailureDomain: "south-a"},
		"Renew":  wire.PermitRenew{Holder: "entry-012", Incarnation: 1 << 50, Peer: "10.0.0.1:8081", Service: "lyric", FailureDomain: "south-a", Requests: []string{request}},
		"State":  wire.PermitStatus{From: "entry-012"},
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

func TestCoordinatorIsNotSkippedForAnOldRenewal(t *testing.T) {
	// A coordinator does not answer a renewal, and the holder's only prompt ends just then. Minutes later, another long prompt
	// comes. The coordinator, which has been well since, must get its request: skipped, it would go on granting to the other
	// holders while this one is granted the same memory by its substitute.
	cl := newCluster()
	cl.deliver(cl.holder.Request(cl.now, 1, newRequest("first", 1_000_000), []string{"a"}))
	cl.run(500 * time.Millisecond)
	coordinator := cl.recipients[0]
	cl.down = coordinator
	cl.run(700 * time.Millisecond)
	cl.down = ""
	cl.deliver(cl.holder.Release(cl.now, "first"))
	cl.run(time.Minute)
	cl.recipients = nil
	cl.deliver(cl.holder.Request(cl.now, 2, newRequest("second", 300_000), []string{"a"}))
	cl.run(500 * time.Millisecond)
	for _, name := range cl.recipients {
		if _, ok := cl.cos[name]; ok {
			assert.Equal(t, name, coordinator)
		}
	}
}
