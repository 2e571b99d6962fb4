package steer

import (
	"slices"
	"time"
)

// Note is a message in which one instance reports its own work to the others, so that each knows the load of every engine
// without polling the engines. The next note with Full set repairs what a lost note would have reported.
type Note struct {
	// From is the name of the sending instance, or in a report of an engine's own load loadReportPrefix and the replica's
	// name.
	From string `cbor:"1,keyasint,omitempty"`
	// Run distinguishes the runs of that instance.
	Run int64 `cbor:"2,keyasint,omitempty"`
	// UptimeMs is the uptime of the run in ms.
	UptimeMs int64 `cbor:"3,keyasint,omitempty"`
	// Full reports that OpenJobs lists all jobs of the instance, so that any other job of it has ended.
	Full bool `cbor:"4,keyasint,omitempty"`
	// OpenJobs lists the jobs of the instance that have not ended, if Full is set.
	OpenJobs []JobID `cbor:"5,keyasint,omitempty"`
	// Jobs describes new jobs and, in a summary, jobs that have not ended.
	Jobs []Job `cbor:"6,keyasint,omitempty"`
	// Begun lists jobs whose answer has begun.
	Begun []JobID `cbor:"7,keyasint,omitempty"`
	// Ended lists jobs that have ended.
	Ended []JobID `cbor:"8,keyasint,omitempty"`
	// BegunAge is how long ago in ms the earliest of the answers in Begun began.
	BegunAge int32 `cbor:"9,keyasint,omitempty"`
	// Deaths reports replicas that died while running a request content.
	Deaths []Death `cbor:"10,keyasint,omitempty"`
	// Down lists replicas to avoid for a while, such as those that refused a connection or stopped answering.
	Down []string `cbor:"11,keyasint,omitempty"`
	// Paces reports engines that have become slow or are no longer slow.
	Paces []Pace `cbor:"12,keyasint,omitempty"`
	// Waiting is the number of requests that wait for a replica at the instance.
	Waiting int `cbor:"13,keyasint,omitempty"`
	// Demand is the work that callers requested of the engines through the instance. Only notes with Full set carry it.
	Demand Demand `cbor:"14,keyasint,omitempty"`
	// Limits reports the rate limits of replicas.
	Limits []Limit `cbor:"15,keyasint,omitempty"`
	// GrantRequests asks the recipient for sends to rate-limited replicas.
	GrantRequests []GrantRequest `cbor:"16,keyasint,omitempty"`
	// Grants answers the recipient's GrantRequests.
	Grants []Grant `cbor:"17,keyasint,omitempty"`
	// Departures reports replicas that have said that they leave.
	Departures []Departure `cbor:"18,keyasint,omitempty"`
	// GrantReturns gives grants of the recipient back.
	GrantReturns []GrantReturn `cbor:"19,keyasint,omitempty"`
	// Suspicions reports, for the Deaths of prompts, the parts that may have caused them.
	Suspicions []Suspicion `cbor:"20,keyasint,omitempty"`
	// Cleared reports parts of prompts that a replica has answered since others crashed under them.
	Cleared []ClearedPart `cbor:"21,keyasint,omitempty"`
	// LostPaths names the services to which the instance has lost its path. Every note has the whole list.
	LostPaths []string `cbor:"22,keyasint,omitempty"`
	// Uses reports what organisations asked of the services, while requests wait. Only notes with Full set carry it.
	Uses []ServiceUse `cbor:"23,keyasint,omitempty"`
	// Cold reports replicas that are cold, or that are not any more.
	Cold []Cold `cbor:"26,keyasint,omitempty"`
	// SlotRequests asks the recipient for slots of engines.
	SlotRequests []SlotRequest `cbor:"30,keyasint,omitempty"`
	// SlotGrants answers the recipient's SlotRequests.
	SlotGrants []SlotGrant `cbor:"31,keyasint,omitempty"`
}

// Suspicion reports the parts of a prompt that was sent to a replica that crashed.
type Suspicion struct {
	// ID is that of the death.
	ID uint64 `cbor:"1,keyasint,omitempty"`
	// Upstream identifies the incarnation of the replica.
	Upstream uint64 `cbor:"2,keyasint,omitempty"`
	// Content identifies the request as a whole.
	Content uint64 `cbor:"3,keyasint,omitempty"`
	// Caller identifies its organisation.
	Caller uint64 `cbor:"4,keyasint,omitempty"`
	// AgeMs is how long ago in ms the replica crashed.
	AgeMs int64 `cbor:"5,keyasint,omitempty"`
	// Parts are some or all of the prompt's parts; several Suspicions with one ID add up.
	Parts []Part `cbor:"6,keyasint,omitempty"`
}

func (sus *Suspicion) valid() bool {
	return sus.ID != 0 && sus.AgeMs >= 0 && sus.AgeMs <= maxDeathAge.Milliseconds() && len(sus.Parts) > 0
}

// ClearedPart reports that a replica has answered a prompt with the part.
type ClearedPart struct {
	Part Part `cbor:"1,keyasint,omitempty"`
	// AgeMs is how long ago in ms that was.
	AgeMs int64 `cbor:"2,keyasint,omitempty"`
}

func (cp *ClearedPart) valid() bool {
	return cp.AgeMs >= 0 && cp.AgeMs <= maxDeathAge.Milliseconds()
}

