package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/internal/notice"
	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/internal/trip"
)

// HeldBack reports that a message was not sent, since its replica has announced something that rules it out.
var HeldBack = Errors.NewType("held_back")

// NotWritten reports that nothing of a message has left this Instance, so that it cannot arrive.
var NotWritten = Errors.NewType("not_written")

// message is a request from this Instance to a replica.
type message struct {
	// id is the request that the message belongs to, 0 if there is none.
	id steer.RequestID
	// request is the ID that the caller gave that request.
	request string
	// name is the request ID that the replica is sent, empty if it is sent none.
	name string
	to   steer.Target
	// parts are the helpers that receive parts of the prompt as a consequence.
	parts []steer.Target
	// decidedAt is when the reducer decided on the message, zero if it did not.
	decidedAt time.Time
}

// exchange sends the message to its replica and returns the response, unless an announcement holds the message back. All
// messages to replicas pass through exchange, and all that replicas announce in their answers is read here.
func (in *Instance) exchange(transport *http.Transport, msg message, req *http.Request) (*http.Response, ResponseInfo, error) {
	if err := in.checkMessage(msg, false); err != nil {
		return nil, ResponseInfo{}, err
	}
	recheck := func() error { return in.checkMessage(msg, true) }
	sent := time.Now()
	resp, err := in.sendOnce(transport, msg, req.WithContext(notice.WithCheck(req.Context(), recheck)))
	if err != nil {
		return nil, ResponseInfo{}, err
	}
	ri := in.protocol.ParseResponse(resp)
	if !ri.Misdirected && (ri.Name == "" || ri.Name == msg.name) {
		// Another answer would be one of another replica, or one to an earlier request on the connection.
		in.apply(steer.ResponseReceived{Replica: msg.to.Replica.Name, Born: msg.to.Replica.Born, Sent: sent, Announced: ri.Announced})
	}
	return resp, ri, nil
}

// maxStaleConns is how many kept connections in a row may turn out to be closed before a message counts as not sent.
const maxStaleConns = 8

// sendOnce sends the request. It chooses another connection as long as nothing was written because the kept one that was chosen had
// been closed by the replica. The error is NotWritten if nothing of the request has left this Instance.
func (in *Instance) sendOnce(transport *http.Transport, msg message, req *http.Request) (*http.Response, error) {
	for stale := 0; ; stale++ {
		try := *req
		if req.GetBody != nil {
			body, err := req.GetBody()
			if err != nil {
				return nil, NotWritten.Wrap(err, "relay: the body of a message to %s cannot be read again", msg.to.Replica.Name)
			}
			try.Body = body
		}
		res, err := trip.Do(transport, &try, nil)
		if res.Writes > 1 {
			in.count("Messages.WrittenAgain")
			in.log.Error().Str("Request", msg.request).Str("Replica", msg.to.Replica.Name).Int("Writes", res.Writes).Msg("request written again by the HTTP client")
		}
		switch {
		case err == nil:
			return res.Response, nil
		case res.Written, isHeldBack(err):
			return nil, err
		case !res.StaleConn, stale == maxStaleConns, req.Context().Err() != nil:
			return nil, NotWritten.Wrap(err, "relay: nothing was sent to %s; the request goes to another replica", msg.to.Replica.Name)
		}
		in.count("Messages.StaleConnections")
	}
}

// checkMessage asks the reducer whether the message may be sent, and returns HeldBack if not. repeated reports whether the
// message has passed before and waited for its connection since.
func (in *Instance) checkMessage(msg message, repeated bool) error {
	ev := steer.Sending{ID: msg.id, Request: msg.request, Targets: append([]steer.Target{msg.to}, msg.parts...), Repeated: repeated}
	if !repeated {
		ev.DecidedAt = msg.decidedAt
	}
	verdict := in.verdict(ev)
	if verdict.Held() {
		return HeldBack.New("relay: a message to %s was held back (%s); the request goes to another replica", msg.to.Replica.Name, verdict.HeldBy)
	}
	return nil
}

// verdict passes the event to the reducer and returns its Verdict.
func (in *Instance) verdict(ev steer.Sending) steer.Verdict {
	in.mu.Lock()
	defer in.mu.Unlock()
	var verdict steer.Verdict
	for _, eff := range in.reduce(ev) {
		if vd, ok := eff.(steer.Verdict); ok {
			verdict = vd
			continue
		}
		in.perform(eff)
	}
	return verdict
}

// isHeldBack reports whether the error of exchange is HeldBack, so that nothing was sent.
func isHeldBack(err error) bool { return errorx.IsOfType(err, HeldBack) }

// refusesConnections reports whether the replica fails to accept a new connection within probeTimeout. It returns false
// if ctx ends first or if the probe is held back.
func (in *Instance) refusesConnections(ctx context.Context, replica steer.Replica) bool {
	if in.checkMessage(message{to: steer.Target{Replica: replica, Kind: notice.Probe}}, false) != nil {
		return false
	}
	conn, err := newDialer(in.opts.Dial, probeTimeout)(ctx, "tcp", replica.Address)
	if err != nil {
		return ctx.Err() == nil
	}
	_ = conn.Close()
	return false
}
