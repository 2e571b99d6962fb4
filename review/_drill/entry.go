package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The case "entry": the store loses the answers of some of the instances' first writes and does these writes late. Later a request
// crashes each replica that runs it, and comes again at all machines in turn.

const (
	entryNodes = 9
	// lateAfter is how late a lost write is done; platform_lost has 1 to 6 s.
	lateAfter = 3 * time.Second
	// quietUntil is when the crashing request comes first, after the leases of the entries that nobody renews have ended.
	quietUntil = 47 * time.Second
	// crashingPause is the time between two machines at which the crashing request comes, a little more than ContactMs.
	crashingPause = 3100 * time.Millisecond
)

func runEntry(rec *record, tmp string, trouble bool) bool {
	st := newStore(rec)
	txns, lost := 0, 0
	if trouble {
		st.lose = func(_ *storeTxn) (time.Duration, bool) {
			txns++
			if txns > entryNodes-1 || txns%2 == 0 {
				return 0, false
			}
			lost++
			return lateAfter, true
		}
	}
	st.write("op/config", configuration(2, 2500))
	cr := &crashing{rec: rec, st: st}
	for i := range 9 {
		cr.start(zones[i%3])
	}
	var mu sync.Mutex
	var list []*node
	for i := range entryNodes {
		list = append(list, startNode(i/3+1, zones[i%3], st.address, tmp))
	}
	awaitReady(list)
	rec.line("all %d instances are ready", len(list))
	// Ordinary requests at each machine the whole time.
	stopTraffic := make(chan struct{})
	var traffic sync.WaitGroup
	var served, failed int
	for _, nd := range list {
		traffic.Go(func() {
			for number := 0; ; number++ {
				select {
				case <-stopTraffic:
					return
				case <-time.After(250 * time.Millisecond):
				}
				status, _ := ask(nd, fmt.Sprintf("o-%s-%d", nd.name, number), "/read/2f", fmt.Sprintf("balance %d", number%40))
				mu.Lock()
				if status == http.StatusOK {
					served++
				} else {
					failed++
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(quietUntil - time.Since(rec.began))
	rec.line("the store has lost the answers of %d of %d writes; registered: %s", lost, st.writes, strings.Join(st.keys("dandelionsail/"), " "))
	for i, nd := range list {
		name := fmt.Sprintf("c-%d", i)
		status, header := ask(nd, name, "/read/crash", crashingBody)
		rec.line("crashing request %s at %s: %d, Retry-After %q", name, nd.name, status, header.Get("Retry-After"))
		time.Sleep(crashingPause)
	}
	close(stopTraffic)
	traffic.Wait()
	mu.Lock()
	defer mu.Unlock()
	rec.line("ordinary requests: %d served, %d not", served, failed)
	return cr.judge() > 3
}
