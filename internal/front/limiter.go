package front

import (
	"cmp"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/internal/memory"
)

const (
	// freeConnections is how many connections take no memory from the account, which leaves memory for the connections of usual operation.
	freeConnections = 64
	// connectionBytes is what each further one takes: 24 KB of the process for its goroutine and its buffers, and what the kernel holds in
	// receiveWindow and sendBuffer.
	connectionBytes = 24<<10 + receiveWindow + sendBuffer
	// receiveWindow is the maximum number of bytes that the kernel receives on a connection and that the process has not read, and longReceiveWindow
	// that of a connection with a body whose memory is reserved. Without a window of ours the kernel lets it grow to some MB.
	receiveWindow, longReceiveWindow = 64 << 10, 1 << 20
	// sendBuffer is how many bytes the kernel takes of an answer that the caller does not read. It doubles the number for its own use.
	sendBuffer = 16 << 10
	// longSendBuffer is the same for an answer of which the caller has read longAnswer bytes: a small buffer would make it slow.
	longSendBuffer, longAnswer = 1 << 20, 256 << 10
	// tlsBytes is what a connection with TLS takes besides, for its records.
	tlsBytes = 48 << 10
	// http2Bytes is what a connection with HTTP/2 takes besides: what its streams have received and no handler has read, and control frames that
	// wait to be written.
	http2Bytes = http2Window + 128<<10
	// freeHead is the size in bytes of a head that takes nothing besides connectionBytes.
	freeHead = 4 << 10
	// headFactor is what each further byte of a head takes. Short header lines take that much: a line of five bytes has an entry in a map, a
	// name and a list of values.
	headFactor = 12
	// streamBytes is what a request on a connection with HTTP/2 takes without its head.
	streamBytes = 32 << 10
	// maxStreamBytes is what the requests on one connection with HTTP/2 may take.
	maxStreamBytes = 4 << 20
	// maxRefusedStreams is how many refused requests on one connection may be under way. A caller that does not read the refusals has more.
	maxRefusedStreams = 16
	// callersShare is the share of the connections that callers may have, and othersShare that of readiness probes, other instances and the readers of
	// metrics. None of them can keep the others out.
	callersShare, othersShare = 0.875, 0.25
	// evictShare is the share of the connections that are closed at once when there is no room for another one, so that not every new
	// connection has to look at all others.
	evictShare = 1.0 / 32
	// chargeTries is how often memory for a head is tried to take before its connection is closed, and chargePause the pause between two tries.
	chargeTries, chargePause = 20, 5 * time.Millisecond
	// stallTime is how long a request must have stalled before its connection is closed to make room.
	stallTime = time.Second
)

// Limiter bounds what the connections of a process hold, over all its servers: how many there are, and what they take of the memory account.
// If there is no room for another one, it closes those without a request at work: connections that were refused and whose callers do not close them, then
// those that have not sent a whole head, then idle ones, and then those whose callers have stalled in a request. If all others are at work, the
// new one is refused.
type Limiter struct {
	account *memory.Account
	// max is the maximum number of connections.
	max int

	// mu guards the fields below, and isFree, charged and isFreed of each conn. It may be acquired while a conn's mu is held, and not the other way round.
	mu sync.Mutex
	// conns holds the connections that are not closed.
	conns map[*conn]struct{}
	// callers is how many of them are connections of callers.
	callers int
	// free is how many connections take no memory from the account.
	free int

	// refused counts the connections that were refused, evicted those that were closed to make room, by their stage.
	refused atomic.Int64
	evicted [stages]atomic.Int64
}

// NewLimiter returns a Limiter for at most the given number of connections, whose memory is counted in the account.
func NewLimiter(account *memory.Account, connections int) *Limiter {
	return &Limiter{account: account, max: connections, conns: map[*conn]struct{}{}}
}

// Gauges calls set with the name and the value of each gauge: the connections and their maximum, and how many were refused or closed to make room.
func (lim *Limiter) Gauges(set func(name string, value int64)) {
	lim.mu.Lock()
	open := len(lim.conns)
	lim.mu.Unlock()
	set("Connections.Open", int64(open))
	set("Connections.Max", int64(lim.max))
	set("Connections.Refused", lim.refused.Load())
	for stage := range stages {
		set("Connections.Evicted."+stage.String(), lim.evicted[stage].Load())
	}
}

// admit takes charge of a connection, or returns false if there is no room for it. It makes room once: the memory of closed connections is given back
// a little later, and closing more of them for the same connection would not bring it sooner.
func (lim *Limiter) admit(cn *conn) bool {
	sameShare := func(other *conn) bool { return other.srv.opts.Callers == cn.srv.opts.Callers }
	if lim.tryAdmit(cn) || lim.evict(cn, sameShare) > 0 && lim.tryAdmit(cn) {
		return true
	}
	lim.refused.Add(1)
	return false
}

