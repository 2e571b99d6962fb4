package steer

// Note is what one instance tells the others of its own work, so that each knows the load of every engine without
// asking the engines. A lost note is made good by the next one with Whole set.
type Note struct {
	_ struct{} `cbor:",toarray"`
	// From names the instance, Run its run.
	From string
	Run  int64
	// Up is for how many ms the run has lasted.
	Up int64
	// Whole tells that Kept names all the jobs of the instance.
	Whole bool
	Kept  []JobID
	Jobs  []Job
	// Begun and Ended name jobs whose answer has begun and that are over.
	Begun, Ended []JobID
	// BegunAge is how long ago in ms the first of the answers began.
	BegunAge int32
	// Deaths counts the replicas that died while running a content.
	Deaths []Death
	// Down names replicas that failed to take a connection or fell silent.
	Down []string
	// Paces are of engines that turned slow or are slow no longer.
	Paces []Pace
	// Waiting counts the requests that wait for a replica.
	Waiting int
	// Demand is what callers asked of the engines at the instance, on notes with Whole set.
	Demand Demand
	// Limits are rate limits that replicas named, Asks and Grants are about sends to such replicas.
	Limits []Limit
	Asks   []Ask
	Grants []Grant
}

// JobID names one attempt of a request, or one claim, within one run of one instance.
type JobID uint64

// Job is a request at one or several replicas.
type Job struct {
	_  struct{} `cbor:",toarray"`
	ID JobID
	// Replicas has the one that answers first, then those that help it read.
	Replicas []string
	// Tickets holds the tokens that the helpers set aside, in their order.
	Tickets []int64
	// Prompt and Answer are in tokens.
	Prompt, Answer int64
	// Goal is the time left in ms when the note was made for the answer to begin, Gap the longest pause in ms that its caller
	// was promised, Leaves the one after which it leaves.
	Goal, Gap, Leaves int32
	// Age is how long ago in ms it was sent.
	Age   int32
	Begun bool
	// Value is what the answer is worth in time.
	Value float32
	// Claim tells that it is not sent yet, and will not be if others claim the same slot with a better right.
	Claim bool
}

// Death is a content that replicas died of.
type Death struct {
	_      struct{} `cbor:",toarray"`
	Digest Digest
	Count  int
}

// Valid tells that a note from the network can be used.
func (nt *Note) Valid() bool {
	for i := range nt.Jobs {
		job := &nt.Jobs[i]
		if len(job.Replicas) == 0 || job.Prompt < 0 || job.Answer < 0 || job.Prompt > maxTokens || job.Answer > maxTokens {
			return false
		}
		for _, tokens := range job.Tickets {
			if tokens < 0 || tokens > maxTokens {
				return false
			}
		}
	}
	for i := range nt.Limits {
		if !nt.Limits[i].valid() {
			return false
		}
	}
	for i := range nt.Asks {
		if !nt.Asks[i].valid() {
			return false
		}
	}
	for i := range nt.Grants {
		if !nt.Grants[i].valid() {
			return false
		}
	}
	return nt.From != ""
}

// maxTokens bounds what a note may claim, far above the longest prompt.
const maxTokens = 1 << 30
