package decl

import "time"

// Kinds of service.
const (
	// KindModel is served by model engines over the completions API.
	KindModel = "Model"
	// KindPlain is served by plain HTTP services.
	KindPlain = "Plain"
)

// Disciplines by which an instance orders the waiting requests of unlike length classes.
const (
	// DisciplinePriority serves classes by priority with ageing towards the deadline.
	DisciplinePriority = "Priority"
	// DisciplineWeighted shares the service between classes by their weights.
	DisciplineWeighted = "Weighted"
)

// Service is one thing that requests are routed to: replicas of a model engine or of a plain service.
type Service struct {
	// Kind is KindModel or KindPlain.
	Kind string
	// Models are the names that callers give in the completions API; no two services share one. Model services only.
	Models []Model `json:",omitzero"`
	// Path is the prefix of the HTTP routes of a plain service, with slashes at both ends.
	Path string `json:",omitzero"`
	// Repeatable lists the methods of a plain service that are idempotent; empty means GET, HEAD, PUT, DELETE and OPTIONS.
	Repeatable []string `json:",omitzero"`
	// HonoursKeys says that the service itself runs an idempotency key once, so that a retry is safe.
	HonoursKeys bool `json:",omitzero"`
	// ChecksFencing says that the engines refuse an order with an old fencing number.
	ChecksFencing bool `json:",omitzero"`
	// Deadline is the time a request has when the caller names none; above 0.
	Deadline Duration `json:",omitzero"`
	// MaxDeadline caps what a caller may ask for; at least Deadline.
	MaxDeadline Duration `json:",omitzero"`
	// ProgressTimeout is the longest silence of an upstream within an answer before it counts as dead.
	ProgressTimeout Duration `json:",omitzero"`
	// MemoryTokens is what one engine's memory holds; 0 for plain services.
	MemoryTokens int64 `json:",omitzero"`
	// PrefillTokensPerSecond is a first estimate of an engine's prefill speed, corrected by what is observed.
	PrefillTokensPerSecond float64 `json:",omitzero"`
	// DecodeTokensPerSecond is a first estimate of an engine's speed for one stream.
	DecodeTokensPerSecond float64 `json:",omitzero"`
	// MaxRunning is how many requests one replica runs at once; above 0.
	MaxRunning int64 `json:",omitzero"`
	// Discipline is DisciplinePriority (default) or DisciplineWeighted.
	Discipline string `json:",omitzero"`
	// ClassWeights gives each length class its weight under DisciplineWeighted; an absent one counts as 1.
	ClassWeights map[string]float64 `json:",omitzero"`
	// Roles wanted of the replicas, by role name, as counts; empty leaves roles alone.
	Roles map[string]int `json:",omitzero"`
}

// Model is one offered model, with the version and adapters that its replicas should have loaded.
type Model struct {
	// Name is what callers give.
	Name string
	// Version is the wanted weight version; empty leaves it alone.
	Version string `json:",omitzero"`
	// Adapters are loaded beside the weights and offered as "model:adapter".
	Adapters []string `json:",omitzero"`
}

// Replica defaults where a service names none.
const (
	DefaultDeadline        = 60 * time.Second
	DefaultMaxDeadline     = 30 * time.Minute
	DefaultProgressTimeout = 5 * time.Second
	DefaultMaxRunning      = 32
	DefaultPrefillRate     = 20000
	DefaultDecodeRate      = 50
)

// WithDefaults returns the service with its zero fields filled in.
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

// Idempotent reports whether a call of a plain service with the method may be repeated.
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
