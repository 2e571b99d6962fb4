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

// versionPeriod is how often each instance's version is looked at.
const versionPeriod = 200 * time.Millisecond

// versions watches that no instance goes back to a lower version of the configuration.
type versions struct {
	st *site

	mu   sync.Mutex
	seen map[string]int64
	back int
}

// run looks until the context ends.
func (vs *versions) run(ctx context.Context) error {
	for delay.For(ctx, versionPeriod) {
		for _, mb := range vs.st.balancer.all() {
			if version, ok := vs.version(ctx, mb); ok {
				vs.saw(mb.name, version)
			}
		}
	}
	return nil
}

func (vs *versions) saw(name string, version int64) {
	vs.mu.Lock()
	defer vs.mu.Unlock()
	if version < vs.seen[name] {
		vs.back++
	}
	vs.seen[name] = max(vs.seen[name], version)
}

// version asks an instance which version is in force there.
func (vs *versions) version(ctx context.Context, mb *member) (int64, bool) {
	limited, cancel := context.WithTimeout(ctx, probeTime)
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
