package decl

import "strings"

// Routing is one version of the routing table, by host and path: the routes, the services behind them and the
// organisations that may use them. It is the configuration for callers that use the upstreams' own protocol; Config is the
// one for the completions API.
type Routing struct {
	// Version increases with every change.
	Version int64
	// Routes holds the routes; no two have the same host and prefix.
	Routes []Route
	// Services holds the services that routes refer to, by name.
	Services map[string]Pool
	// Tokens maps the digest of a token, see TokenDigest, to the caller's organisation.
	Tokens map[string]string
	// Priorities holds the priorities of the organisations that have one, by name; they override that of the route. 0 is the
	// most urgent.
	Priorities map[string]int
	// Limits apply to each caller.
	Limits CallerLimits

	// index maps a host and prefix to the route; nil before Index.
	index map[routeKey]*Route
}

// routeKey identifies a route.
type routeKey struct{ host, prefix string }

// CallerLimits are the limits of one caller's connection; a zero field is unlimited.
type CallerLimits struct {
	// BodyBytes is the maximum length of a request body, in bytes.
	BodyBytes int64
	// Idle is how long a kept-alive connection may be idle.
	Idle Duration
}

// RetryPolicy states which requests of a route may be retried once they may have run.
type RetryPolicy string

// Values of RetryPolicy.
const (
	// RetryAny is for idempotent requests.
	RetryAny RetryPolicy = "Any"
	// RetryNone is for requests that may run at most once.
	RetryNone RetryPolicy = "None"
	// RetryResumed is for streams that another replica can resume after the last event that the caller received.
	RetryResumed RetryPolicy = "Resumed"
)

// Route maps a host and path prefix to services and states the latency and retries of its requests.
type Route struct {
	Name string
	Host string
	// Prefix is a prefix of the path that starts and ends with a slash. Of the matching routes of a host, the one with the
	// longest prefix applies.
	Prefix string
	// Shares divide the requests among services by weight; never empty.
	Shares  []Share
	Repeats RetryPolicy
	// Stream reports whether answers are event streams.
	Stream bool
	// Timeout is the maximum time from arrival to the end of the answer; above 0.
	Timeout Duration
	// Goal is the target for the time to the first byte of the answer.
	Goal Duration
	// Gap is the target for the longest pause between two events; 0 if there is none.
	Gap Duration
	// Attempts is the maximum number of replicas that may run one request; at least 1.
	Attempts int
	// Priority is the rank of the route's requests; 0 is the most urgent.
	Priority int
	// Public reports whether requests need no token.
	Public bool
}

// Share is one service of a route with its weight.
type Share struct {
	Service string
	// Weight is the relative share of the requests; at least 0.
	Weight int
}

// Pool is a service that routes refer to.
type Pool struct {
	// Connections is the maximum number of connections to one replica from all instances together; 0 is unlimited.
	Connections int
	// Engine is the declared performance of a model engine; nil for plain services.
	Engine *Engine
	// SlowStart is the limit on the requests to a cold replica; the zero value is no limit.
	SlowStart SlowStart
}

// SlowStart is the limit on the requests to a cold replica: one that has just started, or whose caches were dropped.
type SlowStart struct {
	// Duration is how long a replica is cold after its start.
	Duration Duration
	// PerS is the number of requests a second that a cold replica accepts from all instances together.
	PerS float64
}

// Applies reports whether there is a limit on the requests to cold replicas.
func (ss SlowStart) Applies() bool { return ss.Duration > 0 && ss.PerS > 0 }

// Index builds the index of Find, whose time then depends on the depth of the path instead of the number of routes.
// Operators add hundreds of routes at once. Index must be called again after Routes has changed, and not concurrently with
// Find.
func (rt *Routing) Index() {
	rt.index = make(map[routeKey]*Route, len(rt.Routes))
	for i := range rt.Routes {
		route := &rt.Routes[i]
		rt.index[routeKey{route.Host, route.Prefix}] = route
	}
}

// Find returns the route for a request, nil if there is none.
func (rt *Routing) Find(host, path string) *Route {
	if rt.index == nil {
		return rt.scan(host, path)
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route, ok := rt.index[routeKey{host, path[:end+1]}]; ok {
			return route
		}
	}
	return nil
}

// scan finds the route by comparing all routes.
func (rt *Routing) scan(host, path string) *Route {
	var best *Route
	for i := range rt.Routes {
		route := &rt.Routes[i]
		if route.Host != host || !strings.HasPrefix(path, route.Prefix) {
			continue
		}
		if best == nil || len(route.Prefix) > len(best.Prefix) {
			best = route
		}
	}
	return best
}
