// Package fault injects network faults into the traffic between two processes. A TCP or UDP proxy delays traffic, limits
// its rate, drops, resets or cuts connections, loses answers, and makes open connections silent for good while new ones
// work. Faults can be changed while the proxy runs. Only tests and experiments use it; the product does not.
package fault

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

var (
	// Errors is the namespace of the errors of this package.
	Errors = errorx.NewNamespace("fault")
	// BadFaults is the type of errors about faults or networks that the proxy does not support.
	BadFaults = Errors.NewType("bad_faults")
)

// Faults are the faults that the proxy injects; the zero value forwards everything unchanged.
type Faults struct {
	// Delay is added to everything in each direction.
	Delay decl.Duration
	// Drop is the share, 0 to 1, of datagrams that are dropped, or of new connections that are accepted and then stay silent.
	Drop float64
	// Reset resets new connections, as a host does on which no process listens. TCP only.
	Reset bool
	// CutAfter is the number of bytes of answers after which a connection is closed; 0 disables it. TCP only.
	CutAfter int64
	// LoseAnswer forwards requests and closes the connection at the first byte of an answer. With UDP it drops all answers.
	LoseAnswer bool
	// BytesPerSecond limits the rate in each direction of each connection; 0 is no limit. TCP only.
	BytesPerSecond int64
}

// Check returns a BadFaults error with the field and the allowed values if a field is out of range.
func (fs Faults) Check() error {
	if fs.Delay < 0 {
		return BadFaults.New("fault: Delay is %s; give 0s or more", fs.Delay.Std())
	}
	if fs.Drop < 0 || fs.Drop > 1 {
		return BadFaults.New("fault: Drop is %g; give a share from 0 to 1", fs.Drop)
	}
	if fs.CutAfter < 0 || fs.BytesPerSecond < 0 {
		return BadFaults.New("fault: CutAfter is %d and BytesPerSecond %d; give 0 or more", fs.CutAfter, fs.BytesPerSecond)
	}
	return nil
}

// Counts counts the connections of the proxy and the faults that it injected.
type Counts struct {
	// Opened counts the connections, or sources of datagrams, since the start.
	Opened int64
	// Open is the number of connections or sources that are open now, silent ones included.
	Open int64
	// Silenced counts the connections or sources that Silence made silent, and with UDP also those that were cut.
	Silenced int64
	// Cut counts the TCP connections that Cut, CutAfter or LoseAnswer closed.
	Cut int64
	// Dropped counts the connections and datagrams that were dropped, and with UDP also the lost answers.
	Dropped int64
}

// Proxy forwards traffic from its own address to the target.
type Proxy struct {
	// Address is the host:port on which the proxy listens.
	Address string
	target  string
	tcp     *net.TCPListener
	udp     *net.UDPConn
	faults  atomic.Pointer[Faults]

	mu     sync.Mutex
	random *rand.Rand
	links  map[link]struct{}
	counts Counts
}

// link is a TCP connection or a source of datagrams.
type link interface {
	// silence keeps the link open but stops forwarding on it for good.
	silence()
	// cut closes the link.
	cut()
}

// New returns a proxy that listens on the address, host:port, of the network, "tcp" or "udp". Run forwards the traffic.
func New(network, listen, target string) (*Proxy, error) {
	px := &Proxy{target: target, random: rand.New(rand.NewPCG(1, 1)), links: map[link]struct{}{}}
	px.faults.Store(&Faults{})
	switch network {
	case "tcp":
		listener, err := net.Listen("tcp", listen)
		if err != nil {
			return nil, err
		}
		px.tcp = listener.(*net.TCPListener)
		px.Address = listener.Addr().String()
	case "udp":
		conn, err := net.ListenPacket("udp", listen)
		if err != nil {
			return nil, err
		}
		px.udp = conn.(*net.UDPConn)
		px.Address = conn.LocalAddr().String()
	default:
		return nil, BadFaults.New("fault: the network is %q; give tcp or udp", network)
	}
	return px, nil
}

// Run forwards traffic until the context ends; then it closes all connections and returns.
func (px *Proxy) Run(ctx context.Context) error {
	if px.tcp != nil {
		return px.runTCP(ctx)
	}
	return px.runUDP(ctx)
}

// Set replaces the active faults, also for open connections. Reset and Drop of TCP affect new connections only.
func (px *Proxy) Set(fs Faults) error {
	if err := fs.Check(); err != nil {
		return err
	}
	px.faults.Store(&fs)
	return nil
}

// Faults returns the active faults.
func (px *Proxy) Faults() Faults {
	return *px.faults.Load()
}

// Counts returns the counts since the start.
func (px *Proxy) Counts() Counts {
	px.mu.Lock()
	defer px.mu.Unlock()
	counts := px.counts
	counts.Open = int64(len(px.links))
	return counts
}

// Silence stops forwarding on every open connection for good, without closing it. New connections work.
func (px *Proxy) Silence() {
	for _, ln := range px.openLinks() {
		ln.silence()
	}
}

// Cut closes every open connection.
func (px *Proxy) Cut() {
	for _, ln := range px.openLinks() {
		ln.cut()
	}
}

func (px *Proxy) openLinks() []link {
	px.mu.Lock()
	defer px.mu.Unlock()
	links := make([]link, 0, len(px.links))
	for ln := range px.links {
		links = append(links, ln)
	}
	return links
}

func (px *Proxy) add(ln link) {
	px.mu.Lock()
	defer px.mu.Unlock()
	px.links[ln] = struct{}{}
	px.counts.Opened++
}

func (px *Proxy) remove(ln link) {
	px.mu.Lock()
	defer px.mu.Unlock()
	delete(px.links, ln)
}

// count updates the counts under the lock.
func (px *Proxy) count(change func(*Counts)) {
	px.mu.Lock()
	defer px.mu.Unlock()
	change(&px.counts)
}

// drops draws at random whether to drop a connection or datagram, with the share as the probability, and counts it.
func (px *Proxy) drops(share float64) bool {
	if share <= 0 {
		return false
	}
	px.mu.Lock()
	defer px.mu.Unlock()
	if px.random.Float64() >= share {
		return false
	}
	px.counts.Dropped++
	return true
}

// waitUntil waits until the time or the end of the context.
func waitUntil(ctx context.Context, until time.Time) {
	period := time.Until(until)
	if period <= 0 {
		return
	}
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
