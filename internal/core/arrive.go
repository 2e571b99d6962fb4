package core

import (
	"time"

	"dandelionsail.example/dandelionsail/internal/admit"
	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

func (st *State) handleArrived(ev event.Arrived) {
	if !st.refusesForStop(ev.Deadline) && st.forwardArrived(ev) {
		return
	}
	if refusal := st.tryAdmit(ev); refusal != nil {
		st.countReason("Requests.Refused.", refusal.Reason)
		st.emit(effect.Finish{ID: ev.ID, Refusal: refusal})
		return
	}
	class, _ := st.table.classOf(ev.PromptTokens)
	req := &Request{Arrived: ev, Class: class.LengthClass, level: class.level, higherClasses: class.higherClasses, At: st.now}
	st.Requests[ev.ID] = req
	st.deadlines.push(ev.Deadline, ev.ID)
	st.count("Requests.Admitted")
	if st.needsClaim(req) {
		req.Phase = PhaseClaiming
		st.emit(effect.Claim{
			ID:           ev.ID,
			Organisation: ev.Organisation,
			Service:      ev.Service,
			Key:          ev.Key,
			Digest:       ev.Digest,
			Deadline:     ev.Deadline,
		})
		return
	}
	st.enqueue(req)
}

// tryAdmit checks whether the request can be served and returns a refusal if not. It counts the request against its
// organisation's limits as the last step, so that a refused request holds none of them.
func (st *State) tryAdmit(ev event.Arrived) *effect.Refusal {
	if st.refusesForStop(ev.Deadline) {
		return notRunRefusal(effect.ReasonDraining, time.Second, "send the request again; another instance will take it")
	}
	if !st.now.Before(ev.Deadline) {
		return notRunRefusal(effect.ReasonDeadline, 0, "give the request a deadline in the future")
	}
	if _, ok := st.table.services[ev.Service]; !ok {
		return notRunRefusal(effect.ReasonUnknownModel, 0, "name a model that GET /v1/models lists")
	}
	class, ok := st.table.classOf(ev.PromptTokens)
	if !ok {
		return notRunRefusal(effect.ReasonPromptTooLong, 0, "shorten the prompt to what the longest length class allows")
	}
	if st.exceedsEngineMemory(ev, class) {
		return notRunRefusal(effect.ReasonPromptTooLong, 0, "shorten the prompt or the answer; together they are larger than one engine's memory")
	}
	if refusal := st.checkQuarantine(&ev); refusal != nil {
		return refusal
	}
	if refusal := st.unserved(ev, class.level); refusal != nil {
		return refusal
	}
	org := st.Config.Organisations[ev.Organisation]
	if refusal := st.checkDeadline(ev, class, org); refusal != nil {
		return refusal
	}
	return st.Admit.Admit(st.now, ev.Organisation, org, ev.PromptTokens+ev.MaxTokens)
}

func notRunRefusal(reason effect.Reason, after time.Duration, remedy string) *effect.Refusal {
	return &effect.Refusal{Reason: reason, RunState: effect.NotRun, RetryAfter: after, Remedy: remedy}
}

func (st *State) enqueue(req *Request) {
	if st.needsPermit(req) {
		st.requestPermit(req)
		return
	}
	st.queueForReplica(req)
}

// queueForReplica queues the request until a replica has room for it.
func (st *State) queueForReplica(req *Request) {
	req.Phase = PhaseQueued
	st.pushToQueue(req)
	st.scheduleLatestStart(req)
	st.dispatch(req.Service)
}

// pushToQueue puts the request into its service's queue.
func (st *State) pushToQueue(req *Request) {
	org := st.Config.Organisations[req.Organisation]
	st.Admit.Push(admit.Item{
		ID:           req.ID,
		Organisation: req.Organisation,
		Service:      req.Service,
		Class:        req.Class,
		Tokens:       max(1, req.Tokens()),
		Work:         st.Route.Work(req.Service, req.PromptTokens, req.MaxTokens),
		Arrived:      req.At,
		Deadline:     req.Deadline,
		NotBefore:    req.NotBefore,
	}, org.ShareWeight(), st.discipline(req))
}

func (st *State) discipline(req *Request) admit.Discipline {
	if st.baseline() {
		return admit.FirstCome{}
	}
	return st.service(req).discipline
}

func (st *State) needsPermit(req *Request) bool {
	return st.usesPermits(req.Class, req.Service)
}

// usesPermits reports whether prompts of the class need a permit.
func (st *State) usesPermits(class decl.LengthClass, service string) bool {
	svc, ok := st.table.services[service]
	return ok && class.Long && st.Options.Permits && !st.baseline() && svc.Kind == decl.KindModel
}

// exceedsEngineMemory reports whether the request would go to a single engine and is larger than an engine's memory.
// Engines refuse such a request too, but only after all of it was sent to them.
func (st *State) exceedsEngineMemory(ev event.Arrived, class lengthClass) bool {
	memory := st.table.services[ev.Service].MemoryTokens
	return memory > 0 && ev.PromptTokens+ev.MaxTokens > memory && !st.usesPermits(class.LengthClass, ev.Service)
}
