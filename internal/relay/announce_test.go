package relay

import (
	"io"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/lines"
	"dandelionsail.example/dandelionsail/internal/notice"
	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

func TestColdReplicasAreCountedByFailureDomain(t *testing.T) {
	// Guards against a failure domain whose cold replicas the metrics do not show. The gauge must disappear when they are warm.
	in := New(Options{Name: "one", TokenLife: time.Second}, newFakeDirectory(), nil, &log.Logger{Level: log.PanicLevel}, lines.New(io.Discard, 1))
	slow := decl.SlowStart{Duration: decl.Duration(time.Minute), PerS: 14}
	in.apply(steer.Configured{Routing: &decl.Routing{Version: 1, Services: map[string]decl.Pool{"s": {SlowStart: slow}}}})
	list := []steer.Replica{
		{Name: "a", Born: 1, Service: "s", FailureDomain: "x", Slots: 2, ColdMs: 60_000},
		{Name: "b", Born: 1, Service: "s", FailureDomain: "x", Slots: 2, ColdMs: 60_000},
		{Name: "c", Born: 1, Service: "s", FailureDomain: "y", Slots: 2},
	}
	in.apply(steer.Listed{Replicas: list})
	value := func(name string) int64 {
		if gauge, ok := in.registry.Get(name).(metrics.Gauge); ok {
			return gauge.Value()
		}
		return -1
	}
	in.updateAnnouncementMetrics()
	assert.Equal(t, value("Announced.Cold.x"), int64(2))
	assert.Equal(t, value("Announced.Cold.y"), int64(-1))
	assert.Equal(t, value("Announced.Count."+notice.Warming.String()), int64(2))
	list[0].ColdMs, list[1].ColdMs = 0, 0
	in.apply(steer.ListChanged{Replicas: list})
	in.updateAnnouncementMetrics()
	assert.Equal(t, value("Announced.Cold.x"), int64(-1))
}
