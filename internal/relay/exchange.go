package relay

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/internal/norun"
	"dandelionsail.example/dandelionsail/internal/notice"
	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/internal/tasks"
	"dandelionsail.example/dandelionsail/internal/trip"
)

// HeldBack reports that a message was not sent, since its replica has announced something that rules it out.
var HeldBack = Errors.NewType("held_back")

// NoPath reports that a message was not sent, since this Instance has lost its path to the replica's service.
var NoPath = HeldBack.NewSubtype("no_path")

// heldByProperty holds the announcement that a HeldBack error is due to.
var heldByProperty = errorx.RegisterProperty("held_by")

// heldBackBy returns the name of the announcement that a HeldBack error is due to.
func heldBackBy(err error) string {
	if ann, ok := errorx.ExtractProperty(err, heldByProperty); ok {
		return ann.(notice.Announcement).String()
	}
	return ""
}

// NotWritten reports that nothing of a message has left this Instance, so that it cannot arrive.
var NotWritten = Errors.NewType("not_written")

// Unattributed reports an answer that may belong to an earlier request on its connection.
var Unattributed = Errors.NewType("unattributed")

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
	// forPeer reports whether the message is passed on for another Instance, and so must not be sent through a further one.
	forPeer bool
	// via receives the name of the Instance through which the message is sent, unless it is nil. It stays empty if the message is sent
	// directly.
	via *atomic.Pointer[string]
	// delivery receives, unless it is nil, what became of the message.
	delivery *delivery
}

// delivery is what became of a message.
type delivery struct {
	// trace describes the connection that the message was written to.
	trace trip.Trace
	// proof is why the message has not run, if that is certain.
	proof norun.Proof
	// answer is what the replica's answer states.
	answer ResponseInfo
	// status is the HTTP status of that answer, 0 if there was none.
	status int
	// conn is the connection that the message was given last, nil if there is none or the message goes through another Instance.
	conn atomic.Pointer[replicaConn]
}

// record stores the result of a send for the sender.
func (msg *message) record(res trip.Result) {
	if msg.delivery != nil {
		msg.delivery.trace, msg.delivery.proof = res.Trace, norun.OfWrite(res.Written)
	}
}

// setProof stores the proof for the sender.
func (msg *message) setProof(proof norun.Proof) {
	if msg.delivery != nil {
		msg.delivery.proof = proof
	}
}

// exchange sends the message to its replica and returns the response, unless an announcement holds the message back. All
// messages to replicas pass through exchange, and all that replicas announce in their answers is read here. newConnection prevents
// the use of a kept connection. If the replica's service declares how many connections it accepts, a kept connection that was just
// proven alive is used nevertheless. If the path to the replica is lost, the message goes through another Instance.
func (in *Instance) exchange(newConnection bool, msg message, req *http.Request) (*http.Response, ResponseInfo, error) {
	msg.setProof(norun.OfWrite(false))
	verdict, err := in.checkMessage(msg, false)
	if err != nil {
		return nil, ResponseInfo{}, err
	}
	recheck := func() error {
		_, err := in.checkMessage(msg, true)
		return err
	}
	sent := time.Now()
	req = req.WithContext(withCause(notice.WithCheck(req.Context(), recheck), causeOf(newConnection, &msg)))
	var resp *http.Response
	if verdict.Via != "" {
		if msg.via != nil {
			msg.via.Store(&verdict.Via)
		}
		resp, err = in.exchangeVia(verdict.Via, newConnection, msg, req)
	} else {
		use := connUse{conns: in.conns, bound: verdict.Connections, proven: newConnection}
		// A retry has its own connection: on one that carried the request before, the answer to the first send could be taken for its own.
		unpooled := newConnection && (!verdict.Connections.Bounded || msg.to.Kind == notice.Retry)
		resp, err = in.sendOnce(in.transport(unpooled), use, msg, req)
	}
	if err != nil {
		return nil, ResponseInfo{}, err
	}
	ri := in.protocol.ParseResponse(resp)
	msg.answered(verdict.Via, resp, ri)
	if !ri.Misdirected && (ri.Name == "" || ri.Name == msg.name) {
		// Another answer would be one of another replica, or one to an earlier request on the connection.
		in.apply(steer.ResponseReceived{Replica: msg.to.Replica.Name, Born: msg.to.Replica.Born, Sent: sent, Announced: ri.Announced})
	}
	if msg.isUnattributed(verdict.Via, ri) {
		_ = resp.Body.Close()
		return nil, ri, Unattributed.New("relay: an answer of %s on a kept connection names no request; the request counts as one that may have run", msg.to.Replica.Name)
	}
	return resp, ri, nil
}

