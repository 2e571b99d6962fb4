package meter_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/meter"
	"dandelionsail.example/dandelionsail/pkg/burn"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newMeter() *meter.Meter {
	mt := meter.New()
	mt.Configure(&decl.Config{Objectives: map[string]decl.Objective{
		"short": {Signal: decl.SignalFirstToken, LengthClass: "Short", Threshold: decl.Duration(time.Second), Target: 0.9},
		"board": {Signal: decl.SignalOutcome, Service: "board", Target: 0.9},
	}})
	return mt
}

func lastHour(t *testing.T, rp meter.Report, name string) burn.Count {
	t.Helper()
	for _, or := range rp.Objectives {
		for _, wr := range or.Windows {
			if or.Name == name && wr.Window.Std() == time.Hour {
				return wr.Count
			}
		}
	}
	t.Fatalf("no objective %s", name)
	return burn.Count{}
}

func TestRecordCountsForMatchingObjectives(t *testing.T) {
	cases := map[string]struct {
		observed meter.Observation
		short    burn.Count
		board    burn.Count
	}{
		"in time":                {meter.Observation{Class: "Short", FirstToken: time.Second}, burn.Count{Good: 1}, burn.Count{}},
		"late":                   {meter.Observation{Class: "Short", FirstToken: 2 * time.Second}, burn.Count{Bad: 1}, burn.Count{}},
		"failed before a token":  {meter.Observation{Class: "Short", Failed: true}, burn.Count{Bad: 1}, burn.Count{}},
		"another class":          {meter.Observation{Class: "Long", FirstToken: time.Minute}, burn.Count{}, burn.Count{}},
		"plain service answered": {meter.Observation{Service: "board"}, burn.Count{}, burn.Count{Good: 1}},
		"plain service failed":   {meter.Observation{Service: "board", Failed: true}, burn.Count{}, burn.Count{Bad: 1}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			mt := newMeter()
			tc.observed.At = start
			mt.Record(tc.observed)
			rp := mt.Report(start, "entry-0")
			assert.Equal(t, lastHour(t, rp, "short"), tc.short)
			assert.Equal(t, lastHour(t, rp, "board"), tc.board)
		})
	}
}

func TestMergeOverTheWire(t *testing.T) {
	// Each of two Instances sees half of the failures. Only the merged counts burn fast enough for an alert.
	var reports []meter.Report
	for _, name := range []string{"entry-0", "entry-1"} {
		mt := newMeter()
		for range 3 {
			mt.Record(meter.Observation{At: start, Service: "board", Failed: true})
		}
		mt.Record(meter.Observation{At: start, Service: "lyric", Class: "Short", FirstToken: 100 * time.Millisecond})
		raw, err := json.Marshal(mt.Report(start, name))
		assert.NilError(t, err)
		var rp meter.Report
		assert.NilError(t, json.Unmarshal(raw, &rp))
		for _, or := range rp.Objectives {
			assert.Equal(t, or.Alert, "")
		}
		reports = append(reports, rp)
	}
	all := meter.Merge(append(reports, meter.Report{Missing: []string{"entry-2"}}))
	assert.Equal(t, lastHour(t, all, "board"), burn.Count{Bad: 6})
	assert.Equal(t, all.Objectives[0].Alert, "Steady")
	assert.Equal(t, all.Latencies[0].Total(), int64(2))
	assert.DeepEqual(t, all.Missing, []string{"entry-2"})
}

func TestMergeWhileTargetChanges(t *testing.T) {
	// A new target for an objective has reached one of two Instances. Both have counted failures, in the same way. If the counts
	// of one were dropped, an objective that burns would look well until the configuration is in force everywhere.
	var reports []meter.Report
	for i, name := range []string{"entry-0", "entry-1"} {
		mt := newMeter()
		mt.Record(meter.Observation{At: start, Service: "board", Failed: true})
		rp := mt.Report(start, name)
		for j := range rp.Objectives {
			rp.Objectives[j].Objective.Target -= 0.001 * float64(i)
		}
		reports = append(reports, rp)
	}
	assert.Equal(t, lastHour(t, meter.Merge(reports), "board"), burn.Count{Bad: 2})
}

func TestWriteText(t *testing.T) {
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("Requests.Refused.Overloaded", registry).Inc(3)
	metrics.GetOrRegisterCounter("Requests.Refused.LimitExceeded", registry).Inc(1)
	metrics.GetOrRegisterGauge("Config.Version", registry).Update(7)
	var out strings.Builder
	assert.NilError(t, meter.WriteText(&out, registry))
	assert.Equal(t, out.String(), `# TYPE dandelionsail_config_version gauge
dandelionsail_config_version 7
# TYPE dandelionsail_requests_refused_total counter
dandelionsail_requests_refused_total{kind="LimitExceeded"} 1
dandelionsail_requests_refused_total{kind="Overloaded"} 3
`)
}
