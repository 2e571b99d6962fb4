package entry

import (
	"encoding/hex"
	"net/http"
	"slices"
	"strings"
	"time"

	"dandelionsail.example/dandelionsail/internal/core"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/peers"
	"dandelionsail.example/dandelionsail/internal/route"
)

// Status is the state of one instance and its view of the fleet.
type Status struct {
	Instance      string
	FailureDomain string
	At            time.Time
	// Version is the version of the configuration in force in this instance.
	Version  int64
	Ready    bool
	Draining bool
	// Requests is the number of this instance's requests by phase.
	Requests  map[string]int
	Instances []event.Instance
	Upstreams []UpstreamStatus
	// Pools lists the pools with their coordinators as this instance sees them.
	Pools      []core.Pool
	Quarantine []QuarantineStatus
	// Peers is the traffic with other instances since the start.
	Peers peers.Traffic
}

// UpstreamStatus is one upstream as this instance sees it.
type UpstreamStatus struct {
	Name          string
	Service       string
	FailureDomain string
	Address       string
	// State is Live, Leaving or Ejected.
	State string
	// Why explains a state other than Live.
	Why string
	// Running is the number of this instance's own requests in flight there.
	Running int64
	// Tokens is the number of tokens of these requests.
	Tokens int64
	Load   event.Load
	// LoadAge is the age of the load report as a duration, empty before the first report.
	LoadAge string
	Role    string
	Models  []string
}

// QuarantineStatus is content whose requests are refused.
type QuarantineStatus struct {
	Digest string
	// Deaths is the number of upstreams that died with such a request in flight.
	Deaths int
	Until  time.Time
}

// States of an upstream.
const (
	stateLive    = "Live"
	stateLeaving = "Leaving"
	stateEjected = "Ejected"
)

var phaseNames = map[core.Phase]string{
	core.PhaseClaiming:  "Claiming",
	core.PhaseQueued:    "Queued",
	core.PhasePermit:    "WaitingForPermit",
	core.PhaseRunning:   "Running",
	core.PhaseAbandoned: "Abandoned",
}

func (in *Instance) serveStatus(w http.ResponseWriter, _ *http.Request, _ string) {
	status := Status{
		Instance:      in.opts.Name,
		FailureDomain: in.opts.FailureDomain,
		At:            time.Now().UTC(),
		Ready:         in.ready(),
		Draining:      in.draining.Load(),
		Requests:      map[string]int{},
	}
	if in.peers != nil {
		status.Peers = in.peers.Traffic()
	}
	if !in.loop.View(status.fill) {
		http.Error(w, "the instance is stopping", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, http.StatusOK, status)
}

// fill copies the reducer's state into the status. It runs on the reducer's goroutine.
func (sts *Status) fill(st *core.State) {
	sts.Version = st.Config.Version
	sts.Instances = slices.Clone(st.Instances)
	for _, req := range st.Requests {
		sts.Requests[phaseNames[req.Phase]]++
	}
	for _, rep := range st.Route.Replicas {
		sts.Upstreams = append(sts.Upstreams, sts.upstream(rep))
	}
	slices.SortFunc(sts.Upstreams, func(a, b UpstreamStatus) int { return strings.Compare(a.Name, b.Name) })
	sts.Pools = st.Pools()
	for _, entry := range st.QuarantinedDigests() {
		sts.Quarantine = append(sts.Quarantine, QuarantineStatus{
			Digest: hex.EncodeToString(entry.Digest[:]),
			Deaths: entry.Deaths,
			Until:  entry.Until,
		})
	}
}

func (sts *Status) upstream(rep *route.Replica) UpstreamStatus {
	us := UpstreamStatus{
		Name:          rep.Upstream.Name,
		Service:       rep.Upstream.Service,
		FailureDomain: rep.Upstream.FailureDomain,
		Address:       rep.Upstream.Address,
		State:         stateLive,
		Running:       rep.Running,
		Tokens:        rep.Tokens,
		Load:          rep.Report,
		Role:          rep.Role,
		Models:        rep.Models,
	}
	if !rep.ReportAt.IsZero() {
		us.LoadAge = sts.At.Sub(rep.ReportAt).Round(time.Millisecond).String()
	}
	if rep.Upstream.Leaving {
		us.State = stateLeaving
		us.Why = "the platform or a peer said so; it gets no new work"
	} else if sts.At.Before(rep.EjectedUntil) {
		us.State = stateEjected
		us.Why = "it failed several times in a row; it is tried again at " + rep.EjectedUntil.Format(time.TimeOnly)
	}
	return us
}
