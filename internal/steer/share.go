package steer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Fair shares of organisations where capacity is scarce. Load pattern: one organisation asks for several times its share, and its many
// requests take nearly all that engines offer, while those of the others are late or refused. Each instance records, by service and
// organisation, what was asked for and what was used over the last seconds, and announces it in its summaries while requests wait. The
// capacity to divide is what all organisations used while requests waited. By max-min fairness, each organisation's share is what it asks
// for, but at most the level at which the shares add up to the capacity. Each instance decides for itself, so a lost or late summary
// only makes its level differ from that of others.

const (
	// useTimeConstant is the time in which past use decays to 1/e. It is long enough to hold some requests of a small
	// organisation, and shorter than a burst.
	useTimeConstant = 5 * time.Second
	// decayInterval is the minimum time between two decays, which visit all organisations that asked in the last seconds.
	decayInterval = 50 * time.Millisecond
	// scarceTime is how long a service counts as scarce after a request could not be placed: longer than the interval of
	// the summaries, so that all instances learn of it.
	scarceTime = 3 * time.Second
	// minScarceWait is the minimum age of a request that cannot be placed for its service to count as scarce. Younger requests often
	// wait only for a note or for the end of a pass.
	minScarceWait = 20 * time.Millisecond
	// minScarceShare is the minimum share of its goal that such a request must also have waited. Long prompts wait for a cheap
	// placement even where engines suffice.
	minScarceShare = 0.1
	// shareMargin is how many times its share an organisation must ask for to count as above it. The estimates of different
	// instances of what was used differ by less.
	shareMargin = 1.25
	// unservedMargin is how many times what was used all organisations together must ask for before any is above its share.
	unservedMargin = 1.1
	// maxUsesInNote is the maximum number of organisations in a summary, over all services: one takes up to 31 bytes. Those that asked
	// this instance for most of a service are named.
	maxUsesInNote = 32
	// useSumInterval is the minimum time between two sums of what the other instances announced. One takes 0.1 ms and more with hundreds of
	// instances.
	useSumInterval = 250 * time.Millisecond
	// divisionAge is how long a division of a service is used before it is computed anew.
	divisionAge = 50 * time.Millisecond
	// peerUseFactor bounds what one instance may claim that an organisation used or asked for: this many times an equal part
	// of the service's capacity over useTimeConstant. An instance that sees more judges its own callers by what it sees itself.
	peerUseFactor = 4
	// plainRate is the rate of calls in a slot of a plain replica, in calls a second, on which that bound is based.
	plainRate = 50
	// minKindAsked is the minimum number of requests of a kind that were sent or refused for the share of served ones to count.
	minKindAsked = 4
	// kindMargin is by how much the served share of a more urgent kind is to exceed that of a less urgent one. It compensates for late
	// summaries, so that the more urgent kind is not served less often by more than some hundredths.
	kindMargin = 0.03
	// servedShare is the minimum share of sent requests for a kind to count as served in full.
	servedShare = 0.97
	// negligibleUse is the use in ms below which an organisation is forgotten.
	negligibleUse = 0.5
)

// resources are amounts of a service: engine time, and the time for which memory is held. The unit of both is 1 ms of a whole
// engine. For a plain service, Time counts calls.
type resources struct{ time, memory float64 }

func (rs resources) plus(other resources) resources {
	return resources{rs.time + other.time, rs.memory + other.memory}
}

func (rs resources) scale(by float64) resources { return resources{rs.time * by, rs.memory * by} }

// dominant returns the larger of the two amounts.
func (rs resources) dominant() float64 { return max(rs.time, rs.memory) }

// use is what an organisation asked a service for, and what it used.
type use struct{ asked, used resources }

// wanted returns the amount that the organisation asks for. What it used may be more than what it asked for, since retries count as use
// only.
func (us use) wanted() float64 { return max(us.asked.dominant(), us.used.dominant()) }

// kindUse counts the requests of one urgency that were sent or refused.
type kindUse struct{ decided, sent float64 }

