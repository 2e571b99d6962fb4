package entry

import "dandelionsail.example/dandelionsail/internal/core"

// Held returns how many requests the shell and the reducer still hold.
func (in *Instance) Held() (calls, requests int) {
	in.mu.Lock()
	calls = len(in.calls)
	in.mu.Unlock()
	in.loop.View(func(st *core.State) { requests = len(st.Requests) })
	return calls, requests
}
