package peers

import (
	"sync"
	"testing"
	"time"
)

func TestForgettingLinksDoesNotStopTheTransport(t *testing.T) {
	// A message was pushed while its link was looked at for being out of use: each waited for the other's lock, and with them for ever
	// all that the transport did.
	qu := &QUIC{links: map[string]*link{}}
	lk := newLink(qu, "127.0.0.1:1")
	const times = 200_000
	var both sync.WaitGroup
	both.Go(func() {
		for range times {
			lk.push(nil)
			<-lk.queue
		}
	})
	both.Go(func() {
		for range times {
			qu.forget(lk)
		}
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		both.Wait()
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("the transport stands still")
	}
}
