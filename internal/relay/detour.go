package relay

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"dandelionsail.example/dandelionsail/internal/hops"
	"dandelionsail.example/dandelionsail/internal/norun"
	"dandelionsail.example/dandelionsail/internal/notice"
	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/internal/trip"
)

// A detour is the way of one message to a replica through another Instance, the peer, while this Instance has lost its own path.
// The peer asks its own gate, sends the message itself, and passes the response on. There is one hop: a peer never uses a detour.

const (
	// detourPath is the path under which instances pass on messages for their peers.
	detourPath = "/detour"
	// detourStatusHeader carries the status of the replica's response.
	detourStatusHeader = "Detour-Status"
	// detourLengthHeader carries the length of the replica's response if the replica stated one.
	detourLengthHeader = "Detour-Length"
	// detourResultHeader carries what became of a message. It is a trailer once the response has begun.
	detourResultHeader = "Detour-Result"
	// detourProofHeader carries the proof that the replica's answer is, if it proves that the request has not run.
	detourProofHeader = "Detour-Proof"
	// detourReasonHeader says for the log why a message was not passed on.
	detourReasonHeader = "Detour-Reason"
	// detourDialTimeout is the timeout for opening a connection to a peer, which is a live Instance and near.
	detourDialTimeout = 300 * time.Millisecond
)

// The values of detourResultHeader.
const (
	// detourComplete means that the response was passed on to its end.
	detourComplete = "Complete"
	// detourRefused means that the peer has not sent the message and sends none for now.
	detourRefused = "Refused"
	// detourHeldBack means that the peer has not sent the message because of what the replica has announced.
	detourHeldBack = "HeldBack"
	// detourNotWritten means that the peer did not reach the replica either, so that nothing was sent.
	detourNotWritten = "NotWritten"
	// detourBroken means that the message was sent and that its response is missing or incomplete.
	detourBroken = "Broken"
	// detourDied means the same, and that the replica accepts no new connection.
	detourDied = "Died"
)

// Values of detourReasonHeader that the sender distinguishes.
const (
	// reasonNoPath means that the peer has lost its path to the service, or may have.
	reasonNoPath = "no path"
	// reasonTooMany means that the peer has maxDetours messages or maxDetourBytes under way.
	reasonTooMany = "too many"
	// reasonDraining means that the peer is shutting down.
	reasonDraining = "draining"
)

// detourRequest is what a peer is sent: the message and the request as the replica is to receive it. The number of a field is never
// given to another one.
type detourRequest struct {
	// From names the sending Instance.
	From          string      `cbor:"1,keyasint,omitempty"`
	Replica       string      `cbor:"2,keyasint,omitempty"`
	Born          int64       `cbor:"3,keyasint,omitempty"`
	Kind          notice.Kind `cbor:"4,keyasint,omitempty"`
	Granted       bool        `cbor:"5,keyasint,omitempty"`
	NewConnection bool        `cbor:"6,keyasint,omitempty"`
	// Request is the caller's ID of the request, for the log; Name is the ID that the replica is sent.
	Request string `cbor:"7,keyasint,omitempty"`
	Name    string `cbor:"8,keyasint,omitempty"`
	// TimeLeftMs is the time in ms after which this Instance gives the message up, 0 if that is not known.
	TimeLeftMs int64       `cbor:"9,keyasint,omitempty"`
	Method     string      `cbor:"10,keyasint,omitempty"`
	Target     string      `cbor:"11,keyasint,omitempty"`
	Host       string      `cbor:"12,keyasint,omitempty"`
	Header     http.Header `cbor:"13,keyasint,omitempty"`
	Body       []byte      `cbor:"14,keyasint,omitempty"`
	// ExpiresInMs is the time in ms until the reservation expires that a notice.Renewal renews.
	ExpiresInMs int64 `cbor:"15,keyasint,omitempty"`
}

// exchangeVia sends the message through the peer and returns the replica's response. It returns HeldBack if the peer has not sent
// it, and NotWritten if the peer did not reach the replica either.
func (in *Instance) exchangeVia(via string, newConnection bool, msg message, req *http.Request) (*http.Response, error) {
	address, ok := (*in.gossip.peers.Load())[via]
	if !ok {
		return nil, in.detourFailed(via, msg, detourRefused, "not registered any more")
	}
	hop, err := in.newDetour(address.String(), newConnection, msg, req)
	if err != nil {
		return nil, err
	}
	transport := in.pooledPeer
	if newConnection {
		transport = in.unpooledPeer
	}
	in.count("Detours.Sent")
	res, err := in.roundTripPeer(transport, hop)
	msg.record(res)
	if err != nil && !res.Written {
		if req.Context().Err() != nil {
			return nil, NotWritten.Wrap(err, "relay: a message to %s was given up before it was sent", msg.to.Replica.Name)
		}
		return nil, in.detourFailed(via, msg, detourRefused, "not reached")
	}
	if err != nil {
		if req.Context().Err() == nil {
			in.apply(steer.DetourFailed{Instance: via, Service: msg.to.Replica.Service, Reason: "connection broken"})
		}
		return nil, err
	}
	return in.detourResponse(via, &msg, res.Response)
}

