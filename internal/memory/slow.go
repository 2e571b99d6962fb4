package memory

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"dandelionsail.example/dandelionsail/internal/tasks"
)

const (
	// slowBodyTime is how long a long body may make no progress while other requests wait for memory, and from when on its pace counts.
	slowBodyTime = time.Second
	// slowCheckPeriod is the time between two checks of a body that takes longer than slowBodyTime.
	slowCheckPeriod = 250 * time.Millisecond
)

// SlowBody means that a body arrived slowly while other requests waited for memory.
const SlowBody = Refusal("body too slow while others wait")

// SlowGuard is a reader of a body. It interrupts a read that makes too little progress while other requests wait for memory.
type SlowGuard struct {
	// From is the body.
	From io.Reader
	// Rest is the number of bytes that were yet to arrive at the start, negative if that is unknown.
	Rest int64
	// Deadline is when the whole body must be there.
	Deadline time.Time
	// Pressed reports whether others wait.
	Pressed func() bool
	// Interrupt makes the read under way return.
	Interrupt func()
	// received is the number of bytes that have arrived since the start.
	received atomic.Int64
	// mu guards the fields below.
	mu        sync.Mutex
	startedAt time.Time
	timer     *time.Timer
	// seen is the number of bytes that had arrived at the last check that found new ones, and seenAt its time.
	seen   int64
	seenAt time.Time
	// ended reports whether the read is over, after which it must not be interrupted any more.
	ended bool
	// interrupted reports whether the read was interrupted.
	interrupted bool
}

// Read implements io.Reader.
func (sg *SlowGuard) Read(buf []byte) (int, error) {
	count, err := sg.From.Read(buf)
	sg.received.Add(int64(count))
	return count, err
}

// Watch calls read with the guard as its reader, and returns its error, or SlowBody if the read was interrupted.
func (sg *SlowGuard) Watch(read func(from io.Reader) error) error {
	sg.Start()
	err := read(sg)
	if sg.End() && err != nil {
		return SlowBody
	}
	return err
}

// Start begins the checks.
func (sg *SlowGuard) Start() {
	sg.mu.Lock()
	defer sg.mu.Unlock()
	sg.startedAt = time.Now()
	sg.seenAt = sg.startedAt
	sg.timer = time.AfterFunc(slowBodyTime, tasks.Guard("slow body", sg.check))
}

func (sg *SlowGuard) check() {
	sg.mu.Lock()
	defer sg.mu.Unlock()
	if sg.ended {
		return
	}
	now := time.Now()
	slow := sg.isSlow(now)
	if slow && sg.Pressed() {
		sg.interrupted = true
		sg.Interrupt()
		return
	}
	sg.timer.Reset(slowCheckPeriod)
}

// isSlow reports whether nothing has arrived for slowBodyTime, or whether the body will not be there by the deadline at its pace so far. sg.mu
// is held.
func (sg *SlowGuard) isSlow(now time.Time) bool {
	received := sg.received.Load()
	if received > sg.seen {
		sg.seen, sg.seenAt = received, now
	}
	if now.Sub(sg.seenAt) >= slowBodyTime {
		return true
	}
	pace := float64(received) / float64(now.Sub(sg.startedAt))
	return sg.Rest >= 0 && pace*float64(sg.Deadline.Sub(now)) < float64(sg.Rest-received)
}

// End states that the read is over and reports whether it was interrupted.
func (sg *SlowGuard) End() bool {
	sg.mu.Lock()
	defer sg.mu.Unlock()
	sg.ended = true
	sg.timer.Stop()
	return sg.interrupted
}