// answered stores the replica's answer for the sender, with the proof that it is. The peer that has passed a message on knows the connection, and so
// has stated the proof itself; it counts only if the answer is a refusal of this request.
func (msg *message) answered(via string, resp *http.Response, ri ResponseInfo) {
	if msg.delivery == nil {
		return
	}
	msg.delivery.answer, msg.delivery.status = ri, resp.StatusCode
	refusal := ri.NotRun || ri.Misdirected
	if via != "" {
		if !refusal || ri.Name != "" && ri.Name != msg.name {
			msg.delivery.proof = norun.None
		}
		return
	}
	tr := &msg.delivery.trace
	msg.delivery.proof = norun.OfAnswer(norun.Answer{Refusal: refusal, Request: msg.name, Named: ri.Name, Kept: tr.Kept, Early: tr.Early})
}

// isUnattributed reports whether the answer may belong to an earlier request on the connection, since it names none.
func (msg *message) isUnattributed(via string, ri ResponseInfo) bool {
	return msg.delivery != nil && via == "" && msg.delivery.trace.Kept && msg.name != "" && ri.Name == ""
}

// transport returns the transport to replicas with or without kept connections.
func (in *Instance) transport(newConnection bool) *http.Transport {
	if newConnection {
		return in.unpooled
	}
	return in.pooled
}

// maxStaleConns is how many kept connections in a row may turn out to be closed before a message counts as not sent.
const maxStaleConns = 8