// OrganisationUse reports what an organisation asked of a service at one instance over the last seconds, in ms of a whole
// engine or, for a plain service, in calls.
type OrganisationUse struct {
	// Organisation is a hash of the name.
	Organisation uint32 `cbor:"1,keyasint,omitempty"`
	Asked        uint32 `cbor:"2,keyasint,omitempty"`
	AskedMemory  uint32 `cbor:"3,keyasint,omitempty"`
	Used         uint32 `cbor:"4,keyasint,omitempty"`
	UsedMemory   uint32 `cbor:"5,keyasint,omitempty"`
}

// KindUse reports how many requests of one urgency were sent or refused at one instance over the last seconds.
type KindUse struct {
	Priority int    `cbor:"1,keyasint,omitempty"`
	Decided  uint32 `cbor:"2,keyasint,omitempty"`
	Sent     uint32 `cbor:"3,keyasint,omitempty"`
}

// ServiceUse reports what organisations asked of a service at one instance.
type ServiceUse struct {
	Service string `cbor:"1,keyasint,omitempty"`
	// Scarce reports that a request could not be placed at the instance.
	Scarce        bool              `cbor:"2,keyasint,omitempty"`
	Organisations []OrganisationUse `cbor:"3,keyasint,omitempty"`
	Kinds         []KindUse         `cbor:"4,keyasint,omitempty"`
}

func (su *ServiceUse) valid() bool {
	if su.Service == "" || len(su.Organisations) > maxUsesInNote || len(su.Kinds) > maxKindsInNote {
		return false
	}
	return !slices.ContainsFunc(su.Kinds, func(ku KindUse) bool { return ku.Sent > ku.Decided })
}

// maxKindsInNote is the maximum number of urgencies in a summary.
const maxKindsInNote = 10

// serviceShares is what an instance knows of the use of one service.
type serviceShares struct {
	// own is the use at this instance, as of ownAt, by the hash of the organisation's name.
	own   map[uint32]use
	kinds map[int]kindUse
	ownAt time.Time
	// others is the sum of what the other instances announced, as of this instance's last summary.
	others     map[uint32]use
	otherKinds map[int]kindUse
	// scarceUntil is until when the service counts as scarce, since an instance could not place a request.
	scarceUntil time.Time
	// waitedUntil is scarceUntil by the requests of this instance alone.
	waitedUntil time.Time
	division    division
	// aboveLogged holds the organisations that were logged as above their share and have been so since.
	aboveLogged map[uint32]bool
}

// division is how a service is divided among the organisations.
type division struct {
	at time.Time
	// level is the largest share; it is 0 if each organisation gets what it asks for.
	level float64
	// above holds the organisations that ask for more than their share, with what each used.
	above map[uint32]float64
	// yielding holds the urgencies that are served more often than a more urgent one.
	yielding map[int]bool
}

func newServiceShares() *serviceShares {
	return &serviceShares{own: map[uint32]use{}, kinds: map[int]kindUse{}, aboveLogged: map[uint32]bool{}}
}

// organisationHash identifies an organisation in notes. Two of 1,700 have the same hash with a probability of 1 in 3,000;
// they then have one share together.
func organisationHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// decay applies the decay of the own use since ownAt, unless that is less than decayInterval ago.
func (sh *serviceShares) decay(now time.Time) {
	elapsed := now.Sub(sh.ownAt)
	if elapsed < decayInterval {
		return
	}
	keep := math.Exp(-elapsed.Seconds() / useTimeConstant.Seconds())
	if sh.ownAt.IsZero() {
		keep = 1
	}
	sh.ownAt = now
	for org, us := range sh.own {
		us = use{us.asked.scale(keep), us.used.scale(keep)}
		if us.wanted() < negligibleUse/10 {
			delete(sh.own, org)
			continue
		}
		sh.own[org] = us
	}
	for priority, ku := range sh.kinds {
		sh.kinds[priority] = kindUse{ku.decided * keep, ku.sent * keep}
	}
}

// add records that the organisation asked for or used an amount.
func (sh *serviceShares) add(now time.Time, org uint32, asked, used resources) {
	sh.decay(now)
	us := sh.own[org]
	us.asked, us.used = us.asked.plus(asked), us.used.plus(used)
	us.used = resources{max(0, us.used.time), max(0, us.used.memory)}
	sh.own[org] = us
}

