package ports_test

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/ports"
)

// failingListener fails with each of the errors and then accepts a connection. After that it blocks until it is closed.
type failingListener struct {
	errs   []error
	conn   net.Conn
	closed chan struct{}
}

func (fl *failingListener) Accept() (net.Conn, error) {
	if len(fl.errs) > 0 {
		err := fl.errs[0]
		fl.errs = fl.errs[1:]
		return nil, err
	}
	if conn := fl.conn; conn != nil {
		fl.conn = nil
		return conn, nil
	}
	<-fl.closed
	return nil, net.ErrClosed
}

func (fl *failingListener) Close() error {
	close(fl.closed)
	return nil
}

func (fl *failingListener) Addr() net.Addr { return &net.TCPAddr{} }

func TestServerOutlivesFailedAccepts(t *testing.T) {
	// Guards against a server that ends, and its process with it, since the system had no memory or no descriptor for one connection:
	// http.Server returns the error of Accept unless it knows it to be temporary.
	synctest.Test(t, func(t *testing.T) {
		here, there := net.Pipe()
		errs := []error{syscall.ENOBUFS, syscall.EMFILE, syscall.ENOMEM, syscall.EPERM, errors.New("unknown")}
		var reported []error
		listener := ports.NewListener(&failingListener{errs, there, make(chan struct{})}, func(err error) { reported = append(reported, err) })
		server := &http.Server{}
		ended := make(chan error, 1)
		go func() { ended <- server.Serve(listener) }()
		_, err := here.Write([]byte("GET / HTTP/1.0\r\n\r\n"))
		assert.NilError(t, err)
		answer := make([]byte, 12)
		_, err = here.Read(answer)
		assert.NilError(t, err)
		assert.Equal(t, string(answer), "HTTP/1.0 404")
		assert.Equal(t, fmt.Sprint(reported), fmt.Sprint(errs))
		_ = here.Close()
		assert.NilError(t, server.Close())
		assert.Equal(t, <-ended, http.ErrServerClosed)
	})
}
