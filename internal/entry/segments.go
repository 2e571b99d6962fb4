package entry

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"dandelionsail.example/dandelionsail/internal/delay"
	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/upstr"
)

// Freeing of what engines hold for a prompt over several of them.
const (
	// freeTime is how long an engine that does not answer is told to free a request.
	freeTime = 20 * time.Second
	// freePause is the wait between two tries.
	freePause = 250 * time.Millisecond
)

// segment returns the run of prompt tokens that the numbered engine of so many computes. The parts are equal with the
// answer counted to the last one, which generates, so that each engine needs the same memory.
func segment(number, engines int, prompt, answer int64) (from, to int64) {
	count := int64(engines)
	share := (prompt + answer + count - 1) / count
	// The last engine has to compute one token of the prompt at least.
	last := prompt - 1
	from = min(int64(number)*share, last)
	to = min(from+share, last)
	if number == engines-1 {
		to = prompt
	}
	return from, to
}

// prefill has all engines but the last compute their segments in turn, each on top of those before, and returns the
// handles of their exported caches. It names the engine at work in ended.
func (in *Instance) prefill(ctx context.Context, cl *call, eff effect.Send, silence context.CancelCauseFunc, ended *event.AttemptEnded) ([]string, error) {
	var handles []string
	last := len(eff.Upstreams) - 1
	for i, up := range eff.Upstreams[:last] {
		from, to := segment(i, len(eff.Upstreams), cl.body.PromptTokens(), cl.body.MaxTokens)
		if from == to {
			continue
		}
		ended.Upstream = up.Name
		call := cl.upstreamCall(eff)
		call.Address = up.Address
		// What an attempt leaves is freed by its own name, so that a late word cannot end the attempt after it.
		call.Request = eff.Permit
		call.Method = http.MethodPost
		call.Imports = handles
		call.Body, call.Length = cl.body.Streamed()
		handle, err := in.prefillOne(ctx, call, from, to, eff.FirstSilence, silence)
		if err != nil {
			return nil, err
		}
		handles = append(handles, handle)
	}
	ended.Upstream = eff.Upstreams[last].Name
	return handles, nil
}

func (in *Instance) prefillOne(ctx context.Context, call upstr.Call, from, to int64, limit time.Duration, silence context.CancelCauseFunc) (string, error) {
	// A segment gives no sign of progress before it is whole.
	wd := watch(silence, limit, limit)
	defer wd.stop()
	return in.upstream.Prefill(ctx, call, from, to)
}

// freeSegments frees the segments of an attempt however it ended. It waits for the engines that answer at once, so that
// the memory is there again before the permit is given back; the others are told in the background.
func (in *Instance) freeSegments(eff effect.Send) {
	var group sync.WaitGroup
	for _, up := range eff.Upstreams[:len(eff.Upstreams)-1] {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), dropTime)
			defer cancel()
			if err := in.upstream.Drop(ctx, up.Address, eff.Permit); err != nil && !engineGone(err) {
				in.free(up, eff.Permit)
			}
		})
	}
	group.Wait()
}

// free tells an engine to free a request until it answers or freeTime is over.
func (in *Instance) free(up event.Upstream, request string) {
	in.pending.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeTime)
		defer cancel()
		for ctx.Err() == nil {
			err := in.upstream.Drop(ctx, up.Address, request)
			if err == nil || engineGone(err) {
				return
			}
			delay.For(ctx, freePause)
		}
	})
}

// engineGone tells that nothing listens at the engine's address: its process has ended and its memory with it.
func engineGone(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// sweep frees what engines still hold for a request whose holder died: the segments under the permit's name and the
// answer under the request's own.
func (in *Instance) sweep(eff effect.Sweep) {
	request, _, _ := strings.Cut(eff.Request, effect.PermitMark)
	for _, up := range eff.Upstreams {
		in.free(up, eff.Request)
		in.free(up, request)
	}
}
