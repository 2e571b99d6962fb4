package steer

import (
	"maps"
	"slices"
	"time"
)

// peer is another instance's work as it told of it.
type peer struct {
	run   int64
	up    int64
	heard time.Time
	jobs  map[JobID][]*replica
	ended map[JobID]time.Time
	// waiting counts the requests that wait there for a replica.
	waiting int
	// demand is what callers asked of the engines there.
	demand Demand
}

const (
	// peerSilence is how long the work of a silent instance counts: its engines drop it when its connections end.
	peerSilence = 4 * time.Second
	// endedMemory is how long an end is remembered against a start that arrives after it.
	endedMemory = 3 * time.Second
)

func (st *State) note(nt Note) Note {
	nt.From = st.Options.Name
	nt.Run = st.Options.Run
	nt.Up = st.up()
	nt.Waiting = len(st.waiting)
	return nt
}

// up is for how many ms this run has lasted.
func (st *State) up() int64 {
	if st.startedAt.IsZero() {
		return 0
	}
	return st.now.Sub(st.startedAt).Milliseconds()
}

// idleSummaries is every which summary an instance sends that has nothing under way: often enough not to count as silent
// with one of them lost.
const idleSummaries = 2

// summaryJobs is how many jobs a note holds at the most, which a datagram must hold: a job takes some 100 bytes.
const summaryJobs = 50

// summarize tells all of this instance's jobs again, which makes good what was lost. Those that use the same replicas hear
// of the jobs there, those that share its engines that it lives.
func (st *State) summarize() {
	jobs := map[subset][]Job{}
	for _, svc := range st.services {
		if svc.engine != nil {
			jobs[st.ownSubset(svc)] = nil
		}
	}
	var kept []JobID
	for _, id := range slices.Sorted(maps.Keys(st.requests)) {
		req := st.requests[id]
		if !req.running && !req.claims {
			continue
		}
		job := req.booked(st.now)
		job.Age = millis(st.now.Sub(req.sentAt))
		job.Begun = req.begun
		kept = append(kept, job.ID)
		for _, sub := range st.audiences(req.reps) {
			jobs[sub] = append(jobs[sub], job)
		}
	}
	st.sumDemand()
	st.summarizeLimits()
	st.summaries++
	if len(kept) == 0 && st.summaries%idleSummaries != 0 {
		return
	}
	for _, sub := range inOrder(jobs) {
		st.summarizeTo(sub, kept, jobs[sub])
	}
}

// summarizeTo tells the users of the subset of the jobs, in as many notes as they take.
func (st *State) summarizeTo(sub subset, kept []JobID, jobs []Job) {
	to := st.users(sub)
	first := min(len(jobs), summaryJobs)
	st.emit(Tell{Note: st.note(Note{Whole: true, Kept: kept, Jobs: jobs[:first], Demand: st.demand.asked(st.now)}), To: to})
	for part := range slices.Chunk(jobs[first:], summaryJobs) {
		st.emit(Tell{Note: st.note(Note{Jobs: part}), To: to})
	}
}

// booked is the request as the job that it is booked as.
func (req *request) booked(now time.Time) Job {
	job := Job{
		ID: req.job, Prompt: req.Prompt, Answer: req.Answer, Goal: millis(req.goal.Sub(now)), Gap: millis(req.gap), Leaves: millis(req.Patience.Sub(req.at)),
		Tickets: req.tickets, Value: float32(req.value), Claim: req.claims,
	}
	for _, rep := range req.reps {
		job.Replicas = append(job.Replicas, rep.Name)
	}
	return job
}

func (st *State) heard(nt Note) {
	if nt.From == st.Options.Name || st.needless(&nt) {
		return
	}
	pr := st.peerOf(nt)
	pr.heard = st.now
	pr.up = nt.Up
	pr.waiting = max(0, nt.Waiting)
	if nt.Whole {
		st.keepOnly(nt, pr)
		pr.demand = Demand{}
		if nt.Demand.valid() {
			pr.demand = nt.Demand
		}
	}
	for i := range nt.Jobs {
		st.peerStarts(nt.From, pr, &nt.Jobs[i])
	}
	for _, id := range nt.Begun {
		st.beginJob(jobKey{nt.From, id}, pr.jobs[id], nt.BegunAge <= millis(liveBegin))
	}
	for _, id := range nt.Ended {
		st.peerEnds(nt.From, pr, id)
		pr.ended[id] = st.now
	}
	for _, death := range nt.Deaths {
		st.rememberDeath(death.Digest, death.Count)
	}
	for i := range nt.Limits {
		st.heardLimit(&nt.Limits[i])
	}
	st.asked(nt.From, nt.Asks)
	st.granted(nt.Grants)
	for _, pace := range nt.Paces {
		st.takePace(pace)
	}
	for _, name := range nt.Down {
		if rep, ok := st.replicas[name]; ok {
			rep.failed(st.now)
		}
	}
}

