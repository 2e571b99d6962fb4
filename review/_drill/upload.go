package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// The case "upload": clients leave while they send a body. They close their side of the connection and read until the other side is
// closed.

func runUpload(rec *record, tmp string, trouble bool) bool {
	st := newStore(rec)
	st.write("op/config", configuration(2, 2500))
	var runs atomic.Int64
	work := func(_ *replica, req *http.Request, body []byte) bool {
		runs.Add(1)
		rec.line("replica runs %s, %d bytes", req.Header.Get("X-Request-Id"), len(body))
		time.Sleep(30 * time.Millisecond)
		return true
	}
	for i := range 3 {
		startReplica(st, fmt.Sprintf("i-%08x", 0x7f3a0000+i), "voucher-app", zones[i%3], work)
	}
	var list []*node
	for i := range 3 {
		list = append(list, startNode(1, zones[i], st.address, tmp))
	}
	awaitReady(list)
	wrong := 0
	for i := range 12 {
		nd := list[i%3]
		name := fmt.Sprintf("u-%d", i)
		leaves := trouble && i%3 == 0
		status, seal := send(nd, name, leaves)
		rec.line("redemption %s at %s, leaves in its body: %v: status %d, X-Response-Seal %q", name, nd.name, leaves, status, seal)
		if status >= 200 && status < 300 && seal == "" {
			wrong++
		}
		time.Sleep(100 * time.Millisecond)
	}
	rec.line("%d runs; %d answers of success without a replica's signature", runs.Load(), wrong)
	return wrong > 0
}

// send sends a redemption with a body of 600 bytes and returns the status and the signature of the answer. If leaves is set, it
// closes its side of the connection after 400 bytes.
func send(nd *node, name string, leaves bool) (status int, seal string) {
	conn, err := net.Dial("tcp", nd.front)
	check(err)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	body := bytes.Repeat([]byte("x"), 600)
	fmt.Fprintf(conn, "POST /redeem/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 2500\r\nAuthorization: Token %s\r\nContent-Length: %d\r\n\r\n", name, apiKey, len(body))
	if leaves {
		_, _ = conn.Write(body[:400])
		_ = conn.(*net.TCPConn).CloseWrite()
	} else {
		_, _ = conn.Write(body)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, ""
	}
	_, _ = io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header.Get("X-Response-Seal")
}
