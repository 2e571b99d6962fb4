package core

import (
	"time"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
)

func (st *State) askPermit(req *Request) {
	req.Phase = PhasePermit
	st.emit(effect.AskPermit{
		ID:            req.ID,
		Service:       req.Service,
		FailureDomain: st.Options.FailureDomain,
		Organisation:  req.Organisation,
		Tokens:        req.Tokens(),
		Class:         req.Class.Name,
		Priority:      req.Class.Priority,
		Deadline:      req.Deadline,
	})
}

func (st *State) permitAnswered(ev event.PermitAnswered) {
	req, ok := st.Requests[ev.ID]
	if !ok || req.Phase != PhasePermit {
		st.returnPermit(ev)
		return
	}
	if !ev.Granted {
		st.finish(req, notRun(effect.ReasonBusy, ev.RetryAfter, "send it again later; the long prompts ahead fill the engines"))
		return
	}
	req.Permit = ev.Permit
	upstreams := make([]event.Upstream, 0, len(ev.Upstreams))
	for _, name := range ev.Upstreams {
		if rep, ok := st.Route.Replicas[name]; ok {
			upstreams = append(upstreams, rep.Upstream)
		}
	}
	if len(upstreams) != len(ev.Upstreams) {
		st.releasePermit(req)
		st.finish(req, notRun(effect.ReasonNoUpstream, time.Second, "send it again; a granted engine has left"))
		return
	}
	st.send(req, upstreams)
}

// returnPermit gives back a grant that came after its request had ended.
func (st *State) returnPermit(ev event.PermitAnswered) {
	if ev.Granted {
		st.emit(effect.ReleasePermit{ID: ev.ID, Permit: ev.Permit})
	}
}

func (st *State) releasePermit(req *Request) {
	if req.Permit == "" {
		return
	}
	st.emit(effect.ReleasePermit{
		ID:            req.ID,
		Service:       req.Service,
		FailureDomain: st.Options.FailureDomain,
		Permit:        req.Permit,
	})
	req.Permit = ""
}
