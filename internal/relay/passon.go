package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/internal/front"
	"dandelionsail.example/dandelionsail/internal/memory"
	"dandelionsail.example/dandelionsail/internal/norun"
	"dandelionsail.example/dandelionsail/internal/steer"
)

const (
	// maxDetours is the maximum number of messages that this Instance passes on for others at the same time. Their responses
	// are not buffered, so that it bounds connections rather than memory: two descriptors for each, of the 4,000 of a small machine.
	maxDetours = 384
	// maxDetourBytes is the maximum size in bytes of the messages that are held for others at the same time. The bound of the memory account
	// holds as well.
	maxDetourBytes = 32 << 20
	// maxDetourMeta is the maximum size in bytes of a detourRequest beyond the body of the caller's request.
	maxDetourMeta = 256 << 10
	// detourReadTime is how long a peer may take to send a message.
	detourReadTime = 5 * time.Second
	// detourBuffer is the size in bytes of the buffer through which a response is passed on.
	detourBuffer = 8 << 10
)

// serveDetour passes a message of another Instance on to a replica. It refuses at once if it may not or cannot: the other Instance
// then asks the next one.
func (in *Instance) serveDetour(w http.ResponseWriter, req *http.Request) {
	if reason := in.refusesDetours(req); reason != "" {
		in.count("Detours.Refused")
		refuseDetour(w, detourRefused, reason)
		return
	}
	defer in.detours.Add(-1)
	defer in.memory.Release(memory.Detours, req.ContentLength)
	receivedAt := time.Now()
	// The message states how long its answer may take.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	dr, ok := in.readDetour(w, req)
	if !ok {
		refuseDetour(w, detourRefused, "malformed")
		return
	}
	var replica steer.Replica
	known := false
	in.view(func(st *steer.State) { replica, known = st.Lookup(dr.Replica, dr.Born) })
	if !known {
		refuseDetour(w, detourHeldBack, "unknown replica")
		return
	}
	ctx := req.Context()
	if dr.TimeLeftMs > 0 {
		limited, cancel := context.WithTimeout(ctx, time.Duration(dr.TimeLeftMs)*time.Millisecond)
		defer cancel()
		ctx = limited
	}
	pg := &passage{in: in, w: w, dr: dr, replica: replica}
	pg.passOn(ctx, receivedAt)
	in.count("Detours.PassedOn")
	in.log.Info().Str("Request", dr.Request).Str("Replica", dr.Replica).Str("For", dr.From).Int("Status", pg.status).Str("Result", pg.result).Str("Reason", pg.reason).
		Int64("AgeMs", time.Since(receivedAt).Milliseconds()).Msg("passed on for another instance")
}

// readDetour reads and decodes the message. Its encoded form is no longer held and counted when readDetour returns.
func (in *Instance) readDetour(w http.ResponseWriter, req *http.Request) (dr *detourRequest, ok bool) {
	defer in.memory.Release(memory.Detours, req.ContentLength)
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(detourReadTime))
	raw := make([]byte, req.ContentLength)
	if _, err := io.ReadFull(req.Body, raw); err != nil {
		return nil, false
	}
	_ = control.SetReadDeadline(time.Time{})
	// A message that is at work is not closed to make room for others.
	front.RequestOf(req).ReadWhole(detourPath)
	dr = &detourRequest{}
	return dr, cbor.Unmarshal(raw, dr) == nil
}

// refusesDetours returns why this Instance passes nothing on for the sender of the request, empty if it does. In that case the
// message counts against maxDetours and maxDetourBytes, twice as long as it is held both encoded and decoded.
func (in *Instance) refusesDetours(req *http.Request) string {
	switch {
	case in.isDraining():
		return reasonDraining
	case !in.isPeerAddress(req.RemoteAddr):
		return "not an instance"
	case req.ContentLength < 0 || req.ContentLength > in.opts.MaxBody+maxDetourMeta:
		return "malformed"
	case !in.memory.TryNew(memory.Detours, 2*req.ContentLength):
		return reasonTooMany
	}
	if in.detours.Add(1) > maxDetours || in.memory.Held(memory.Detours) > 2*maxDetourBytes {
		in.detours.Add(-1)
		in.memory.Release(memory.Detours, 2*req.ContentLength)
		return reasonTooMany
	}
	return ""
}

