package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The case "forget": a request crashes each replica that runs it, and a client that does not wait repeats it three times at once. It is
// in quarantine, then all instances are killed at the same moment and start again, and the client comes back.

const (
	forgetNodes = 6
	// copies is a first attempt and three repeats at once, as clients of retry_abuse make them.
	copies = 4
)

func runForget(rec *record, tmp string, trouble bool) bool {
	st := newStore(rec)
	st.write("op/config", configuration(2, 2500))
	cr := &crashing{rec: rec, st: st}
	for i := range 12 {
		cr.start(zones[i%3])
	}
	var list []*node
	for i := range forgetNodes {
		list = append(list, startNode(i/3+1, zones[i%3], st.address, tmp))
	}
	awaitReady(list)
	rec.line("all %d instances are ready", len(list))
	time.Sleep(5 * time.Second)
	come := func(round int) {
		var group, connected sync.WaitGroup
		connected.Add(copies)
		for i := range copies {
			group.Go(func() {
				nd := list[(round+i)%len(list)]
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
	}
	come(0)
	time.Sleep(4 * time.Second)
	come(1)
	time.Sleep(6 * time.Second)
	if trouble {
		rec.line("all instances are killed")
		for _, nd := range list {
			_ = nd.cmd.Process.Signal(syscall.SIGKILL)
		}
		for _, nd := range list {
			<-nd.ended
		}
		time.Sleep(1200 * time.Millisecond)
		for i, nd := range list {
			list[i] = nd.restart(tmp)
		}
		awaitReady(list)
		rec.line("all %d instances are ready again", len(list))
		time.Sleep(contact + time.Second)
	}
	for round := 2; round < 4; round++ {
		come(round)
		time.Sleep(4 * time.Second)
	}
	status, _ := ask(list[0], "o-1", "/read/2f", "balance")
	rec.line("an ordinary request at the end: %d", status)
	return cr.judge() > 3 || status != http.StatusOK
}
