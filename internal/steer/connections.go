package steer

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Connections to replicas. A replica resets connections beyond a number that its service declares (decl.Pool.Connections), which all
// instances together must not exceed. Part of that number is for connections in use; the rest is divided among the instances, each of
// which keeps as many idle connections as its part. The parts follow from the list of instances alone, so that no message is needed.

const (
	// connectionReserve is the share of a replica's connections that is neither for requests in its slots nor for idle connections,
	// but for orders, probes, messages passed on for other instances and requests that other instances have just sent.
	connectionReserve = 1.0 / 8
	// outsiderShare is the share of the idle connections that is for instances of other subsets of the service. They use the replica
	// if their own subset has failed.
	outsiderShare = 1.0 / 4
)

// ConnectionBound is how many idle connections this instance may keep to a replica. The zero value sets no bound.
type ConnectionBound struct {
	// Bounded reports whether there is a bound.
	Bounded bool
	// MaxIdle is the maximum number of idle connections if Bounded is set.
	MaxIdle int
}

// cachedBound is the cached ConnectionBound of a replica.
type cachedBound struct {
	ConnectionBound
	// generation is State.generation when it was computed.
	generation int
	// at is when it was computed.
	at time.Time
}

// boundAge is the maximum age of a cached bound of the same generation. It is needed because no event reports when instances that are
// not listed any more cease to count.
const boundAge = time.Second

// connectionBound returns how many idle connections this instance may keep to the replica.
func (st *State) connectionBound(rep *replica) ConnectionBound {
	count := st.maxConnections(rep.Service)
	if count == 0 {
		return ConnectionBound{}
	}
	if cached := &rep.connections; cached.generation != st.generation || st.now.Sub(cached.at) > boundAge {
		// The instances that are not listed any more may still hold connections.
		unlisted := max(0, st.division.Part(st.now).Instances-st.live)
		*cached = cachedBound{ConnectionBound: ConnectionBound{Bounded: true, MaxIdle: st.idlePart(rep, count, unlisted)}, generation: st.generation, at: st.now}
	}
	return rep.connections.ConnectionBound
}

// maxConnections returns the declared number of connections that a replica of the service accepts, 0 if none is declared.
func (st *State) maxConnections(service string) int {
	if st.Routing == nil {
		return 0
	}
	return st.Routing.Services[service].Connections
}

// idlePart returns this instance's part of the idle connections to the replica. unlisted is the number of instances that are counted
// although they are not listed.
func (st *State) idlePart(rep *replica, connections, unlisted int) int {
	idle := connections - rep.Slots - plainQueue - int(connectionReserve*float64(connections))
	if idle <= 0 {
		return 0
	}
	svc := st.serviceOf(rep.Service)
	sub := st.subsetOf(rep)
	users := st.usersUnlessAll(sub)
	if users == nil {
		return divide(idle, st.rank(rep, st.otherNames), len(st.otherNames)+1+unlisted)
	}
	outside := int(outsiderShare * float64(idle))
	if sub == st.ownSubset(svc) {
		return divide(idle-outside, st.rank(rep, users), len(users)+1+unlisted)
	}
	outsiders := slices.DeleteFunc(slices.Clone(st.otherNames), func(name string) bool { return slices.Contains(users, name) })
	return divide(outside, st.rank(rep, outsiders), len(outsiders)+1+unlisted)
}

// rank returns how many of the other instances precede this one in an order that differs by replica, so that the remainders of the
// division fall to different instances.
func (st *State) rank(rep *replica, others []string) int {
	own := connectionHash(st.Options.Name, rep)
	rank := 0
	for _, name := range others {
		if hash := connectionHash(name, rep); hash < own || hash == own && name < st.Options.Name {
			rank++
		}
	}
	return rank
}

// connectionHash is the value by which rank orders the instances for the replica.
func connectionHash(instance string, rep *replica) uint64 {
	return xxhash.Sum64String(instance + "/" + rep.Name + "/" + strconv.FormatInt(rep.Born, 36))
}

// divide returns the part with the given rank if the total is divided into count whole parts that differ by at most 1 and add up to it.
func divide(total, rank, count int) int {
	part := total / count
	if rank < total%count {
		part++
	}
	return part
}

// IdleConnections reports a change in whether this instance has idle connections.
type IdleConnections struct {
	// Changed maps each affected address to whether there is now an idle connection to it.
	Changed map[string]bool
}

func (IdleConnections) isEvent() {}

func (st *State) idleConnections(ev IdleConnections) {
	for address, idle := range ev.Changed {
		if idle {
			st.idleAddresses[address] = true
		} else {
			delete(st.idleAddresses, address)
		}
	}
}

// connectionCost returns the cost if a request to the replica needs a new connection, and 0 otherwise or if the service declares no number
// of connections.
func (st *State) connectionCost(rep *replica, cost float64) float64 {
	if cost == 0 || st.idleAddresses[rep.Address] || st.maxConnections(rep.Service) == 0 {
		return 0
	}
	return cost
}

// connectionsFull reports whether the running requests take all connections of the replica that requests may use.
func (st *State) connectionsFull(rep *replica) bool {
	connections := st.maxConnections(rep.Service)
	return connections > 0 && rep.running() >= max(1, connections-int(connectionReserve*float64(connections)))
}
