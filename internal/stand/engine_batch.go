package stand

import "time"

// job is one request in the engine: a completion, or the prefill of a segment, which has no answer.
type job struct {
	id string
	// promptHash is the fingerprint of the prompt.
	promptHash uint32
	// start is the first position that this engine computes; the positions before it are imported.
	start int64
	// target is the position at which prefill ends. The known part of a resumed answer counts as prompt.
	target int64
	// prefilled is the position that prefill has reached.
	prefilled int64
	// partialCost is the budget already spent on the next position, less than the position costs.
	partialCost float64
	// answerTokens is the length of the answer, 0 for a segment.
	answerTokens int64
	// nextToken is the index of the answer's token that is decoded next.
	nextToken int64
	// memory is the number of tokens that the job reserves: its positions and its answer, without pinned cache blocks.
	memory int64
	// prefixes are the chained hashes of the prompt's blocks.
	prefixes []uint64
	// pinned is the number of leading blocks that the job pins in the cache.
	pinned   int
	priority int
	admitted bool
	// failedFreeCount is the engine's freeCount at the job's last failed attempt to reserve memory, -1 before the first.
	failedFreeCount int64
	// cancelled is true if the job ended before its answer was complete.
	cancelled bool
	// tokens receives the index of each decoded token and is closed when the job ends.
	tokens chan int64
	// done is closed when the caller leaves.
	done <-chan struct{}
}

func (jb *job) isSegment() bool {
	return jb.answerTokens == 0
}

func (jb *job) finished() bool {
	return jb.prefilled >= jb.target && jb.nextToken >= jb.answerTokens
}

// step makes one step of the batch. The caller holds the lock.
func (en *Engine) step(now time.Time) {
	en.steps++
	en.removeEnded()
	en.admit()
	budget := float64(en.opts.PrefillChunk)
	for _, jb := range en.jobs {
		if jb.isDecoding() {
			budget--
		}
	}
	en.work += float64(en.opts.PrefillChunk) - en.prefill(budget)
	for _, jb := range en.jobs {
		if jb.isDecoding() {
			jb.tokens <- jb.nextToken
			jb.nextToken++
		}
	}
	en.removeEnded()
	en.recordLoad(now)
	en.log.flush(now, en)
}

// isDecoding reports whether the job is prefilled and has tokens left to decode.
func (jb *job) isDecoding() bool {
	return jb.admitted && jb.prefilled >= jb.target && jb.nextToken < jb.answerTokens
}

// removeEnded removes the jobs that are finished or cancelled or whose caller left, and releases their memory.
func (en *Engine) removeEnded() {
	kept := en.jobs[:0]
	for _, jb := range en.jobs {
		if !jb.finished() && !jb.cancelled && !isClosed(jb.done) {
			kept = append(kept, jb)
			continue
		}
		jb.cancelled = !jb.finished()
		en.release(jb)
		close(jb.tokens)
	}
	clear(en.jobs[len(kept):])
	en.jobs = kept
}

// release frees the memory of an admitted job. The blocks that it computed stay in the cache until they are evicted; a
// finished segment is exported instead.
func (en *Engine) release(jb *job) {
	if !jb.admitted {
		return
	}
	en.reservedTokens -= jb.memory
	en.freeCount++
	en.cache.unpin(jb.prefixes[:jb.pinned])
	switch {
	case jb.cancelled:
	case jb.isSegment():
		en.exports.add(jb.id, segment{From: jb.start, To: jb.target}, jb.promptHash)
	default:
		delete(en.exports, jb.id)
	}
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// admit reserves memory for waiting requests by priority, then by arrival. The first request that does not fit blocks the
// others; otherwise a long prompt would starve behind short ones of the same priority.
func (en *Engine) admit() {
	running := 0
	for _, jb := range en.jobs {
		if jb.admitted {
			running++
		}
	}
	for running < en.opts.MaxBatch {
		best := en.nextWaiting()
		if best == nil || !en.reserve(best) {
			return
		}
		running++
	}
}

// nextWaiting returns the oldest waiting job of the highest priority, or nil if none waits.
func (en *Engine) nextWaiting() *job {
	var best *job
	for _, jb := range en.jobs {
		if !jb.admitted && (best == nil || jb.priority > best.priority) {
			best = jb
		}
	}
	return best
}

// reserve reserves memory for the job's whole prompt and answer, so that an admitted job is never preempted, and reports
// whether there was room. Cached leading blocks are shared, and unpinned blocks are evicted to make room.
func (en *Engine) reserve(jb *job) bool {
	if jb.failedFreeCount == en.freeCount {
		return false
	}
	hits := 0
	if jb.start == 0 && !jb.isSegment() {
		hits = en.cache.match(jb.prefixes)
	}
	// At least the last position must be computed, since the first token of the answer results from it.
	for int64(hits)*blockTokens >= jb.target {
		hits--
	}
	en.cache.pin(jb.prefixes[:hits])
	shared := int64(hits) * blockTokens
	need := jb.memory - shared
	room := en.opts.MemoryTokens - en.usedTokens()
	if need > room {
		en.cache.unpin(jb.prefixes[:hits])
		jb.failedFreeCount = en.freeCount
		return false
	}
	en.log.recordRemoved(en.cache.evict(room - need))
	jb.admitted = true
	jb.pinned = hits
	jb.memory = need
	jb.prefilled = max(jb.prefilled, shared)
	en.reservedTokens += need
	return true
}

// prefill spends the budget left in a step on the admitted requests by priority, then by arrival. It returns the budget
// that no request needed.
func (en *Engine) prefill(budget float64) float64 {
	for budget > 0 {
		var best *job
		for _, jb := range en.jobs {
			if jb.admitted && jb.prefilled < jb.target && (best == nil || jb.priority > best.priority) {
				best = jb
			}
		}
		if best == nil {
			return budget
		}
		budget = en.advance(best, budget)
	}
	return 0
}

// cost returns the cost of prefilling one position, which attention makes grow with the position.
func (en *Engine) cost(position int64) float64 {
	if en.opts.AttentionTokens <= 0 {
		return 1
	}
	return 1 + float64(position)/float64(en.opts.AttentionTokens)
}

// advance prefills one job as far as the budget allows and returns the rest of the budget. All positions of one step are
// charged the cost of the first one, since the costs of so few positions hardly differ.
func (en *Engine) advance(jb *job, budget float64) float64 {
	cost := en.cost(jb.prefilled)
	budget += jb.partialCost
	jb.partialCost = 0
	part := min(int64(budget/cost), jb.target-jb.prefilled)
	jb.prefilled += part
	budget -= float64(part) * cost
	if jb.prefilled < jb.target {
		jb.partialCost = budget
		return 0
	}
	en.shareBlocks(jb)
	return budget
}

// shareBlocks moves the complete blocks of a prefilled prompt from the job's own memory into the cache, where other requests
// can use them. Jobs with imports and segments share nothing.
func (en *Engine) shareBlocks(jb *job) {
	if jb.start > 0 || jb.isSegment() {
		return
	}
	en.freeCount++
	for _, hash := range jb.prefixes[jb.pinned:] {
		if en.cache.add(hash) {
			en.log.recordAdded(hash)
		}
		en.cache.pin([]uint64{hash})
		jb.pinned++
		jb.memory -= blockTokens
		en.reservedTokens -= blockTokens
	}
}

// queuedWork returns the number of accepted prompt tokens that are not prefilled yet.
func (en *Engine) queuedWork() int64 {
	var work int64
	for _, jb := range en.jobs {
		work += jb.target - jb.prefilled
	}
	return work
}
