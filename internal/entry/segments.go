package entry

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/internal/delay"
	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/tasks"
	"dandelionsail.example/dandelionsail/internal/upstr"
)

const (
	// freeTimeout is how long the instance retries the call that asks an engine to free a request.
	freeTimeout = 20 * time.Second
	// freeRetryDelay is the delay between two such calls.
	freeRetryDelay = 250 * time.Millisecond
)

// segmentRange returns the range of prompt tokens, from inclusive to exclusive, that the engine with the given number
// computes. The last engine also generates the answer, so the answer's tokens count towards its segment. The segments are
// then equal in size and each engine needs the same memory.
func segmentRange(number, engines int, prompt, answer int64) (from, to int64) {
	count := int64(engines)
	share := (prompt + answer + count - 1) / count
	// The last engine must compute at least one token of the prompt.
	last := prompt - 1
	from = min(int64(number)*share, last)
	to = min(from+share, last)
	if number == engines-1 {
		to = prompt
	}
	return from, to
}

// prefill has all engines but the last compute their segments one after the other, each with the caches of the previous
// segments imported, and returns the handles of their exported caches. It sets ended.Upstream to the engine in use.
func (in *Instance) prefill(ctx context.Context, cl *call, eff effect.Send, ended *event.AttemptEnded) ([]string, error) {
	var handles []string
	last := len(eff.Upstreams) - 1
	for i, up := range eff.Upstreams[:last] {
		from, to := segmentRange(i, len(eff.Upstreams), cl.body.PromptTokens(), cl.body.MaxTokens)
		if from == to {
			continue
		}
		ended.Upstream = up.Name
		call := cl.upstreamCall(eff)
		call.Address = up.Address
		// The segments carry the name of the attempt's permit instead of the request's name. Otherwise a delayed call that
		// frees them could end the next attempt of the same request.
		call.Request = eff.Permit
		call.Method = http.MethodPost
		call.Imports = handles
		call.Body, call.Length = cl.body.Streamed()
		handle, err := in.prefillSegment(ctx, call, from, to, eff.FirstProgressTimeout, in.reportSilence(cl, eff, up.Name))
		if err != nil {
			return nil, err
		}
		handles = append(handles, handle)
	}
	ended.Upstream = eff.Upstreams[last].Name
	return handles, nil
}

func (in *Instance) prefillSegment(ctx context.Context, call upstr.Call, from, to int64, limit time.Duration, report func(silent, stood time.Duration)) (string, error) {
	// An engine gives no sign of progress before the segment is complete.
	wd := startWatchdog(report, limit, limit)
	defer wd.stop()
	return in.upstream.Prefill(ctx, call, from, to)
}

// freeSegments frees the segments of an attempt, whatever its result. It waits up to dropTimeout for the engines, so that
// their memory is free before the permit is released. Engines that do not answer in time are retried in the background.
func (in *Instance) freeSegments(eff effect.Send) {
	var group sync.WaitGroup
	for _, up := range eff.Upstreams[:len(eff.Upstreams)-1] {
		group.Go(tasks.Guard("segment drop", func() {
			ctx, cancel := context.WithTimeout(context.Background(), dropTimeout)
			defer cancel()
			if err := in.upstream.Drop(ctx, up.Address, eff.Permit); err != nil && !engineGone(err) {
				in.free(up, eff.Permit)
			}
		}))
	}
	group.Wait()
}

// free asks an engine to free a request, and retries in the background until the engine confirms it, the engine is gone or
// freeTimeout has passed. The time in which the engine rests does not count, unless this instance drains: otherwise the engine
// would lose the memory for good. What a stopped instance leaves behind is swept by the others.
func (in *Instance) free(up event.Upstream, request string) {
	in.pending.Go(tasks.Guard("segment free", func() {
		for giveUpAt := time.Now().Add(freeTimeout); time.Now().Before(giveUpAt); {
			err := in.drop(up, request)
			if err == nil || engineGone(err) {
				return
			}
			if errorx.IsOfType(err, upstr.Held) && !in.draining.Load() {
				giveUpAt = time.Now().Add(freeTimeout)
			}
			delay.For(context.Background(), freeRetryDelay)
		}
	}))
}

func (in *Instance) drop(up event.Upstream, request string) error {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	return in.upstream.Drop(ctx, up.Address, request)
}

// engineGone reports whether the error means that nothing listens at the engine's address. Its process has then ended and
// its memory is free.
func engineGone(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// sweep frees what engines still hold for a request whose instance died: the segments, which carry the permit's name, and
// the answer, which carries the request's name.
func (in *Instance) sweep(eff effect.Sweep) {
	request, _, _ := strings.Cut(eff.Request, effect.PermitSeparator)
	for _, up := range eff.Upstreams {
		in.free(up, eff.Request)
		in.free(up, request)
	}
}
