package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/internal/memory"
	"dandelionsail.example/dandelionsail/internal/posit"
	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/internal/trip"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Instances serve their configuration to peers that the store rejects. Otherwise such a peer would learn of a new
// configuration without being able to read it, and would have to refuse all callers with tokens once the token lifetime
// has passed.

// sharedState is what an Instance serves to its peers, as of the revision or later: its configuration, and under
// sharedDirectoryPath the entries of the Directory as well.
type sharedState struct {
	Revision int64         `cbor:"1,keyasint,omitempty"`
	Routing  *decl.Routing `cbor:"2,keyasint,omitempty"`
	// Era is the era of Revision. It is missing from instances whose version knows no eras.
	Era      int64           `cbor:"3,keyasint,omitempty"`
	Replicas []steer.Replica `cbor:"4,keyasint,omitempty"`
	Peers    []Peer          `cbor:"5,keyasint,omitempty"`
	// Evacuated holds the names of the evacuated failure domains in the store.
	Evacuated []string `cbor:"6,keyasint,omitempty"`
	// Evacuations reports whether Evacuated is known. It is missing from instances of earlier versions.
	Evacuations bool `cbor:"7,keyasint,omitempty"`
}

// position returns the position up to which all changes are in the state.
func (shared *sharedState) position() posit.Position {
	return posit.Position{Era: shared.Era, Revision: shared.Revision}
}

const (
	sharedConfigPath    = "/routing"
	sharedDirectoryPath = "/directory"
	// sharedTimeout is the timeout for fetching the configuration or the directory from another Instance.
	sharedTimeout = 600 * time.Millisecond
	// maxShared is the maximum number of bytes read of the response; ten thousand routes take about 3 MB.
	maxShared = 16 << 20
	// refusalCooldown is how long after a failed read of the configuration peers are asked before the store, since the
	// store charges for rejected calls too.
	refusalCooldown = 3 * time.Second
)

// serveConfig responds with the configuration.
func (in *Instance) serveConfig(w http.ResponseWriter, _ *http.Request) {
	// The position is read first: in between the configuration can only become newer.
	at := in.changes.position()
	in.serveShared(w, "Peers.ConfigurationsShared", sharedState{Era: at.Era, Revision: at.Revision})
}

// serveDirectory responds with the whole directory.
func (in *Instance) serveDirectory(w http.ResponseWriter, _ *http.Request) {
	// The position is read first: in between the contents can only become newer, and the changes after it are applied again.
	at := in.changes.position()
	replicas, peers, evacuated := in.entries.lists()
	in.serveShared(w, "Peers.DirectoriesShared", sharedState{Era: at.Era, Revision: at.Revision, Replicas: replicas, Peers: peers, Evacuated: evacuated, Evacuations: true})
}

