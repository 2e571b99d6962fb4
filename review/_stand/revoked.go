package main

import (
	"fmt"
	"time"
)

// revokedPublic takes a key away while one machine is partitioned from the store and the other machines, and goes on sending requests
// with it on a public route.
func revokedPublic(rec *recorder, trouble bool) bool {
	const host, path, tenant, key = "desk.example", "/lookup/7", "college-a", "key-of-college-a"
	sto := newStore()
	config := func(version int, keys ...string) map[string]any {
		return map[string]any{
			"Version": version,
			"Routes": []map[string]any{
				{"Name": "lookup", "Host": host, "Prefix": "/lookup/", "Kind": "idempotent", "TimeoutMs": 1200, "GoalMs": 150, "Priority": 2, "Service": "app", "Attempts": 2, "Public": true},
				{"Name": "balance", "Host": host, "Prefix": "/balance/", "Kind": "idempotent", "TimeoutMs": 1200, "GoalMs": 150, "Priority": 2, "Service": "app", "Attempts": 2, "Public": false},
			},
			"Services": []map[string]any{{"Name": "app", "HealthPath": "/healthz", "MaxConns": 52, "Protocol": "h1", "Tls": false}},
			"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
			"Tenants": []map[string]any{
				{"Name": tenant, "ApiKeys": keys, "Priority": 1},
				{"Name": "college-b", "ApiKeys": []string{"key-of-college-b"}, "Priority": 1},
			},
		}
	}
	sto.put("op/config", config(1, key, "second-"+key))
	var replicas []*replica
	for i, zone := range []string{"a", "b", "c"} {
		replicas = append(replicas, newReplica(rec, sto, fmt.Sprintf("i-%d", i+1), "app", zone))
	}
	fl := newFleet(rec, sto, 3)
	defer fl.stop()
	for _, mc := range fl.machines {
		fl.start(mc)
	}
	fl.awaitReady(15 * time.Second)
	time.Sleep(3 * time.Second)
	broken := false
	// ask sends one request with the key and says how it ran.
	sent := 0
	ask := func(mc *machine, path string) (an answer, tenants []string) {
		sent++
		id := fmt.Sprintf("r%04d", sent)
		rec.line("client sends %s GET %s with the key of %s to %s", id, path, tenant, mc.name)
		an = send(mc, "GET", host, path, id, key, "", 1200*time.Millisecond)
		rec.line("client gets for %s: %v", id, an)
		for _, rep := range replicas {
			for _, rn := range rep.runsOf(id) {
				tenants = append(tenants, rn.tenant)
			}
		}
		return an, tenants
	}
	for _, mc := range fl.machines {
		ask(mc, path)
		ask(mc, "/balance/7")
	}
	cutOff := fl.machines[1]
	if trouble {
		rec.line("%s is partitioned from the store and from all other machines", cutOff.name)
		fl.cut(cutOff, true)
	}
	time.Sleep(500 * time.Millisecond)
	sto.put("op/config", config(2, "second-"+key))
	revokedAt := time.Now()
	rec.line("version 2 takes the key of %s away; acknowledged", tenant)
	time.Sleep(revokeMs*time.Millisecond + 200*time.Millisecond)
	for range 5 {
		for _, mc := range fl.machines {
			for _, target := range []string{path, "/balance/7"} {
				late := time.Since(revokedAt)
				_, tenants := ask(mc, target)
				for _, name := range tenants {
					if name != "" {
						broken = true
						rec.line("RULE: sent %.3f s after the key was taken away, run for X-Tenant %q, which does not hold it", late.Seconds(), name)
					}
				}
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return broken
}
