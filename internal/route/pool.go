package route

import (
	"math"
	"time"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

// pool is what is known of one service's replicas together.
type pool struct {
	st      *State
	service decl.Service
	// near and far are the replicas that may take a request, in the own failure domain and outside.
	near, far openSet
	// live counts the replicas that are not leaving.
	live int
	// work adds up the prompt tokens sent, by level, forgotten slowly; it tells the mix.
	work [maxLevels]float64
	Speed
}

// Speed is what was learnt of a service from its answers.
type Speed struct {
	// Prefill and Decode are tokens a second of one replica and of one stream.
	Prefill float64
	Decode  float64
	// AnswerShare is how much of the asked-for answer length is used, 0 until learnt.
	AnswerShare float64
	// Attempt is how long an attempt lasts, 0 until learnt.
	Attempt time.Duration
	samples int
	// stretches is, by level, how much longer than on an idle replica attempts lately lasted.
	stretches [maxLevels]stretch
}

// stretch is an average that is forgotten with time.
type stretch struct {
	value float64
	at    time.Time
}

// stretchLife is how long a stretch is remembered: without it, what was refused because of a high one would never show
// that it has fallen.
const stretchLife = 5 * time.Second

func (sr *stretch) now(now time.Time) float64 {
	if sr.at.IsZero() {
		return 1
	}
	return 1 + (sr.value-1)*math.Exp(-now.Sub(sr.at).Seconds()/stretchLife.Seconds())
}

func (sr *stretch) add(now time.Time, value float64) {
	value = max(1, value)
	sr.value = sr.now(now) + stretchGain*(value-sr.now(now))
	sr.at = now
}

// Learning.
const (
	// speedGain is how much of a new observation is taken over.
	speedGain = 0.1
	// minSamples is how many observations are needed before the answer share is used.
	minSamples = 20
	// workKeep is how much of the remembered mix each new request leaves.
	workKeep = 0.995
	// stretchGain is the same as speedGain for the stretch, which has to follow an overload.
	stretchGain = 0.2
)

func (st *State) poolOf(service string) *pool {
	pl, ok := st.pools[service]
	if !ok {
		pl = &pool{st: st, service: decl.Service{Kind: decl.KindModel}.WithDefaults()}
		pl.learnDeclared()
		st.pools[service] = pl
	}
	return pl
}

// Configure takes the declared sizes and speeds of the services.
func (st *State) Configure(cfg *decl.Config) {
	for name, svc := range cfg.Services {
		pl := st.poolOf(name)
		pl.service = svc.WithDefaults()
		if pl.samples == 0 {
			pl.learnDeclared()
		}
		for _, rep := range st.Services[name] {
			rep.configured()
			st.settle(rep)
		}
	}
}

// configured starts afresh with a replica of which nothing was learnt.
func (rep *Replica) configured() {
	if rep.Samples == 0 {
		rep.Window = rep.pool.firstWindow()
		rep.PrefillRate = rep.pool.Prefill
	}
	rep.Window = min(rep.Window, float64(rep.pool.service.MaxRunning))
}

func (pl *pool) learnDeclared() {
	pl.Prefill = pl.service.PrefillTokensPerSecond
	pl.Decode = pl.service.DecodeTokensPerSecond
}

// SetInstances tells how many entry instances share the replicas.
func (st *State) SetInstances(live int) {
	live = max(1, live)
	if st.live == int64(live) {
		return
	}
	st.live = int64(live)
	for _, rep := range st.Replicas {
		rep.Window = min(rep.Window, rep.pool.firstWindow())
		if rep.Samples == 0 {
			rep.Window = rep.pool.firstWindow()
		}
		st.settle(rep)
	}
}

func (pl *pool) instances() int64 { return pl.st.live }

// fair is this instance's part of what one replica runs at once.
func (pl *pool) fair() float64 {
	return float64(pl.service.MaxRunning) / float64(pl.st.live)
}

// firstWindow allows twice the fair part, since the instances seldom peak together.
func (pl *pool) firstWindow() float64 {
	return min(max(2, math.Ceil(2*pl.fair())), float64(pl.service.MaxRunning))
}

func (pl *pool) sent(level int, tokens int64) {
	for lv := range pl.work {
		pl.work[lv] *= workKeep
	}
	pl.work[level] += float64(tokens)
}

// shareFrom returns which part of the prompt work is of the level or above.
func (pl *pool) shareFrom(level int) float64 {
	var from, all float64
	for lv, tokens := range pl.work {
		all += tokens
		if lv >= level {
			from += tokens
		}
	}
	if all == 0 {
		return 1
	}
	return from / all
}

// Capacity is how many replicas' worth of work of the service this instance may expect to use.
func (st *State) Capacity(service string) float64 {
	return float64(st.poolOf(service).live) / float64(st.live)
}

// Work estimates how long a request keeps a replica busy: its prefill, and its part of a full batch while it decodes.
func (st *State) Work(service string, prompt, answer int64) time.Duration {
	pl := st.poolOf(service)
	if pl.service.Kind == decl.KindPlain {
		return max(time.Millisecond, pl.Attempt) / time.Duration(pl.service.MaxRunning)
	}
	return pl.prefillTime(prompt) + pl.decodeTime(answer)/time.Duration(pl.service.MaxRunning)
}

// Least estimates the time in which a request of the level is answered once it is sent, as things are now.
func (st *State) Least(now time.Time, service string, prompt, answer int64, level int) time.Duration {
	pl := st.poolOf(service)
	if pl.service.Kind == decl.KindPlain || pl.samples < minSamples {
		return 0
	}
	return time.Duration(float64(pl.idleTime(prompt, answer)) * pl.stretches[level].now(now))
}

// idleTime is how long an idle replica takes.
func (pl *pool) idleTime(prompt, answer int64) time.Duration {
	return pl.prefillTime(prompt) + pl.decodeTime(answer)
}

func (pl *pool) prefillTime(prompt int64) time.Duration {
	return seconds(float64(prompt) / pl.Prefill)
}

func (pl *pool) decodeTime(answer int64) time.Duration {
	share := pl.AnswerShare
	if pl.samples < minSamples {
		share = 1
	}
	return seconds(float64(answer) * share / pl.Decode)
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}

// openSet holds replicas so that one can be drawn, added or removed in constant time.
type openSet struct{ reps []*Replica }

func (os *openSet) add(rep *Replica) {
	rep.place = len(os.reps)
	os.reps = append(os.reps, rep)
}

func (os *openSet) remove(rep *Replica) {
	last := len(os.reps) - 1
	os.reps[rep.place] = os.reps[last]
	os.reps[rep.place].place = rep.place
	os.reps[last] = nil
	os.reps = os.reps[:last]
	rep.place = -1
}

// setOf is the open set that the replica belongs to. Its failure domain never changes while it is in one.
func (pl *pool) setOf(rep *Replica) *openSet {
	if rep.Upstream.FailureDomain == pl.st.FailureDomain {
		return &pl.near
	}
	return &pl.far
}

// settle puts the replica into its open set or takes it out, as its state says.
func (st *State) settle(rep *Replica) {
	open := rep.live() && !st.ejected(rep) && rep.Running < st.limit(rep)
	if open == (rep.place >= 0) {
		return
	}
	if open {
		rep.pool.setOf(rep).add(rep)
		return
	}
	rep.pool.setOf(rep).remove(rep)
}

// limit is how many attempts this instance may have in flight at the replica.
func (st *State) limit(rep *Replica) int64 {
	if rep.Probing {
		return 1
	}
	if _, own := st.Policy.(Sail); !own {
		return rep.pool.service.MaxRunning
	}
	return int64(rep.Window)
}
