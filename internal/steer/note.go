package steer

// Note is what one instance tells the others of its own work, so that each knows the load of every engine without
// asking the engines. A lost note is made good by the next one with Whole set.
type Note struct {
	// From names the instance, Run its run.
	From string `cbor:"1,keyasint,omitempty"`
	Run  int64  `cbor:"2,keyasint,omitempty"`
	// Up is for how many ms the run has lasted.
	Up int64 `cbor:"3,keyasint,omitempty"`
	// Whole tells that Kept names all the jobs of the instance.
	Whole bool    `cbor:"4,keyasint,omitempty"`
	Kept  []JobID `cbor:"5,keyasint,omitempty"`
	Jobs  []Job   `cbor:"6,keyasint,omitempty"`
	// Begun and Ended name jobs whose answer has begun and that are over.
	Begun []JobID `cbor:"7,keyasint,omitempty"`
	Ended []JobID `cbor:"8,keyasint,omitempty"`
	// BegunAge is how long ago in ms the first of the answers began.
	BegunAge int32 `cbor:"9,keyasint,omitempty"`
	// Deaths counts the replicas that died while running a content.
	Deaths []Death `cbor:"10,keyasint,omitempty"`
	// Down names replicas that failed to take a connection or fell silent.
	Down []string `cbor:"11,keyasint,omitempty"`
	// Paces are of engines that turned slow or are slow no longer.
	Paces []Pace `cbor:"12,keyasint,omitempty"`
	// Waiting counts the requests that wait for a replica.
	Waiting int `cbor:"13,keyasint,omitempty"`
	// Demand is what callers asked of the engines at the instance, on notes with Whole set.
	Demand Demand `cbor:"14,keyasint,omitempty"`
	// Limits are rate limits that replicas named, Asks and Grants are about sends to such replicas.
	Limits []Limit `cbor:"15,keyasint,omitempty"`
	Asks   []Ask   `cbor:"16,keyasint,omitempty"`
	Grants []Grant `cbor:"17,keyasint,omitempty"`
}

// JobID names one attempt of a request, or one claim, within one run of one instance.
type JobID uint64

// Job is a request at one or several replicas.
type Job struct {
	ID JobID `cbor:"1,keyasint,omitempty"`
	// Replicas has the one that answers first, then those that help it read.
	Replicas []string `cbor:"2,keyasint,omitempty"`
	// Tickets holds the tokens that the helpers set aside, in their order.
	Tickets []int64 `cbor:"3,keyasint,omitempty"`
	// Prompt and Answer are in tokens.
	Prompt int64 `cbor:"4,keyasint,omitempty"`
	Answer int64 `cbor:"5,keyasint,omitempty"`
	// Goal is the time left in ms when the note was made for the answer to begin, Gap the longest pause in ms that its caller
	// was promised, Leaves the one after which it leaves.
	Goal   int32 `cbor:"6,keyasint,omitempty"`
	Gap    int32 `cbor:"7,keyasint,omitempty"`
	Leaves int32 `cbor:"8,keyasint,omitempty"`
	// Age is how long ago in ms it was sent.
	Age   int32 `cbor:"9,keyasint,omitempty"`
	Begun bool  `cbor:"10,keyasint,omitempty"`
	// Value is what the answer is worth in time.
	Value float32 `cbor:"11,keyasint,omitempty"`
	// Claim tells that it is not sent yet, and will not be if others claim the same slot with a better right.
	Claim bool `cbor:"12,keyasint,omitempty"`
}

// Death is a content that replicas died of.
type Death struct {
	Digest Digest `cbor:"1,keyasint,omitempty"`
	Count  int    `cbor:"2,keyasint,omitempty"`
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
