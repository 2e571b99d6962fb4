package proof

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"dandelionsail.example/dandelionsail/internal/delay"
	"dandelionsail.example/dandelionsail/internal/entry"
	"dandelionsail.example/dandelionsail/internal/load"
)

// versionPeriod is the pause between two polls of the instances' configuration versions.
const versionPeriod = 200 * time.Millisecond

// versions polls the instances' configuration versions and counts how often one went back to a lower version.
type versions struct {
	st *setup

	mu sync.Mutex
	// highest holds the highest version seen, by instance name.
	highest map[string]int64
	// regressions counts the polls that returned a lower version than an earlier one.
	regressions int
}

// run polls all instances until the context ends.
func (vs *versions) run(ctx context.Context) error {
	for delay.For(ctx, versionPeriod) {
		for _, mb := range vs.st.balancer.all() {
			if version, ok := vs.version(ctx, mb); ok {
				vs.record(mb.name, version)
			}
		}
	}
	return nil
}

func (vs *versions) record(name string, version int64) {
	vs.mu.Lock()
	defer vs.mu.Unlock()
	if version < vs.highest[name] {
		vs.regressions++
	}
	vs.highest[name] = max(vs.highest[name], version)
}

// version returns the configuration version that is in force on an instance, or false if the instance does not answer.
func (vs *versions) version(ctx context.Context, mb *member) (int64, bool) {
	limited, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	caller := &load.Caller{Address: mb.process.Address, Token: operatorToken, HTTP: vs.st.balancer.client}
	resp, err := caller.Do(limited, http.MethodGet, "/operator/v1/status", nil, nil)
	if err != nil {
		return 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	var status entry.Status
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&status) != nil {
		return 0, false
	}
	return status.Version, true
}
