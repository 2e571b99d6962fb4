package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// run is a request that a replica began to work on.
type run struct {
	id      string
	method  string
	path    string
	tenant  string
	at      time.Time
	replica string
}

// replica is a stand-in of one replica of a plain service.
type replica struct {
	id      string
	service string
	zone    string
	address string
	born    int64
	slots   int
	work    time.Duration
	record  *recorder
	mu      sync.Mutex
	runs    []run
}

func newReplica(rec *recorder, sto *store, id, service, zone string) *replica {
	rep := &replica{id: id, service: service, zone: zone, born: time.Now().UnixMilli(), slots: 6, work: 5 * time.Millisecond, record: rec}
	rep.address = serveHTTP(rep)
	rep.register(sto, "ready")
	return rep
}

func (rep *replica) register(sto *store, state string) {
	sto.put("servers/"+rep.id, map[string]any{
		"Service": rep.service, "Address": rep.address, "Zone": rep.zone, "Version": "v1", "Slots": rep.slots, "State": state,
		"ColdLeftMs": 0, "Seq": 1, "born": rep.born,
	})
}

// ServeHTTP answers as the protocol page says.
func (rep *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != rep.id {
		w.Header().Set("X-Instance-Id", rep.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	rn := run{id: id, method: req.Method, path: req.URL.RequestURI(), tenant: req.Header.Get("X-Tenant"), at: time.Now(), replica: rep.id}
	rep.mu.Lock()
	rep.runs = append(rep.runs, rn)
	rep.mu.Unlock()
	rep.record.line("server %s runs %s %s %s, X-Tenant %q", rep.id, rn.id, rn.method, rn.path, rn.tenant)
	time.Sleep(rep.work)
	w.Header().Set("X-Response-Seal", "seal."+rep.id+"."+id)
	_, _ = fmt.Fprintf(w, "answer of %s to %s for tenant %q\n", rep.id, id, rn.tenant)
}

// runsOf returns the runs of the request.
func (rep *replica) runsOf(id string) (list []run) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	for _, rn := range rep.runs {
		if rn.id == id {
			list = append(list, rn)
		}
	}
	return list
}
