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
	// dialTime bounds how long the proxy tries to reach its target.
	dialTime = 2 * time.Second
	// partBytes is how much is passed on at a time.
	partBytes = 32 << 10
	// delayedParts is how many parts are under way while they are delayed.
	delayedParts = 256
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
				return ended(ctx, err)
			}
			group.Go(func() error {
				px.connection(ctx, caller)
				return nil
			})
		}
	})
	return group.Wait()
}

// ended keeps an error unless the context's end is its cause.
func ended(ctx context.Context, err error) error {
	if ctx.Err() != nil && errors.Is(err, net.ErrClosed) {
		return ctx.Err()
	}
	return err
}

// connection is one connection of a caller and the one to the target.
type connection struct {
	px     *Proxy
	caller *net.TCPConn
	target *net.TCPConn
	stop   context.CancelFunc
	silent atomic.Bool
	// answered counts the bytes of answers.
	answered atomic.Int64
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

// reset ends a connection with a reset instead of an orderly end.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// connection passes one connection on until either end or a fault closes it.
func (px *Proxy) connection(ctx context.Context, caller *net.TCPConn) {
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
	target, err := (&net.Dialer{Timeout: dialTime}).DialContext(ctx, "tcp", px.target)
	if err != nil {
		// What the caller would have met without the proxy.
		reset(caller)
		return
	}
	cn.target = target.(*net.TCPConn)
	defer func() { _ = target.Close() }()
	cn.pass(ctx)
}

// pass copies both ways until both are at their end, or the context is.
func (cn *connection) pass(ctx context.Context) {
	var group errgroup.Group
	group.Go(func() error { return cn.copy(ctx, cn.caller, cn.target, nil) })
	group.Go(func() error { return cn.copy(ctx, cn.target, cn.caller, cn.answer) })
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

// answer decides what part of an answer passes, and reports whether the connection goes on.
func (cn *connection) answer(part []byte) ([]byte, bool) {
	fs := cn.px.Faults()
	if fs.LoseAnswer {
		return nil, false
	}
	before := cn.answered.Load()
	after := cn.answered.Add(int64(len(part)))
	if fs.CutAfter == 0 || after < fs.CutAfter {
		return part, true
	}
	return part[:max(0, fs.CutAfter-before)], false
}

// part is some bytes on their way, with the time at which they may go on.
type part struct {
	bytes []byte
	due   time.Time
	// last closes the connection behind it.
	last bool
}

// copy passes one direction on. The filter, if there is one, decides what passes.
func (cn *connection) copy(ctx context.Context, from, to *net.TCPConn, filter func([]byte) ([]byte, bool)) error {
	parts := make(chan part, delayedParts)
	var group errgroup.Group
	group.Go(func() error { return cn.write(ctx, to, parts) })
	cn.read(ctx, from, parts, filter)
	close(parts)
	return group.Wait()
}

func (cn *connection) read(ctx context.Context, from *net.TCPConn, parts chan<- part, filter func([]byte) ([]byte, bool)) {
	for {
		buf := make([]byte, partBytes)
		count, err := from.Read(buf)
		if cn.silent.Load() {
			// Neither bytes nor the end of the connection reach the other side any more.
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
			case parts <- part{bytes: passed, due: due, last: !open}:
			case <-ctx.Done():
				return
			}
		}
		if err != nil || !open {
			return
		}
	}
}

// write passes the parts on when they are due, and then the end of the direction.
func (cn *connection) write(ctx context.Context, to *net.TCPConn, parts <-chan part) error {
	for pt := range parts {
		wait(ctx, pt.due)
		if cn.silent.Load() {
			continue
		}
		if _, err := to.Write(pt.bytes); err != nil {
			cn.stop()
			continue
		}
		if pt.last {
			cn.cut()
			continue
		}
		if rate := cn.px.Faults().BytesPerSecond; rate > 0 {
			wait(ctx, time.Now().Add(time.Duration(len(pt.bytes))*time.Second/time.Duration(rate)))
		}
	}
	return to.CloseWrite()
}
