package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// link is a path for TCP connections and datagrams to one address. While it is cut it passes nothing on and answers nothing, as a
// partition does.
type link struct {
	address string
	to      string
	cut     atomic.Bool
	// silences reports whether the sender with the IP address is cut off. It is nil if that makes no difference.
	silences func(ip string) bool
	mu       sync.Mutex
	open     []net.Conn
}

// newLink listens on a free port for both, and passes on what arrives there.
func newLink(to string, silences func(ip string) bool) *link {
	for {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		check(err)
		udp, err := net.ListenPacket("udp", listener.Addr().String())
		if err != nil {
			_ = listener.Close()
			continue
		}
		ln := &link{address: listener.Addr().String(), to: to, silences: silences}
		go ln.acceptAll(listener)
		go ln.passDatagrams(udp)
		return ln
	}
}

func (ln *link) acceptAll(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go ln.pass(conn)
	}
}

func (ln *link) pass(conn net.Conn) {
	far, err := net.Dial("tcp", ln.to)
	if err != nil {
		_ = conn.Close()
		return
	}
	ln.mu.Lock()
	ln.open = append(ln.open, conn, far)
	ln.mu.Unlock()
	go ln.copy(far, conn)
	ln.copy(conn, far)
}

// copy passes bytes on. What arrives during a cut is lost, and so is the rest of the connection.
func (ln *link) copy(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	silent := false
	for {
		count, err := from.Read(buf)
		silent = silent || ln.cut.Load()
		if silent && err == nil {
			continue
		}
		if silent {
			return
		}
		if count > 0 {
			if _, werr := to.Write(buf[:count]); werr != nil {
				_ = from.Close()
				return
			}
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

func (ln *link) passDatagrams(udp net.PacketConn) {
	backs := map[string]*net.UDPConn{}
	var mu sync.Mutex
	buf := make([]byte, 64<<10)
	for {
		count, from, err := udp.ReadFrom(buf)
		if err != nil {
			return
		}
		ip := from.(*net.UDPAddr).IP.String()
		if ln.drops(ip) {
			continue
		}
		mu.Lock()
		back, ok := backs[from.String()]
		if !ok {
			far, err := net.ResolveUDPAddr("udp", ln.to)
			check(err)
			back, err = net.DialUDP("udp", nil, far)
			check(err)
			backs[from.String()] = back
			go func() {
				reply := make([]byte, 64<<10)
				for {
					count, err := back.Read(reply)
					if err != nil {
						if _, closed := err.(*net.OpError); closed && err.(*net.OpError).Err == net.ErrClosed {
							return
						}
						continue
					}
					if !ln.drops(ip) {
						_, _ = udp.WriteTo(reply[:count], from)
					}
				}
			}()
		}
		mu.Unlock()
		_, _ = back.Write(buf[:count])
	}
}

// drops reports whether datagrams between the sender with the IP address and the link's target are lost.
func (ln *link) drops(ip string) bool {
	return ln.cut.Load() || ln.silences != nil && ln.silences(ip)
}