// addDecided records that a request of the urgency was sent or refused.
func (sh *serviceShares) addDecided(now time.Time, priority int, sent bool) {
	sh.decay(now)
	ku := sh.kinds[priority]
	ku.decided++
	if sent {
		ku.sent++
	}
	sh.kinds[priority] = ku
}

// divide returns the division of the service, computed anew if it is older than divisionAge.
func (sh *serviceShares) divide(now time.Time) *division {
	if now.Sub(sh.division.at) < divisionAge {
		return &sh.division
	}
	sh.decay(now)
	all := maps.Clone(sh.others)
	if all == nil {
		all = map[uint32]use{}
	}
	for org, us := range sh.own {
		other := all[org]
		all[org] = use{other.asked.plus(us.asked), other.used.plus(us.used)}
	}
	kinds := maps.Clone(sh.otherKinds)
	if kinds == nil {
		kinds = map[int]kindUse{}
	}
	for priority, ku := range sh.kinds {
		other := kinds[priority]
		kinds[priority] = kindUse{other.decided + ku.decided, other.sent + ku.sent}
	}
	sh.division = division{at: now, yielding: yieldingKinds(kinds)}
	sh.division.level, sh.division.above = maxMin(all)
	return &sh.division
}

// maxMin returns the level of a max-min fair division of what all used together, and the organisations that ask for more
// than their share, with their use. Both are zero if nearly all that was asked for was served.
func maxMin(all map[uint32]use) (level float64, above map[uint32]float64) {
	wanted := make([]float64, 0, len(all))
	var total, capacity float64
	// The order of summation is fixed, since rounding would otherwise differ from run to run.
	for _, org := range slices.Sorted(maps.Keys(all)) {
		us := all[org]
		wanted = append(wanted, us.wanted())
		total += us.wanted()
		capacity += us.used.dominant()
	}
	if total <= unservedMargin*capacity || capacity <= 0 {
		return 0, nil
	}
	slices.Sort(wanted)
	left := capacity
	for i, want := range wanted {
		level = left / float64(len(wanted)-i)
		if want >= level {
			break
		}
		left -= want
	}
	if wanted[0] > shareMargin*level {
		// While many requests are held back, what was used is less than the capacity. If all organisations were above their share of
		// it, all would give way alike, so the level is the mean of what they ask for.
		level = total / float64(len(wanted))
	}
	above = map[uint32]float64{}
	for org, us := range all {
		if us.wanted() > shareMargin*level {
			above[org] = us.used.dominant()
		}
	}
	return level, above
}

// yieldingKinds returns the urgencies that are served more often than a more urgent one.
func yieldingKinds(kinds map[int]kindUse) map[int]bool {
	var yielding map[int]bool
	lowest := math.Inf(1)
	for _, priority := range slices.Sorted(maps.Keys(kinds)) {
		ku := kinds[priority]
		if ku.decided < minKindAsked {
			continue
		}
		served := ku.sent / ku.decided
		if lowest < servedShare && served > lowest-kindMargin {
			if yielding == nil {
				yielding = map[int]bool{}
			}
			yielding[priority] = true
		}
		lowest = min(lowest, served)
	}
	return yielding
}

// dividesShares reports whether the configuration has several organisations or urgencies. If not, there is nothing to divide, and
// the instances send no uses.
func dividesShares(routing *decl.Routing) bool {
	org, orgs := "", 0
	for _, name := range routing.Tokens {
		if orgs == 0 || name != org {
			org = name
			orgs++
		}
		if orgs > 1 {
			return true
		}
	}
	for i := range routing.Routes {
		if routing.Routes[i].Priority != routing.Routes[0].Priority {
			return true
		}
	}
	return len(routing.Priorities) > 1
}

// sharesOf returns what is known of the use of the service, or nil if shares do not count.
func (st *State) sharesOf(service string) *serviceShares {
	if st.tune.ShareWeight == 0 || !st.dividesShares {
		return nil
	}
	sh, ok := st.shares[service]
	if !ok {
		sh = newServiceShares()
		st.shares[service] = sh
	}
	return sh
}

