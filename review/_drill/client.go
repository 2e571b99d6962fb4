package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// apiKey is the key of the only tenant.
const apiKey = "n2ctnfzs989anu6wsjnb"

// configuration returns what the operator writes under op/config: one idempotent and one non-idempotent route of a plain service.
func configuration(attempts, timeoutMs int) map[string]any {
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{
			"Name": name, "Host": "ficu95.example", "Prefix": prefix, "Kind": kind, "TimeoutMs": timeoutMs, "GoalMs": 150, "Priority": 1,
			"Service": "voucher-app", "Attempts": attempts, "Public": false,
		}
	}
	return map[string]any{
		"Version":  7,
		"Routes":   []any{route("read", "/read/", "idempotent"), route("redeem", "/redeem/", "non_idempotent")},
		"Services": []any{map[string]any{"Name": "voucher-app", "HealthPath": "/healthz", "MaxConns": 284, "Protocol": "h1", "Tls": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  []any{map[string]any{"Name": "college", "ApiKeys": []string{apiKey}}},
	}
}

// zones are the failure domains.
var zones = []string{"bengal-a", "bengal-b", "bengal-c"}

// ask sends one request on a new connection and returns the status, 0 if there is none, and the header.
func ask(nd *node, name, path, body string) (int, http.Header) {
	conn, err := net.DialTimeout("tcp", nd.front, time.Second)
	if err != nil {
		return 0, http.Header{}
	}
	return askOver(conn, nd, name, path, body)
}

// askOver does so on the connection, which has carried nothing yet.
func askOver(conn net.Conn, nd *node, name, path, body string) (int, http.Header) {
	dial := func(context.Context, string, string) (net.Conn, error) { return conn, nil }
	client := http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DialContext: dial}}
	req, err := http.NewRequest(http.MethodPost, "http://"+nd.front+path, strings.NewReader(body))
	check(err)
	req.Host = "ficu95.example"
	req.Header.Set("X-Request-Id", name)
	req.Header.Set("X-Deadline-Ms", "2500")
	req.Header.Set("Authorization", "Token "+apiKey)
	resp, err := client.Do(req)
	if err != nil {
		return 0, http.Header{}
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return 0, resp.Header
	}
	return resp.StatusCode, resp.Header
}
