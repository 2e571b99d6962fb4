package entry

import (
	"time"

	"dandelionsail.example/dandelionsail/internal/core"
)

// RetryShare returns the instance's part of the slack of the retry budgets.
func (in *Instance) RetryShare() (share float64) {
	in.loop.View(func(st *core.State) { share = st.Admit.Division.Part(time.Now()).Share })
	return share
}

// Held returns the number of calls that the instance still holds and the number of requests that its reducer still holds.
func (in *Instance) Held() (calls, requests int) {
	in.mu.Lock()
	calls = len(in.calls)
	in.mu.Unlock()
	in.loop.View(func(st *core.State) { requests = len(st.Requests) })
	return calls, requests
}

// MemoryGauges calls set with the gauges of the memory account.
func (in *Instance) MemoryGauges(set func(name string, value int64)) { in.memory.Gauges(set) }
