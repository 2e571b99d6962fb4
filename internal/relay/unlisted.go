package relay

import (
	"net/netip"
	"sync"
	"time"
)

// Notes of instances that are not in the list yet count too, since the list may be late. Anybody can send a datagram to the port, so what is kept of
// such senders is bounded.

const (
	// maxUnlisted is the maximum number of addresses that are not in the list and whose notes count, and maxUnlistedNames how many instances each of
	// them may speak for. An instance speaks for itself and in the reports of engines' own loads.
	maxUnlisted, maxUnlistedNames = 32, 32
	// unlistedTTL is how long an address counts after its last note. By then the list shows an instance.
	unlistedTTL = 10 * time.Second
)

// unlistedSenders are the senders of notes that are not in the list. It is safe for concurrent use.
type unlistedSenders struct {
	mu        sync.Mutex
	byAddress map[netip.AddrPort]*unlistedSender
}

// unlistedSender is one of them.
type unlistedSender struct {
	lastAt time.Time
	names  map[string]struct{}
}

// admits reports whether a note counts that speaks for the named instance and comes from the address.
func (us *unlistedSenders) admits(from netip.AddrPort, name string, now time.Time) bool {
	us.mu.Lock()
	defer us.mu.Unlock()
	sender, ok := us.byAddress[from]
	if !ok {
		if !us.makeRoom(now) {
			return false
		}
		sender = &unlistedSender{names: map[string]struct{}{}}
		us.byAddress[from] = sender
	}
	sender.lastAt = now
	if _, ok := sender.names[name]; !ok && len(sender.names) >= maxUnlistedNames {
		return false
	}
	sender.names[name] = struct{}{}
	return true
}

// makeRoom removes the addresses that no longer count if there is no room for another one, and reports whether there is.
func (us *unlistedSenders) makeRoom(now time.Time) bool {
	if us.byAddress == nil {
		us.byAddress = map[netip.AddrPort]*unlistedSender{}
	}
	if len(us.byAddress) < maxUnlisted {
		return true
	}
	for address, sender := range us.byAddress {
		if now.Sub(sender.lastAt) > unlistedTTL {
			delete(us.byAddress, address)
		}
	}
	return len(us.byAddress) < maxUnlisted
}
