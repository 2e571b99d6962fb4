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
	// maxReadyBatches is the maximum number of batches of cache events that are kept for readers.
	maxReadyBatches = 256
	// maxPollWait is the maximum time that a read of cache events waits for the next batch.
	maxPollWait = 5 * time.Second
)

// timedBatch is a batch with the time at which it was closed.
type timedBatch struct {
	at    time.Time
	batch event.CacheChanged
}

// cacheLog collects cache events in batches, which can be read after a lag. Some batches are lost.
type cacheLog struct {
	// last is the sequence number of the last event; the first event has number 1.
	last int64
	// first is the sequence number of the first event in the open batch.
	first int64
	// cleared reports whether the cache was cleared during the open batch.
	cleared bool
	// net has the net changes of the open batch by block hash: true if the block was added, false if it was removed.
	net      map[uint64]bool
	openedAt time.Time
	pending  []timedBatch
	ready    []event.CacheChanged
	// changed is closed and replaced when a batch becomes readable.
	changed chan struct{}
}

func newCacheLog() cacheLog {
	return cacheLog{first: 1, net: map[uint64]bool{}, changed: make(chan struct{})}
}

// recordAdded records that a block was added.
func (cl *cacheLog) recordAdded(hash uint64) {
	cl.record(hash, true)
}

// recordRemoved records that blocks were evicted.
func (cl *cacheLog) recordRemoved(hashes []uint64) {
	for _, hash := range hashes {
		cl.record(hash, false)
	}
}

// record records one event in the open batch. A removal and an addition of the same block in one batch cancel each other,
// since the events of a batch have no order.
func (cl *cacheLog) record(hash uint64, added bool) {
	cl.last++
	if before, ok := cl.net[hash]; ok && before != added {
		delete(cl.net, hash)
		return
	}
	cl.net[hash] = added
}

// recordCleared records that the whole cache was lost.
func (cl *cacheLog) recordCleared() {
	cl.last++
	cl.cleared = true
	clear(cl.net)
}

// flush closes the open batch when its period is over and publishes the batches whose lag has passed.
func (cl *cacheLog) flush(now time.Time, en *Engine) {
	if now.Sub(cl.openedAt) >= en.opts.CachePeriod {
		cl.close(now, en.random.Float64() < en.opts.CacheGap)
	}
	published := false
	for len(cl.pending) > 0 && now.Sub(cl.pending[0].at) >= en.opts.CacheLag {
		cl.ready = append(cl.ready, cl.pending[0].batch)
		cl.pending = cl.pending[1:]
		published = true
	}
	if over := len(cl.ready) - maxReadyBatches; over > 0 {
		cl.ready = slices.Clone(cl.ready[over:])
	}
	if published {
		close(cl.changed)
		cl.changed = make(chan struct{})
	}
}

// close closes the open batch unless it is empty. A lost batch is discarded.
func (cl *cacheLog) close(now time.Time, lost bool) {
	cl.openedAt = now
	if cl.first > cl.last {
		return
	}
	batch := event.CacheChanged{First: cl.first, Last: cl.last, Cleared: cl.cleared}
	for hash, added := range cl.net {
		if added {
			batch.Added = append(batch.Added, hash)
		} else {
			batch.Removed = append(batch.Removed, hash)
		}
	}
	cl.first = cl.last + 1
	cl.cleared = false
	clear(cl.net)
	if !lost {
		cl.pending = append(cl.pending, timedBatch{now, batch})
	}
}

// batchesAfter returns the batches after the event with the given sequence number. A number higher than any assigned one
// comes from an earlier run of the engine, whose cache is lost; the result then starts with a batch that clears the cache.
func (cl *cacheLog) batchesAfter(number int64) []event.CacheChanged {
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

// cacheEvents answers with the batches after a sequence number. If there are none, it waits up to maxPollWait.
func (en *Engine) cacheEvents(w http.ResponseWriter, req *http.Request) {
	number, err := strconv.ParseInt(req.FormValue("after"), 10, 64)
	if err != nil {
		http.Error(w, "give after as a whole number", http.StatusBadRequest)
		return
	}
	limit := time.NewTimer(maxPollWait)
	defer limit.Stop()
	for {
		en.mu.Lock()
		batches, changed := en.log.batchesAfter(number), en.log.changed
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
