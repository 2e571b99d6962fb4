package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The case "memory": many users come at once and send long bodies, none longer than MaxBodyBytes. The platform kills a process
// whose memory exceeds MemoryMb.

const (
	memoryNodes = 3
	memoryLimit = 284 << 20
	bodyBytes   = 4194304
	// readTime is how long a replica works on one of the long requests.
	readTime = 2500 * time.Millisecond
	// usualClients is the number of clients of one machine, burstClients that while many come at once.
	usualClients = 20
	burstClients = 50
)

func runMemory(rec *record, tmp string, trouble bool) bool {
	st := newStore(rec)
	st.write("op/config", configuration(2, 10000))
	var running atomic.Int64
	var begun sync.Map
	work := func(_ *replica, req *http.Request, _ []byte) bool {
		begun.Store(req.Header.Get("X-Request-Id"), true)
		running.Add(1)
		time.Sleep(readTime)
		running.Add(-1)
		return true
	}
	for i := range 9 {
		startReplica(st, fmt.Sprintf("i-%08x", 0x7f3a0000+i), "voucher-app", zones[i%3], work)
	}
	var list []*node
	for i := range memoryNodes {
		list = append(list, startNode(1, zones[i], st.address, tmp))
	}
	awaitReady(list)
	rec.line("all %d instances are ready", len(list))
	time.Sleep(3500 * time.Millisecond)
	nd := list[0]
	var peak atomic.Int64
	stop := make(chan struct{})
	var killed atomic.Bool
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
			now := nd.rss()
			peak.Store(max(peak.Load(), now))
			if now > memoryLimit && !killed.Load() {
				killed.Store(true)
				rec.line("%s uses %d MB, more than MemoryMb: the platform kills it; replicas are at work on %d requests", nd.name, now>>20, running.Load())
				_ = nd.cmd.Process.Signal(syscall.SIGKILL)
			}
		}
	}()
	body := bytes.Repeat([]byte("a training contract. "), bodyBytes/21+1)[:bodyBytes]
	var clients sync.WaitGroup
	var served, cut, other, counted atomic.Int64
	client := func(number int, until time.Time) {
		hc := http.Client{Timeout: 12 * time.Second, Transport: &http.Transport{}}
		defer hc.CloseIdleConnections()
		for turn := 0; time.Now().Before(until) && !killed.Load(); turn++ {
			name := fmt.Sprintf("m-%d-%d", number, turn)
			req, err := http.NewRequest(http.MethodPost, "http://"+nd.front+"/read/2f", bytes.NewReader(body))
			check(err)
			req.Host = "ficu95.example"
			req.Header.Set("X-Request-Id", name)
			req.Header.Set("X-Deadline-Ms", "10000")
			req.Header.Set("Authorization", "Token "+apiKey)
			resp, err := hc.Do(req)
			if err != nil {
				cut.Add(1)
				_, runs := begun.Load(name)
				rec.line("client %d, request %s (%d on its connection, a replica runs it: %v): no answer: %v", number, name, turn+1, runs, err)
				if runs && turn > 0 {
					// The connection is a kept one, and the replica is sound.
					counted.Add(1)
				}
				return
			}
			raw, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if err == nil && resp.StatusCode == http.StatusOK && len(raw) > 0 {
				served.Add(1)
			} else {
				other.Add(1)
				rec.line("client %d, request %s: %d %v", number, name, resp.StatusCode, err)
			}
		}
	}
	run := func(from, to int, length time.Duration) {
		for i := from; i < to; i++ {
			clients.Go(func() {
				time.Sleep(time.Duration(i-from) * 25 * time.Millisecond)
				client(i, time.Now().Add(length))
			})
		}
	}
	run(0, usualClients, 24*time.Second)
	time.Sleep(8 * time.Second)
	rec.line("usual load: %d served, peak %d MB", served.Load(), peak.Load()>>20)
	if trouble {
		run(usualClients, burstClients, 9*time.Second)
	}
	clients.Wait()
	close(stop)
	rec.line("%d served, %d connections ended without an answer, %d other; peak %d MB", served.Load(), cut.Load(), other.Load(), peak.Load()>>20)
	rec.line("%d requests of kept connections were passed on to a sound replica and have no answer (3 are allowed)", counted.Load())
	return counted.Load() > 3
}
