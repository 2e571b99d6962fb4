package relay

import (
	"maps"
	"slices"
	"sync"

	"dandelionsail.example/dandelionsail/internal/steer"
)

// entries holds the registered replicas and instances, for peers that the store rejects. After a return of the store such a peer
// cannot follow the changes, and without the whole directory its state would never be confirmed again. It is safe for
// concurrent use.
type entries struct {
	mu       sync.Mutex
	replicas map[string]steer.Replica
	peers    map[string]Peer
	// evacuated holds the names of the evacuated failure domains in the store, sorted.
	evacuated []string
}

// replace replaces all entries.
func (ent *entries) replace(replicas []steer.Replica, peers []Peer) {
	ent.mu.Lock()
	defer ent.mu.Unlock()
	ent.replicas = make(map[string]steer.Replica, len(replicas))
	for _, rep := range replicas {
		ent.replicas[rep.Name] = rep
	}
	ent.peers = make(map[string]Peer, len(peers))
	for _, peer := range peers {
		ent.peers[peer.Name] = peer
	}
}

// apply applies changes of the entries.
func (ent *entries) apply(changes []Change) {
	ent.mu.Lock()
	defer ent.mu.Unlock()
	for i := range changes {
		switch chg := &changes[i]; {
		case chg.Replica != nil:
			ent.replicas[chg.Replica.Name] = *chg.Replica
		case chg.RemovedReplica != "":
			delete(ent.replicas, chg.RemovedReplica)
		case chg.Peer != nil:
			ent.peers[chg.Peer.Name] = *chg.Peer
		case chg.RemovedPeer != "":
			delete(ent.peers, chg.RemovedPeer)
		}
	}
}

// setEvacuated replaces the evacuated failure domains.
func (ent *entries) setEvacuated(names []string) {
	ent.mu.Lock()
	defer ent.mu.Unlock()
	ent.evacuated = names
}

// isEvacuated reports whether the store names the failure domain as evacuated.
func (ent *entries) isEvacuated(name string) bool {
	ent.mu.Lock()
	defer ent.mu.Unlock()
	return slices.Contains(ent.evacuated, name)
}

// hasReplicaIn reports whether a replica is registered in the failure domain.
func (ent *entries) hasReplicaIn(name string) bool {
	ent.mu.Lock()
	defer ent.mu.Unlock()
	for _, rep := range ent.replicas {
		if rep.FailureDomain == name {
			return true
		}
	}
	return false
}

// lists returns all entries.
func (ent *entries) lists() (replicas []steer.Replica, peers []Peer, evacuated []string) {
	ent.mu.Lock()
	defer ent.mu.Unlock()
	return slices.Collect(maps.Values(ent.replicas)), slices.Collect(maps.Values(ent.peers)), ent.evacuated
}
