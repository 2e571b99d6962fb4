package loss_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/loss"
)

// at returns a log line that is ms after the start.
func at(ms int, instance, fields string) string {
	when := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(ms) * time.Millisecond)
	return fmt.Sprintf("%8.3f %s {\"time\":%q,%s}", float64(ms)/1000, instance, when.Format(time.RFC3339Nano), fields)
}

func TestCauses(t *testing.T) {
	sent := func(ms int, request, fields string) string {
		return at(ms, "one", `"message":"request sent","Request":"`+request+`","Replica":"e1",`+fields)
	}
	answered := func(ms int, fields string) string {
		return at(ms, "one", `"message":"answered","Request":"a","Route":"short","Value":2,"GoalMs":300,"GapMs":250,`+fields)
	}
	cases := map[string]struct {
		lines []string
		cause loss.Cause
		lost  float64
	}{
		"in time": {[]string{sent(0, "a", `"EstimateMs":100`), answered(1000, `"AgeMs":1000,"FirstMs":120,"PauseMs":90,"PauseAtMs":500`)}, "", 0},
		"estimated late when sent": {
			[]string{sent(250, "a", `"AgeMs":250,"EstimateMs":100`), answered(1000, `"AgeMs":1000,"FirstMs":350`)},
			loss.CauseQueued, 1.5,
		},
		"later than estimated": {
			[]string{sent(0, "a", `"EstimateMs":100`), answered(1000, `"AgeMs":1000,"FirstMs":350`)},
			loss.CauseEngine, 1.5,
		},
		"overtaken by a part of another prompt": {
			[]string{
				sent(0, "a", `"EstimateMs":100`), answered(1000, `"AgeMs":1000,"FirstMs":350`),
				at(50, "two", `"message":"request sent","Request":"b","Replica":"e2","Helpers":["e1"]`),
			},
			loss.CauseOvertaken, 1.5,
		},
		"another prompt sent to the engine during the pause": {
			[]string{
				sent(0, "a", `"EstimateMs":100`), answered(1000, `"AgeMs":1000,"FirstMs":120,"PauseMs":400,"PauseAtMs":700`),
				at(280, "two", `"message":"request sent","Request":"b","Replica":"e1"`),
			},
			loss.CausePausedByRead, 1.5,
		},
		"no other prompt sent during the pause": {
			[]string{
				sent(0, "a", `"EstimateMs":100`), answered(1000, `"AgeMs":1000,"FirstMs":120,"PauseMs":400,"PauseAtMs":700`),
				at(900, "two", `"message":"request sent","Request":"b","Replica":"e1"`),
			},
			loss.CausePaused, 1.5,
		},
		"several attempts": {
			[]string{sent(0, "a", `"EstimateMs":100`), sent(200, "a", `"EstimateMs":100`), answered(1000, `"AgeMs":1000,"FirstMs":350`)},
			loss.CauseRepeated, 1.5,
		},
		"refused":                  {[]string{at(200, "one", `"message":"request refused","Request":"a","Route":"short","Value":2,"Reason":"Overloaded","AgeMs":180`)}, loss.CauseRefused, 2},
		"refused again":            {[]string{at(200, "one", `"message":"request refused","Request":"a","Route":"short","Value":2,"Reason":"DeadlineExceeded","Back":true`)}, loss.CauseRefusedAgain, 2},
		"instance restarted":       {[]string{sent(0, "a", `"EstimateMs":100`), at(900, "one", `"message":"started"`)}, loss.CauseInstanceStopped, 0},
		"another instance started": {[]string{sent(0, "a", `"EstimateMs":100`), at(900, "two", `"message":"started"`), answered(1000, `"AgeMs":1000,"FirstMs":120`)}, "", 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var logs loss.Logs
			assert.NilError(t, logs.Read("log", strings.NewReader("not a line\n"+strings.Join(tc.lines, "\n"))))
			rp := logs.Report()
			assert.Equal(t, rp.Skipped, 1)
			if tc.cause == "" {
				assert.Equal(t, len(rp.Losses), 0)
				assert.Equal(t, rp.InTime, 1)
				return
			}
			assert.Equal(t, len(rp.Losses), 1)
			assert.Equal(t, rp.Losses[0].Cause, tc.cause)
			assert.Equal(t, rp.Losses[0].Worth, tc.lost)
			assert.Equal(t, rp.Requests, 1)
			var table strings.Builder
			rp.Write(&table, time.Second)
			assert.Assert(t, strings.Contains(table.String(), string(tc.cause)))
		})
	}
}
