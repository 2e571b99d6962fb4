package trip_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/fault"
	"dandelionsail.example/dandelionsail/internal/trip"
)

// ending is how a server ends its connection.
type ending int

const (
	// resets ends it without having read the request.
	resets ending = iota
	// closes ends it after the request was read whole.
	closes
	// halfCloses ends what it sends before the request was read whole, and reads the rest then.
	halfCloses
	// stalls ends what it sends and reads no more.
	stalls
)

// answerRaw serves one connection: it reads the head of a request, writes the text and ends the connection.
func answerRaw(t *testing.T, text string, end ending) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	served, leave := make(chan struct{}), make(chan struct{})
	t.Cleanup(func() {
		close(leave)
		_ = listener.Close()
		<-served
	})
	go func() {
		defer close(served)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		tcp, reader := conn.(*net.TCPConn), bufio.NewReaderSize(conn, 512)
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if end == closes {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		_, _ = io.WriteString(conn, text)
		switch end {
		case resets:
			time.Sleep(10 * time.Millisecond)
			_ = tcp.SetLinger(0)
		case halfCloses:
			_ = tcp.CloseWrite()
			_, _ = io.Copy(io.Discard, req.Body)
		case stalls:
			_ = tcp.CloseWrite()
			<-leave
		}
	}()
	return listener.Addr().String()
}

func TestEndOfAResetConnectionEndsNoAnswer(t *testing.T) {
	// A server answers without a length or chunks before it has read the request, and resets the connection. A write is told of that, so that reads find an
	// ordinary end, which would make a part of the answer look whole. An ordinary end is one also before the request is written.
	const head = "HTTP/1.1 200 OK\r\n"
	cases := map[string]struct {
		text  string
		end   ending
		whole bool
	}{
		"reset":                      {head + "\r\nanswer", resets, false},
		"reset in a length":          {head + "Content-Length: 9\r\n\r\nanswer", resets, false},
		"reset in a chunk":           {head + "Transfer-Encoding: chunked\r\n\r\n9\r\nanswer", resets, false},
		"ended after the request":    {head + "\r\nanswer", closes, true},
		"ended before the request":   {head + "\r\nanswer", halfCloses, true},
		"ended, and nothing is read": {head + "\r\nanswer", stalls, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dial := (&net.Dialer{}).DialContext
			if tc.end == resets {
				dial = fault.ResetDuringWrite(dial)
			}
			transport := &http.Transport{DialContext: trip.CountingDialer(dial), DisableKeepAlives: true}
			req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/", answerRaw(t, tc.text, tc.end)), strings.NewReader(strings.Repeat("x", 32<<20)))
			assert.NilError(t, err)
			res, err := trip.Do(transport, req, trip.Hooks{})
			if err == nil {
				var body []byte
				body, err = io.ReadAll(res.Response.Body)
				_ = res.Response.Body.Close()
				assert.Equal(t, string(body), "answer")
			}
			assert.Equal(t, err == nil, tc.whole, "%v", err)
		})
	}
}