// roundTripPeer sends the request to a peer, over another kept connection as long as the chosen one was closed meanwhile.
func (in *Instance) roundTripPeer(transport *http.Transport, hop *http.Request) (trip.Result, error) {
	for stale := 0; ; stale++ {
		try := *hop
		body, err := hop.GetBody()
		if err != nil {
			return trip.Result{}, err
		}
		try.Body = body
		res, err := trip.Do(transport, &try, trip.Hooks{})
		if err == nil || !res.StaleConn || stale == maxStaleConns {
			return res, err
		}
	}
}

// newDetour returns the request to the peer at the address.
func (in *Instance) newDetour(address string, newConnection bool, msg message, req *http.Request) (*http.Request, error) {
	dr := detourRequest{
		From: in.opts.Name, Replica: msg.to.Replica.Name, Born: msg.to.Replica.Born, Kind: msg.to.Kind, Granted: msg.to.Granted,
		NewConnection: newConnection, Request: msg.request, Name: msg.name,
		Method: req.Method, Target: req.URL.RequestURI(), Host: req.Host, Header: req.Header,
	}
	if req.URL.Opaque != "" {
		dr.Target = req.URL.Opaque
	}
	if !msg.to.ExpiresAt.IsZero() {
		dr.ExpiresInMs = time.Until(msg.to.ExpiresAt).Milliseconds()
	}
	if deadline, ok := req.Context().Deadline(); ok {
		dr.TimeLeftMs = max(1, time.Until(deadline).Milliseconds())
	}
	raw, err := cbor.Marshal(dr)
	if err != nil {
		return nil, NotWritten.Wrap(err, "relay: a message to %s cannot be encoded for another instance", msg.to.Replica.Name)
	}
	hop, err := http.NewRequestWithContext(req.Context(), http.MethodPost, "http://"+address+detourPath, bytes.NewReader(raw))
	if err != nil {
		return nil, NotWritten.Wrap(err, "relay: cannot build a request to the instance at %s; check its registered address", address)
	}
	if req.GetBody != nil && req.ContentLength > 0 {
		withBody(hop, raw, req)
	}
	hop.Header.Set("Content-Type", "application/cbor")
	return hop, nil
}

// cborBody is the head of detourRequest.Body as the last field of an encoded detourRequest: its number, and that a byte string follows whose length
// is stated in four bytes.
const cborBody = "\x0e\x5a"

// withBody adds the body of req to hop, whose body so far is raw, an encoded detourRequest without one. Encoding it with the others would hold the
// body several times. The first byte of raw is the head of a map with less than 23 fields, which ends in their number.
func withBody(hop *http.Request, raw []byte, req *http.Request) {
	raw[0]++
	raw = binary.BigEndian.AppendUint32(append(raw, cborBody...), uint32(req.ContentLength))
	hop.ContentLength = int64(len(raw)) + req.ContentLength
	hop.GetBody = func() (io.ReadCloser, error) {
		body, err := req.GetBody()
		if err != nil {
			return nil, err
		}
		return struct {
			io.Reader
			io.Closer
		}{io.MultiReader(bytes.NewReader(raw), body), body}, nil
	}
}

// detourFailed reports that the peer has not sent the message, and returns HeldBack.
func (in *Instance) detourFailed(via string, msg message, result, reason string) error {
	ev := steer.DetourFailed{Instance: via, Service: msg.to.Replica.Service, Cause: detourCause(result, reason), Reason: result + ": " + reason}
	if ev.Cause == steer.DetourHeldBack {
		ev.Replica = msg.to.Replica.Name
	}
	in.apply(ev)
	return HeldBack.New("relay: the instance %s has not passed a message to %s on (%s); another way is tried", via, msg.to.Replica.Name, reason)
}

// detourCause returns the cause of a failed detour from the result and the reason that the peer stated. An Instance of an earlier release
// states no reason.
func detourCause(result, reason string) steer.DetourCause {
	switch {
	case result == detourHeldBack:
		return steer.DetourHeldBack
	case result != detourRefused:
		return steer.DetourUnreached
	case reason == reasonNoPath:
		return steer.DetourNoPath
	case reason == reasonTooMany:
		return steer.DetourBusy
	case reason == "":
		return steer.DetourNoPathUnstated
	}
	return steer.DetourUnreached
}