// peerOf returns the instance's entry for the run of the note. Runs are told apart only: a clock that was set back gives
// a later run the lower number.
func (st *State) peerOf(nt Note) *peer {
	pr, ok := st.peers[nt.From]
	if ok && pr.run != nt.Run {
		st.dropPeer(nt.From, pr)
		ok = false
	}
	if !ok {
		pr = &peer{run: nt.Run, jobs: map[JobID][]*replica{}, ended: map[JobID]time.Time{}}
		st.peers[nt.From] = pr
	}
	return pr
}

func (st *State) keepOnly(nt Note, pr *peer) {
	for id := range pr.jobs {
		if !slices.Contains(nt.Kept, id) {
			st.peerEnds(nt.From, pr, id)
		}
	}
	for id, at := range pr.ended {
		if st.now.Sub(at) > endedMemory {
			delete(pr.ended, id)
		}
	}
}

func (st *State) peerStarts(from string, pr *peer, job *Job) {
	if _, over := pr.ended[job.ID]; over {
		return
	}
	key := jobKey{from, job.ID}
	if known, ok := pr.jobs[job.ID]; ok {
		if len(known) > 0 && known[0].Name == job.Replicas[0] {
			if job.Begun {
				st.beginJob(key, known, false)
			}
			return
		}
		st.endJob(key, known)
	}
	pr.jobs[job.ID] = st.startJob(key, job)
}

func (st *State) peerEnds(from string, pr *peer, id JobID) {
	if reps, ok := pr.jobs[id]; ok {
		st.endJob(jobKey{from, id}, reps)
		delete(pr.jobs, id)
	}
}

func (st *State) dropPeer(from string, pr *peer) {
	for id := range pr.jobs {
		st.peerEnds(from, pr, id)
	}
	delete(st.peers, from)
}

func (st *State) forgetPeers() {
	for from, pr := range st.peers {
		if st.now.Sub(pr.heard) > peerSilence {
			st.dropPeer(from, pr)
		}
	}
}

// startJob books a job at its replicas and returns those that are known.
func (st *State) startJob(key jobKey, job *Job) []*replica {
	reps := make([]*replica, 0, len(job.Replicas))
	first := job.Prompt + job.Answer
	for _, tokens := range job.Tickets {
		first -= tokens
	}
	for i, name := range job.Replicas {
		rep, ok := st.replicas[name]
		if !ok {
			continue
		}
		wk := work{
			key: key, first: i == 0, begun: job.Begun,
			goal: st.now.Add(time.Duration(job.Goal) * time.Millisecond), gap: time.Duration(job.Gap) * time.Millisecond, leaves: time.Duration(job.Leaves) * time.Millisecond,
			value: float64(job.Value), sent: st.now, claim: job.Claim, alone: len(job.Replicas) == 1,
		}
		if key.from != "" {
			st.countJob(rep, key, job, i)
		}
		eng := st.serviceOf(rep.Service).engine
		if eng != nil {
			wk.context = job.Prompt / int64(len(job.Replicas))
			part := eng.Reading(job.Prompt, len(job.Replicas))
			alone := part.Alone(eng)
			wk.long = alone > st.tune.LongRead
			if !job.Begun {
				wk.left = part.Times(max(0, 1-float64(job.Age)/alone))
			}
			switch {
			case wk.first:
				wk.tokens = first
			case i <= len(job.Tickets):
				wk.tokens = job.Tickets[i-1]
			}
		}
		rep.start(eng, &st.tune, st.now, wk)
		reps = append(reps, rep)
	}
	return reps
}

// beginJob notes that a job's prompt is read; live tells that its answer begins just now.
func (st *State) beginJob(key jobKey, reps []*replica, live bool) {
	for _, rep := range reps {
		rep.begin(st.serviceOf(rep.Service).engine, st.now, key, live)
	}
}

func (st *State) endJob(key jobKey, reps []*replica) {
	for _, rep := range reps {
		rep.end(st.now, key)
	}
}
