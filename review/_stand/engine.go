package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// engine is a stand-in of one model replica. It streams events at an even pace and resumes a stream after Last-Event-Id.
type engine struct {
	id      string
	zone    string
	address string
	born    int64
	record  *recorder
	server  *http.Server
	mu      sync.Mutex
	// open counts the streams under way by tenant, ran those that it began.
	open map[string]int
	ran  int
}

const (
	engineSlots  = 16
	streamEvents = 33
	eventPeriod  = 70 * time.Millisecond
	firstEvent   = 30 * time.Millisecond
)

func startEngine(rec *recorder, sto *store, id, zone string) *engine {
	eng := &engine{id: id, zone: zone, born: time.Now().UnixMilli(), record: rec, open: map[string]int{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	eng.address = listener.Addr().String()
	eng.server = &http.Server{Handler: eng}
	go func() { _ = eng.server.Serve(listener) }()
	eng.register(sto)
	return eng
}

func (eng *engine) register(sto *store) {
	sto.put("servers/"+eng.id, map[string]any{
		"Service": "llm", "Address": eng.address, "Zone": eng.zone, "Version": "v1", "Slots": engineSlots, "State": "ready", "ColdLeftMs": 0,
		"Stage": "both", "Models": []map[string]any{{"Name": "m", "Version": 1, "Adapters": []string{}}}, "Seq": 1, "born": eng.born,
	})
}

// crash ends the engine as a killed process ends: its connections close and new ones are refused.
func (eng *engine) crash() {
	eng.mu.Lock()
	eng.record.line("server %s crashes with %v streams under way", eng.id, eng.open)
	eng.mu.Unlock()
	_ = eng.server.Close()
}

// ServeHTTP answers as the protocol page says.
func (eng *engine) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != eng.id {
		w.Header().Set("X-Instance-Id", eng.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if req.URL.Path == "/v1/report" {
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"Stage":"both","Busy":false,"Seq":0,"Queued":0,"Running":0,"KvUsed":0,"KvTotal":315000,"Handles":0,"born":%d}`, eng.born)
		return
	}
	id := req.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	tenant := req.Header.Get("X-Tenant")
	eng.count(tenant, 1)
	defer eng.count(tenant, -1)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Response-Seal", "seal."+eng.id+"."+id)
	w.Header().Set("X-Weight-Versions", "1")
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	time.Sleep(firstEvent)
	control := http.NewResponseController(w)
	for event := after + 1; event <= streamEvents; event++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", event, event, id); err != nil {
			return
		}
		if control.Flush() != nil || req.Context().Err() != nil {
			return
		}
		time.Sleep(eventPeriod)
	}
}

func (eng *engine) count(tenant string, by int) {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	eng.open[tenant] += by
	if by > 0 {
		eng.ran++
	}
}

// streams returns the number of streams under way.
func (eng *engine) streams() int {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	sum := 0
	for _, open := range eng.open {
		sum += open
	}
	return sum
}