func (lim *Limiter) tryAdmit(cn *conn) bool {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	if len(lim.conns) >= lim.max || !lim.hasShare(cn.srv.opts.Callers) {
		return false
	}
	if lim.free < freeConnections {
		lim.free++
		cn.isFree = true
	} else if size := cn.size(); lim.account.TryConnection(size) {
		cn.charged += size
	} else {
		return false
	}
	lim.conns[cn] = struct{}{}
	if cn.srv.opts.Callers {
		lim.callers++
	}
	return true
}

// size returns what the connection takes.
func (cn *conn) size() int64 {
	if cn.srv.secure.Load() {
		return connectionBytes + tlsBytes
	}
	return connectionBytes
}

// hasShare reports whether there may be another connection of callers, or of others. mu is held.
func (lim *Limiter) hasShare(callers bool) bool {
	if callers {
		return lim.callers < int(callersShare*float64(lim.max))
	}
	return len(lim.conns)-lim.callers < int(othersShare*float64(lim.max))
}

// closed makes room for another connection, since the socket of this one is closed.
func (lim *Limiter) closed(cn *conn) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	if _, ok := lim.conns[cn]; ok && cn.srv.opts.Callers {
		lim.callers--
	}
	delete(lim.conns, cn)
}

// freed gives back the memory that the connection has taken, since no goroutine serves it any more and its socket is closed.
func (lim *Limiter) freed(cn *conn) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	if cn.isFree {
		lim.free--
	}
	lim.account.Release(memory.Connections, cn.charged)
	cn.isFree, cn.charged, cn.isFreed = false, 0, true
}

// candidate is a connection that may be closed to make room.
type candidate struct {
	cn    *conn
	stage stage
	since time.Time
}

// anyConn admits every connection.
func anyConn(*conn) bool { return true }

// evict closes connections other than cn to make room, of those that among admits, and returns how many.
func (lim *Limiter) evict(cn *conn, among func(other *conn) bool) (count int) {
	lim.mu.Lock()
	var list []candidate
	for other := range lim.conns {
		if among(other) {
			list = append(list, candidate{cn: other})
		}
	}
	lim.mu.Unlock()
	now := time.Now()
	for i := range list {
		list[i].stage, list[i].since = list[i].cn.stage(now)
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Or(cmp.Compare(a.stage, b.stage), a.since.Compare(b.since)) })
	for _, cd := range list {
		if cd.stage == stageServing || count > int(evictShare*float64(len(list))) {
			break
		}
		if cd.cn != cn && cd.cn.evict(cd.stage) {
			lim.evicted[cd.stage].Add(1)
			count++
		}
	}
	return count
}

// charge takes memory for what the connection has received, by one of the account's functions, and makes room if there is none. It reports whether
// the connection has it. One that was closed meanwhile has not.
func (lim *Limiter) charge(cn *conn, size int64, try func(size int64) bool) bool {
	for tries := 0; !try(size); tries++ {
		// Connections to any port may hold the memory.
		lim.evict(cn, anyConn)
		if tries == chargeTries {
			return false
		}
		// The memory of a closed connection is given back when its goroutine has ended.
		time.Sleep(chargePause)
	}
	lim.mu.Lock()
	defer lim.mu.Unlock()
	if _, ok := lim.conns[cn]; !ok {
		lim.account.Release(memory.Connections, size)
		return false
	}
	cn.charged += size
	return true
}

// uncharge gives memory back that was taken by charge.
func (lim *Limiter) uncharge(cn *conn, size int64) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	if !cn.isFreed {
		cn.charged -= size
		lim.account.Release(memory.Connections, size)
	}
}

// Handshake takes memory for the handshake of a connection between instances, or returns false if there is none. release gives it back.
func (lim *Limiter) Handshake() (release func(), ok bool) {
	if !lim.account.TryHead(handshakeBytes) {
		return nil, false
	}
	return sync.OnceFunc(func() { lim.account.Release(memory.Connections, handshakeBytes) }), true
}

// handshakeBytes is what a handshake of QUIC takes until its end.
const handshakeBytes = 96 << 10

// noMemory is the error of a read for which there is no memory. net/http closes the connection without an answer then: the request was not read,
// and its caller may send it again.
var noMemory = errorx.NewNamespace("front").NewType("no_memory").New("front: no memory for the head; send the request again later")

// headRead takes memory for a part of a head that was received. The error ends the connection.
func (cn *conn) headRead(count int) error {
	before := cn.head
	cn.head += count
	extra := max(cn.head, freeHead) - max(before, freeHead)
	if extra == 0 || cn.srv.opts.Limiter.charge(cn, int64(headFactor*extra), cn.srv.opts.Limiter.account.TryHead) {
		return nil
	}
	cn.abort()
	return &net.OpError{Op: "read", Net: "tcp", Source: cn.LocalAddr(), Addr: cn.RemoteAddr(), Err: noMemory}
}

// headEnded gives back what the head has taken, when its request has ended. mu is held.
func (cn *conn) headEnded() {
	if extra := max(cn.head, freeHead) - freeHead; extra > 0 {
		cn.srv.opts.Limiter.uncharge(cn, int64(headFactor*extra))
	}
	cn.head = 0
}