// isPeerAddress reports whether a registered Instance has the IP address.
func (in *Instance) isPeerAddress(address string) bool {
	host, _, err := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	if err != nil || ip == nil {
		return false
	}
	for _, peer := range *in.gossip.peers.Load() {
		if peer.IP.Equal(ip) {
			return true
		}
	}
	return false
}

// refuseDetour states that nothing was sent.
func refuseDetour(w http.ResponseWriter, result, reason string) {
	w.Header().Set(detourResultHeader, result)
	w.Header().Set(detourReasonHeader, reason)
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(w, reason+"\n")
}

// passage is one message that is passed on.
type passage struct {
	in      *Instance
	w       http.ResponseWriter
	dr      *detourRequest
	replica steer.Replica
	// status is the replica's, 0 without a response.
	status int
	// result is the detourResultHeader that is sent.
	result string
	// delivery is what became of the message.
	delivery delivery
	// reason is the detourReasonHeader that is sent, empty if the response was passed on.
	reason string
}

// passOn sends the message and passes the response on.
func (pg *passage) passOn(ctx context.Context, receivedAt time.Time) {
	msg := message{
		// The ID distinguishes the message from this Instance's own requests; the reducer knows no request of that ID.
		id: steer.RequestID(pg.in.nextID.Add(1)), request: pg.dr.Request, name: pg.dr.Name, decidedAt: receivedAt, forPeer: true, delivery: &pg.delivery,
		to: steer.Target{Replica: pg.replica, Kind: pg.dr.Kind, Granted: pg.dr.Granted},
	}
	if pg.dr.ExpiresInMs > 0 {
		msg.to.ExpiresAt = receivedAt.Add(time.Duration(pg.dr.ExpiresInMs) * time.Millisecond)
	}
	resp, _, err := pg.in.exchange(pg.dr.NewConnection, msg, pg.dr.replicaRequest(ctx, pg.replica.Address))
	switch {
	case err != nil && pg.delivery.proof == norun.None:
		pg.refuse(pg.failure(ctx), "broken")
		return
	case errorx.IsOfType(err, NoPath):
		pg.refuse(detourRefused, reasonNoPath)
		return
	case isHeldBack(err):
		pg.refuse(detourHeldBack, heldBackBy(err))
		return
	case isNotWritten(err):
		if ctx.Err() == nil && !pg.in.confirmsFailure(ctx, pg.replica) && ctx.Err() == nil {
			pg.refuse(detourRefused, reasonNoPath)
			return
		}
		pg.refuse(detourNotWritten, "not reached")
		return
	case err != nil:
		pg.refuse(pg.failure(ctx), "broken")
		return
	}
	defer func() { _ = resp.Body.Close() }()
	pg.writeHeader(resp)
	pg.result = pg.copyBody(ctx, resp.Body)
	pg.w.Header().Set(detourResultHeader, pg.result)
}

func (pg *passage) refuse(result, reason string) {
	pg.result, pg.reason = result, reason
	refuseDetour(pg.w, result, reason)
}

// failure returns the result for a message that was sent and whose response is missing or incomplete.
func (pg *passage) failure(ctx context.Context) string {
	if _, died := pg.in.examineFailure(ctx, pg.replica); died {
		return detourDied
	}
	return detourBroken
}

// writeHeader passes on the status and the header of the response.
func (pg *passage) writeHeader(resp *http.Response) {
	pg.status = resp.StatusCode
	header := pg.w.Header()
	copyHeader(header, resp.Header)
	header.Set(detourStatusHeader, strconv.Itoa(resp.StatusCode))
	header.Del(detourProofHeader)
	if pg.delivery.proof != norun.None {
		header.Set(detourProofHeader, pg.delivery.proof.String())
	}
	if resp.ContentLength >= 0 {
		header.Set(detourLengthHeader, strconv.FormatInt(resp.ContentLength, 10))
	}
	header.Set("Trailer", detourResultHeader)
	pg.w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(pg.w).Flush()
}

// copyBody passes the body on as it arrives and returns the result.
func (pg *passage) copyBody(ctx context.Context, body io.Reader) string {
	control := http.NewResponseController(pg.w)
	buf := make([]byte, detourBuffer)
	for {
		count, err := body.Read(buf)
		if count > 0 {
			if _, err := pg.w.Write(buf[:count]); err != nil {
				return detourBroken
			}
			if err := control.Flush(); err != nil {
				return detourBroken
			}
		}
		if err == io.EOF {
			return detourComplete
		}
		if err != nil {
			return pg.failure(ctx)
		}
	}
}
