package entry

import "dandelionsail.example/dandelionsail/internal/core"

// Held returns the number of calls that the instance still holds and the number of requests that its reducer still holds.
func (in *Instance) Held() (calls, requests int) {
	in.mu.Lock()
	calls = len(in.calls)
	in.mu.Unlock()
	in.loop.View(func(st *core.State) { requests = len(st.Requests) })
	return calls, requests
}
