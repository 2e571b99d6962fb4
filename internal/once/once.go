// Package once records idempotency keys before their requests are sent, so that a request that must not be repeated
// runs at most once, whichever instance a resend meets.
package once

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/store"
)

// Prefix is where claims are kept.
const Prefix = "dandelionsail/claim/"

// KeptBody is how much of an answer is kept for a resend.
const KeptBody = 4 << 10

// retryPause is the wait between tries of a claim that the store did not take.
const retryPause = 100 * time.Millisecond

// Key names a claim.
type Key struct {
	Organisation string
	Service      string
	Key          string
}

func (ky Key) path() string {
	return Prefix + hex.EncodeToString([]byte(ky.Organisation+"\x00"+ky.Service+"\x00"+ky.Key))
}

// Record is the stored claim.
type Record struct {
	Digest event.Digest
	// Nonce is the claimant's own, by which it knows its write after a lost answer.
	Nonce   string
	Outcome event.Outcome
	At      time.Time
}

// Claims records claims in the store.
type Claims struct {
	st   store.Store
	name string
}

// New returns the claims of the named instance.
func New(st store.Store, name string) *Claims {
	return &Claims{st: st, name: name}
}

// Run keeps the claims until the context ends.
func (cs *Claims) Run(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// Claim records the key, trying again until the context ends. The nonce must be unique to the request.
func (cs *Claims) Claim(ctx context.Context, ky Key, digest event.Digest, nonce string) (event.ClaimResult, event.Outcome) {
	record := Record{Digest: digest, Nonce: cs.name + "/" + nonce, Outcome: event.Outcome{Running: true}, At: time.Now()}
	raw, err := json.Marshal(record)
	if err != nil {
		return event.ClaimUnavailable, event.Outcome{}
	}
	for {
		_, err = cs.st.Swap(ctx, ky.path(), raw, 0, 0)
		if err == nil {
			return event.ClaimWon, event.Outcome{}
		}
		if errorx.IsOfType(err, store.Conflict) {
			if result, out, ok := cs.judge(ctx, ky, record); ok {
				return result, out
			}
		}
		if ctx.Err() != nil {
			return cs.giveUp(ky, record)
		}
		pause(ctx, retryPause)
	}
}

// judge compares the recorded claim with the one wanted. After a lost answer the record is our own.
func (cs *Claims) judge(ctx context.Context, ky Key, want Record) (event.ClaimResult, event.Outcome, bool) {
	there, _, err := cs.read(ctx, ky)
	if err != nil {
		return 0, event.Outcome{}, false
	}
	switch {
	case there.Nonce == want.Nonce:
		return event.ClaimWon, event.Outcome{}, true
	case there.Digest != want.Digest:
		return event.ClaimConflict, event.Outcome{}, true
	default:
		return event.ClaimRepeated, there.Outcome, true
	}
}

func (cs *Claims) read(ctx context.Context, ky Key) (Record, int64, error) {
	var record Record
	pair, err := cs.st.Get(ctx, ky.path())
	if err != nil {
		return record, 0, err
	}
	return record, pair.Revision, json.Unmarshal(pair.Value, &record)
}

// giveUp ends a claim whose time is over. A write whose answer was lost may still have taken effect; the record then
// stands as running, which makes a resend "unknown" and never a second run.
func (cs *Claims) giveUp(_ Key, _ Record) (event.ClaimResult, event.Outcome) {
	return event.ClaimUnavailable, event.Outcome{}
}

// Settle records the outcome of a claim, or removes the claim if release is set, trying until the context ends.
func (cs *Claims) Settle(ctx context.Context, ky Key, nonce string, out event.Outcome, release bool) error {
	for {
		err := cs.settleOnce(ctx, ky, cs.name+"/"+nonce, out, release)
		if err == nil || ctx.Err() != nil {
			return err
		}
		pause(ctx, retryPause)
	}
}

func (cs *Claims) settleOnce(ctx context.Context, ky Key, nonce string, out event.Outcome, release bool) error {
	record, revision, err := cs.read(ctx, ky)
	if errorx.IsOfType(err, store.Missing) {
		return nil
	}
	if err != nil {
		return err
	}
	if record.Nonce != nonce {
		return nil
	}
	if release {
		return cs.st.Delete(ctx, ky.path(), revision)
	}
	record.Outcome = out
	raw, err := json.Marshal(record)
	if err != nil {
		return err
	}
	_, err = cs.st.Swap(ctx, ky.path(), raw, revision, 0)
	return err
}

func pause(ctx context.Context, period time.Duration) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
