package route

import (
	"math"
	"time"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

// pool holds the state that the replicas of one service share.
type pool struct {
	st      *State
	service decl.Service
	// local holds the open replicas of this instance's failure domain.
	local openSet
	// remote holds the open replicas of the other failure domains.
	remote openSet
	// liveReplicas is the number of listed replicas that are not leaving.
	liveReplicas int
	// promptMix holds the prompt tokens sent by level, decayed with each request.
	promptMix [maxLevels]float64
	Speed
}

// Speed holds the moving averages learned from the answers of a service.
type Speed struct {
	// PrefillRate is the prefill rate of one replica in tokens per second.
	PrefillRate float64
	// DecodeRate is the decoding rate of one stream in tokens per second.
	DecodeRate float64
	// AnswerShare is the ratio of the actual to the requested answer length, 0 before the first observation.
	AnswerShare float64
	// AttemptTime is the duration of an attempt, 0 before the first observation.
	AttemptTime time.Duration
	// samples is the number of complete answers observed.
	samples int
	// stretches holds, by level, the ratio of the duration of recent attempts to that on an idle replica.
	stretches [maxLevels]stretch
}

// stretch is a moving average that decays to 1 with time.
type stretch struct {
	value float64
	at    time.Time
}

// stretchTimeConstant is the time constant of the decay. Without the decay, requests would be refused because of a high
// stretch, and no answer would show that it has fallen.
const stretchTimeConstant = 5 * time.Second

// current returns the decayed value, 1 before the first observation.
func (sr *stretch) current(now time.Time) float64 {
	if sr.at.IsZero() {
		return 1
	}
	return 1 + (sr.value-1)*math.Exp(-now.Sub(sr.at).Seconds()/stretchTimeConstant.Seconds())
}

func (sr *stretch) observe(now time.Time, value float64) {
	value = max(1, value)
	sr.value = sr.current(now) + stretchGain*(value-sr.current(now))
	sr.at = now
}

// Parameters of the moving averages.
const (
	// speedGain is the weight of a new observation in the averages of Speed.
	speedGain = 0.1
	// minSamples is the number of observations before the answer share and the stretch are used.
	minSamples = 20
	// mixDecay is the factor by which each request decays the prompt mix.
	mixDecay = 0.995
	// stretchGain is the weight of a new observation of the stretch. It is higher than speedGain since the stretch has to
	// follow an overload.
	stretchGain = 0.2
)

// poolOf returns the pool of the service and creates it with the defaults of a model service if there is none.
func (st *State) poolOf(service string) *pool {
	pl, ok := st.pools[service]
	if !ok {
		pl = &pool{st: st, service: decl.Service{Kind: decl.KindModel}.WithDefaults()}
		pl.useDeclaredSpeeds()
		st.pools[service] = pl
	}
	return pl
}

// Configure applies the declared sizes and speeds of the services.
func (st *State) Configure(cfg *decl.Config) {
	for name, svc := range cfg.Services {
		pl := st.poolOf(name)
		pl.service = svc.WithDefaults()
		if pl.samples == 0 {
			pl.useDeclaredSpeeds()
		}
		for _, rep := range st.Services[name] {
			rep.applyConfig()
			st.updateOpenSet(rep)
		}
	}
}

// applyConfig applies the declared values to the replica: it resets the window and the prefill rate if no answer of the
// replica was observed, and limits the window to MaxRunning.
func (rep *Replica) applyConfig() {
	if rep.Samples == 0 {
		rep.Window = rep.pool.initialWindow()
		rep.PrefillRate = rep.pool.PrefillRate
	}
	rep.Window = min(rep.Window, float64(rep.pool.service.MaxRunning))
}

func (pl *pool) useDeclaredSpeeds() {
	pl.PrefillRate = pl.service.PrefillTokensPerSecond
	pl.DecodeRate = pl.service.DecodeTokensPerSecond
}

// SetInstances sets the number of instances that share the replicas. A change limits each window to the initial one for the
// new number, and resets the windows of replicas without samples to it.
func (st *State) SetInstances(count int) {
	count = max(1, count)
	if st.instances == int64(count) {
		return
	}
	st.instances = int64(count)
	for _, rep := range st.Replicas {
		rep.Window = min(rep.Window, rep.pool.initialWindow())
		if rep.Samples == 0 {
			rep.Window = rep.pool.initialWindow()
		}
		st.updateOpenSet(rep)
	}
}

func (pl *pool) instances() int64 { return pl.st.instances }

// fairShare returns the equal share of an instance in MaxRunning of one replica.
func (pl *pool) fairShare() float64 {
	return float64(pl.service.MaxRunning) / float64(pl.st.instances)
}

// initialWindow returns twice the fair share, since the instances seldom peak at the same time; at least 2 and at most
// MaxRunning.
func (pl *pool) initialWindow() float64 {
	return min(max(2, math.Ceil(2*pl.fairShare())), float64(pl.service.MaxRunning))
}

// recordSent adds the prompt tokens of a request to the prompt mix.
func (pl *pool) recordSent(level int, tokens int64) {
	for lv := range pl.promptMix {
		pl.promptMix[lv] *= mixDecay
	}
	pl.promptMix[level] += float64(tokens)
}

// shareAtOrAbove returns the share of the prompt mix that is at the level or above, 1 if nothing was sent.
func (pl *pool) shareAtOrAbove(level int) float64 {
	var from, all float64
	for lv, tokens := range pl.promptMix {
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

// Capacity returns the number of the service's replicas that this instance can expect to keep busy, a fraction if there are
// more instances than replicas.
func (st *State) Capacity(service string) float64 {
	return float64(st.poolOf(service).liveReplicas) / float64(st.instances)
}

// Work estimates the time for which a request keeps a replica busy: its prefill, and its share of a full batch while it
// decodes.
func (st *State) Work(service string, prompt, answer int64) time.Duration {
	pl := st.poolOf(service)
	if pl.service.Kind == decl.KindPlain {
		return max(time.Millisecond, pl.AttemptTime) / time.Duration(pl.service.MaxRunning)
	}
	return pl.prefillTime(prompt) + pl.decodeTime(answer)/time.Duration(pl.service.MaxRunning)
}

// MinServeTime estimates the time from sending a request of the level to the end of its answer under the present load. It
// is 0 for plain services, and before minSamples answers were observed.
func (st *State) MinServeTime(now time.Time, service string, prompt, answer int64, level int) time.Duration {
	pl := st.poolOf(service)
	if pl.service.Kind == decl.KindPlain || pl.samples < minSamples {
		return 0
	}
	return time.Duration(float64(pl.idleTime(prompt, answer)) * pl.stretches[level].current(now))
}

// idleTime estimates the time that an idle replica takes to answer.
func (pl *pool) idleTime(prompt, answer int64) time.Duration {
	return pl.prefillTime(prompt) + pl.decodeTime(answer)
}

func (pl *pool) prefillTime(prompt int64) time.Duration {
	return seconds(float64(prompt) / pl.PrefillRate)
}

func (pl *pool) decodeTime(answer int64) time.Duration {
	share := pl.AnswerShare
	if pl.samples < minSamples {
		share = 1
	}
	return seconds(float64(answer) * share / pl.DecodeRate)
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}

// openSet is a set of replicas from which one can be drawn at random, added or removed in constant time.
type openSet struct{ reps []*Replica }

func (os *openSet) add(rep *Replica) {
	rep.openIndex = len(os.reps)
	os.reps = append(os.reps, rep)
}

func (os *openSet) remove(rep *Replica) {
	last := len(os.reps) - 1
	os.reps[rep.openIndex] = os.reps[last]
	os.reps[rep.openIndex].openIndex = rep.openIndex
	os.reps[last] = nil
	os.reps = os.reps[:last]
	rep.openIndex = -1
}

// setOf returns the open set for the replica's failure domain, which never changes while the replica is in the set.
func (pl *pool) setOf(rep *Replica) *openSet {
	if rep.Upstream.FailureDomain == pl.st.FailureDomain {
		return &pl.local
	}
	return &pl.remote
}

// updateOpenSet adds the replica to its open set or removes it. A replica is open if it is live, not ejected and has fewer
// attempts in flight than its limit.
func (st *State) updateOpenSet(rep *Replica) {
	open := rep.live() && !st.ejected(rep) && !rep.rest.InForce(st.now) && !rep.rest.OnTrial(st.now) && rep.Running < st.limit(rep)
	if open == (rep.openIndex >= 0) {
		return
	}
	if open {
		rep.pool.setOf(rep).add(rep)
		return
	}
	rep.pool.setOf(rep).remove(rep)
}

// limit returns the maximum number of attempts that this instance may have in flight at the replica.
func (st *State) limit(rep *Replica) int64 {
	if rep.Probing {
		return 1
	}
	if _, lowestCost := st.Policy.(LowestCost); !lowestCost {
		return rep.pool.service.MaxRunning
	}
	return int64(rep.Window)
}
