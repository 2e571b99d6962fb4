package stand

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"dandelionsail.example/dandelionsail/internal/body"
)

// EngineFaults are the faults injected into an engine. The zero value injects none. Shares are from 0 to 1.
type EngineFaults struct {
	// Cross is the share of chunks that are preceded by a chunk of another request.
	Cross float64
	// Cut is the share of chunks at which the connection is cut instead.
	Cut float64
	// Repeat is the share of chunks that are sent twice.
	Repeat float64
	// Drop is the share of chunks that are not sent.
	Drop float64
	// Delay is the share of chunks that are delayed by DelayTime.
	Delay float64
	// DelayTime is the delay of a delayed chunk.
	DelayTime time.Duration
	// Freeze stops the batch while connections stay open.
	Freeze bool
	// Slow is the factor by which a step takes longer; it has no effect up to 1.
	Slow float64
	// Refuse makes the engine refuse every request as not run.
	Refuse bool
	// Seed reseeds the random draws unless it is 0.
	Seed uint64
}

func (en *Engine) setFaults(w http.ResponseWriter, req *http.Request) {
	var faults EngineFaults
	if err := json.NewDecoder(req.Body).Decode(&faults); err != nil {
		http.Error(w, "send the faults as JSON: "+err.Error(), http.StatusBadRequest)
		return
	}
	en.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

// SetFaults replaces the faults in effect.
func (en *Engine) SetFaults(faults EngineFaults) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.faults = faults
	if faults.Seed != 0 {
		en.random = rand.New(rand.NewPCG(faults.Seed, faults.Seed))
	}
}

// chunkFaults are the faults drawn for one chunk. The fields correspond to those of EngineFaults.
type chunkFaults struct {
	cross, cut, repeat, drop bool
	delay                    time.Duration
}

// draw draws the faults of the next chunk.
func (en *Engine) draw() chunkFaults {
	en.mu.Lock()
	defer en.mu.Unlock()
	fa := &en.faults
	hit := func(share float64) bool { return share > 0 && en.random.Float64() < share }
	cf := chunkFaults{cross: hit(fa.Cross), cut: hit(fa.Cut), repeat: hit(fa.Repeat), drop: hit(fa.Drop)}
	if hit(fa.Delay) {
		cf.delay = fa.DelayTime
	}
	return cf
}

// send writes one chunk and applies the faults drawn for it.
func (en *Engine) send(w http.ResponseWriter, jb *job, bd *body.Body, token int64) {
	cf := en.draw()
	time.Sleep(cf.delay)
	if cf.cut {
		en.cancel(jb.id)
		panic(http.ErrAbortHandler)
	}
	if cf.cross {
		other := &job{id: jb.id + "-other", promptHash: jb.promptHash + 1, answerTokens: jb.answerTokens}
		writeToken(w, other, bd, token)
	}
	if !cf.drop {
		writeToken(w, jb, bd, token)
	}
	if cf.repeat {
		writeToken(w, jb, bd, token)
	}
	_ = http.NewResponseController(w).Flush()
}

// crash ends the process if the engine has one of its own. Otherwise it cuts the connections and discards everything in
// memory.
func (en *Engine) crash() {
	if en.opts.Crash != nil {
		en.opts.Crash()
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	for _, jb := range en.jobs {
		jb.cancelled = true
	}
	en.removeEnded()
	en.cache = newPrefixCache()
	en.exports = exports{}
	en.log.recordCleared()
	en.freeCount++
}
