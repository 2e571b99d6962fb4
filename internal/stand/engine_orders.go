package stand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"dandelionsail.example/dandelionsail/internal/delay"
	"dandelionsail.example/dandelionsail/internal/upstr"
)

// weightsRetryDelay is the delay before a failed load is retried.
const weightsRetryDelay = 100 * time.Millisecond

// orders has the role and models that orders assigned to an engine, and the models that it has loaded.
type orders struct {
	role     string
	assigned []string
	// loaded is always a subset of assigned.
	loaded []string
	// ordered reports whether any order was received. Before the first one, the engine serves every requested model.
	ordered bool
	// fence is the highest fencing number received.
	fence int64
	// applied are the orders that were carried out, oldest first.
	applied []upstr.Order
	// fencedCount counts the orders refused for an outdated fencing number.
	fencedCount int
	// wake wakes the loader after a new order.
	wake chan struct{}
}

func newOrders(model string) orders {
	return orders{role: "Mixed", assigned: []string{model}, loaded: []string{model}, wake: make(chan struct{}, 1)}
}

func (od *orders) models() []string {
	return slices.Clone(od.loaded)
}

// loading returns the assigned models that are not loaded yet.
func (od *orders) loading() []string {
	var missing []string
	for _, name := range od.assigned {
		if !slices.Contains(od.loaded, name) {
			missing = append(missing, name)
		}
	}
	return missing
}

// apply carries out an order. Models that are no longer assigned are unloaded at once; the loader loads missing ones one
// by one.
func (od *orders) apply(order upstr.Order) {
	od.ordered = true
	od.applied = append(od.applied, order)
	od.assigned = slices.Clone(order.Models)
	od.loaded = slices.DeleteFunc(od.loaded, func(name string) bool { return !slices.Contains(od.assigned, name) })
	if order.Role != "" {
		od.role = order.Role
	}
	select {
	case od.wake <- struct{}{}:
	default:
	}
}

// publicName returns the name under which callers request a model that is loaded as "name@version" or
// "name@version:adapter".
func publicName(loaded string) string {
	name, adapter, isAdapter := strings.Cut(loaded, ":")
	name, _, _ = strings.Cut(name, "@")
	if isAdapter {
		return name + ":" + adapter
	}
	return name
}

// serves reports whether the model that a caller requests is loaded.
func (en *Engine) serves(model string) bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	if !en.orders.ordered {
		return true
	}
	return slices.ContainsFunc(en.orders.loaded, func(name string) bool { return publicName(name) == model })
}

func (en *Engine) order(w http.ResponseWriter, req *http.Request) {
	var order upstr.Order
	if err := json.NewDecoder(req.Body).Decode(&order); err != nil {
		refuse(w, http.StatusBadRequest, "send the order as JSON: "+err.Error())
		return
	}
	fence, err := strconv.ParseInt(req.Header.Get(upstr.HeaderFence), 10, 64)
	if err != nil && en.opts.CheckFencing {
		refuse(w, http.StatusBadRequest, "give the fencing number in "+upstr.HeaderFence)
		return
	}
	order.Fence = fence
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.opts.CheckFencing && fence < en.orders.fence {
		en.orders.fencedCount++
		refuse(w, http.StatusPreconditionFailed, "the fencing number is old")
		return
	}
	en.orders.fence = max(en.orders.fence, fence)
	en.orders.apply(order)
	w.WriteHeader(http.StatusNoContent)
}

// runLoader loads the assigned models that are missing, one by one, until the context ends.
func (en *Engine) runLoader(ctx context.Context) error {
	for ctx.Err() == nil {
		en.mu.Lock()
		missing := en.orders.loading()
		en.mu.Unlock()
		if len(missing) == 0 {
			select {
			case <-en.orders.wake:
				continue
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if err := en.loadWeights(ctx, missing[0]); err != nil {
			delay.For(ctx, weightsRetryDelay)
			continue
		}
		en.markLoaded(missing[0])
	}
	return ctx.Err()
}

// markLoaded records that a model is loaded, unless an order withdrew it during the load.
func (en *Engine) markLoaded(name string) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if slices.Contains(en.orders.assigned, name) && !slices.Contains(en.orders.loaded, name) {
		en.orders.loaded = append(en.orders.loaded, name)
	}
}

// loadWeights downloads the weights from the weight store, or waits for the load time if the engine has none.
func (en *Engine) loadWeights(ctx context.Context, name string) error {
	if en.opts.Weights == "" {
		delay.For(ctx, en.opts.LoadTime)
		return ctx.Err()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+en.opts.Weights+PathWeights+url.PathEscape(name), nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		delay.For(ctx, upstr.RetryAfter(resp.Header))
		return fmt.Errorf("stand: the weight store answered %s for %s; retry later", resp.Status, name)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
