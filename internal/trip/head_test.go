package trip_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/fault"
	"dandelionsail.example/dandelionsail/internal/trip"
)

func TestAnswersWithABrokenHeadAreNone(t *testing.T) {
	// A server in trouble answers with a status that is none, or with a field whose name holds a blank or a control byte. The answer must count as
	// missing: passed on, its line reaches the caller, and where the line would have framed the body, so does another body.
	for name, text := range fault.BrokenAnswers("X-Mark: m\r\n", "whole answer") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			transport := &http.Transport{DialContext: trip.CountingDialer((&net.Dialer{}).DialContext), DisableKeepAlives: true}
			req, err := http.NewRequest(http.MethodGet, "http://"+answerRaw(t, text, closes), nil)
			assert.NilError(t, err)
			res, err := trip.Do(transport, req, trip.Hooks{})
			if err == nil {
				defer func() { _ = res.Response.Body.Close() }()
				body, err := io.ReadAll(res.Response.Body)
				t.Fatalf("status %d, header %q, body %q, %v", res.Response.StatusCode, res.Response.Header, body, err)
			}
			assert.Assert(t, res.Written && res.Response == nil)
		})
	}
}

func TestSoundHeadsAreAnswers(t *testing.T) {
	// The check of heads must let through what servers may send: informational answers, empty reasons and values, bytes over 127 in values, lines that end
	// without a CR, HTTP/1.0 without chunks, and bodies that look like heads.
	for name, text := range map[string]string{
		"informational":        "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Mark: m\r\n\r\nwhole answer",
		"no reason":            "HTTP/1.1 200 \r\nX-Mark: m\r\nContent-Length: 12\r\n\r\nwhole answer",
		"no blank":             "HTTP/1.1 200\r\nX-Mark: m\r\nContent-Length: 12\r\n\r\nwhole answer",
		"two blanks":           "HTTP/1.1  200 OK\r\nX-Mark: m\r\nContent-Length: 12\r\n\r\nwhole answer",
		"bytes in values":      "HTTP/1.1 200 \xc3\xa4\r\nX-Mark: m\r\nX-Odd:\t\xff \xe4 \r\nX-Empty:\r\nContent-Length: 12\r\n\r\nwhole answer",
		"other bytes in names": "HTTP/1.1 200 OK\r\nX-Mark: m\r\n!#$%&'*+-.^_`|~9: x\r\nContent-Length: 12\r\n\r\nwhole answer",
		"line feeds":           "HTTP/1.1 200 OK\nX-Mark: m\nContent-Length: 12\n\nwhole answer",
		"HTTP/1.0":             "HTTP/1.0 200 OK\r\nX-Mark: m\r\n\r\nwhole answer",
		"chunks":               "HTTP/1.1 200 OK\r\nX-Mark: m\r\nTransfer-Encoding: chunked\r\n\r\nc\r\nwhole answer\r\n0\r\nX-T: 1\r\n\r\n",
		"long value":           "HTTP/1.1 200 OK\r\nX-Mark: m\r\nX-Long: " + strings.Repeat("x", 20_000) + "\r\nContent-Length: 12\r\n\r\nwhole answer",
	} {
		t.Run(name, func(t *testing.T) {
			transport := &http.Transport{DialContext: trip.CountingDialer((&net.Dialer{}).DialContext), DisableKeepAlives: true}
			req, err := http.NewRequest(http.MethodGet, "http://"+answerRaw(t, text, closes), nil)
			assert.NilError(t, err)
			res, err := trip.Do(transport, req, trip.Hooks{})
			assert.NilError(t, err)
			defer func() { _ = res.Response.Body.Close() }()
			body, err := io.ReadAll(res.Response.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(body), "whole answer")
			assert.Equal(t, res.Response.Header.Get("X-Mark"), "m")
		})
	}
}

func TestHeadOfEachAnswerOnAConnectionIsChecked(t *testing.T) {
	// A server keeps its connection and answers the second request with a head that is none, or sends one after its first answer, where the next one is due.
	for name, texts := range map[string][2]string{
		"second answer":          {"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nwhole answer", "HTTP/1.1 200 OK\r\n X-Trouble: 1\r\nContent-Length: 12\r\n\r\nwhole answer"},
		"after the first answer": {"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nwhole answerHTTP/1.1 000 X\r\nX Y: 1\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = listener.Close() }()
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					reader := bufio.NewReader(conn)
					for _, text := range texts {
						if _, err := http.ReadRequest(reader); err != nil {
							break
						}
						_, _ = io.WriteString(conn, text)
					}
				}
			}()
			transport := &http.Transport{DialContext: trip.CountingDialer((&net.Dialer{}).DialContext)}
			defer transport.CloseIdleConnections()
			for number := range 2 {
				req, err := http.NewRequest(http.MethodGet, "http://"+listener.Addr().String(), nil)
				assert.NilError(t, err)
				res, err := trip.Do(transport, req, trip.Hooks{})
				if number == 1 && !res.Trace.Kept && err == nil {
					// The connection was closed after the first answer.
					_ = res.Response.Body.Close()
					break
				}
				assert.Equal(t, err == nil, number == 0, "%v", err)
				if err == nil {
					_, err = io.Copy(io.Discard, res.Response.Body)
					assert.NilError(t, err)
					assert.NilError(t, res.Response.Body.Close())
				}
			}
		})
	}
}
