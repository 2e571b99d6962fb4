package fault_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/fault"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// start runs a proxy until the test ends.
func start(t *testing.T, network, target string) *fault.Proxy {
	t.Helper()
	px, err := fault.New(network, "127.0.0.1:0", target)
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- px.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		assert.Equal(t, <-ended, context.Canceled)
	})
	return px
}

// echo answers each line with itself, until the test ends.
func echo(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

func dial(t *testing.T, network, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial(network, address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// ask writes a word and returns what comes back within the time.
func ask(conn net.Conn, word string, within time.Duration) (string, error) {
	if _, err := conn.Write([]byte(word)); err != nil {
		return "", err
	}
	_ = conn.SetReadDeadline(time.Now().Add(within))
	buf := make([]byte, len(word))
	count, err := io.ReadFull(conn, buf)
	return string(buf[:count]), err
}

const (
	enough = 10 * time.Second
	// nothing is how long a test listens for what must not come; a busy machine can only make it pass.
	nothing = 100 * time.Millisecond
)

func TestTCP(t *testing.T) {
	cases := map[string]struct {
		faults fault.Faults
		want   string
		err    string
	}{
		"no fault":    {fault.Faults{}, "hello", ""},
		"delay":       {fault.Faults{Delay: decl.Duration(20 * time.Millisecond)}, "hello", ""},
		"slow":        {fault.Faults{BytesPerSecond: 1000}, "hello", ""},
		"cut":         {fault.Faults{CutAfter: 3}, "hel", "EOF"},
		"lost answer": {fault.Faults{LoseAnswer: true}, "", "EOF"},
		"reset":       {fault.Faults{Reset: true}, "", "reset"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			px := start(t, "tcp", echo(t))
			assert.NilError(t, px.Set(tc.faults))
			// A reset can be met while connecting already.
			got := ""
			conn, err := net.Dial("tcp", px.Address)
			if err == nil {
				defer func() { _ = conn.Close() }()
				got, err = ask(conn, "hello", enough)
			}
			assert.Equal(t, got, tc.want)
			if tc.err == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, tc.err)
		})
	}
}

func TestSilence(t *testing.T) {
	// Something between two processes loses track of their open connections. Nothing comes on them any more, no end
	// either, while a new connection works.
	for _, network := range []string{"tcp", "udp"} {
		t.Run(network, func(t *testing.T) {
			target := echo(t)
			if network == "udp" {
				target = echoUDP(t)
			}
			px := start(t, network, target)
			old := dial(t, network, px.Address)
			got, err := ask(old, "hello", enough)
			assert.NilError(t, err)
			assert.Equal(t, got, "hello")
			px.Silence()
			_, err = ask(old, "hello", nothing)
			assert.ErrorContains(t, err, "timeout")
			got, err = ask(dial(t, network, px.Address), "again", enough)
			assert.NilError(t, err)
			assert.Equal(t, got, "again")
			assert.Equal(t, px.Counts().Silenced, int64(1))
		})
	}
}

func echoUDP(t *testing.T) string {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	go func() {
		buf := make([]byte, 2048)
		for {
			count, from, err := conn.ReadFrom(buf)
			if err != nil {
				return
			}
			_, _ = conn.WriteTo(buf[:count], from)
		}
	}()
	return conn.LocalAddr().String()
}

func TestUDPDrop(t *testing.T) {
	px := start(t, "udp", echoUDP(t))
	assert.NilError(t, px.Set(fault.Faults{Drop: 1}))
	_, err := ask(dial(t, "udp", px.Address), "hello", nothing)
	assert.ErrorContains(t, err, "timeout")
	assert.Equal(t, px.Counts().Dropped, int64(1))
	assert.NilError(t, px.Set(fault.Faults{Delay: decl.Duration(10 * time.Millisecond)}))
	got, err := ask(dial(t, "udp", px.Address), "hello", enough)
	assert.NilError(t, err)
	assert.Equal(t, got, "hello")
}

func TestControl(t *testing.T) {
	px := start(t, "tcp", echo(t))
	server := httptest.NewServer(px.Control())
	defer server.Close()
	cases := map[string]struct {
		document string
		status   int
	}{
		"accepted":      {`{"Delay":"5ms","Reset":true}`, http.StatusOK},
		"unknown field": {`{"Latency":"5ms"}`, http.StatusBadRequest},
		"out of range":  {`{"Drop":2}`, http.StatusBadRequest},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			req, err := http.NewRequest(http.MethodPut, server.URL+fault.PathFaults, strings.NewReader(tc.document))
			assert.NilError(t, err)
			resp, err := http.DefaultClient.Do(req)
			assert.NilError(t, err)
			var text bytes.Buffer
			_, _ = text.ReadFrom(resp.Body)
			_ = resp.Body.Close()
			assert.Equal(t, resp.StatusCode, tc.status, text.String())
		})
	}
	assert.Equal(t, px.Faults(), fault.Faults{Delay: decl.Duration(5 * time.Millisecond), Reset: true})
}
