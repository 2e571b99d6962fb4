package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// starvedTenant lets three of eighteen engines, the busiest, crash at the same moment while a tenant's callers all ask for the same. The engines are back
// within seconds.
func starvedTenant(rec *recorder, trouble bool) bool {
	const (
		host     = "desk.example"
		length   = 95 * time.Second
		dailyAt  = 20 * time.Second
		crashAt  = 26 * time.Second
		down     = 4500 * time.Millisecond
		deadline = 10 * time.Second
	)
	sto := newStore()
	var tenants []map[string]any
	for _, name := range []string{"daily", "parish-b", "parish-c", "parish-d"} {
		tenants = append(tenants, map[string]any{"Name": name, "ApiKeys": []string{"key-of-" + name}, "Priority": 1})
	}
	sto.put("op/config", map[string]any{
		"Version": 1,
		"Routes": []map[string]any{{
			"Name": "verse", "Host": host, "Prefix": "/verse/", "Kind": "streaming", "TimeoutMs": 10000, "GoalMs": 300, "Priority": 1, "Service": "llm",
			"Attempts": 2, "Public": false, "Sticky": true, "Resumable": true, "TargetGapMs": 250,
		}},
		"Services": []map[string]any{{
			"Name": "llm", "HealthPath": "/healthz", "MaxConns": 284, "Protocol": "h1", "Tls": false,
			"Engine": map[string]any{
				"Slots": engineSlots, "KvCapacity": 315000, "KvTokenBytes": 163840, "LinkMbps": 400000.0, "Stride": 51, "step_ms": 0.85, "per_seq_ms": 0.00425,
				"context_per_k": 0.00285, "read_per_s": 177000.0, "pairs_per_m": 0.184, "chunk": 2048, "report_lag_ms": 200.0, "HopMs": 0.05,
			},
		}},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": tenants,
	})
	var engines []*engine
	for i := range 18 {
		engines = append(engines, startEngine(rec, sto, fmt.Sprintf("i-%02d", i+1), string(rune('a'+i%3))))
	}
	fl := newFleet(rec, sto, 3)
	defer fl.stop()
	for _, mc := range fl.machines {
		fl.start(mc)
	}
	fl.awaitReady(15 * time.Second)
	time.Sleep(time.Second)

	begin := time.Now()
	var mu sync.Mutex
	asked, served, late, lateServed := map[string]int{}, map[string]int{}, map[string]int{}, map[string]int{}
	var wg sync.WaitGroup
	next := 0
	// one asks once, and once more at another machine if the first try fails.
	one := func(tenant, body string) {
		defer wg.Done()
		at := time.Since(begin)
		first := rand.IntN(len(fl.machines))
		ok := false
		for try := range 2 {
			mu.Lock()
			next++
			id := fmt.Sprintf("r%05d", next)
			mu.Unlock()
			result, retryAfter := stream(fl.machines[(first+try)%len(fl.machines)], host, id, "key-of-"+tenant, body, deadline-(time.Since(begin)-at))
			ok = result == "complete"
			if !ok || try > 0 {
				rec.line("client of %s, %s at %s: %s", tenant, id, fl.machines[(first+try)%len(fl.machines)].name, result)
			}
			if ok {
				break
			}
			left := deadline - (time.Since(begin) - at)
			time.Sleep(min(retryAfter, left/3))
		}
		mu.Lock()
		defer mu.Unlock()
		asked[tenant]++
		if at > crashAt+down+2*time.Second {
			late[tenant]++
		}
		if ok {
			served[tenant]++
			if at > crashAt+down+2*time.Second {
				lateServed[tenant]++
			}
		}
	}
	// The callers of one tenant all ask for the verse of the day, from dailyAt on; those of the others ask for something else each time.
	ask := func(from, period time.Duration, tenant func() string, body func() string) {
		wg.Go(func() {
			time.Sleep(time.Until(begin.Add(from)))
			ticker := time.NewTicker(period)
			defer ticker.Stop()
			for time.Since(begin) < length-deadline/2 {
				<-ticker.C
				wg.Add(1)
				go one(tenant(), body())
			}
		})
	}
	ask(dailyAt, 97*time.Millisecond, func() string { return "daily" }, func() string { return "Which verse is today's? Explain it." })
	others := []string{"parish-b", "parish-c", "parish-d"}
	ask(0, 38*time.Millisecond, func() string { return others[rand.IntN(len(others))] }, func() string { return "Question " + strconv.FormatUint(rand.Uint64(), 36) })
	if trouble {
		time.Sleep(time.Until(begin.Add(crashAt)))
		slices.SortFunc(engines, func(a, b *engine) int { return b.streams() - a.streams() })
		crashed := engines[:3]
		for _, eng := range crashed {
			eng.crash()
		}
		go func() {
			// Their entries end after three heartbeats of silence.
			time.Sleep(3600 * time.Millisecond)
			for _, eng := range crashed {
				sto.remove("servers/" + eng.id)
			}
			time.Sleep(down - 3600*time.Millisecond)
			for i, eng := range crashed {
				startEngine(rec, sto, fmt.Sprintf("i-%02d", 19+i), eng.zone)
			}
			rec.line("three servers take the places of those that crashed")
		}()
	}
	wg.Wait()
	allAsked, allServed := 0, 0
	for tenant := range asked {
		allAsked += asked[tenant]
		allServed += served[tenant]
		rec.line("tenant %s: %d asked, %d served; of those sent 2 s or more after the servers were back, %d asked, %d served", tenant, asked[tenant], served[tenant], late[tenant], lateServed[tenant])
	}
	share := float64(allServed) / float64(allAsked)
	broken := false
	for tenant := range asked {
		if own := float64(served[tenant]) / float64(asked[tenant]); own < share/4 {
			broken = true
			rec.line("RULE: tenant %s is served %.3f, all %.3f", tenant, own, share)
		}
	}
	return broken
}

// stream sends a prompt and reads its stream to the end. It says how that ended.
func stream(mc *machine, host, id, key, body string, deadline time.Duration) (result string, retryAfter time.Duration) {
	req, err := http.NewRequest("POST", "http://"+mc.front+"/verse/2f", strings.NewReader(body))
	check(err)
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Authorization", "Token "+key)
	req.Header.Set("X-Model", "m")
	req.Header.Set("X-Token-Usage", "4960,1650")
	req.Header.Set("X-Prompt-Prefix", "5c1e07a2:40,"+id[1:]+":4920")
	client := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Sprintf("no answer (%v)", err), 0
	}
	defer func() { _ = resp.Body.Close() }()
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		retryAfter = time.Duration(seconds * float64(time.Second))
	}
	if resp.StatusCode != http.StatusOK {
		line, _ := bufio.NewReader(resp.Body).ReadString('\n')
		return fmt.Sprintf("%d %s, Retry-After %s", resp.StatusCode, strings.TrimSpace(line), resp.Header.Get("Retry-After")), retryAfter
	}
	events := 0
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		if strings.HasPrefix(scanner.Text(), "id: ") {
			events++
		}
	}
	if scanner.Err() != nil || events != streamEvents {
		return fmt.Sprintf("cut after %d events", events), 0
	}
	return "complete", 0
}
