package memory

import (
	"bytes"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestSlowBodyIsInterruptedOnlyWhileOthersWait(t *testing.T) {
	// Guards against slow senders that keep others from being read, against slow senders that are refused although nobody waits, and against
	// an instance on a narrow link that interrupts all bodies, though each makes progress.
	cases := map[string]struct {
		// pressedAt is when others begin to wait.
		pressedAt time.Duration
		// perS is what arrives in a second of the 1,000 bytes that are expected within 20 s, until nothing arrives any more.
		perS  int
		until time.Duration
		// unknown reports whether it is not known how long the body is.
		unknown bool
		// interruptedAt is 0 if the body must not be interrupted.
		interruptedAt time.Duration
	}{
		"stalled, nobody waits":         {pressedAt: time.Hour},
		"stalled, others wait":          {interruptedAt: time.Second},
		"stalled, others wait later":    {pressedAt: 5 * time.Second, interruptedAt: 5 * time.Second},
		"slow, others wait":             {perS: 40, until: time.Hour, interruptedAt: time.Second},
		"slow, others wait later":       {pressedAt: 5 * time.Second, perS: 40, until: time.Hour, interruptedAt: 5 * time.Second},
		"in time on a narrow link":      {perS: 60, until: time.Hour},
		"stalls near the end":           {perS: 300, until: 3 * time.Second, interruptedAt: 4250 * time.Millisecond},
		"slow, length unknown":          {perS: 10, until: time.Hour, unknown: true},
		"stalls, length unknown":        {perS: 10, until: 3 * time.Second, unknown: true, interruptedAt: 4250 * time.Millisecond},
		"over before anybody else came": {pressedAt: 18 * time.Second, perS: 60, until: time.Hour},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				interrupted := make(chan time.Duration, 1)
				guard := &SlowGuard{
					From: bytes.NewReader(make([]byte, 1000)), Rest: 1000, Deadline: began.Add(20 * time.Second),
					Pressed:   func() bool { return time.Since(began) >= tc.pressedAt },
					Interrupt: func() { interrupted <- time.Since(began) },
				}
				if tc.unknown {
					guard.Rest = -1
				}
				guard.Start()
				// Half a period beside the checks, so that their order does not matter.
				time.Sleep(slowCheckPeriod / 2)
				var err error
				for err == nil && len(interrupted) == 0 && time.Since(began) < 18*time.Second {
					if time.Since(began) < tc.until {
						_, err = guard.Read(make([]byte, tc.perS/10))
					}
					time.Sleep(100 * time.Millisecond)
				}
				assert.Equal(t, guard.End(), tc.interruptedAt > 0)
				time.Sleep(time.Minute)
				if tc.interruptedAt > 0 {
					at := <-interrupted
					assert.Assert(t, at >= tc.interruptedAt-slowCheckPeriod && at <= tc.interruptedAt+slowCheckPeriod, at)
				}
				assert.Equal(t, len(interrupted), 0)
			})
		})
	}
}
