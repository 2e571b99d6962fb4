package entry

import (
	"net/http"
	"time"

	"dandelionsail.example/dandelionsail/internal/event"
)

// plainService passes a call on to the plain service whose path it names.
func (in *Instance) plainService(w http.ResponseWriter, req *http.Request) {
	arrived := time.Now()
	dir := in.config.Load()
	org, ok := dir.organisation(req)
	if !ok {
		unauthorized().write(w)
		return
	}
	service, ok := dir.plain(req.URL.Path)
	if !ok || !dir.cfg.Organisations[org].MayUse(service) {
		badRequest(http.StatusNotFound, "UnknownPath", "no service is offered under this path; check its declaration").write(w)
		return
	}
	svc := dir.cfg.Services[service].WithDefaults()
	deadline, ae := readDeadline(req, svc, arrived)
	if ae != nil {
		ae.write(w)
		return
	}
	raw, ae := in.readBody(w, req)
	if ae != nil {
		ae.write(w)
		return
	}
	cl := newCall(w, req, arrived)
	cl.raw = raw
	cl.organisation = org
	cl.service = service
	in.serve(cl, event.Arrived{
		Organisation: org,
		Service:      service,
		Deadline:     deadline,
		Idempotent:   svc.Idempotent(req.Method),
		Key:          req.Header.Get("Idempotency-Key"),
		Digest:       digest(req, raw),
	})
}
