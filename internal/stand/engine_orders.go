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

// weightsRetry is the wait after the weight store failed a load.
const weightsRetry = 100 * time.Millisecond

// orders is what an engine was told to be and what it is.
type orders struct {
	role   string
	wanted []string
	// loaded is always a part of wanted.
	loaded []string
	// given tells that an order came; before the first one the engine serves every model that it is asked for.
	given  bool
	fence  int64
	obeyed []upstr.Order
	fenced int
	// wake tells the loader of a new order.
	wake chan struct{}
}

func newOrders(model string) orders {
	return orders{role: "Mixed", wanted: []string{model}, loaded: []string{model}, wake: make(chan struct{}, 1)}
}

func (od *orders) models() []string {
	return slices.Clone(od.loaded)
}

func (od *orders) loading() []string {
	var missing []string
	for _, name := range od.wanted {
		if !slices.Contains(od.loaded, name) {
			missing = append(missing, name)
		}
	}
	return missing
}

// obey takes an order: what is not wanted is unloaded at once, and what is missing is loaded one after the other.
func (od *orders) obey(order upstr.Order) {
	od.given = true
	od.obeyed = append(od.obeyed, order)
	od.wanted = slices.Clone(order.Models)
	od.loaded = slices.DeleteFunc(od.loaded, func(name string) bool { return !slices.Contains(od.wanted, name) })
	if order.Role != "" {
		od.role = order.Role
	}
	select {
	case od.wake <- struct{}{}:
	default:
	}
}

// offered is the name under which callers ask for a loaded "name@version" or "name@version:adapter".
func offered(loaded string) string {
	name, adapter, isAdapter := strings.Cut(loaded, ":")
	name, _, _ = strings.Cut(name, "@")
	if isAdapter {
		return name + ":" + adapter
	}
	return name
}

func (en *Engine) serves(model string) bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	if !en.orders.given {
		return true
	}
	return slices.ContainsFunc(en.orders.loaded, func(name string) bool { return offered(name) == model })
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
		en.orders.fenced++
		refuse(w, http.StatusPreconditionFailed, "the fencing number is old")
		return
	}
	en.orders.fence = max(en.orders.fence, fence)
	en.orders.obey(order)
	w.WriteHeader(http.StatusNoContent)
}

// runLoader loads what is wanted and missing, one after the other, until the context ends.
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
			delay.For(ctx, weightsRetry)
			continue
		}
		en.loaded(missing[0])
	}
	return ctx.Err()
}

// loaded notes the end of a load, unless another order came meanwhile.
func (en *Engine) loaded(name string) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if slices.Contains(en.orders.wanted, name) && !slices.Contains(en.orders.loaded, name) {
		en.orders.loaded = append(en.orders.loaded, name)
	}
}

// loadWeights takes the load time, or as long as the weight store takes to hand the weights out.
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
		return fmt.Errorf("stand: the weight store answered %s for %s; it may be busy", resp.Status, name)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
