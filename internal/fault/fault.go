// Package fault is a proxy between two processes that does to their traffic what networks do: it delays, drops, resets,
// cuts, slows, loses answers, and lets open connections go silent for good while new ones work. Faults are set while it
// runs. It is a tool of tests and experiments; the product has no part of it.
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
	// Errors groups what this package returns.
	Errors = errorx.NewNamespace("fault")
	// BadFaults tells that faults cannot be set.
	BadFaults = Errors.NewType("bad_faults")
)

// Faults are what the proxy does to traffic from now on; the zero value passes everything on unharmed.
type Faults struct {
	// Delay holds up everything in each direction.
	Delay decl.Duration
	// Drop is the share of datagrams that are lost, or of new connections that are accepted and then hear nothing.
	Drop float64
	// Reset resets new connections, as a host does on which no process listens. UDP has no such thing.
	Reset bool
	// CutAfter closes a connection when so many bytes of answers have passed over it; 0 never does. TCP only.
	CutAfter int64
	// LoseAnswer passes requests on and closes the connection where the answer begins. With UDP it drops all answers.
	LoseAnswer bool
	// BytesPerSecond bounds each direction of each connection; 0 is no bound. TCP only.
	BytesPerSecond int64
}

// Check returns a BadFaults error that names the field and what is allowed.
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

// Counts tells what the proxy has done.
type Counts struct {
	// Opened counts connections, or the sources of datagrams.
	Opened int64
	// Open is how many are open now, silent ones included.
	Open int64
	// Silenced, Cut and Dropped count what faults did; a dropped connection or datagram counts in Dropped.
	Silenced int64
	Cut      int64
	Dropped  int64
}

// Proxy passes traffic on from its own address to the target's.
type Proxy struct {
	// Address is where it listens.
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

// link is one connection, or one source of datagrams.
type link interface {
	// silence makes it pass nothing more, for good, and stay open.
	silence()
	// cut closes it.
	cut()
}

// New listens on the address, host:port, of the network, "tcp" or "udp". Run passes traffic on.
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

// Run passes traffic on until the context ends; then it closes everything and returns.
func (px *Proxy) Run(ctx context.Context) error {
	if px.tcp != nil {
		return px.runTCP(ctx)
	}
	return px.runUDP(ctx)
}

// Set puts faults in force, for open connections too.
func (px *Proxy) Set(fs Faults) error {
	if err := fs.Check(); err != nil {
		return err
	}
	px.faults.Store(&fs)
	return nil
}

// Faults returns those in force.
func (px *Proxy) Faults() Faults {
	return *px.faults.Load()
}

// Counts returns what was done so far.
func (px *Proxy) Counts() Counts {
	px.mu.Lock()
	defer px.mu.Unlock()
	counts := px.counts
	counts.Open = int64(len(px.links))
	return counts
}

// Silence makes every open connection pass nothing more, for good, while new ones work.
func (px *Proxy) Silence() {
	for _, ln := range px.open() {
		ln.silence()
	}
}

// Cut closes every open connection.
func (px *Proxy) Cut() {
	for _, ln := range px.open() {
		ln.cut()
	}
}

func (px *Proxy) open() []link {
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

// count changes the counts under the lock.
func (px *Proxy) count(change func(*Counts)) {
	px.mu.Lock()
	defer px.mu.Unlock()
	change(&px.counts)
}

// drops draws whether a connection or datagram is lost.
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

// wait pauses until the time or the end of the context.
func wait(ctx context.Context, until time.Time) {
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
