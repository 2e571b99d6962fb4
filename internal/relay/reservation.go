package relay

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"dandelionsail.example/dandelionsail/internal/delay"
	"dandelionsail.example/dandelionsail/internal/notice"
	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/internal/tasks"
)

// Memory is reserved at helpers for a prompt that exceeds one engine's memory. A reservation is short and is renewed
// while its request runs, so that the memory of a crashed Instance is soon free again. Each attempt has reservations of
// its own, so that an order carried out late cannot release another request's memory.
const (
	// reservationTTL is how long a reservation lasts unless it is renewed. It is less than an engine may hold unused
	// memory.
	reservationTTL = 3500 * time.Millisecond
	// maxUnusedReservation is how long memory may be reserved while nothing shows that its request uses it, since the response has not begun or
	// its replica is silent. Engines may hold memory that no request uses for nine seconds, and the last renewal remains in effect for
	// reservationTTL.
	maxUnusedReservation = 5 * time.Second
	// orderTimeout is the timeout of one order.
	orderTimeout = 500 * time.Millisecond
	// releaseAttempts is the maximum number of times that a release is sent if it fails.
	releaseAttempts = 3
	// maxOrderResponse is the maximum number of bytes read of the response to an order.
	maxOrderResponse = 4 << 10
)

// reservationID returns the ID of the reservation at a helper, empty if it reserves nothing.
func (att *attempt) reservationID(helper int) string {
	if att.eff.Helpers[helper].Tokens == 0 {
		return ""
	}
	return att.in.run + "." + strconv.FormatUint(uint64(att.cl.id), 36) + "." + strconv.Itoa(att.eff.Attempt) + "." + strconv.Itoa(helper)
}

// reserve reserves the memory at all helpers concurrently and renews it until the context ends. It returns 0 if that
// succeeds. If an order fails, it releases the reservations and returns the result of the attempt. The replica at fault is
// the helper whose order failed first.
func (att *attempt) reserve(ctx context.Context) steer.Result {
	group, limited := errgroup.WithContext(ctx)
	refusals := make([]string, len(att.eff.Helpers))
	for i := range att.eff.Helpers {
		if att.eff.Helpers[i].Tokens == 0 {
			continue
		}
		group.Go(tasks.GuardError("reservation", func() error {
			err := att.order(limited, i, notice.Reservation)
			if err != nil && !isHeldBack(err) && limited.Err() == nil {
				// Once one order has failed the others are cancelled, which is no fault of their helpers.
				refusals[i] = att.eff.Helpers[i].Name
			}
			return err
		}))
	}
	if !hasReservations(&att.eff) {
		return 0
	}
	err := group.Wait()
	if err != nil {
		att.in.log.Info().Str("Request", att.cl.info.Name).Err(err).Msg("memory reservation failed")
		att.release()
	}
	switch {
	case isHeldBack(err), err != nil && ctx.Err() != nil:
		// In the second case the caller has left or its time is up, which is no fault of a replica.
		return steer.ResultHeld
	case err != nil:
		att.ended.FaultyReplica = cmp.Or(refusals...)
		return steer.ResultNotRun
	}
	att.reservedAt = time.Now()
	att.renewalDone = make(chan struct{})
	go tasks.Guard("renewal", func() { att.renew(ctx) })()
	return 0
}

// renew renews the reservations until the attempt's context ends, except while the replica is silent for too long. release waits for it to return,
// so that no renewal follows a release.
func (att *attempt) renew(ctx context.Context) {
	defer close(att.renewalDone)
	for delay.For(ctx, steer.ReservationRenewInterval) {
		if att.watch.reservesInVain() {
			continue
		}
		for i := range att.eff.Helpers {
			if att.eff.Helpers[i].Tokens == 0 {
				continue
			}
			if err := att.order(ctx, i, notice.Renewal); err != nil && ctx.Err() == nil {
				att.in.log.Warn().Str("Request", att.cl.info.Name).Str("Replica", att.eff.Helpers[i].Name).Err(err).Msg("memory reservation not renewed")
			}
		}
	}
}

// release releases the reservations in the background, since the caller already has its response.
func (att *attempt) release() {
	if !hasReservations(&att.eff) {
		return
	}
	att.cancel()
	in := att.in
	in.background.Go(tasks.Guard("release", func() {
		if att.renewalDone != nil {
			<-att.renewalDone
		}
		for i := range att.eff.Helpers {
			if att.eff.Helpers[i].Tokens == 0 {
				continue
			}
			for range releaseAttempts {
				if err := att.order(context.Background(), i, notice.Release); err == nil || isHeldBack(err) {
					break
				}
			}
		}
	}))
}

// order sends an order of the kind, which is notice.Reservation, notice.Renewal or notice.Release, and returns an error unless
// the replica carried it out.
func (att *attempt) order(ctx context.Context, helper int, kind notice.Kind) error {
	limited, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	to := att.eff.Helpers[helper]
	req, err := att.orderRequest(limited, helper, kind)
	if err != nil {
		return err
	}
	msg := message{id: att.cl.id, request: att.cl.info.Name, to: steer.Target{Replica: to.Replica, Kind: kind, ExpiresAt: att.expiresAt[helper]}}
	if kind == notice.Reservation {
		msg.decidedAt = att.eff.DecidedAt
	}
	sent := time.Now()
	resp, _, err := att.in.exchange(false, msg, req)
	if isHeldBack(err) {
		return err
	}
	if err != nil {
		return OrderFailed.Wrap(err, "relay: %s did not answer a reservation order; another replica is used", to.Name)
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxOrderResponse))
	if resp.StatusCode == http.StatusOK && kind != notice.Release {
		att.expiresAt[helper] = sent.Add(reservationTTL)
	}
	if resp.StatusCode != http.StatusOK {
		return OrderFailed.New("relay: %s answered a reservation order with status %d; another replica is used", to.Name, resp.StatusCode)
	}
	return nil
}

func (att *attempt) orderRequest(ctx context.Context, helper int, kind notice.Kind) (*http.Request, error) {
	to := att.eff.Helpers[helper]
	if kind == notice.Release {
		return att.in.protocol.Release(ctx, to.Replica, att.reservationID(helper))
	}
	return att.in.protocol.Reserve(ctx, to.Replica, Reservation{ID: att.reservationID(helper), Tokens: to.Tokens, TTL: reservationTTL})
}
