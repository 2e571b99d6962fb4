package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// contact is ContactMs.
const contact = 3 * time.Second

// crashingBody is the body of the request that crashes the replicas that run it.
const crashingBody = "crashes whatever runs it"

// crashing is a service of replicas that crash when they begin to run the request with crashingBody. Each is back after 4 s as a new
// incarnation.
type crashing struct {
	rec *record
	st  *store

	mu          sync.Mutex
	incarnation int
	// arrivals holds when the crashing request reached replicas, crashes when these crashed.
	arrivals, crashes []time.Time
}

func (cr *crashing) start(zone string) {
	cr.mu.Lock()
	cr.incarnation++
	id := fmt.Sprintf("i-%08x", 0x7f3a0000+cr.incarnation)
	cr.mu.Unlock()
	startReplica(cr.st, id, "voucher-app", zone, cr.work)
}

func (cr *crashing) work(rp *replica, req *http.Request, body []byte) bool {
	if string(body) != crashingBody {
		time.Sleep(30 * time.Millisecond)
		return true
	}
	cr.mu.Lock()
	cr.arrivals = append(cr.arrivals, time.Now())
	first := rp.crash()
	if first {
		cr.crashes = append(cr.crashes, time.Now())
	}
	count := len(cr.crashes)
	cr.mu.Unlock()
	cr.rec.line("replica %s begins to run the crashing request %s and crashes: crash %d", rp.id, req.Header.Get("X-Request-Id"), count)
	if first {
		time.AfterFunc(4*time.Second, func() { cr.start(rp.zone) })
	}
	return false
}

// judge returns how often the crashing request reached replicas later than ContactMs after its third crash. Three are allowed.
func (cr *crashing) judge() int {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	late := 0
	for _, at := range cr.arrivals {
		if len(cr.crashes) >= 3 && at.Sub(cr.crashes[2]) > contact {
			late++
		}
	}
	cr.rec.line("the request has crashed %d replicas; %d arrivals later than ContactMs after the third crash (3 are allowed)", len(cr.crashes), late)
	return late
}