// detourResponse turns the peer's response into the replica's.
func (in *Instance) detourResponse(via string, msg *message, resp *http.Response) (*http.Response, error) {
	status, err := strconv.Atoi(resp.Header.Get(detourStatusHeader))
	if err != nil {
		_ = resp.Body.Close()
		msg.setProof(norun.OfStatement(statesNotSent(resp)))
		return nil, in.detourError(via, *msg, resp)
	}
	msg.setProof(norun.OfStatement(resp.Header.Get(detourProofHeader) != ""))
	resp.StatusCode = status
	resp.Status = strconv.Itoa(status) + " " + http.StatusText(status)
	resp.ContentLength = -1
	if length, err := strconv.ParseInt(resp.Header.Get(detourLengthHeader), 10, 64); err == nil {
		resp.ContentLength = length
		resp.Header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	for _, name := range []string{detourStatusHeader, detourLengthHeader, detourProofHeader} {
		resp.Header.Del(name)
	}
	resp.Body = &detourBody{resp: resp, body: resp.Body}
	return resp, nil
}

// statesNotSent reports whether the peer states that it has not sent the message. An Instance whose version knows no detours has no handler for
// them and answers 404. Any other answer without a result, such as one of the peer's HTTP server, leaves that open.
func statesNotSent(resp *http.Response) bool {
	switch resp.Header.Get(detourResultHeader) {
	case detourRefused, detourHeldBack, detourNotWritten:
		return true
	case "":
		return resp.StatusCode == http.StatusNotFound
	}
	return false
}

// detourError returns the error for a response that carries none of the replica's.
func (in *Instance) detourError(via string, msg message, resp *http.Response) error {
	result := resp.Header.Get(detourResultHeader)
	switch {
	case result == detourNotWritten:
		return NotWritten.New("relay: the instance %s has not reached %s either; the request goes to another replica", via, msg.to.Replica.Name)
	case statesNotSent(resp):
		if result == "" {
			result = resp.Status
		}
		return in.detourFailed(via, msg, result, resp.Header.Get(detourReasonHeader))
	case result == "":
		_ = in.detourFailed(via, msg, resp.Status, "no result stated")
	}
	return &detourBreak{died: result == detourDied}
}

// detourBreak reports that the peer has sent the message and that its response is missing or incomplete.
type detourBreak struct{ died bool }

// Error implements error.
func (db *detourBreak) Error() string {
	if db.died {
		return "relay: the replica died before it answered an instance that passed the message on"
	}
	return "relay: the replica broke off its answer to an instance that passed the message on"
}

// detourBody is the body of a response that a peer passes on. It ends with io.EOF only if the peer states that it is complete.
type detourBody struct {
	resp *http.Response
	body io.ReadCloser
}

// Read implements io.Reader.
func (dtb *detourBody) Read(buf []byte) (int, error) {
	count, err := dtb.body.Read(buf)
	if err != io.EOF {
		return count, err
	}
	switch dtb.resp.Trailer.Get(detourResultHeader) {
	case detourComplete:
		return count, io.EOF
	case detourDied:
		return count, &detourBreak{died: true}
	}
	return count, &detourBreak{}
}

// Close implements io.Closer.
func (dtb *detourBody) Close() error { return dtb.body.Close() }

// diedBehindDetour reports whether the peer has stated that the replica died.
func diedBehindDetour(err error) bool {
	var broken *detourBreak
	return errors.As(err, &broken) && broken.died
}

// acceptsConnections reports whether the named Instance accepts a new connection.
func (in *Instance) acceptsConnections(ctx context.Context, name string) bool {
	address, ok := (*in.gossip.peers.Load())[name]
	if !ok {
		return false
	}
	conn, err := newDialer(nil, probeTimeout)(ctx, "tcp", address.String())
	if err != nil {
		return ctx.Err() != nil
	}
	_ = conn.Close()
	return true
}

// replicaRequest returns the request that a detourRequest asks the peer to send to the replica at the address.
func (dr *detourRequest) replicaRequest(ctx context.Context, address string) *http.Request {
	target := &url.URL{Scheme: "http", Host: address, Opaque: dr.Target}
	if !strings.HasPrefix(dr.Target, "/") || strings.HasPrefix(dr.Target, "//") {
		if parsed, err := url.ParseRequestURI(dr.Target); err == nil {
			target = &url.URL{Scheme: "http", Host: address, Path: parsed.Path, RawPath: parsed.RawPath, RawQuery: parsed.RawQuery}
		}
	}
	req := (&http.Request{
		Method: dr.Method, Host: dr.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL: target, Header: hops.EndToEnd(dr.Header),
	}).WithContext(ctx)
	if req.Header == nil {
		// The sender has sent none.
		req.Header = http.Header{}
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = []string{""}
	}
	if len(dr.Body) > 0 {
		req.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(dr.Body)), nil }
		req.ContentLength = int64(len(dr.Body))
	}
	return req
}
