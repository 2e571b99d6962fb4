package slope_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/slope"
)

func TestFit(t *testing.T) {
	cases := map[string]struct {
		samples []slope.Sample
		at      float64
		want    float64
	}{
		"rising line":          {[]slope.Sample{{Size: 1, Value: 5}, {Size: 3, Value: 9}}, 10, 23},
		"one sample":           {[]slope.Sample{{Size: 7, Value: 4}}, 1000, 4},
		"samples of one size":  {[]slope.Sample{{Size: 7, Value: 4}, {Size: 7, Value: 6}}, 1000, 5},
		"no samples":           {nil, 10, 0},
		"falling line is flat": {[]slope.Sample{{Size: 1, Value: 2}, {Size: 2, Value: 1}}, 10, 1.5},
		"never below zero":     {[]slope.Sample{{Size: 10, Value: 1}, {Size: 20, Value: 21}}, 1, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			sr := slope.Series{Samples: tc.samples}
			assert.Equal(t, sr.Fit().At(tc.at), tc.want)
		})
	}
}

func TestTablesMarkUnmeasuredItems(t *testing.T) {
	items := []slope.Item{
		{Role: "Every instance", Resource: slope.Network, What: "probes", Series: "Known", Size: 10, Times: 2},
		{Role: "Every instance", Resource: slope.Network, What: "digests", Series: "Unknown", Size: 10, Times: 1},
	}
	ms := &slope.Measured{}
	ms.Put(slope.Series{Name: "Known", Unit: "B/s", Samples: []slope.Sample{{Size: 1, Value: 75}}, Command: "measure it"})
	var out strings.Builder
	assert.NilError(t, slope.WriteTables(&out, slope.DesignTarget(), items, ms))
	assert.Assert(t, strings.Contains(out.String(), "| Network | probes | 150 B/s |"), out.String())
	assert.Assert(t, strings.Contains(out.String(), "| Network | digests | not measured |"), out.String())
	assert.Assert(t, strings.Contains(out.String(), "network 150 B/s, 5% of 3000 B/s (1 parts not measured)"), out.String())
}
