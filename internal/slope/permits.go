package slope

import (
	"fmt"
	"strconv"
	"time"

	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/permit"
	"dandelionsail.example/dandelionsail/internal/wire"
)

const (
	permitsCommand = "sailbench slopes permits"
	// waitingPermits is the number of permit requests that wait at the coordinator while it decides.
	waitingPermits = 10
	// permitMemory is the memory of one engine of the pool, in tokens.
	permitMemory = 400_000
	// permitRenewals is how often a permit is renewed while a long prompt is answered, at one renewal per second. The
	// bytes of a permit include the renewals.
	permitRenewals = 30
)

var (
	poolSizes   = []float64{10, 43, 100, 200}
	permitSizes = []float64{100, 1000, 5000}
)

// MeasurePermits measures the cost of a coordinator's decisions, messages and reservations in this process.
func MeasurePermits() ([]Series, error) {
	bytes, err := permitBytes()
	if err != nil {
		return nil, err
	}
	decisions := Series{Name: PermitTime, Unit: "ns", Variable: "PoolReplicas", Command: permitsCommand}
	for _, size := range poolSizes {
		decisions.Samples = append(decisions.Samples, Sample{Size: size, Value: decisionTime(int(size))})
	}
	memory := Series{Name: PermitMemory, Unit: "B", Variable: "Permits", Command: permitsCommand}
	for _, size := range permitSizes {
		memory.Samples = append(memory.Samples, Sample{Size: size, Value: reservedMemory(int(size))})
	}
	return []Series{decisions, memory, {
		Name: PermitBytes, Unit: "B", Variable: "Permits", Command: permitsCommand, Samples: []Sample{{Size: 1, Value: bytes}},
	}}, nil
}

func newCoordinator(replicas int) *permit.Coordinator {
	engines := make([]permit.Engine, replicas)
	for i := range engines {
		up := event.Upstream{Name: fmt.Sprintf("lyric-%04d", i), Service: "lyric", FailureDomain: "a"}
		engines[i] = permit.Engine{Upstream: up, Memory: permitMemory}
	}
	co := permit.New("entry-0")
	co.Engines = func(permit.Pool) []permit.Engine { return engines }
	co.Upstream = func(string) (event.Upstream, bool) { return event.Upstream{}, false }
	co.HolderGone = func(string, uint64) bool { return false }
	co.HolderListed = func(string) bool { return true }
	return co
}

func newPermitAsked(request string, tokens int64) event.PermitRequested {
	return event.PermitRequested{
		Holder: "entry-012", Incarnation: 1 << 50, Peer: "10.0.0.1:8081", Request: request, Service: "lyric",
		FailureDomain: "a", Organisation: "organisation-0001", Weight: 1, Tokens: tokens, Class: "Long", Wait: 1000 * time.Hour,
	}
}

// decisionTime returns the coordinator's total time for one permit in ns, from the request to the return, while others
// wait.
func decisionTime(replicas int) float64 {
	co := newCoordinator(replicas)
	now := epoch.Add(time.Minute)
	co.Reduce(epoch, newPermitAsked("first", 1))
	for i := range waitingPermits {
		co.Reduce(now, newPermitAsked("wait-"+strconv.Itoa(i), int64(replicas)*permitMemory*8/10))
	}
	return nanosecondsPerCall(func(int) {
		co.Reduce(now, newPermitAsked("request", permitMemory/2))
		co.Reduce(now, event.PermitReturned{Request: "request", Service: "lyric", FailureDomain: "a"})
	})
}

func reservedMemory(permits int) float64 {
	co := newCoordinator(permits)
	co.Reduce(epoch, newPermitAsked("first", 1))
	now := epoch.Add(time.Minute)
	return heapGrowth(func() any {
		for i := range permits {
			co.Reduce(now, newPermitAsked("request-"+strconv.Itoa(i), permitMemory/2))
		}
		return co
	})
}

// permitBytes returns the encoded length of all messages of one permit, on one side.
func permitBytes() (float64, error) {
	request := "entry-012.5f3k2a9c1d-3f"
	once := []wire.Message{
		wire.PermitRequest(newPermitAsked(request, 1_000_000)),
		wire.PermitDecision{
			From: "entry-012", Request: request, Service: "lyric", FailureDomain: "south-a", Granted: true,
			Upstreams: []string{"lyric-assist-0123", "lyric-assist-0124"}, Lasts: permit.ReservationTTL,
		},
		wire.PermitReturn{Request: request, Service: "lyric", FailureDomain: "south-a"},
	}
	renewal := []wire.Message{
		wire.PermitRenew{
			Holder: "entry-012", Incarnation: 1 << 50, Peer: "10.0.0.1:8081", Service: "lyric", FailureDomain: "south-a",
			Requests: []string{request},
		},
		wire.PermitStatus{From: "entry-012"},
	}
	first, err := encodedLength(once)
	if err != nil {
		return 0, err
	}
	again, err := encodedLength(renewal)
	return first + permitRenewals*again, err
}

func encodedLength(messages []wire.Message) (float64, error) {
	var length int
	for _, msg := range messages {
		raw, err := wire.Encode(msg)
		if err != nil {
			return 0, err
		}
		length += len(raw)
	}
	return float64(length), nil
}
