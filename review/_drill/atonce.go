package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The case "atonce": a request crashes each replica that runs it, and a client that does not wait repeats it three times at once, at
// a service of three replicas. It comes back whenever the replicas are back.

const (
	atonceNodes    = 9
	atonceReplicas = 3
	// copies is a first attempt and three repeats at once, as clients of retry_abuse make them.
	copies       = 4
	atonceRounds = 8
	// atoncePause is the time between two visits of the client: the replicas are back after 4 s.
	atoncePause = 7 * time.Second
)

func runAtOnce(rec *record, tmp string, trouble bool) bool {
	st := newStore(rec)
	st.write("op/config", configuration(2, 2500))
	cr := &crashing{rec: rec, st: st}
	for i := range atonceReplicas {
		cr.start(zones[i%3])
	}
	var list []*node
	for i := range atonceNodes {
		list = append(list, startNode(i/3+1, zones[i%3], st.address, tmp))
	}
	awaitReady(list)
	rec.line("all %d instances are ready", len(list))
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	var served, failed atomic.Int64
	for _, nd := range list {
		traffic.Go(func() {
			for number := 0; ; number++ {
				select {
				case <-stop:
					return
				case <-time.After(1500 * time.Millisecond):
				}
				if status, _ := ask(nd, fmt.Sprintf("o-%s-%d", nd.name, number), "/read/2f", fmt.Sprintf("balance %d", number)); status == http.StatusOK {
					served.Add(1)
				} else {
					failed.Add(1)
				}
			}
		})
	}
	attempts := 1
	if trouble {
		attempts = copies
	}
	for round := range atonceRounds {
		var group, connected sync.WaitGroup
		connected.Add(attempts)
		for i := range attempts {
			group.Go(func() {
				nd := list[(round+2*i)%len(list)]
				name := fmt.Sprintf("c-%d-%d", round, i)
				conn, err := net.DialTimeout("tcp", nd.front, time.Second)
				check(err)
				connected.Done()
				connected.Wait()
				status, header := askOver(conn, nd, name, "/read/crash", crashingBody)
				rec.line("crashing request %s at %s: %d, Retry-After %q", name, nd.name, status, header.Get("Retry-After"))
			})
		}
		group.Wait()
		time.Sleep(atoncePause)
	}
	close(stop)
	traffic.Wait()
	rec.line("ordinary requests: %d served, %d not", served.Load(), failed.Load())
	return cr.judge() > 3
}
