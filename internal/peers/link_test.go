package peers

import (
	"sync"
	"testing"
	"time"
)

func TestRemovingUnusedLinksDoesNotDeadlock(t *testing.T) {
	// A message is queued while its link is checked for removal. If the two acquire the locks of the link and of the
	// transport in opposite orders, both deadlock, and the whole transport stops with them.
	qu := &QUIC{links: map[string]*link{}}
	lk := newLink(qu, "127.0.0.1:1")
	const times = 200_000
	var group sync.WaitGroup
	group.Go(func() {
		for range times {
			lk.enqueue(nil)
			<-lk.queue
		}
	})
	group.Go(func() {
		for range times {
			qu.removeIfUnused(lk)
		}
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		group.Wait()
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("deadlock between enqueue and removeIfUnused")
	}
}
