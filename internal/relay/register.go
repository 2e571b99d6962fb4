package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"dandelionsail.example/dandelionsail/internal/delay"
)

const (
	// announceTTL is how long an announcement of this Instance is valid unless it is renewed.
	announceTTL = 40 * time.Second
	// announceInterval is how often the announcement is renewed.
	announceInterval = 15 * time.Second
	// minAnnounceBackoff is the pause after a failed announcement. It doubles up to maxAnnounceBackoff because the
	// previous announcement is still valid and the store charges for every call, rejected ones included.
	minAnnounceBackoff = time.Second
	// maxAnnounceBackoff is the maximum pause after a failed announcement.
	maxAnnounceBackoff = 8 * time.Second
)

// announce registers this Instance in the store, where the others find it, and renews the entry. A restarted Instance
// renews the entry of its earlier run: when all instances restart at once, as after a power failure, creating new
// entries would be most of the load on the store. After a return of the store an entry that the copy lacks is written again
// at once.
func (in *Instance) announce(ctx context.Context) error {
	self, backoff := in.self, minAnnounceBackoff
	pause := minAnnounceBackoff
	for {
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		case self = <-in.ownEntry:
			delay.For(ctx, rand.N(in.returnWindow()))
		}
		timer.Stop()
		limited, cancel := context.WithTimeout(ctx, storeTimeout)
		in.count("Store.Announcements")
		err := in.directory.Announce(limited, self, announceTTL)
		cancel()
		if err == nil {
			pause, backoff = announceInterval, minAnnounceBackoff
			continue
		}
		pause = backoff
		backoff = min(2*backoff, maxAnnounceBackoff)
	}
}
