package stand

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"dandelionsail.example/dandelionsail/internal/event"
)

const (
	// batchesKept is how many batches of cache events can be read back.
	batchesKept = 256
	// pollTime is how long a read of cache events waits for the next batch.
	pollTime = 5 * time.Second
)

type timedBatch struct {
	at    time.Time
	batch event.CacheChanged
}

// cacheLog gathers cache events into batches that can be read some time later; some are lost.
type cacheLog struct {
	// last numbers the events from 1.
	last int64
	// first, cleared and net make the open batch; net tells for each block whether it came or went.
	first   int64
	cleared bool
	net     map[uint64]bool
	since   time.Time
	waiting []timedBatch
	ready   []event.CacheChanged
	// changed is closed and replaced when a batch can be read.
	changed chan struct{}
}

func newCacheLog() cacheLog {
	return cacheLog{first: 1, net: map[uint64]bool{}, changed: make(chan struct{})}
}

// added notes a block that came. One that went and came back within a batch is left out of it, since a batch has no
// order.
func (cl *cacheLog) added(hash uint64) {
	cl.note(hash, true)
}

func (cl *cacheLog) removed(hashes []uint64) {
	for _, hash := range hashes {
		cl.note(hash, false)
	}
}

func (cl *cacheLog) note(hash uint64, came bool) {
	cl.last++
	if before, ok := cl.net[hash]; ok && before != came {
		delete(cl.net, hash)
		return
	}
	cl.net[hash] = came
}

// emptied notes that the whole cache is gone.
func (cl *cacheLog) emptied() {
	cl.last++
	cl.cleared = true
	clear(cl.net)
}

// flush closes the batch when its time is over and lets those be read whose lag has passed.
func (cl *cacheLog) flush(now time.Time, en *Engine) {
	if now.Sub(cl.since) >= en.opts.CachePeriod {
		cl.close(now, en.random.Float64() < en.opts.CacheGap)
	}
	arrived := false
	for len(cl.waiting) > 0 && now.Sub(cl.waiting[0].at) >= en.opts.CacheLag {
		cl.ready = append(cl.ready, cl.waiting[0].batch)
		cl.waiting = cl.waiting[1:]
		arrived = true
	}
	if over := len(cl.ready) - batchesKept; over > 0 {
		cl.ready = slices.Clone(cl.ready[over:])
	}
	if arrived {
		close(cl.changed)
		cl.changed = make(chan struct{})
	}
}

func (cl *cacheLog) close(now time.Time, lost bool) {
	cl.since = now
	if cl.first > cl.last {
		return
	}
	batch := event.CacheChanged{First: cl.first, Last: cl.last, Cleared: cl.cleared}
	for hash, came := range cl.net {
		if came {
			batch.Added = append(batch.Added, hash)
		} else {
			batch.Removed = append(batch.Removed, hash)
		}
	}
	cl.first = cl.last + 1
	cl.cleared = false
	clear(cl.net)
	if !lost {
		cl.waiting = append(cl.waiting, timedBatch{now, batch})
	}
}

// after returns the batches behind the number. A reader with a number that was never given out read an earlier run of
// the engine, whose cache is gone.
func (cl *cacheLog) after(number int64) []event.CacheChanged {
	if number > cl.last {
		return append([]event.CacheChanged{{Cleared: true}}, cl.ready...)
	}
	var batches []event.CacheChanged
	for _, batch := range cl.ready {
		if batch.First > number {
			batches = append(batches, batch)
		}
	}
	return batches
}

// cacheEvents answers with the batches after a number, waiting for some time if there are none.
func (en *Engine) cacheEvents(w http.ResponseWriter, req *http.Request) {
	number, err := strconv.ParseInt(req.FormValue("after"), 10, 64)
	if err != nil {
		http.Error(w, "give after as a whole number", http.StatusBadRequest)
		return
	}
	limit := time.NewTimer(pollTime)
	defer limit.Stop()
	for {
		en.mu.Lock()
		batches, changed := en.log.after(number), en.log.changed
		en.mu.Unlock()
		if len(batches) > 0 {
			_ = json.NewEncoder(w).Encode(batches)
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			_, _ = w.Write([]byte("[]\n"))
			return
		case <-req.Context().Done():
			return
		}
	}
}
