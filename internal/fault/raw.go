package fault

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
)

// Raw is a server that answers each request with the same bytes, whether they are an answer or not, and closes the connection. REQUEST in them stands for the
// request's ID.
type Raw struct {
	listener net.Listener
	served   sync.WaitGroup
	// mu guards conns, the open connections, and answer.
	mu     sync.Mutex
	conns  map[net.Conn]bool
	answer RawAnswer
	// Sent is the number of bytes sent.
	Sent atomic.Int64
}

// RawAnswer is what a Raw sends.
type RawAnswer struct {
	// Text is sent once.
	Text string
	// Repeat is sent after it, again and again until the client closes the connection; empty for nothing.
	Repeat string
	// Holds keeps the connection open until the client closes it.
	Holds bool
}

// NewRaw returns a server on loopback, which is closed by Close.
func NewRaw() (*Raw, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	rw := &Raw{listener: listener, conns: map[net.Conn]bool{}}
	rw.served.Go(rw.accept)
	return rw, nil
}

// Address returns the server's address.
func (rw *Raw) Address() string { return rw.listener.Addr().String() }

// Set sets what is sent from now on.
func (rw *Raw) Set(answer RawAnswer) {
	rw.mu.Lock()
	defer rw.mu.Unlock()
	rw.answer = answer
}

// Close closes the server and its connections.
func (rw *Raw) Close() {
	_ = rw.listener.Close()
	rw.mu.Lock()
	for conn := range rw.conns {
		_ = conn.Close()
	}
	rw.conns = nil
	rw.mu.Unlock()
	rw.served.Wait()
}

func (rw *Raw) accept() {
	for {
		conn, err := rw.listener.Accept()
		if err != nil {
			return
		}
		rw.mu.Lock()
		if rw.conns == nil {
			_ = conn.Close()
		} else {
			rw.conns[conn] = true
			rw.served.Go(func() { rw.serve(conn) })
		}
		rw.mu.Unlock()
	}
}

func (rw *Raw) current() RawAnswer {
	rw.mu.Lock()
	defer rw.mu.Unlock()
	return rw.answer
}

func (rw *Raw) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		rw.mu.Lock()
		delete(rw.conns, conn)
		rw.mu.Unlock()
	}()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	ans, name := rw.current(), req.Header.Get("X-Request-Id")
	repeat := strings.ReplaceAll(ans.Repeat, "REQUEST", name)
	for text := strings.ReplaceAll(ans.Text, "REQUEST", name); err == nil && text != ""; text = repeat {
		var count int
		count, err = io.WriteString(conn, text)
		rw.Sent.Add(int64(count))
	}
	if ans.Holds && err == nil {
		_, _ = conn.Read(make([]byte, 1))
	}
}
