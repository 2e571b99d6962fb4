package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// replica is a stand-in of one replica of a plain service.
type replica struct {
	id, service, zone string
	address           string
	listener          net.Listener
	server            *http.Server
	// work is called when the request begins to run, and returns whether the replica answers it.
	work func(rp *replica, req *http.Request, body []byte) bool
	mu   sync.Mutex
	dead bool
	st   *store
	stop chan struct{}
	born int64
}

// startReplica starts a replica and registers it.
func startReplica(st *store, id, service, zone string, work func(rp *replica, req *http.Request, body []byte) bool) *replica {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	rp := &replica{
		id: id, service: service, zone: zone, address: listener.Addr().String(), listener: listener, work: work, st: st,
		stop: make(chan struct{}), born: time.Now().UnixMilli(),
	}
	rp.server = &http.Server{Handler: http.HandlerFunc(rp.serve)}
	go func() { _ = rp.server.Serve(listener) }()
	go rp.beat()
	return rp
}

// beat writes the replica's entry each HeartbeatMs.
func (rp *replica) beat() {
	for seq := 1; ; seq++ {
		rp.st.write("servers/"+rp.id, map[string]any{
			"Service": rp.service, "Address": rp.address, "Zone": rp.zone, "Version": "v1", "Slots": 16, "State": "ready",
			"ColdLeftMs": 0, "Stage": "both", "Seq": seq, "born": rp.born,
		})
		select {
		case <-rp.stop:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// crash ends the replica: its listener and its connections are gone at once, and its entry after three heartbeats. It reports whether the
// replica had not ended before.
func (rp *replica) crash() bool {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	if rp.dead {
		return false
	}
	rp.dead = true
	close(rp.stop)
	_ = rp.server.Close()
	time.AfterFunc(3600*time.Millisecond, func() { rp.st.delete("servers/" + rp.id) })
	return true
}

func (rp *replica) serve(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", rp.id)
		return
	}
	if want := req.Header.Get("X-Expect-Instance"); want != "" && want != rp.id {
		w.Header().Set("X-Instance-Id", rp.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	if !rp.work(rp, req, body) {
		panic(http.ErrAbortHandler)
	}
	answer := []byte(fmt.Sprintf("answer to %s\n", req.Header.Get("X-Request-Id")))
	w.Header().Set("X-Request-Id", req.Header.Get("X-Request-Id"))
	w.Header().Set("X-Response-Seal", "s."+rp.id+"."+req.Header.Get("X-Request-Id"))
	w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
	_, _ = w.Write(answer)
}