// costOf estimates the resources that the request takes: the time is that of its prefill alone and its part of a full engine's passes while
// the answer is written; the memory is held for the prefill and all of these passes.
func (st *State) costOf(req *request) resources {
	eng := st.serviceOf(req.service).engine
	if eng == nil {
		return resources{time: 1}
	}
	reading := eng.PrefillWork(req.Prompt, 1).AloneTime(eng)
	writing := float64(req.Answer) * eng.StepTime(eng.Slots, 0)
	return resources{
		time:   reading + writing/float64(max(1, eng.Slots)),
		memory: (reading + writing) * float64(req.tokens()) / float64(max(1, eng.Memory)),
	}
}

// recordAsked records what a request asks for. Retries of callers do not count again.
func (st *State) recordAsked(req *request) {
	if sh := st.sharesOf(req.service); sh != nil && !req.triedBefore {
		sh.add(st.now, organisationHash(req.Organisation), st.costOf(req), resources{})
	}
}

// recordUsed records what the request uses when it is sent or, with a sign of -1, withdraws this since the attempt has not run.
func (st *State) recordUsed(req *request, sign float64) {
	if sh := st.sharesOf(req.service); sh != nil {
		sh.add(st.now, organisationHash(req.Organisation), resources{}, st.costOf(req).scale(sign))
	}
}

// recordDecided records that the request is sent for the first time or refused without having been sent.
func (st *State) recordDecided(req *request, sent bool) {
	if sh := st.sharesOf(req.service); sh != nil && !req.decided {
		req.decided = true
		sh.addDecided(st.now, req.Priority, sent)
	}
}

// recordUnplaced records that no place was found for the request: if it has waited for long enough, its service counts as scarce.
func (st *State) recordUnplaced(req *request) {
	if sh := st.sharesOf(req.service); sh != nil && st.now.Sub(req.at) >= max(minScarceWait, time.Duration(minScarceShare*float64(req.Route.Goal.Std()))) {
		sh.waitedUntil = st.now.Add(scarceTime)
		sh.scarceUntil = later(sh.scarceUntil, sh.waitedUntil)
	}
}

// rankShare sets whether the request gives way to others of its service: to organisations that ask for their share at most, or
// to a more urgent kind that is served less often.
func (st *State) rankShare(req *request) {
	was := req.yields
	req.yields, req.used = yieldsNot, 0
	sh := st.sharesOf(req.service)
	if sh == nil || !st.now.Before(sh.scarceUntil) {
		return
	}
	if st.usesChanged && st.now.Sub(st.usesSummedAt) >= useSumInterval {
		st.sumPeerUses()
	}
	div := sh.divide(st.now)
	org := organisationHash(req.Organisation)
	used, above := div.above[org]
	if above {
		req.yields, req.used = yieldsToShares, used/div.level
		if !sh.aboveLogged[org] {
			sh.aboveLogged[org] = true
			st.emit(LogLine{Message: "organisation above its share", Organisation: req.Organisation, Service: req.service, Times: req.used})
		}
	} else {
		delete(sh.aboveLogged, org)
	}
	if !above && div.yielding[req.Priority] {
		req.yields = yieldsToUrgency
	}
	if req.yields != yieldsNot && was == yieldsNot && !req.yieldLogged {
		req.yieldLogged = true
		st.emit(LogLine{Message: "request yields: " + req.yields.String(), Request: req.Name, Service: req.service, Organisation: req.Organisation, Age: st.now.Sub(req.at), Times: req.used})
	}
}

// yieldReason is why a request gives way to others.
type yieldReason int

const (
	yieldsNot yieldReason = iota
	// yieldsToUrgency is a request of a kind that is served more often than a more urgent one.
	yieldsToUrgency
	// yieldsToShares is a request of an organisation that asks for more than its share.
	yieldsToShares
)

// String returns the name of the reason for the log.
func (yr yieldReason) String() string {
	return [...]string{"not", "urgency", "share"}[yr]
}

