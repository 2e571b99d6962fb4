package order

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/internal/store"
)

// weightsKey holds the loads of the last minute, over the whole fleet.
const weightsKey = "dandelionsail/weights"

// window is the time that the rate is counted over.
const window = time.Minute

// maxTakes bounds the tries against other takers in one call.
const maxTakes = 5

// taken is one order's loads. At is in milliseconds since 1970 by the taker's clock; clocks that differ by a second
// move the window by as much.
type taken struct {
	At    int64
	Loads int
	// Nonce is the taker's own, by which it knows its write after a lost answer.
	Nonce string
}

// Weights keeps the weight store's rate over the whole fleet by a value in the key-value service. An order is rare,
// minutes apart in each pool, so a read and a write for each cost next to nothing.
type Weights struct {
	st store.Store
	// PerMinute is how many loads the weight store serves in a minute.
	PerMinute int
	name      string
	next      int
}

// NewWeights returns the rate as one instance keeps it; the name is that of this run of the instance.
func NewWeights(st store.Store, name string, perMinute int) *Weights {
	return &Weights{st: st, name: name, PerMinute: perMinute}
}

// Take takes the loads of one order, or returns false if they have to wait. An order of more loads than a minute
// allows takes a whole minute. After a lost answer loads may stay taken for an order that was never given; the rate is
// then kept with room to spare for a minute.
func (ws *Weights) Take(ctx context.Context, loads int) (bool, error) {
	if loads == 0 {
		return true, nil
	}
	ws.next++
	nonce := ws.name + "/" + strconv.Itoa(ws.next)
	for range maxTakes {
		ok, err := ws.take(ctx, min(loads, ws.PerMinute), nonce)
		if !errorx.IsOfType(err, store.Conflict) {
			return ok, err
		}
	}
	return false, nil
}

func (ws *Weights) take(ctx context.Context, loads int, nonce string) (bool, error) {
	now := time.Now()
	list, revision, err := ws.read(ctx)
	if err != nil {
		return false, err
	}
	kept, total := recent(list, now)
	for _, tk := range kept {
		if tk.Nonce == nonce {
			return true, nil
		}
	}
	if total+loads > ws.PerMinute {
		return false, nil
	}
	raw, err := json.Marshal(append(kept, taken{At: now.UnixMilli(), Loads: loads, Nonce: nonce}))
	if err != nil {
		return false, err
	}
	_, err = ws.st.Swap(ctx, weightsKey, raw, revision, 0)
	return err == nil, err
}

func (ws *Weights) read(ctx context.Context) ([]taken, int64, error) {
	pair, err := ws.st.Get(ctx, weightsKey)
	if errorx.IsOfType(err, store.Missing) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	list, err := decodeTaken(pair.Value)
	return list, pair.Revision, err
}

func decodeTaken(raw []byte) ([]taken, error) {
	var list []taken
	if err := json.Unmarshal(raw, &list); err != nil {
		return nil, store.Invalid.Wrap(err, "order: %s does not decode; remove the key, its loads count for a minute only", weightsKey)
	}
	return list, nil
}

// recent returns what was taken within the window. What lies in the future by this clock is kept no longer than the
// window either.
func recent(list []taken, now time.Time) (kept []taken, total int) {
	for _, tk := range list {
		age := now.Sub(time.UnixMilli(tk.At))
		if age < window && age > -window {
			kept = append(kept, tk)
			total += tk.Loads
		}
	}
	return kept, total
}
