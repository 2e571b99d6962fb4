package memory

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const (
	testBound = 1 << 20
	// long is a reservation of which two fit.
	long = 400 << 10
)

func TestAccountStaysWithinItsBound(t *testing.T) {
	// Guards against a process that is killed for its memory: many requests reserve, wait, give up and release at the same time, and the sum
	// of what is held exceeds the bound, or bytes stay counted that nobody holds any more, until nothing fits.
	ac := New(testBound)
	var callers sync.WaitGroup
	for seed := range uint64(64) {
		callers.Go(func() {
			rnd := rand.New(rand.NewPCG(seed, 0))
			for range 200 {
				size := rnd.Int64N(2*SmallBody) + rnd.Int64N(2)*long
				if rnd.IntN(4) == 0 {
					if ac.Try(Answers, int(size)) {
						ac.Release(Answers, size)
					}
					continue
				}
				if _, err := ac.Reserve(context.Background(), Bodies, size, time.Duration(rnd.IntN(2000))*time.Microsecond); err != nil {
					continue
				}
				time.Sleep(time.Duration(rnd.IntN(100)) * time.Microsecond)
				ac.Release(Bodies, size)
			}
		})
	}
	callers.Wait()
	assert.Assert(t, ac.Peak() <= testBound, ac.Peak())
	assert.Equal(t, ac.Total(), int64(0))
	assert.Equal(t, ac.Held(Bodies)+ac.Held(Answers), int64(0))
	count, bytes := ac.Waiting()
	assert.Equal(t, count+bytes, int64(0))
}

// reserved reserves the bytes in the background and returns the channel that receives the result.
func (ac *Account) reserved(size int64, wait time.Duration) <-chan error {
	result := make(chan error, 1)
	go func() {
		_, err := ac.Reserve(context.Background(), Bodies, size, wait)
		result <- err
	}()
	synctest.Wait()
	return result
}

func TestReservationsWaitForTheirTurn(t *testing.T) {
	// Guards against a long body that is never read, since shorter ones take what is released, and against short ones that wait behind a burst
	// of long ones.
	synctest.Test(t, func(t *testing.T) {
		ac := New(testBound)
		assert.NilError(t, <-ac.reserved(long, 0))
		assert.NilError(t, <-ac.reserved(long, 0))
		first, second := ac.reserved(long, time.Minute), ac.reserved(100<<10, time.Minute)
		assert.NilError(t, <-ac.reserved(SmallBody, 0))
		assert.Assert(t, !ac.TryNew(Detours, 100<<10))
		assert.Equal(t, len(first)+len(second), 0)
		ac.Release(Bodies, long)
		assert.NilError(t, <-first)
		synctest.Wait()
		assert.Equal(t, len(second), 0)
		ac.Release(Bodies, long)
		assert.NilError(t, <-second)
	})
}

func TestReservationsAreRefusedInTime(t *testing.T) {
	// Guards against requests that wait for memory until their callers have left. Each wait ends at its limit, what can never fit or is not
	// expected in time is refused at once, and a refused waiter does not block those behind it.
	cases := map[string]struct {
		size int64
		wait time.Duration
		// held is the time for which reservations were held lately, and ahead is what waits before this one.
		held  time.Duration
		ahead int64
		close bool
		want  Refusal
		after time.Duration
	}{
		"turn does not come":    {size: long, wait: time.Second, want: TimedOut, after: time.Second},
		"never fits":            {size: testBound, wait: time.Second, want: TooLarge},
		"not expected in time":  {size: long, wait: time.Second, held: 10 * time.Second, ahead: long, want: TooLate},
		"first waits in spite":  {size: long, wait: time.Second, held: 10 * time.Second, want: TimedOut, after: time.Second},
		"expected in time":      {size: long, wait: time.Second, held: time.Second, ahead: 100 << 10, want: TimedOut, after: time.Second},
		"process shuts down":    {size: long, wait: time.Second, close: true, want: Closed},
		"small one, no room":    {size: SmallBody, wait: time.Second, want: TimedOut, after: time.Second},
		"small one, never fits": {size: SmallBody, wait: 0, want: TimedOut},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ac := New(testBound)
				assert.Assert(t, ac.Try(Answers, testBound))
				ac.hold = tc.held
				var ahead <-chan error
				if tc.ahead > 0 {
					ahead = ac.reserved(tc.ahead, time.Hour)
				}
				if tc.close {
					ac.Close()
				}
				began := time.Now()
				_, err := ac.Reserve(t.Context(), Bodies, tc.size, tc.wait)
				assert.Equal(t, err, error(tc.want))
				assert.Equal(t, time.Since(began), tc.after)
				ac.Release(Answers, testBound)
				if tc.ahead > 0 {
					assert.NilError(t, <-ahead)
				}
				assert.Equal(t, ac.Total(), tc.ahead)
			})
		})
	}
}

func TestWaitEndsWithTheContextAndTheProcess(t *testing.T) {
	// Guards against a wait that outlasts its caller or the drain of the process.
	synctest.Test(t, func(t *testing.T) {
		ac := New(testBound)
		assert.Assert(t, ac.Try(Answers, testBound))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		waited, err := ac.Reserve(ctx, Bodies, long, time.Hour)
		assert.Equal(t, err, error(CallerLeft))
		assert.Equal(t, waited, time.Second)
		waiting := ac.reserved(long, time.Hour)
		ac.Close()
		assert.Equal(t, <-waiting, error(Closed))
		ac.Release(Answers, testBound)
		assert.Assert(t, ac.TryNew(Bodies, long))
	})
}

func TestAccountWithoutBoundCounts(t *testing.T) {
	ac := New(0)
	assert.Assert(t, ac.TryNew(Bodies, 1<<40))
	assert.Assert(t, ac.Try(Answers, 1<<20))
	assert.Equal(t, ac.Total(), int64(1<<40+1<<20))
	assert.Equal(t, ac.Peak(), int64(1<<40+1<<20))
}

func TestLimitIsReadFromTheSetting(t *testing.T) {
	// Guards against a process that does not start because its platform states no memory, which renders an empty text.
	cases := map[string]struct {
		text    string
		want    Limit
		bound   int64
		invalid bool
	}{
		"empty":          {"", DefaultMB * MB, 129_600_000, false},
		"whole":          {"284", 284 * MB, 146_400_000, false},
		"fraction":       {"284.5", 284_500_000, 146_700_000, false},
		"little":         {"48", 48 * MB, 6_000_000, false},
		"none":           {"0", 0, 0, false},
		"less than 1 MB": {"0.5", 0, 0, true},
		"negative":       {"-1", 0, 0, true},
		"not a number":   {"NaN", 0, 0, true},
		"infinite":       {"Inf", 0, 0, true},
		"a word":         {"much", 0, 0, true},
		"with a unit":    {"256MB", 0, 0, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var lim Limit
			err := lim.UnmarshalFlag(tc.text)
			assert.Equal(t, err != nil, tc.invalid)
			assert.Equal(t, lim, tc.want)
			assert.Equal(t, lim.Bound(), tc.bound)
		})
	}
}

func BenchmarkReserveSmall(b *testing.B) {
	ac := New(testBound << 10)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if ac.TryNew(Bodies, 300) {
				ac.Release(Bodies, 300)
			}
		}
	})
}
