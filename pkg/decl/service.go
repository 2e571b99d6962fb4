package decl

import "time"

// Kinds of service.
const (
	// KindModel is served by model engines over the completions API.
	KindModel = "Model"
	// KindPlain is served by plain HTTP services.
	KindPlain = "Plain"
)

// Disciplines by which an instance orders waiting requests of different length classes.
const (
	// DisciplinePriority serves classes by priority; waiting requests age towards their deadline.
	DisciplinePriority = "Priority"
	// DisciplineWeighted divides the capacity among classes by their weights.
	DisciplineWeighted = "Weighted"
)

// Service is a destination of requests: the replicas of a model engine or of a plain HTTP service.
type Service struct {
	// Kind is KindModel or KindPlain.
	Kind string
	// Models are the models that callers name in the completions API. No two services may offer the same name. Model services
	// only.
	Models []Model `json:",omitzero"`
	// Path is the prefix of the HTTP routes of a plain service, with slashes at both ends.
	Path string `json:",omitzero"`
	// Repeatable lists the methods of a plain service that are idempotent; empty means GET, HEAD, PUT, DELETE and OPTIONS.
	Repeatable []string `json:",omitzero"`
	// HonoursKeys reports whether the service itself runs each idempotency key only once, so that a retry is safe.
	HonoursKeys bool `json:",omitzero"`
	// ChecksFencing reports whether the engines refuse an order with an old fencing number.
	ChecksFencing bool `json:",omitzero"`
	// Deadline is the time that a request has if the caller gives no deadline; 0 means DefaultDeadline.
	Deadline Duration `json:",omitzero"`
	// MaxDeadline is the longest deadline that a caller may ask for; at least Deadline. 0 means DefaultMaxDeadline, or Deadline
	// if that is longer.
	MaxDeadline Duration `json:",omitzero"`
	// ProgressTimeout is how long an upstream may send nothing within an answer before the request goes on elsewhere, if it may be repeated, a replica has
	// room and the retry budget allows it; no answer ends for that. 0 means DefaultProgressTimeout.
	ProgressTimeout Duration `json:",omitzero"`
	// MemoryTokens is how many tokens one engine's memory holds; 0 for plain services.
	MemoryTokens int64 `json:",omitzero"`
	// PrefillTokensPerSecond is the initial estimate of an engine's prefill speed, which is corrected by observations.
	PrefillTokensPerSecond float64 `json:",omitzero"`
	// DecodeTokensPerSecond is the initial estimate of an engine's decoding speed for one stream.
	DecodeTokensPerSecond float64 `json:",omitzero"`
	// MaxRunning is how many requests one replica runs at once; 0 means DefaultMaxRunning.
	MaxRunning int64 `json:",omitzero"`
	// Discipline is DisciplinePriority (default) or DisciplineWeighted.
	Discipline string `json:",omitzero"`
	// ClassWeights holds the weights of length classes under DisciplineWeighted; an absent one counts as 1.
	ClassWeights map[string]float64 `json:",omitzero"`
	// Roles is the desired number of replicas of each role, by role name. If it is empty, roles are not changed.
	Roles map[string]int `json:",omitzero"`
}

// Model is a model that a service offers, with the version and adapters that its replicas should load.
type Model struct {
	// Name is the model name in callers' requests.
	Name string
	// Version is the desired version of the weights. If it is empty, the version is not changed.
	Version string `json:",omitzero"`
	// Adapters are loaded in addition to the weights and offered as "model:adapter".
	Adapters []string `json:",omitzero"`
}

// Defaults of the fields that a service leaves at zero.
const (
	DefaultDeadline        = 60 * time.Second
	DefaultMaxDeadline     = 30 * time.Minute
	DefaultProgressTimeout = 5 * time.Second
	DefaultMaxRunning      = 32
	// DefaultPrefillRate is in tokens per second.
	DefaultPrefillRate = 20000
	// DefaultDecodeRate is in tokens per second for one stream.
	DefaultDecodeRate = 50
)

// WithDefaults returns the service with defaults in place of its zero fields.
func (svc Service) WithDefaults() Service {
	if svc.Deadline == 0 {
		svc.Deadline = Duration(DefaultDeadline)
	}
	if svc.MaxDeadline == 0 {
		svc.MaxDeadline = max(svc.Deadline, Duration(DefaultMaxDeadline))
	}
	if svc.ProgressTimeout == 0 {
		svc.ProgressTimeout = Duration(DefaultProgressTimeout)
	}
	if svc.MaxRunning == 0 {
		svc.MaxRunning = DefaultMaxRunning
	}
	if svc.Kind == KindModel && svc.PrefillTokensPerSecond == 0 {
		svc.PrefillTokensPerSecond = DefaultPrefillRate
	}
	if svc.Kind == KindModel && svc.DecodeTokensPerSecond == 0 {
		svc.DecodeTokensPerSecond = DefaultDecodeRate
	}
	if svc.Discipline == "" {
		svc.Discipline = DisciplinePriority
	}
	return svc
}

// Idempotent reports whether a call with the HTTP method may be retried. It is true for all calls of model services.
func (svc Service) Idempotent(method string) bool {
	if svc.Kind == KindModel {
		return true
	}
	methods := svc.Repeatable
	if len(methods) == 0 {
		methods = []string{"GET", "HEAD", "PUT", "DELETE", "OPTIONS"}
	}
	for _, name := range methods {
		if name == method {
			return true
		}
	}
	return false
}
