package entry_test

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/upstr"
)

func TestCallersCannotSetInternalHeaders(t *testing.T) {
	// Guards against callers that send the headers meant for instances only: another organisation's cache handle, a high
	// priority, an offset. The engine must get these headers from the instance only, but the caller's harmless ones too.
	seen := make(chan http.Header, 1)
	engine := http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path != "/v1/completions" {
			return
		}
		seen <- req.Header.Clone()
		_, _ = fmt.Fprintf(w, "id: %s/0\ndata: [DONE]\n\n", req.Header.Get(upstr.HeaderRequest))
	})
	rg := newRig(t, rigOptions{Models: []http.Handler{engine}})
	header := http.Header{"X-Kept": {"yes"}, "Connection": {"X-Hop"}, "X-Hop": {"gone"}}
	forged := []string{
		upstr.HeaderRequest, upstr.HeaderPriority, upstr.HeaderOffset, upstr.HeaderImports, upstr.HeaderSegment,
		upstr.HeaderReservation, upstr.HeaderFence, upstr.HeaderRunState,
	}
	for _, name := range forged {
		header.Set(name, "999")
	}
	resp, err := rg.caller.Do(t.Context(), http.MethodPost, "/v1/completions", []byte(`{"model":"lyric","prompt":"p","stream":true}`), header)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	got := <-seen
	for _, name := range forged {
		assert.Check(t, got.Get(name) != "999", "%s came from the caller", name)
	}
	assert.Equal(t, got.Get("X-Kept"), "yes")
	assert.Equal(t, got.Get("X-Hop"), "")
	assert.Equal(t, got.Get("Authorization"), "")
}
