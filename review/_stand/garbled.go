package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// garbler is a stand-in of a replica that spoils some of its answers while spoils is set.
type garbler struct {
	*replica
	spoils  atomic.Bool
	spoiled atomic.Int64
}

// spoiledShare is the share of the answers that a replica spoils.
const spoiledShare = 0.02

func newGarbler(rec *recorder, sto *store, id, zone string) *garbler {
	gar := &garbler{replica: &replica{id: id, service: "app", zone: zone, born: time.Now().UnixMilli(), slots: 6, work: 30 * time.Millisecond, record: rec}}
	gar.address = serveHTTP(gar)
	gar.register(sto, "ready")
	return gar
}

// ServeHTTP answers as the sound replica does, or with a status line whose digits are spoilt.
func (gar *garbler) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if !gar.spoils.Load() || rand.Float64() >= spoiledShare || req.Header.Get("X-Expect-Instance") != gar.id {
		gar.replica.ServeHTTP(w, req)
		return
	}
	time.Sleep(gar.work)
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	id := req.Header.Get("X-Request-Id")
	gar.spoiled.Add(1)
	gar.record.line("server %s runs %s and spoils its answer: HTTP/1.1 000 OK", gar.id, id)
	_, _ = fmt.Fprintf(buf, "HTTP/1.1 000 OK\r\nX-Request-Id: %s\r\nX-Response-Seal: seal.%s.%s\r\nContent-Length: 5\r\n\r\nspoil", id, gar.id, id)
	_ = buf.Flush()
	_ = conn.Close()
}

// garbledStatus adds two routes to a service by a new version, lets one of the service's three replicas after the other spoil some of its
// answers for five seconds, nine times, and then compares how often requests on the added routes and on the first one are served.
func garbledStatus(rec *recorder, trouble bool) bool {
	const (
		host     = "desk.example"
		deadline = 2500 * time.Millisecond
		spoilFor = 5 * time.Second
		calm     = 500 * time.Millisecond
		// contact is ContactMs: steady state begins so long after the last disruption.
		contact = 3 * time.Second
		judged  = 15 * time.Second
	)
	sto := newStore()
	route := func(name, service, kind string, attempts int) map[string]any {
		return map[string]any{
			"Name": name, "Host": host, "Prefix": "/" + name + "/", "Kind": kind, "TimeoutMs": 1200, "GoalMs": 150, "Priority": 2, "Service": service,
			"Attempts": attempts, "Public": false,
		}
	}
	config := func(version int, routes ...map[string]any) map[string]any {
		return map[string]any{
			"Version": version, "Routes": routes,
			"Services": []map[string]any{
				{"Name": "board", "HealthPath": "/healthz", "MaxConns": 52, "Protocol": "h1", "Tls": false},
				{"Name": "app", "HealthPath": "/healthz", "MaxConns": 52, "Protocol": "h1", "Tls": false},
			},
			"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
			"Tenants": []map[string]any{{"Name": "college-a", "ApiKeys": []string{"key-a"}, "Priority": 1}},
		}
	}
	first := route("board", "board", "idempotent", 2)
	sto.put("op/config", config(1, first))
	var replicas []*garbler
	for i, zone := range []string{"a", "b", "c"} {
		replicas = append(replicas, newGarbler(rec, sto, fmt.Sprintf("i-%d", i+1), zone))
		newReplica(rec, sto, fmt.Sprintf("j-%d", i+1), "board", zone)
	}
	fl := newFleet(rec, sto, 3)
	defer fl.stop()
	for _, mc := range fl.machines {
		fl.start(mc)
	}
	fl.awaitReady(15 * time.Second)
	sto.put("op/config", config(2, first, route("balance", "app", "idempotent", 2), route("redeem", "app", "non_idempotent", 1)))
	rec.line("version 2 adds two routes; acknowledged")
	time.Sleep(2 * configMs * time.Millisecond)

	begin := time.Now()
	judgedFrom := 9*(spoilFor+calm) + contact
	type tally struct{ asked, served, steadyAsked, steadyServed int }
	tallies := map[string]*tally{"board": {}, "balance": {}, "redeem": {}}
	var wg sync.WaitGroup
	var mu sync.Mutex
	next := 0
	one := func(method, name string) {
		defer wg.Done()
		mu.Lock()
		next++
		number := next
		mu.Unlock()
		at := time.Since(begin)
		id := fmt.Sprintf("r%05d", number)
		an := send(fl.machines[rand.IntN(len(fl.machines))], method, host, fmt.Sprintf("/%s/%d", name, number), id, "key-a", "", deadline)
		ok := an.err == nil && an.status == http.StatusOK && an.header.Get("X-Response-Seal") != ""
		if !ok {
			rec.line("client gets for %s %s /%s/: %v %.20q", id, method, name, an, an.body)
		}
		mu.Lock()
		defer mu.Unlock()
		tl := tallies[name]
		tl.asked++
		if ok {
			tl.served++
		}
		if at >= judgedFrom {
			tl.steadyAsked++
			if ok {
				tl.steadyServed++
			}
		}
	}
	ask := func(method, name string, perS int) {
		wg.Go(func() {
			for i := 0; time.Since(begin) < judgedFrom+judged; i++ {
				time.Sleep(time.Until(begin.Add(time.Duration(i) * time.Second / time.Duration(perS))))
				wg.Add(1)
				go one(method, name)
			}
		})
	}
	ask("GET", "board", 20)
	ask("GET", "balance", 100)
	ask("POST", "redeem", 100)
	for round := range 9 {
		for i, gar := range replicas {
			gar.spoils.Store(trouble && i == round%3)
		}
		time.Sleep(spoilFor)
		for _, gar := range replicas {
			gar.spoils.Store(false)
		}
		time.Sleep(calm)
	}
	rec.line("no server spoils anything any more; %d, %d and %d answers were spoilt", replicas[0].spoiled.Load(), replicas[1].spoiled.Load(), replicas[2].spoiled.Load())
	wg.Wait()
	for _, name := range []string{"board", "balance", "redeem"} {
		tl := tallies[name]
		rec.line("route /%s/: %d asked, %d served; in steady state %d asked, %d served", name, tl.asked, tl.served, tl.steadyAsked, tl.steadyServed)
	}
	added := tally{steadyAsked: tallies["balance"].steadyAsked + tallies["redeem"].steadyAsked, steadyServed: tallies["balance"].steadyServed + tallies["redeem"].steadyServed}
	firstShare := float64(tallies["board"].steadyServed) / float64(max(1, tallies["board"].steadyAsked))
	addedShare := float64(added.steadyServed) / float64(max(1, added.steadyAsked))
	if added.steadyAsked >= 20 && addedShare < firstShare/4 {
		rec.line("RULE: in steady state %.3f are served on the added routes and %.3f on the first", addedShare, firstShare)
		return true
	}
	return false
}