// compareShares orders requests that give way to others behind these, and among them those of organisations that used more.
func compareShares(a, b *request) int {
	return cmp.Or(cmp.Compare(a.yields, b.yields), cmp.Compare(a.used, b.used))
}

// costShareWhileScarce returns the share of its cost limit that a request's placement may cost other requests. It is below 1 only
// for requests that give way. It rises with the length of prompts longer than the mean of their kind: the longest ones, whose answers are
// rarely certain to be in time, would otherwise hardly ever be placed. The loss of the request's own caller is not limited by it.
func (st *State) costShareWhileScarce(req *request) float64 {
	if req.yields == yieldsNot {
		return 1
	}
	share := 1 - st.tune.ShareWeight
	if mean := st.meanPrompts[req.Route.Name]; mean > 0 {
		share *= math.Sqrt(max(1, float64(req.Prompt)/mean))
	}
	return min(1, share)
}

// loadUnknown reports whether this instance cannot know how busy the replicas are: it has started so recently that not all others have
// sent a summary since, it has just forgotten much work, or no note has arrived for longer than is likely while all instances send
// summaries. It would take busy engines for idle ones and send them requests that are to give way. After peerTimeout, an instance that is
// cut off knows no others, and the result is false.
func (st *State) loadUnknown() bool {
	if len(st.peers) == 0 {
		return false
	}
	silence := max(minSilence, maxMissedNotes*time.Second/time.Duration(len(st.peers)))
	return st.now.Sub(st.startedAt) < firstSummaries || st.now.Sub(st.workLostAt) < firstSummaries || st.now.Sub(st.lastNoteAt) > silence
}

// noteLostWork records that the work of an instance is about to be forgotten since it has restarted, if that is at least minLostWork of
// all known work. Engines continue with it for a while although its callers are gone.
func (st *State) noteLostWork(pr *peer) {
	total := 0
	for _, other := range st.peers {
		total += len(other.jobs)
	}
	if float64(len(pr.jobs)) >= minLostWork*float64(total) && len(pr.jobs) > 0 {
		st.workLostAt = st.now
	}
}

// minLostWork is the minimum share of all known jobs that the jobs of a restarted instance must have for noteLostWork to record it.
const minLostWork = 0.05

const (
	// firstSummaries is the time after a start in which all other instances send a summary.
	firstSummaries = 1100 * time.Millisecond
	// minSilence is the minimum time without notes after which the load is unknown.
	minSilence = 100 * time.Millisecond
	// maxMissedNotes is the number of missing summaries after which the load is unknown. Each other instance sends one a second.
	maxMissedNotes = 5
)

// ownUses returns what organisations asked of the services at this instance, for its summary. It is nil unless a service is scarce, so
// that summaries are otherwise no larger.
func (st *State) ownUses() []ServiceUse {
	var uses []ServiceUse
	room := maxUsesInNote
	for _, name := range slices.Sorted(maps.Keys(st.shares)) {
		sh := st.shares[name]
		if !st.now.Before(sh.scarceUntil) {
			continue
		}
		sh.decay(st.now)
		su := ServiceUse{Service: name, Scarce: st.now.Before(sh.waitedUntil)}
		orgs := slices.Sorted(maps.Keys(sh.own))
		slices.SortStableFunc(orgs, func(a, b uint32) int { return -cmp.Compare(sh.own[a].wanted(), sh.own[b].wanted()) })
		for _, org := range orgs[:min(len(orgs), room)] {
			us := sh.own[org]
			su.Organisations = append(su.Organisations, OrganisationUse{
				Organisation: org, Asked: wholeUse(us.asked.time), AskedMemory: wholeUse(us.asked.memory), Used: wholeUse(us.used.time), UsedMemory: wholeUse(us.used.memory),
			})
		}
		room -= len(su.Organisations)
		for _, priority := range slices.Sorted(maps.Keys(sh.kinds)) {
			if ku := sh.kinds[priority]; ku.decided >= 1.0/useScale && len(su.Kinds) < maxKindsInNote {
				su.Kinds = append(su.Kinds, KindUse{Priority: priority, Decided: wholeUse(ku.decided * useScale), Sent: min(wholeUse(ku.sent*useScale), wholeUse(ku.decided*useScale))})
			}
		}
		uses = append(uses, su)
	}
	return uses
}