// serveShared responds with the state and the configuration in force, and counts the response.
func (in *Instance) serveShared(w http.ResponseWriter, counter string, shared sharedState) {
	shared.Routing = in.routing.Load()
	raw, err := cbor.Marshal(shared)
	if err != nil || shared.Routing == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !in.memory.Try(memory.Answers, len(raw)) {
		in.count("Peers.SharesRefused")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer in.memory.Release(memory.Answers, int64(len(raw)))
	in.count(counter)
	w.Header().Set("Content-Type", "application/cbor")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	_, _ = w.Write(raw)
}

// fetchRouting returns the configuration of the Instance at the address, as of the position or a later one of its era; with the zero
// Position, any.
func (in *Instance) fetchRouting(ctx context.Context, from *net.UDPAddr, atLeast posit.Position) (*decl.Routing, error) {
	shared, err := in.fetchShared(ctx, from, sharedConfigPath)
	if err != nil {
		return nil, err
	}
	if at := shared.position(); atLeast != (posit.Position{}) && (at.Before(atLeast) || !at.SameEra(atLeast)) {
		return nil, OrderFailed.New("relay: the instance at %s sent the configuration of %s instead of %s or a later one; the store is read instead", from, at, atLeast)
	}
	return shared.Routing, nil
}

// fetchDirectory returns the directory of the Instance at the address, as of the position or a later one.
func (in *Instance) fetchDirectory(ctx context.Context, from *net.UDPAddr, atLeast posit.Position) (Snapshot, error) {
	shared, err := in.fetchShared(ctx, from, sharedDirectoryPath)
	if err != nil {
		return Snapshot{}, err
	}
	if at := shared.position(); at.Before(atLeast) {
		return Snapshot{}, OrderFailed.New("relay: the instance at %s sent the directory of %s instead of %s; it is requested again", from, at, atLeast)
	}
	snap := Snapshot{Position: shared.position(), Routing: shared.Routing, Replicas: shared.Replicas, Peers: shared.Peers, Evacuated: shared.Evacuated, evacuationsUnknown: !shared.Evacuations}
	snap.check()
	return snap, nil
}

// fetchShared returns what the Instance at the address serves to its peers under the path.
func (in *Instance) fetchShared(ctx context.Context, from *net.UDPAddr, path string) (shared sharedState, err error) {
	limited, cancel := context.WithTimeout(ctx, sharedTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(limited, http.MethodGet, "http://"+from.String()+path, nil)
	if err != nil {
		return shared, BadOption.Wrap(err, "relay: cannot build a request to the instance at %s; check its registered address", from)
	}
	resp, err := (trip.Client{Transport: in.unpooledPeer}).RoundTrip(req)
	if err != nil {
		return shared, OrderFailed.Wrap(err, "relay: the instance at %s did not respond to %s; it is tried again later", from, path)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxShared))
	if err != nil {
		return shared, OrderFailed.Wrap(err, "relay: the instance at %s broke off its response to %s; it is tried again later", from, path)
	}
	if err := cbor.Unmarshal(raw, &shared); err != nil || shared.Routing == nil {
		return shared, OrderFailed.New("relay: the instance at %s sent a malformed response to %s; it is tried again later", from, path)
	}
	shared.Routing.Index()
	return shared, nil
}

// routingAt returns the configuration as of the position or later: from the store, whose stale reads cost little, or
// from the Instance that announced it. That Instance is asked first while the store rejects this one. from is nil if
// the store itself announced the position. The result is nil if the configuration cannot be decoded, so that the last one stays in use.
func (fl *follower) routingAt(ctx context.Context, from *net.UDPAddr, atLeast posit.Position) (*decl.Routing, error) {
	if from != nil && time.Since(fl.routingFailedAt) < refusalCooldown {
		if routing, err := fl.in.fetchRouting(ctx, from, atLeast); err == nil {
			return routing, nil
		}
	}
	limited, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	fl.in.count("Store.Configurations")
	routing, err := fl.in.directory.Routing(limited, fl.trustsStaleReads(), atLeast)
	if err != nil && !isUndecodable(err) && fl.trustsStaleReads() {
		routing, err = fl.in.directory.Routing(limited, false, atLeast)
	}
	if isUndecodable(err) {
		// No other instance can decode it either.
		fl.logUndecodable(err, atLeast)
		return nil, nil
	}
	if err == nil || from == nil {
		return routing, err
	}
	fl.routingFailedAt = time.Now()
	withPosition(fl.in.log.Info().Err(err), atLeast).Msg("reading the configuration from the store failed; fetching it from the instance that announced it")
	return fl.in.fetchRouting(ctx, from, atLeast)
}

// isUndecodable reports whether the error is an UndecodableConfig.
func isUndecodable(err error) bool { return errorx.IsOfType(err, UndecodableConfig) }

// logUndecodable logs that the store's configuration at the position cannot be decoded, once for each error.
func (fl *follower) logUndecodable(err error, at posit.Position) {
	if err == nil || err.Error() == fl.lastUndecodable {
		return
	}
	fl.lastUndecodable = err.Error()
	fl.in.count("Config.Undecodable")
	line := withPosition(fl.in.log.Error().Err(err), at)
	if !fl.in.configured() {
		line.Msg("configuration in the store cannot be decoded; there is none to use")
		return
	}
	line.Int64("Version", fl.in.version()).Msg("configuration in the store cannot be decoded; the last one stays in use")
}
