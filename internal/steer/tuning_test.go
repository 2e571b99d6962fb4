package steer_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/steer"
)

func TestTuningIsChecked(t *testing.T) {
	// An operator sets one weight of the policy and the others keep their defaults. Guards against a start with an
	// unknown weight or one out of its range: the error names the key.
	cases := map[string]struct {
		text, wantErr string
	}{
		"empty":         {"", ""},
		"one figure":    {`{"MaxEngines":4}`, ""},
		"unknown key":   {`{"MaxEngine":4}`, "MaxEngine"},
		"not an object": {"4", "JSON"},
		"share above 1": {`{"LastCall":1.5}`, "LastCall"},
		"negative cost": {`{"BacklogShare":-1}`, "BacklogShare"},
		"zero divisor":  {`{"FullShare":0}`, "FullShare"},
		"wrong order":   {`{"RiskTo":0.1}`, "RiskTo"},
		"zero engines":  {`{"MaxEngines":0}`, "MaxEngines"},
		"removed key":   {`{"SlotsFrom":0.8}`, "SlotsFrom"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var tune steer.Tuning
			err := tune.UnmarshalFlag(tc.text)
			if tc.wantErr != "" {
				assert.ErrorContains(t, err, tc.wantErr)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, tune.RiskTo, steer.DefaultTuning().RiskTo)
		})
	}
}