// useScale is the number of units in which notes count one request.
const useScale = 100

// wholeUse rounds the amount for a note.
func wholeUse(amount float64) uint32 { return uint32(min(max(0, math.Round(amount)), math.MaxUint32)) }

// sumPeerUses adds up what the other instances announced, in the order of their names, each bounded by what one instance can
// claim. Without the bound, one wrong note would put an organisation above its share at all instances.
func (st *State) sumPeerUses() {
	st.usesChanged, st.usesSummedAt = false, st.now
	for _, sh := range st.shares {
		sh.others, sh.otherKinds = map[uint32]use{}, map[int]kindUse{}
	}
	for _, from := range slices.Sorted(maps.Keys(st.peers)) {
		for i := range st.peers[from].uses {
			su := &st.peers[from].uses[i]
			sh, ok := st.shares[su.Service]
			if !ok {
				continue
			}
			bound := st.maxPeerUse(su.Service)
			for _, ou := range su.Organisations {
				us := sh.others[ou.Organisation]
				us.asked = us.asked.plus(resources{min(bound, float64(ou.Asked)), min(bound, float64(ou.AskedMemory))})
				us.used = us.used.plus(resources{min(bound, float64(ou.Used)), min(bound, float64(ou.UsedMemory))})
				sh.others[ou.Organisation] = us
			}
			for _, ku := range su.Kinds {
				part := min(1, maxPeerRequests*useScale/max(1, float64(ku.Decided)))
				known := sh.otherKinds[ku.Priority]
				known.decided += part * float64(ku.Decided) / useScale
				known.sent += part * float64(ku.Sent) / useScale
				sh.otherKinds[ku.Priority] = known
			}
		}
	}
}

// maxPeerRequests is the maximum number of requests of one urgency that sumPeerUses counts for one instance.
const maxPeerRequests = 500

// maxPeerUse returns the maximum use of an organisation that sumPeerUses counts for one instance.
func (st *State) maxPeerUse(service string) float64 {
	svc := st.services[service]
	if svc == nil {
		return 0
	}
	var capacity float64
	for _, rep := range svc.replicas {
		if svc.engine != nil {
			capacity += ms(useTimeConstant)
		} else {
			capacity += float64(rep.Slots) * plainRate * useTimeConstant.Seconds()
		}
	}
	return capacity * min(1, peerUseFactor/float64(st.live))
}

// receiveUses applies the uses in the summary of another instance.
func (st *State) receiveUses(pr *peer, uses []ServiceUse) {
	st.usesChanged = st.usesChanged || len(uses) > 0 || len(pr.uses) > 0
	pr.uses = uses
	for i := range uses {
		if !uses[i].Scarce || st.services[uses[i].Service] == nil {
			continue
		}
		if sh := st.sharesOf(uses[i].Service); sh != nil {
			sh.scarceUntil = later(sh.scarceUntil, st.now.Add(scarceTime))
		}
	}
}

// gaveWayTooLong reports whether a request that gives way to others has waited for so long that it is unlikely to be placed in
// time. It is then refused with a time to retry at.
func (st *State) gaveWayTooLong(req *request) bool {
	return req.yields == yieldsToShares && st.now.Sub(req.at) >= time.Duration(maxYieldShare*float64(req.Route.Goal.Std()))
}

// maxYieldShare is the share of its goal after which a request that gives way to others is refused.
const maxYieldShare = 0.25

// retryAfterYield returns the time until what the organisation of a refused request used has decayed to its share, but at least
// retryAfter and otherwise at most PatientShare of the time to the deadline.
func (st *State) retryAfterYield(req *request) time.Duration {
	after := st.retryAfter(req)
	if req.used <= 1 {
		return after
	}
	maxAfter := time.Duration(st.tune.PatientShare * float64(req.Deadline.Sub(st.now)))
	return max(after, min(maxAfter, time.Duration(math.Log(req.used)*float64(useTimeConstant))))
}
