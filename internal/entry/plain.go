package entry

import (
	"net/http"

	"dandelionsail.example/dandelionsail/internal/event"
)

// plainService serves calls to plain services. The request's path selects the service.
func (in *Instance) plainService(w http.ResponseWriter, req *http.Request) {
	in.handle(w, req, in.parsePlain)
}

func (in *Instance) parsePlain(cl *call, dir *directory) (event.Arrived, *apiError) {
	service, ok := dir.plain(cl.req.URL.Path)
	if !ok || !dir.cfg.Organisations[cl.organisation].MayUse(service) {
		message := "no service is offered under this path; check its declaration"
		return event.Arrived{}, badRequest(http.StatusNotFound, "UnknownPath", message)
	}
	svc := dir.cfg.Services[service].WithDefaults()
	deadline, ae := readDeadline(cl.req, svc, cl.arrived)
	if ae != nil {
		return event.Arrived{}, ae
	}
	cl.raw, ae = in.readBody(cl)
	return event.Arrived{Service: service, Deadline: deadline, Idempotent: svc.Idempotent(cl.req.Method)}, ae
}
