package steer_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/steer"
)

func TestTuningIsChecked(t *testing.T) {
	// An operator changes one figure of the policy; the others keep their defaults. A figure that is unknown or out of its
	// range is refused by name before the instance starts.
	cases := map[string]struct {
		text, complaint string
	}{
		"nothing":       {"", ""},
		"one figure":    {`{"MaxEngines":4}`, ""},
		"unknown":       {`{"MaxEngine":4}`, "MaxEngine"},
		"no JSON":       {"4", "JSON"},
		"no part":       {`{"LastCall":1.5}`, "LastCall"},
		"below nothing": {`{"BacklogShare":-1}`, "BacklogShare"},
		"zero divisor":  {`{"FullShare":0}`, "FullShare"},
		"wrong order":   {`{"RiskTo":0.1}`, "RiskTo"},
		"no engine":     {`{"MaxEngines":0}`, "MaxEngines"},
		"a figure gone": {`{"SlotsFrom":0.8}`, "SlotsFrom"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var tune steer.Tuning
			err := tune.UnmarshalFlag(tc.text)
			if tc.complaint != "" {
				assert.ErrorContains(t, err, tc.complaint)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, tune.RiskTo, steer.DefaultTuning().RiskTo)
		})
	}
}