// sendOnce sends the request. It chooses another connection as long as nothing was written because the kept one that was chosen had
// been closed by the replica. The error is NotWritten if nothing of the request has left this Instance.
func (in *Instance) sendOnce(transport *http.Transport, use connUse, msg message, req *http.Request) (*http.Response, error) {
	for stale := 0; ; stale++ {
		try := *req
		if req.GetBody != nil {
			body, err := req.GetBody()
			if err != nil {
				return nil, NotWritten.Wrap(err, "relay: the body of a message to %s cannot be read again", msg.to.Replica.Name)
			}
			try.Body = body
		}
		use := use
		if msg.delivery != nil {
			use.given = &msg.delivery.conn
		}
		res, err := trip.Do(transport, &try, use.hooks(func(reused bool) { in.connected(msg.to.Replica, reused) }))
		msg.record(res)
		if res.Writes > 1 {
			in.count("Messages.WrittenAgain")
			in.log.Error().Str("Request", msg.request).Str("Replica", msg.to.Replica.Name).Int("Writes", res.Writes).Msg("request written again by the HTTP client")
		}
		switch {
		case err == nil:
			if res.Trace.Early {
				in.count("Messages.AnsweredEarly")
				in.log.Error().Str("Request", msg.request).Str("Replica", msg.to.Replica.Name).Int64("Connection", res.Trace.Conn).
					Int64("Answers", res.Trace.Answers).Int("Status", res.Response.StatusCode).Msg("answer came before the request was written")
			}
			use.answered(res.Response.Header)
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
func (in *Instance) checkMessage(msg message, repeated bool) (steer.Verdict, error) {
	ev := steer.Sending{ID: msg.id, Request: msg.request, Targets: append([]steer.Target{msg.to}, msg.parts...), Repeated: repeated, ForPeer: msg.forPeer}
	if !repeated {
		ev.DecidedAt = msg.decidedAt
	}
	verdict := in.verdict(ev)
	if verdict.NoPath {
		return verdict, NoPath.New("relay: a message to %s was held back, since the path to its service is lost; another instance is asked", msg.to.Replica.Name)
	}
	if verdict.Held() {
		return verdict, HeldBack.New("relay: a message to %s was held back (%s); the request goes to another replica", msg.to.Replica.Name, verdict.HeldBy).
			WithProperty(heldByProperty, verdict.HeldBy)
	}
	return verdict, nil
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

// isNotWritten reports whether the error of exchange is NotWritten.
func isNotWritten(err error) bool { return errorx.IsOfType(err, NotWritten) }

// connected reports a connection to a replica to the reducer, if it is a new one and there are doubts about the path.
func (in *Instance) connected(replica steer.Replica, reused bool) {
	if !reused && in.pathsInDoubt.Load() {
		in.apply(steer.PathObserved{Replica: replica.Name, Reached: true})
	}
}

// examineFailure finds out why a replica has broken off an answer. unreachable reports that it accepts no new connection, and died that
// the replica is at fault: another one does. If neither does, it is more likely that this Instance has lost its path.
func (in *Instance) examineFailure(ctx context.Context, replica steer.Replica) (unreachable, died bool) {
	if ctx.Err() != nil || !in.refusesConnections(withCause(ctx, causeReplicaProbe), replica) {
		return false, false
	}
	var witness steer.Replica
	ok := false
	in.view(func(st *steer.State) { witness, ok = st.Witness(replica.Name) })
	if !ok {
		return true, true
	}
	reached, known := in.probe(withCause(ctx, causePathProbe), witness)
	if !known {
		return true, false
	}
	in.apply(steer.PathObserved{Replica: witness.Name, Reached: reached})
	return true, reached
}

// confirmsFailure reports whether it is the replica's fault that a new connection to it has failed: another one accepts a connection. It
// returns false, too, if ctx ends before that is known.
func (in *Instance) confirmsFailure(ctx context.Context, replica steer.Replica) bool {
	in.apply(steer.PathObserved{Replica: replica.Name})
	var witness steer.Replica
	ok := false
	in.view(func(st *steer.State) { witness, ok = st.Witness(replica.Name) })
	if !ok {
		return false
	}
	reached, known := in.probe(withCause(ctx, causePathProbe), witness)
	if !known {
		return false
	}
	in.apply(steer.PathObserved{Replica: witness.Name, Reached: reached})
	return reached
}

// probePaths opens a connection to each of the replicas and closes it again.
func (in *Instance) probePaths(eff steer.ProbePaths) {
	for _, replica := range eff.Replicas {
		in.background.Go(tasks.Guard("path probe", func() {
			reached, known := in.probe(withCause(context.Background(), causePathProbe), replica)
			if !known {
				return
			}
			in.count("Paths.Probes")
			in.apply(steer.PathObserved{Replica: replica.Name, Reached: reached})
		}))
	}
}

// refusesConnections reports whether the replica fails to accept a new connection within probeTimeout. It returns false
// if ctx ends first or if the probe is held back. ctx holds the cause of the connection.
func (in *Instance) refusesConnections(ctx context.Context, replica steer.Replica) bool {
	reached, known := in.probe(ctx, replica)
	return known && !reached
}

// probe reports whether the replica accepts a new connection within probeTimeout. known is false if ctx ends first or if the probe is held
// back.
func (in *Instance) probe(ctx context.Context, replica steer.Replica) (reached, known bool) {
	if _, err := in.checkMessage(message{to: steer.Target{Replica: replica, Kind: notice.Probe}}, false); err != nil {
		return false, false
	}
	conn, err := in.conns.dialer(newDialer(in.opts.Dial, probeTimeout))(ctx, "tcp", replica.Address)
	if err != nil {
		return false, ctx.Err() == nil
	}
	_ = conn.Close()
	return true, true
}
