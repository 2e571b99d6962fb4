package entry

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"dandelionsail.example/dandelionsail/internal/cutoff"
	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/front"
	"dandelionsail.example/dandelionsail/internal/hops"
	"dandelionsail.example/dandelionsail/internal/tasks"
	"dandelionsail.example/dandelionsail/internal/trip"
)

const (
	// forwardDialTimeout is the timeout for opening a connection to another instance.
	forwardDialTimeout = 500 * time.Millisecond
	// forwardBuffer is the size in bytes of the buffer through which an answer is passed on.
	forwardBuffer = 16 << 10
)

// newForwarder returns the transport to other instances' addresses for callers. It opens a connection for each request, since one that breaks
// under a request would leave open whether the request arrived.
func newForwarder() *http.Transport {
	transport := trip.NewTransport(func(ctx context.Context, network, address string) (net.Conn, error) {
		limited, cancel := context.WithTimeout(ctx, forwardDialTimeout)
		defer cancel()
		return (&net.Dialer{}).DialContext(limited, network, address)
	})
	transport.DisableCompression, transport.DisableKeepAlives = true, true
	return transport
}

// forward passes the caller's request on to another instance and its answer back. It returns false if that instance did not take
// the request, which then arrives at the reducer again.
func (in *Instance) forward(cl *call, eff effect.Forward) bool {
	ctx, release := cl.beginForward()
	defer release()
	req, err := http.NewRequestWithContext(ctx, cl.req.Method, "http://"+eff.To.Address+cl.req.URL.RequestURI(), bytes.NewReader(cl.raw))
	if err != nil {
		in.forwardFailed(cl, eff, err)
		return false
	}
	req.Header = hops.EndToEnd(cl.req.Header)
	req.Header.Set(HeaderForwardedBy, in.opts.Name)
	req.Header.Set(HeaderDeadline, max(time.Millisecond, time.Until(cl.deadline)).String())
	req.Host = cl.req.Host
	res, err := trip.Do(in.forwarder, req, trip.Hooks{})
	switch {
	case err != nil && !res.Written && ctx.Err() == nil:
		in.forwardFailed(cl, eff, err)
		return false
	case err != nil:
		cl.writeError(fromRefusal(&effect.Refusal{Reason: effect.ReasonOutcome, RunState: unsentState(res.Written), RetryAfter: time.Second, Remedy: "look at its effect before sending it again"}))
		return true
	}
	resp := res.Response
	defer func() { _ = resp.Body.Close() }()
	if refused := resp.Header.Get(HeaderForwardRefused); refused != "" {
		in.forwardFailed(cl, eff, errorText(refused))
		return false
	}
	in.loop.Submit(event.ForwardTaken{Instance: eff.To.Name, Service: cl.service})
	in.log.Info().Str("Request", cl.name).Str("Via", eff.To.Name).Str("Service", cl.service).Int("Status", resp.StatusCode).
		Str("ForwardedAs", resp.Header.Get(HeaderRequestID)).Msg("request passed on: the path to its service is lost")
	cl.passOn(resp)
	return true
}

// beginForward returns the context in which the call is passed on to another instance, which endForward ends. The reducer does not hold such a request.
func (cl *call) beginForward() (ctx context.Context, release func()) {
	ctx, cancel, release := cutoff.Context(cl.req.Context(), cl.deadline)
	cl.mu.Lock()
	cl.cancelForward = cancel
	cancel(cl.forwardEnded)
	cl.mu.Unlock()
	return ctx, release
}

// endForward ends the passing on with the proof, if the call is passed on now or later.
func (cl *call) endForward(proof cutoff.Proof) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.forwardEnded = proof
	if cl.cancelForward != nil {
		cl.cancelForward(proof)
	}
}

// unsentState is what is known of a request that was not answered.
func unsentState(written bool) effect.RunState {
	if written {
		return effect.Unknown
	}
	return effect.NotRun
}

// errorText is an error without a cause.
type errorText string

// Error implements error.
func (et errorText) Error() string { return string(et) }

// forwardFailed reports that the instance did not take the request, and submits the request again.
func (in *Instance) forwardFailed(cl *call, eff effect.Forward, err error) {
	in.log.Info().Str("Request", cl.name).Str("Via", eff.To.Name).Str("Service", cl.service).Err(err).Msg("request not taken by another instance")
	in.loop.Submit(event.ForwardFailed{Instance: eff.To.Name, Service: cl.service, NoPath: err == errorText(effect.ReasonNoPath)})
	in.loop.Submit(cl.arrival)
}

// passedOnBroken means that the answer of the instance to which a request was passed on broke off.
const passedOnBroken front.Reason = "PassedOnBroken"

// passOn sends the caller the answer as it arrives. An answer that breaks off ends the caller's connection, so that it does not look whole.
func (cl *call) passOn(resp *http.Response) {
	header := cl.w.Header()
	for name, values := range hops.EndToEnd(resp.Header) {
		header[name] = values
	}
	cl.headerSent = true
	cl.w.WriteHeader(resp.StatusCode)
	buf := make([]byte, forwardBuffer)
	for {
		count, err := resp.Body.Read(buf)
		if count > 0 {
			if _, err := cl.w.Write(buf[:count]); err != nil {
				return
			}
			_ = cl.control.Flush()
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			cl.account.Cut(passedOnBroken, err.Error())
			panic(http.ErrAbortHandler)
		}
	}
}

// probePaths opens a connection to each of the upstreams and closes it again.
func (in *Instance) probePaths(eff effect.ProbePaths) {
	for _, address := range eff.Addresses {
		in.pending.Go(tasks.Guard("path probe", func() {
			in.loop.Submit(event.PathObserved{Address: address, Reached: in.upstream.Reaches(context.Background(), address)})
		}))
	}
}

// connected reports a new connection to an upstream to the reducer if there are doubts about a path.
func (in *Instance) connected(address string) {
	if in.pathsInDoubt.Load() {
		in.loop.Submit(event.PathObserved{Address: address, Reached: true})
	}
}

// lostPath reports whether the witness is not reached either, so that an upstream that accepts no connection has not died for that.
func (in *Instance) lostPath(ctx context.Context, address, witness string) bool {
	if witness == "" || in.upstream.Reaches(ctx, witness) {
		return false
	}
	in.loop.Submit(event.PathObserved{Address: address})
	in.loop.Submit(event.PathObserved{Address: witness})
	return true
}
