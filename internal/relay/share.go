package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

// The configuration as one instance hands it to another that the store turns away. Without it such an instance could hear
// that there is a new one but not have it, and would have to refuse all callers with tokens when their time is over.

// shared is what an instance hands out: the configuration as it was at the revision or later.
type shared struct {
	Revision int64         `cbor:"1,keyasint,omitempty"`
	Routing  *decl.Routing `cbor:"2,keyasint,omitempty"`
}

const (
	sharePath = "/routing"
	// shareTime bounds the asking of another instance for the configuration.
	shareTime = 600 * time.Millisecond
	// maxShared bounds what is read of its answer; ten thousand routes take some 3 MB.
	maxShared = 16 << 20
	// turnedAwayTime is how long after a refusal other instances are asked before the store, whose refusals are paid for.
	turnedAwayTime = 3 * time.Second
)

// share hands out the configuration.
func (in *Instance) share(w http.ResponseWriter, _ *http.Request) {
	// The revision is read before the configuration, which can only have become newer in between.
	answer := shared{Revision: in.view.revision()}
	answer.Routing = in.routing.Load()
	raw, err := cbor.Marshal(answer)
	if err != nil || answer.Routing == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	in.count("Peers.ConfigurationsShared")
	w.Header().Set("Content-Type", "application/cbor")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	_, _ = w.Write(raw)
}

// routingOf returns the configuration of the instance at the address, as it was at the revision or later.
func (in *Instance) routingOf(ctx context.Context, from *net.UDPAddr, atLeast int64) (*decl.Routing, error) {
	limited, cancel := context.WithTimeout(ctx, shareTime)
	defer cancel()
	req, err := http.NewRequestWithContext(limited, http.MethodGet, "http://"+from.String()+sharePath, nil)
	if err != nil {
		return nil, BadOption.Wrap(err, "relay: the instance at %s cannot be asked for the configuration", from)
	}
	resp, err := in.fresh1.RoundTrip(req)
	if err != nil {
		return nil, OrderFailed.Wrap(err, "relay: the instance at %s does not hand out the configuration; the store is asked", from)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxShared))
	if err != nil {
		return nil, OrderFailed.Wrap(err, "relay: the instance at %s broke off handing out the configuration; the store is asked", from)
	}
	var answer shared
	if err := cbor.Unmarshal(raw, &answer); err != nil || answer.Routing == nil {
		return nil, OrderFailed.New("relay: what the instance at %s handed out cannot be read; the store is asked", from)
	}
	if answer.Revision < atLeast {
		return nil, OrderFailed.New("relay: the instance at %s has the configuration of revision %d, older than %d", from, answer.Revision, atLeast)
	}
	answer.Routing.Index()
	return answer.Routing, nil
}

// routingAt gets the configuration as it was at the revision or later: from the store, where the stale copy costs little,
// or from the instance that told of it, which goes first while the store turns this one away. from is nil where the store
// told of it.
func (fl *follower) routingAt(ctx context.Context, from *net.UDPAddr, revision int64) (*decl.Routing, error) {
	if from != nil && time.Since(fl.refusedAt) < turnedAwayTime {
		if routing, err := fl.in.routingOf(ctx, from, revision); err == nil {
			return routing, nil
		}
	}
	limited, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	fl.in.count("Store.Configurations")
	routing, err := fl.in.directory.Routing(limited, revision)
	if err == nil || from == nil {
		return routing, err
	}
	fl.refusedAt = time.Now()
	fl.in.log.Info().Err(err).Int64("Revision", revision).Msg("configuration not had from the store; the instance that told of it is asked")
	return fl.in.routingOf(ctx, from, revision)
}
