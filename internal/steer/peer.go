package steer

import (
	"maps"
	"slices"
	"time"
)

// peer is another instance and its work, as its notes reported it.
type peer struct {
	run int64
	// uptimeMs is the uptime of the run in ms, as of the newest note.
	uptimeMs int64
	// lastNoteAt is when the newest note arrived.
	lastNoteAt time.Time
	// jobs holds the known replicas of each job that has not ended.
	jobs map[JobID][]*replica
	// reports holds when the instance last reported each replica as failing.
	reports map[string]time.Time
	// ended holds when the end of each recent job was reported.
	ended map[JobID]time.Time
	// waiting is the number of requests that wait for a replica at that instance.
	waiting int
	// demand is the work that callers requested of the engines through that instance.
	demand Demand
	// uses is what organisations asked of the services through that instance.
	uses []ServiceUse
}

const (
	// peerTimeout is how long the work of an instance still counts after its last note. Engines drop that work when its
	// connections end.
	peerTimeout = 4 * time.Second
	// endedRetention is how long an end is kept, so that a start which arrives after it does not book the job again.
	endedRetention = 3 * time.Second
)

const (
	// maxPeerJobs is how many jobs, and how many ends of jobs, are kept of an instance in the list, far more than one has at a time.
	maxPeerJobs = 1 << 14
	// maxUnlistedJobs is the same for an instance that is not in the list, which may not exist.
	maxUnlistedJobs = 256
)

// maxJobs returns how many jobs, and how many ends of jobs, are kept of the instance.
func (st *State) maxJobs(from string) int {
	if _, listed := slices.BinarySearch(st.otherNames, from); listed {
		return maxPeerJobs
	}
	return maxUnlistedJobs
}

// note returns the note with the fields set that describe this instance.
func (st *State) note(nt Note) Note {
	nt.From = st.Options.Name
	nt.Run = st.Options.Run
	nt.UptimeMs = st.uptimeMs()
	nt.Waiting = len(st.waiting)
	nt.LostPaths = st.statedLostPaths
	return nt
}

// uptimeMs returns the uptime of this run in ms.
func (st *State) uptimeMs() int64 {
	if st.startedAt.IsZero() {
		return 0
	}
	return st.now.Sub(st.startedAt).Milliseconds()
}

// idleSummaryInterval is the interval, in summaries, at which an instance without jobs sends one. It is short enough that
// the loss of one summary does not exceed peerTimeout.
const idleSummaryInterval = 2

// maxSummaryJobs is the maximum number of jobs, or of limits, in a summary note. A note must fit into a datagram, and a job
// takes some 100 bytes.
const maxSummaryJobs = 50

// summarize reports all jobs of this instance again, which repairs what lost notes would have reported. The instances that
// use the replicas of a job receive the job. All that share this instance's engines receive a note even without jobs, as a
// heartbeat.
func (st *State) summarize() {
	kept, jobs := st.openJobs()
	st.sumPeerDemand()
	uses := st.ownUses()
	st.fleet.DropExpired(st.now)
	st.summarizeLimits()
	st.summarizeCold()
	st.summaries++
	if len(kept) == 0 && len(uses) == 0 && st.summaries%idleSummaryInterval != 0 {
		return
	}
	st.sendJobs(kept, jobs, uses)
}

