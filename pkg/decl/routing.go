package decl

import "strings"

// Routing is one version of what requests are passed on by their host and path: the routes, the services behind them
// and the organisations that may use them. It is the form of a configuration whose callers speak to the upstreams in
// the upstreams' own protocol, where Config is that of the completions API.
type Routing struct {
	// Version rises with every change.
	Version int64
	// Routes holds every route; no two share host and prefix.
	Routes []Route
	// Services holds everything that routes lead to, by name.
	Services map[string]Pool
	// Tokens finds the organisation of a caller by the digest of its token, see TokenDigest.
	Tokens map[string]string
	// Priorities holds the priority of an organisation that has one of its own, by name; 0 is the most urgent.
	Priorities map[string]int
	// Limits bound what one caller may send.
	Limits CallerLimits

	// index finds a route by its host and prefix, nil before Index.
	index map[place]*Route
}

// place is where a route's requests come to.
type place struct{ host, prefix string }

// CallerLimits bound one caller's connection; a zero field is unlimited.
type CallerLimits struct {
	// BodyBytes is the longest body.
	BodyBytes int64
	// Idle is how long a kept connection may rest.
	Idle Duration
}

// Repeats says what may be repeated of the requests on a route.
type Repeats string

// The kinds of route by what may be repeated.
const (
	// RepeatsAny is for idempotent requests.
	RepeatsAny Repeats = "Any"
	// RepeatsNone is for requests that may run at most once.
	RepeatsNone Repeats = "None"
	// RepeatsResumed is for streams that another replica can go on with after the last event that the caller has.
	RepeatsResumed Repeats = "Resumed"
)

// Route says where requests go and what is owed to their callers.
type Route struct {
	Name string
	Host string
	// Prefix is the start of the path, with slashes at both ends. The longest prefix of a host wins.
	Prefix string
	// Shares share the requests by weight; never empty.
	Shares  []Share
	Repeats Repeats
	// Stream tells that answers are series of events.
	Stream bool
	// Timeout is the longest time from arrival to the end of the answer; above 0.
	Timeout Duration
	// Goal is the time to the first byte of the answer that callers are promised.
	Goal Duration
	// Gap is the longest pause between events that callers are promised; 0 if nothing is.
	Gap Duration
	// Attempts is how many replicas may run one request; at least 1.
	Attempts int
	// Priority ranks the route, 0 the most urgent.
	Priority int
	// Public routes need no token.
	Public bool
}

// Share is one service of a route with its share.
type Share struct {
	Service string
	// Weight is the share of the requests, at least 0.
	Weight int
}

// Pool is a service as requests are passed on to it.
type Pool struct {
	// Connections is how many connections one replica takes from all instances together; 0 is unlimited.
	Connections int
	// Engine has the figures of a model engine, nil for plain services.
	Engine *Engine
}

// Index makes Find take a time that follows the depth of the path and not the number of routes, of which operators add
// hundreds at once. It must be called again after Routes has changed, and not beside Find.
func (rt *Routing) Index() {
	rt.index = make(map[place]*Route, len(rt.Routes))
	for i := range rt.Routes {
		route := &rt.Routes[i]
		rt.index[place{route.Host, route.Prefix}] = route
	}
}

// Find returns the route of a request, nil if there is none.
func (rt *Routing) Find(host, path string) *Route {
	if rt.index == nil {
		return rt.scan(host, path)
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route, ok := rt.index[place{host, path[:end+1]}]; ok {
			return route
		}
	}
	return nil
}

// scan looks at every route.
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
