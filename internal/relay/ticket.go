package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"dandelionsail.example/dandelionsail/internal/delay"
	"dandelionsail.example/dandelionsail/internal/steer"
)

// Memory set aside at helpers for a prompt that is larger than one engine's memory. It lasts for a short time and is
// renewed while its request runs, so that the memory of an instance that died is free again soon; each attempt has
// tickets of its own, so that an order that is carried out late can take nothing from another request.
const (
	// ticketHold is how long a ticket lasts, less than an engine may hold memory for nobody.
	ticketHold = 3500 * time.Millisecond
	// ticketIdle is how long memory may be set aside before its request begins to answer: engines may hold memory that no
	// request uses for nine seconds, and the last renewal lasts on.
	ticketIdle = 5 * time.Second
	// orderTimeout bounds one order.
	orderTimeout = 500 * time.Millisecond
	// releaseTries is how often a release is sent that was not answered.
	releaseTries = 3
	// maxOrderReply bounds what is read of the reply to an order.
	maxOrderReply = 4 << 10
)

// ticketID names the ticket at a helper, empty if it sets nothing aside.
func (tr *try) ticketID(helper int) string {
	if tr.eff.Helpers[helper].Tokens == 0 {
		return ""
	}
	return tr.in.run + "." + strconv.FormatUint(uint64(tr.cl.id), 36) + "." + strconv.Itoa(tr.eff.Attempt) + "." + strconv.Itoa(helper)
}

// reserve sets the memory aside at all helpers together and keeps renewing it until the context ends. If one refuses it
// gives the rest back and names that one.
func (tr *try) reserve(ctx context.Context) (fault string, ok bool) {
	group, limited := errgroup.WithContext(ctx)
	faults := make([]string, len(tr.eff.Helpers))
	for i := range tr.eff.Helpers {
		if tr.eff.Helpers[i].Tokens == 0 {
			continue
		}
		group.Go(func() error {
			err := tr.order(limited, i, true)
			if err != nil {
				faults[i] = tr.eff.Helpers[i].Name
			}
			return err
		})
	}
	if !setsAside(&tr.eff) {
		return "", true
	}
	if err := group.Wait(); err != nil {
		tr.in.log.Info().Str("Request", tr.cl.ask.Name).Err(err).Msg("memory not set aside")
		tr.release()
		for _, name := range faults {
			if name != "" {
				return name, false
			}
		}
		return "", false
	}
	tr.renewed = make(chan struct{})
	go tr.renew(ctx)
	return "", true
}

// renew ends with the attempt's context; release waits for it, so that no renewal follows a release.
func (tr *try) renew(ctx context.Context) {
	defer close(tr.renewed)
	for delay.For(ctx, steer.TicketRenew) {
		for i := range tr.eff.Helpers {
			if tr.eff.Helpers[i].Tokens == 0 {
				continue
			}
			if err := tr.order(ctx, i, true); err != nil && ctx.Err() == nil {
				tr.in.log.Warn().Str("Request", tr.cl.ask.Name).Str("Replica", tr.eff.Helpers[i].Name).Err(err).Msg("memory not renewed")
			}
		}
	}
}

// release gives back what reserve set aside. It does not wait for that: the caller has its answer.
func (tr *try) release() {
	if !setsAside(&tr.eff) {
		return
	}
	tr.cancel()
	in := tr.in
	in.background.Go(func() {
		if tr.renewed != nil {
			<-tr.renewed
		}
		for i := range tr.eff.Helpers {
			if tr.eff.Helpers[i].Tokens == 0 {
				continue
			}
			for range releaseTries {
				if tr.order(context.Background(), i, false) == nil {
					break
				}
			}
		}
	})
}

// order sends one order and returns an error unless the replica carried it out.
func (tr *try) order(ctx context.Context, helper int, reserve bool) error {
	limited, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	to := tr.eff.Helpers[helper]
	var req *http.Request
	var err error
	if reserve {
		req, err = tr.in.protocol.Reserve(limited, to.Replica, Ticket{ID: tr.ticketID(helper), Tokens: to.Tokens, Hold: ticketHold})
	} else {
		req, err = tr.in.protocol.Release(limited, to.Replica, tr.ticketID(helper))
	}
	if err != nil {
		return err
	}
	sent := time.Now()
	resp, err := tr.in.kept.RoundTrip(req)
	if err != nil {
		return OrderFailed.Wrap(err, "relay: %s did not answer an order; another replica is taken", to.Name)
	}
	tr.in.answered(to.Replica, sent, tr.in.protocol.Reply(resp))
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxOrderReply))
	if resp.StatusCode != http.StatusOK {
		return OrderFailed.New("relay: %s answered %d to an order; another replica is taken", to.Name, resp.StatusCode)
	}
	return nil
}
