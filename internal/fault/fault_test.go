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

// startProxy runs a proxy until the test ends.
func startProxy(t *testing.T, network, target string) *fault.Proxy {
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

// startEcho starts a TCP server that echoes what it receives until the test ends, and returns its address.
func startEcho(t *testing.T) string {
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

// exchange writes a word and returns the echo that arrives within the time.
func exchange(conn net.Conn, word string, within time.Duration) (string, error) {
	if _, err := conn.Write([]byte(word)); err != nil {
		return "", err
	}
	_ = conn.SetReadDeadline(time.Now().Add(within))
	buf := make([]byte, len(word))
	count, err := io.ReadFull(conn, buf)
	return string(buf[:count]), err
}

const (
	answerTimeout = 10 * time.Second
	// silenceTime is how long a test waits for data that must not arrive. A busy machine can only make such a test pass.
	silenceTime = 100 * time.Millisecond
)

func TestTCPFaults(t *testing.T) {
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
			px := startProxy(t, "tcp", startEcho(t))
			assert.NilError(t, px.Set(tc.faults))
			// A reset can already fail the dial.
			got := ""
			conn, err := net.Dial("tcp", px.Address)
			if err == nil {
				defer func() { _ = conn.Close() }()
				got, err = exchange(conn, "hello", answerTimeout)
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
	// A device between two processes loses the state of their open connections. Nothing arrives on them any more, not
	// even a close, while new connections work.
	for _, network := range []string{"tcp", "udp"} {
		t.Run(network, func(t *testing.T) {
			target := startEcho(t)
			if network == "udp" {
				target = startUDPEcho(t)
			}
			px := startProxy(t, network, target)
			old := dial(t, network, px.Address)
			got, err := exchange(old, "hello", answerTimeout)
			assert.NilError(t, err)
			assert.Equal(t, got, "hello")
			px.Silence()
			_, err = exchange(old, "hello", silenceTime)
			assert.ErrorContains(t, err, "timeout")
			got, err = exchange(dial(t, network, px.Address), "again", answerTimeout)
			assert.NilError(t, err)
			assert.Equal(t, got, "again")
			assert.Equal(t, px.Counts().Silenced, int64(1))
		})
	}
}

func startUDPEcho(t *testing.T) string {
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

func TestUDPDropAndDelay(t *testing.T) {
	px := startProxy(t, "udp", startUDPEcho(t))
	assert.NilError(t, px.Set(fault.Faults{Drop: 1}))
	_, err := exchange(dial(t, "udp", px.Address), "hello", silenceTime)
	assert.ErrorContains(t, err, "timeout")
	assert.Equal(t, px.Counts().Dropped, int64(1))
	assert.NilError(t, px.Set(fault.Faults{Delay: decl.Duration(10 * time.Millisecond)}))
	got, err := exchange(dial(t, "udp", px.Address), "hello", answerTimeout)
	assert.NilError(t, err)
	assert.Equal(t, got, "hello")
}

func TestControl(t *testing.T) {
	px := startProxy(t, "tcp", startEcho(t))
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
