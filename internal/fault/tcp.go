package fault

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// dialTimeout is the timeout for connecting to the target.
	dialTimeout = 2 * time.Second
	// chunkBytes is the maximum number of bytes that are forwarded at a time.
	chunkBytes = 32 << 10
	// maxDelayedChunks is how many chunks of one direction can wait for their delay. Beyond it the proxy stops reading.
	maxDelayedChunks = 256
)

// runTCP accepts connections until the context ends.
func (px *Proxy) runTCP(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return px.tcp.Close()
	})
	group.Go(func() error {
		for {
			caller, err := px.tcp.AcceptTCP()
			if err != nil {
				return closeError(ctx, err)
			}
			group.Go(func() error {
				px.serveConnection(ctx, caller)
				return nil
			})
		}
	})
	return group.Wait()
}

// closeError returns the context's error if the end of the context closed the socket, and otherwise err itself.
func closeError(ctx context.Context, err error) error {
	if ctx.Err() != nil && errors.Is(err, net.ErrClosed) {
		return ctx.Err()
	}
	return err
}

// connection is a caller's connection together with the proxy's connection to the target.
type connection struct {
	px     *Proxy
	caller *net.TCPConn
	target *net.TCPConn
	stop   context.CancelFunc
	silent atomic.Bool
	// responseBytes counts the bytes that the target has sent.
	responseBytes atomic.Int64
}

// silence implements link.
func (cn *connection) silence() {
	if !cn.silent.Swap(true) {
		cn.px.count(func(counts *Counts) { counts.Silenced++ })
	}
}

// cut implements link.
func (cn *connection) cut() {
	cn.px.count(func(counts *Counts) { counts.Cut++ })
	cn.stop()
}

// reset closes a connection with a TCP reset.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// serveConnection forwards a connection until both sides are at their end, or a fault or the context closes it.
func (px *Proxy) serveConnection(ctx context.Context, caller *net.TCPConn) {
	defer func() { _ = caller.Close() }()
	fs := px.Faults()
	if fs.Reset {
		reset(caller)
		return
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	cn := &connection{px: px, caller: caller, stop: stop}
	cn.silent.Store(px.drops(fs.Drop))
	px.add(cn)
	defer px.remove(cn)
	target, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", px.target)
	if err != nil {
		// Without the proxy, the caller would see a refused connection.
		reset(caller)
		return
	}
	cn.target = target.(*net.TCPConn)
	defer func() { _ = target.Close() }()
	cn.copyBoth(ctx)
}

// copyBoth copies both directions until both are at their end or the context ends.
func (cn *connection) copyBoth(ctx context.Context) {
	var group errgroup.Group
	group.Go(func() error { return cn.copyDirection(ctx, cn.caller, cn.target, nil) })
	group.Go(func() error { return cn.copyDirection(ctx, cn.target, cn.caller, cn.filterResponse) })
	both := make(chan struct{})
	go func() {
		defer close(both)
		_ = group.Wait()
	}()
	select {
	case <-both:
	case <-ctx.Done():
	}
	_ = cn.caller.Close()
	_ = cn.target.Close()
	<-both
}

// filterResponse returns the part of the target's data to forward, and reports whether the connection stays open.
func (cn *connection) filterResponse(data []byte) ([]byte, bool) {
	fs := cn.px.Faults()
	if fs.LoseAnswer {
		return nil, false
	}
	before := cn.responseBytes.Load()
	after := cn.responseBytes.Add(int64(len(data)))
	if fs.CutAfter == 0 || after < fs.CutAfter {
		return data, true
	}
	return data[:max(0, fs.CutAfter-before)], false
}

// chunk is data in transit.
type chunk struct {
	bytes []byte
	// due is the earliest time to forward the data.
	due time.Time
	// last reports whether the connection is cut after this chunk.
	last bool
}

// copyDirection forwards one direction. A filter, if not nil, returns the data to forward and whether to continue.
func (cn *connection) copyDirection(ctx context.Context, from, to *net.TCPConn, filter func([]byte) ([]byte, bool)) error {
	chunks := make(chan chunk, maxDelayedChunks)
	var group errgroup.Group
	group.Go(func() error { return cn.write(ctx, to, chunks) })
	cn.read(ctx, from, chunks, filter)
	close(chunks)
	return group.Wait()
}

func (cn *connection) read(ctx context.Context, from *net.TCPConn, chunks chan<- chunk, filter func([]byte) ([]byte, bool)) {
	for {
		buf := make([]byte, chunkBytes)
		count, err := from.Read(buf)
		if cn.silent.Load() {
			// Neither data nor the end of the connection reaches the other side any more.
			<-ctx.Done()
			return
		}
		passed, open := buf[:count], true
		if filter != nil && count > 0 {
			passed, open = filter(passed)
		}
		if len(passed) > 0 || !open {
			due := time.Now().Add(cn.px.Faults().Delay.Std())
			select {
			case chunks <- chunk{bytes: passed, due: due, last: !open}:
			case <-ctx.Done():
				return
			}
		}
		if err != nil || !open {
			return
		}
	}
}

// write forwards the chunks when they are due, and then closes its direction.
func (cn *connection) write(ctx context.Context, to *net.TCPConn, chunks <-chan chunk) error {
	for cnk := range chunks {
		waitUntil(ctx, cnk.due)
		if cn.silent.Load() {
			continue
		}
		if _, err := to.Write(cnk.bytes); err != nil {
			cn.stop()
			continue
		}
		if cnk.last {
			cn.cut()
			continue
		}
		if rate := cn.px.Faults().BytesPerSecond; rate > 0 {
			waitUntil(ctx, time.Now().Add(time.Duration(len(cnk.bytes))*time.Second/time.Duration(rate)))
		}
	}
	return to.CloseWrite()
}