// openJobs returns the jobs of this instance that have not ended, and those at the replicas of each subset. All subsets that this
// instance uses of the engines are among them.
func (st *State) openJobs() (kept []JobID, jobs map[subset][]Job) {
	jobs = map[subset][]Job{}
	for _, svc := range st.services {
		if svc.engine != nil {
			jobs[st.ownSubset(svc)] = nil
		}
	}
	for _, id := range slices.Sorted(maps.Keys(st.requests)) {
		req := st.requests[id]
		if !req.running && !req.claiming {
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
	return kept, jobs
}

// sendSummaries sends the summaries of this instance at once, even if it has no jobs.
func (st *State) sendSummaries() {
	kept, jobs := st.openJobs()
	st.sendJobs(kept, jobs, st.ownUses())
}

// sendJobs sends each subset's users the jobs at its replicas, which jobs are open in all, and what organisations use.
func (st *State) sendJobs(kept []JobID, jobs map[subset][]Job, uses []ServiceUse) {
	for _, sub := range sortedSubsets(jobs) {
		st.sendSummary(sub, kept, jobs[sub], uses)
	}
}

// sendSummary sends the jobs to the users of the subset, split into as many notes as needed.
func (st *State) sendSummary(sub subset, kept []JobID, jobs []Job, uses []ServiceUse) {
	to := st.usersUnlessAll(sub)
	first := min(len(jobs), maxSummaryJobs)
	st.emit(SendNote{Note: st.note(Note{Full: true, OpenJobs: kept, Jobs: jobs[:first], Demand: st.demand.decay(st.now), Uses: uses}), To: to})
	for part := range slices.Chunk(jobs[first:], maxSummaryJobs) {
		st.emit(SendNote{Note: st.note(Note{Jobs: part}), To: to})
	}
}

// booked returns the job as which the request is booked, with the time left for its answer as of now.
func (req *request) booked(now time.Time) Job {
	job := Job{
		ID: req.job, Prompt: req.Prompt, Answer: req.Answer, Goal: millis(req.goal.Sub(now)), Gap: millis(req.gap), MaxPause: millis(req.LeavesAt.Sub(req.at)),
		Reservations: req.reservations, Value: float32(req.value), Claim: req.claiming,
	}
	for _, rep := range req.reps {
		job.Replicas = append(job.Replicas, rep.Name)
	}
	return job
}

// receiveNote applies a note of another instance.
func (st *State) receiveNote(nt Note) {
	if nt.From == st.Options.Name || st.isRedundantReport(&nt) {
		return
	}
	pr := st.peerOf(nt)
	pr.lastNoteAt = st.now
	st.lastNoteAt = st.now
	if nt.UptimeMs >= pr.uptimeMs {
		st.receiveLostPaths(&nt)
	}
	pr.uptimeMs = nt.UptimeMs
	pr.waiting = max(0, nt.Waiting)
	if nt.Full {
		st.endUnkeptJobs(nt, pr)
		pr.demand = Demand{}
		if nt.Demand.valid() {
			pr.demand = nt.Demand
		}
		st.receiveUses(pr, nt.Uses)
	}
	limit := st.maxJobs(nt.From)
	for i := range nt.Jobs {
		if _, known := pr.jobs[nt.Jobs[i].ID]; known || len(pr.jobs) < limit {
			st.startPeerJob(nt.From, pr, &nt.Jobs[i])
		}
	}
	for _, id := range nt.Begun {
		st.beginJob(jobKey{nt.From, id}, pr.jobs[id], nt.BegunAge <= millis(maxLiveBeginAge))
	}
	for _, id := range nt.Ended {
		st.endPeerJob(nt.From, pr, id)
		if len(pr.ended) < limit {
			pr.ended[id] = st.now
		}
	}
	st.receiveDeaths(nt.From, nt.Deaths)
	st.receiveSuspicions(&nt)
	for i := range nt.Limits {
		st.receiveLimit(&nt.Limits[i])
	}
	st.receiveCold(nt.Cold)
	st.receiveSlotRequests(nt.From, pr, nt.SlotRequests)
	st.receiveSlotGrants(nt.SlotGrants)
	st.receiveGrantRequests(nt.From, nt.GrantRequests)
	st.receiveGrants(nt.Grants)
	st.receiveGrantReturns(nt.From, nt.GrantReturns)
	st.receiveDepartures(nt.Departures)
	for _, pace := range nt.Paces {
		st.applyPace(pace)
	}
	for _, name := range nt.Down {
		if rep, ok := st.replicas[name]; ok {
			st.reported(pr, nt.From, rep)
		}
	}
	st.receiveSuspectedRestarts(nt.Cold)
}

// peerOf returns the instance's entry for the run of the note. Runs are only compared for equality, since a clock that was
// set back gives a later run the lower number.
func (st *State) peerOf(nt Note) *peer {
	pr, ok := st.peers[nt.From]
	if ok && pr.run != nt.Run {
		st.noteLostWork(pr)
		st.dropPeer(nt.From, pr)
		st.fleet.Forget(nt.From)
		ok = false
	}
	if !ok {
		pr = &peer{run: nt.Run, jobs: map[JobID][]*replica{}, ended: map[JobID]time.Time{}}
		st.peers[nt.From] = pr
	}
	return pr
}

// endUnkeptJobs ends the jobs of the instance that its summary does not list, and drops expired ends.
func (st *State) endUnkeptJobs(nt Note, pr *peer) {
	for _, id := range slices.Sorted(maps.Keys(pr.jobs)) {
		if !slices.Contains(nt.OpenJobs, id) {
			st.endPeerJob(nt.From, pr, id)
		}
	}
	for id, at := range pr.ended {
		if st.now.Sub(at) > endedRetention {
			delete(pr.ended, id)
		}
	}
}

// startPeerJob books a job of another instance. A job that is booked already is updated, or booked anew if its first replica
// is another one.
func (st *State) startPeerJob(from string, pr *peer, job *Job) {
	if _, ended := pr.ended[job.ID]; ended {
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

func (st *State) endPeerJob(from string, pr *peer, id JobID) {
	if reps, ok := pr.jobs[id]; ok {
		st.endJob(jobKey{from, id}, reps)
		delete(pr.jobs, id)
	}
}

// dropPeer ends all jobs of the instance and forgets it.
func (st *State) dropPeer(from string, pr *peer) {
	for _, id := range slices.Sorted(maps.Keys(pr.jobs)) {
		st.endPeerJob(from, pr, id)
	}
	st.usesChanged = st.usesChanged || len(pr.uses) > 0
	delete(st.peers, from)
}

// dropExpiredPeers drops the instances from which no note arrived for peerTimeout.
func (st *State) dropExpiredPeers() {
	var expired []string
	for from, pr := range st.peers {
		if st.now.Sub(pr.lastNoteAt) > peerTimeout {
			expired = append(expired, from)
		}
	}
	slices.Sort(expired)
	for _, from := range expired {
		st.dropPeer(from, st.peers[from])
	}
}

// startJob books a job at its replicas and returns those of them that are known here.
func (st *State) startJob(key jobKey, job *Job) []*replica {
	reps := make([]*replica, 0, len(job.Replicas))
	firstTokens := job.Prompt + job.Answer
	for _, tokens := range job.Reservations {
		firstTokens -= tokens
	}
	for i, name := range job.Replicas {
		rep, ok := st.replicas[name]
		if !ok {
			continue
		}
		wk := work{
			key: key, first: i == 0, begun: job.Begun,
			goal: st.now.Add(time.Duration(job.Goal) * time.Millisecond), gap: time.Duration(job.Gap) * time.Millisecond, leaves: time.Duration(job.MaxPause) * time.Millisecond,
			value: float64(job.Value), sent: st.now, claim: job.Claim, alone: len(job.Replicas) == 1,
		}
		if key.from != "" {
			st.countPeerSend(rep, key, job, i)
		}
		eng := st.serviceOf(rep.Service).engine
		if eng != nil {
			wk.context = job.Prompt / int64(len(job.Replicas))
			part := eng.PrefillWork(job.Prompt, len(job.Replicas))
			alone := part.AloneTime(eng)
			wk.long = alone > st.tune.LongRead
			// Without a length of the prompt nothing is left, and the share of it would be NaN, as would each forecast for the engine.
			if !job.Begun && alone > 0 {
				wk.left = part.Scale(max(0, 1-float64(job.Age)/alone))
			}
			switch {
			case wk.first:
				wk.tokens = firstTokens
			case i <= len(job.Reservations):
				wk.tokens = job.Reservations[i-1]
			}
		}
		rep.start(eng, &st.tune, st.now, wk)
		reps = append(reps, rep)
	}
	return reps
}

// beginJob records that the prompt of a job has been read. live reports that its answer begins just now.
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
