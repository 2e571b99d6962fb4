package front

import (
	"time"
)

// stage is what a connection does. Those that come first are closed first to make room.
type stage int

const (
	// stageEnded is a connection that has ended and whose caller has not closed it.
	stageEnded stage = iota
	// stageHead is one of which no whole head has arrived yet.
	stageHead
	// stageIdle is one that is kept between requests.
	stageIdle
	// stageStalled is one with a request that has not arrived whole and of which nothing arrives, or with an answer that the caller does not read.
	stageStalled
	// stages is the number of stages in which a connection may be closed to make room.
	stages
	// stageServing is a connection with a request at work.
	stageServing = stages
)

// String returns the stage's name as metrics state it.
func (sg stage) String() string { return [stages]string{"Ended", "Head", "Idle", "Stalled"}[sg] }

// stage returns what the connection does and since when.
func (cn *conn) stage(now time.Time) (stage, time.Time) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	switch {
	case cn.closed:
		return stageEnded, cn.closedAt
	case cn.http2 && len(cn.streams) == 0:
		// A caller that only sends pings counts as idle too.
		return stageIdle, cn.lastRead
	case cn.http2 || cn.active:
		return cn.stageOfRequest(now)
	case cn.received || cn.idleSince.IsZero():
		return stageHead, cn.headSince
	}
	return stageIdle, cn.idleSince
}

// stageOfRequest is stage for a connection with requests. mu is held.
func (cn *conn) stageOfRequest(now time.Time) (stage, time.Time) {
	if at := cn.writingSince; !at.IsZero() && now.Sub(at) >= stallTime {
		return stageStalled, at
	}
	if now.Sub(cn.lastRead) < stallTime || cn.request != nil && cn.request.isWhole() {
		return stageServing, time.Time{}
	}
	for rq := range cn.streams {
		if rq.isWhole() {
			return stageServing, time.Time{}
		}
	}
	return stageStalled, cn.lastRead
}

// isWhole reports whether the request was read to its end.
func (rq *Request) isWhole() bool { return rq.noBody || rq.name.Load() != nil }

// evict closes the connection to make room and reports whether it did. An idle one is closed only if no request is arriving on it.
func (cn *conn) evict(from stage) bool {
	if from == stageIdle && !cn.isHTTP2() {
		return cn.closeQuiet(0) && cn.release() == nil
	}
	return cn.abort()
}

func (cn *conn) isHTTP2() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.http2
}

// abort resets the connection, so that the kernel holds nothing for it any more. It reports whether it was open.
func (cn *conn) abort() bool {
	if tcp, ok := cn.Conn.(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	cn.mu.Lock()
	released := cn.released
	cn.markClosed()
	cn.mu.Unlock()
	_ = cn.release()
	return !released
}
