package stand

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"dandelionsail.example/dandelionsail/internal/body"
)

// EngineFaults are what goes wrong in an engine from now on; the zero value is none.
type EngineFaults struct {
	// Cross, Cut, Repeat, Drop and Delay are the shares of chunks that are preceded by a chunk of another request, end
	// the connection, come twice, never come, or come late by DelayTime.
	Cross     float64
	Cut       float64
	Repeat    float64
	Drop      float64
	Delay     float64
	DelayTime time.Duration
	// Freeze stops the batch while connections stay open.
	Freeze bool
	// Slow multiplies the time of a step, if above 1.
	Slow float64
	// Refuse turns every request away as not run.
	Refuse bool
	// Seed restarts the draws, if not 0.
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

// SetFaults replaces the faults.
func (en *Engine) SetFaults(faults EngineFaults) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.faults = faults
	if faults.Seed != 0 {
		en.random = rand.New(rand.NewPCG(faults.Seed, faults.Seed))
	}
}

// chunkFaults are the faults drawn for one chunk.
type chunkFaults struct {
	cross, cut, repeat, drop bool
	delay                    time.Duration
}

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

// send writes one chunk with the faults drawn for it.
func (en *Engine) send(w http.ResponseWriter, jb *job, bd *body.Body, token int64) {
	cf := en.draw()
	time.Sleep(cf.delay)
	if cf.cut {
		en.cancel(jb.id)
		panic(http.ErrAbortHandler)
	}
	if cf.cross {
		other := &job{id: jb.id + "-other", key: jb.key + 1, answer: jb.answer}
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

// crash ends the process, or without a process of its own loses all that is in memory.
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
	en.log.emptied()
	en.freed++
}
