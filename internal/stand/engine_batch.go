package stand

import "time"

// job is one request in the engine: a completion, or the prefill of one segment, which has no answer.
type job struct {
	id string
	// key names the content of the prompt.
	key uint32
	// start is the first position computed here; what is before it is imported.
	start int64
	// target is the position up to which prefill goes; a resumed answer counts as prompt.
	target int64
	// prefilled is the position reached.
	prefilled int64
	// spent is cost paid towards the next position, below its cost.
	spent float64
	// answer is the length of the answer, and next the next token of it.
	answer int64
	next   int64
	// memory is what the job reserves: its positions and its answer, without the cache blocks it shares.
	memory int64
	// prefixes name the blocks of the prompt; pinned is how many of them it holds in the cache.
	prefixes []uint64
	pinned   int
	priority int
	admitted bool
	// triedAt is the engine's count of freed memory when the job last found no room.
	triedAt int64
	// cancelled tells that the job ended before its whole answer.
	cancelled bool
	tokens    chan int64
	done      <-chan struct{}
}

func (jb *job) isSegment() bool {
	return jb.answer == 0
}

func (jb *job) finished() bool {
	return jb.prefilled >= jb.target && jb.next >= jb.answer
}

// step makes one step of the batch; the lock is held.
func (en *Engine) step(now time.Time) {
	en.steps++
	en.removeEnded()
	en.admit()
	budget := float64(en.opts.PrefillChunk)
	for _, jb := range en.jobs {
		if jb.decodes() {
			budget--
		}
	}
	en.work += float64(en.opts.PrefillChunk) - en.prefill(budget)
	for _, jb := range en.jobs {
		if jb.decodes() {
			jb.tokens <- jb.next
			jb.next++
		}
	}
	en.removeEnded()
	en.report(now)
	en.log.flush(now, en)
}

func (jb *job) decodes() bool {
	return jb.admitted && jb.prefilled >= jb.target && jb.next < jb.answer
}

// removeEnded frees the memory of requests that are whole, dropped, or whose caller left.
func (en *Engine) removeEnded() {
	kept := en.jobs[:0]
	for _, jb := range en.jobs {
		if !jb.finished() && !jb.cancelled && !closed(jb.done) {
			kept = append(kept, jb)
			continue
		}
		jb.cancelled = !jb.finished()
		en.free(jb)
		close(jb.tokens)
	}
	clear(en.jobs[len(kept):])
	en.jobs = kept
}

// free gives back what an admitted job holds. The blocks it computed stay in the cache until they are evicted; those
// of a segment are exported instead.
func (en *Engine) free(jb *job) {
	if !jb.admitted {
		return
	}
	en.used -= jb.memory
	en.freed++
	en.cache.unpin(jb.prefixes[:jb.pinned])
	switch {
	case jb.cancelled:
	case jb.isSegment():
		en.exports.add(jb.id, segment{From: jb.start, To: jb.target}, jb.key)
	default:
		delete(en.exports, jb.id)
	}
}

func closed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// admit gives memory to waiting requests by priority, then by arrival. The first that does not fit holds up the
// others, so that a long prompt cannot starve behind short ones of its own priority.
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

func (en *Engine) nextWaiting() *job {
	var best *job
	for _, jb := range en.jobs {
		if !jb.admitted && (best == nil || jb.priority > best.priority) {
			best = jb
		}
	}
	return best
}

// reserve takes the job's whole memory, prompt and answer, so that nothing admitted is ever preempted. Cached leading
// blocks are shared, and blocks that no request holds are evicted for what is missing.
func (en *Engine) reserve(jb *job) bool {
	if jb.triedAt == en.freed {
		return false
	}
	hits := 0
	if jb.start == 0 && !jb.isSegment() {
		hits = en.cache.match(jb.prefixes)
	}
	// At least the last position has to be computed for there to be a first token.
	for int64(hits)*blockTokens >= jb.target {
		hits--
	}
	en.cache.pin(jb.prefixes[:hits])
	shared := int64(hits) * blockTokens
	need := jb.memory - shared
	room := en.opts.MemoryTokens - en.held()
	if need > room {
		en.cache.unpin(jb.prefixes[:hits])
		jb.triedAt = en.freed
		return false
	}
	en.log.removed(en.cache.evict(room - need))
	jb.admitted = true
	jb.pinned = hits
	jb.memory = need
	jb.prefilled = max(jb.prefilled, shared)
	en.used += need
	return true
}

// prefill spends what is left of a step's budget on the admitted requests by priority, then by arrival. It returns what
// nobody needed.
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

// cost is the work of one position: attention makes a late one dearer.
func (en *Engine) cost(position int64) float64 {
	if en.opts.AttentionTokens <= 0 {
		return 1
	}
	return 1 + float64(position)/float64(en.opts.AttentionTokens)
}

// advance prefills one job as far as the budget goes and returns what is left. The cost is taken as even over one
// step, whose few positions hardly differ.
func (en *Engine) advance(jb *job, budget float64) float64 {
	cost := en.cost(jb.prefilled)
	budget += jb.spent
	jb.spent = 0
	part := min(int64(budget/cost), jb.target-jb.prefilled)
	jb.prefilled += part
	budget -= float64(part) * cost
	if jb.prefilled < jb.target {
		jb.spent = budget
		return 0
	}
	en.share(jb)
	return budget
}

// share moves the whole blocks that a prompt computed from its own memory into the cache, where others find them.
func (en *Engine) share(jb *job) {
	if jb.start > 0 || jb.isSegment() {
		return
	}
	en.freed++
	for _, hash := range jb.prefixes[jb.pinned:] {
		if en.cache.add(hash) {
			en.log.added(hash)
		}
		en.cache.pin([]uint64{hash})
		jb.pinned++
		jb.memory -= blockTokens
		en.used -= blockTokens
	}
}

// queuedWork is the prompt work accepted and not done.
func (en *Engine) queuedWork() int64 {
	var work int64
	for _, jb := range en.jobs {
		work += jb.target - jb.prefilled
	}
	return work
}