// Age adds the time that has passed since the note was made to what it reports of deaths.
func (nt *Note) Age(by time.Duration) {
	nt.Deaths, nt.Suspicions, nt.Cleared = slices.Clone(nt.Deaths), slices.Clone(nt.Suspicions), slices.Clone(nt.Cleared)
	for i := range nt.Deaths {
		nt.Deaths[i].AgeMs += by.Milliseconds()
	}
	for i := range nt.Suspicions {
		nt.Suspicions[i].AgeMs += by.Milliseconds()
	}
	for i := range nt.Cleared {
		nt.Cleared[i].AgeMs += by.Milliseconds()
	}
}

// JobID identifies one attempt of a request, or one claim, within one run of one instance.
type JobID uint64

// Job is one attempt or claim of a request at one or several replicas.
type Job struct {
	ID JobID `cbor:"1,keyasint,omitempty"`
	// Replicas lists the replica that answers, followed by its helpers, which read parts of the prompt.
	Replicas []string `cbor:"2,keyasint,omitempty"`
	// Reservations holds the memory in tokens that each helper reserves, in the order of the helpers.
	Reservations []int64 `cbor:"3,keyasint,omitempty"`
	// Prompt is the length of the prompt in tokens.
	Prompt int64 `cbor:"4,keyasint,omitempty"`
	// Answer is the maximum length of the answer in tokens.
	Answer int64 `cbor:"5,keyasint,omitempty"`
	// Goal is the time in ms that was left for the answer to begin when the note was made.
	Goal int32 `cbor:"6,keyasint,omitempty"`
	// Gap is the longest pause in ms that the caller was promised.
	Gap int32 `cbor:"7,keyasint,omitempty"`
	// MaxPause is the length of a pause in ms after which the caller leaves.
	MaxPause int32 `cbor:"8,keyasint,omitempty"`
	// Age is how long ago in ms the job was sent.
	Age int32 `cbor:"9,keyasint,omitempty"`
	// Begun reports that the answer has begun.
	Begun bool `cbor:"10,keyasint,omitempty"`
	// Value is the value of an answer that is in time.
	Value float32 `cbor:"11,keyasint,omitempty"`
	// Claim reports that the job is not sent yet. It will be withdrawn if claims of higher rank take the slot.
	Claim bool `cbor:"12,keyasint,omitempty"`
}

// Death reports a replica that died while running a request content.
type Death struct {
	Digest Digest `cbor:"1,keyasint,omitempty"`
	// Count is the number of crashes that the sender knows of, for instances of earlier releases, which read nothing else.
	Count int `cbor:"2,keyasint,omitempty"`
	// ID identifies the death among those that all instances observe, 0 in a note of an earlier release.
	ID uint64 `cbor:"3,keyasint,omitempty"`
	// Upstream identifies the incarnation of the replica.
	Upstream uint64 `cbor:"4,keyasint,omitempty"`
	// AgeMs is how long ago in ms the replica died.
	AgeMs int64 `cbor:"5,keyasint,omitempty"`
}

func (death *Death) valid() bool {
	return death.AgeMs >= 0 && death.AgeMs <= maxDeathAge.Milliseconds()
}

// maxDeathAge is the highest age of a death accepted in a note, above that of any that can still count.
const maxDeathAge = 24 * time.Hour

// DropInvalid removes the parts of a note from the network that cannot be used, and returns how many there were. It reports
// false if nothing of the note can be used, since its sender is unknown.
func (nt *Note) DropInvalid() (dropped int, usable bool) {
	dropped += dropInvalid(&nt.Jobs, (*Job).valid)
	dropped += dropInvalid(&nt.Deaths, (*Death).valid)
	dropped += dropInvalid(&nt.Suspicions, (*Suspicion).valid)
	dropped += dropInvalid(&nt.Cleared, (*ClearedPart).valid)
	dropped += dropInvalid(&nt.Limits, (*Limit).valid)
	dropped += dropInvalid(&nt.Cold, (*Cold).valid)
	dropped += dropInvalid(&nt.GrantRequests, (*GrantRequest).valid)
	dropped += dropInvalid(&nt.Grants, (*Grant).valid)
	dropped += dropInvalid(&nt.SlotRequests, (*SlotRequest).valid)
	dropped += dropInvalid(&nt.Departures, func(dep *Departure) bool { return dep.Replica != "" })
	dropped += dropInvalid(&nt.GrantReturns, func(ret *GrantReturn) bool { return ret.Replica != "" })
	dropped += dropInvalid(&nt.Uses, (*ServiceUse).valid)
	dropped += dropInvalid(&nt.Paces, (*Pace).valid)
	return dropped, nt.From != ""
}

// dropInvalid removes the items that are not valid, and returns how many there were.
func dropInvalid[Item any](list *[]Item, valid func(item *Item) bool) int {
	before := len(*list)
	*list = slices.DeleteFunc(*list, func(item Item) bool { return !valid(&item) })
	return before - len(*list)
}

func (job *Job) valid() bool {
	if len(job.Replicas) == 0 || job.Prompt < 0 || job.Answer < 0 || job.Prompt > maxTokens || job.Answer > maxTokens {
		return false
	}
	// NaN fails the comparisons, too.
	if job.Age < 0 || !(job.Value >= 0 && job.Value <= maxValue) {
		return false
	}
	return !slices.ContainsFunc(job.Reservations, func(tokens int64) bool { return tokens < 0 || tokens > maxTokens })
}

// maxTokens is the highest number of tokens accepted in a note, far above the longest prompt.
const maxTokens = 1 << 30
