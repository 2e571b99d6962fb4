package entry_test

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/memory"
)

func TestLongBodiesStayWithinMemory(t *testing.T) {
	// Guards against a process that is killed for its memory with everything that it holds: many callers send long bodies at once, and all of them
	// are read although only some fit. Each request must be answered or refused as not run, and what is held must stay within the bound.
	const (
		limit   = 64 * memory.MB
		length  = 1 << 20
		callers = 50
	)
	for name, chunked := range map[string]bool{"length known": false, "length unknown": true} {
		t.Run(name, func(t *testing.T) {
			var ran atomic.Int64
			rg := newRig(t, rigOptions{Memory: limit, Plain: []http.Handler{http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				raw, err := io.ReadAll(req.Body)
				if err != nil || len(raw) != length {
					w.WriteHeader(http.StatusTeapot)
					return
				}
				ran.Add(1)
				time.Sleep(50 * time.Millisecond)
				_, _ = w.Write([]byte("done"))
			})}})
			var served, refused atomic.Int64
			var all sync.WaitGroup
			for range callers {
				all.Go(func() {
					resp, text := rg.sendLong(bytes.Repeat([]byte("x"), length), chunked)
					switch {
					case resp == nil:
						t.Error("a request has no answer: " + text)
					case resp.StatusCode == http.StatusOK:
						served.Add(1)
					case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != "":
						refused.Add(1)
					default:
						t.Error(resp.Status, text)
					}
				})
			}
			all.Wait()
			assert.Equal(t, served.Load()+refused.Load(), int64(callers))
			assert.Equal(t, ran.Load(), served.Load())
			assert.Assert(t, served.Load() > 0)
			rg.waitEmpty()
			gauges := map[string]int64{"Memory.TotalBytes": 1}
			for deadline := time.Now().Add(10 * time.Second); gauges["Memory.TotalBytes"] > 0 && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
				rg.instance.MemoryGauges(func(name string, value int64) { gauges[name] = value })
			}
			assert.Equal(t, gauges["Memory.TotalBytes"], int64(0))
			assert.Assert(t, gauges["Memory.PeakBytes"] <= memory.Limit(limit).Bound(), gauges["Memory.PeakBytes"])
			assert.Assert(t, gauges["Memory.PeakBytes"] > memory.Limit(limit).Bound()/2, gauges["Memory.PeakBytes"])
		})
	}
}

// sendLong sends an update with the body and returns the answer, nil and the error if there is none.
func (rg *rig) sendLong(body []byte, chunked bool) (*http.Response, string) {
	req, err := http.NewRequest(http.MethodPut, "http://"+rg.address+"/board/1", bytes.NewReader(body))
	if err != nil {
		return nil, err.Error()
	}
	if chunked {
		req.ContentLength, req.GetBody = -1, nil
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := rg.client.Do(req)
	if err != nil {
		return nil, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err.Error()
	}
	return resp, string(text)
}
