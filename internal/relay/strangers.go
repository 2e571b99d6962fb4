package relay

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// Notes of instances that are not in the list yet count too, since the list may be late. Anybody can send a datagram to the port, so what is kept of
// such senders is bounded.

const (
	// maxStrangers is the maximum number of addresses that are not in the list and whose notes count, and maxStrangerNames how many instances each of
	// them may speak for. An instance speaks for itself and in the reports of engines' own loads.
	maxStrangers, maxStrangerNames = 32, 32
	// strangerTTL is how long an address counts after its last note. By then the list shows an instance.
	strangerTTL = 10 * time.Second
)

// strangers are the senders of notes that are not in the list. It is safe for concurrent use.
type strangers struct {
	mu        sync.Mutex
	byAddress map[netip.AddrPort]*stranger
}

// stranger is one of them.
type stranger struct {
	lastAt time.Time
	names  map[string]struct{}
}

// admits reports whether a note counts that speaks for the named instance and comes from the address.
func (sts *strangers) admits(from *net.UDPAddr, name string, now time.Time) bool {
	sts.mu.Lock()
	defer sts.mu.Unlock()
	address := from.AddrPort()
	str, ok := sts.byAddress[address]
	if !ok {
		if !sts.makeRoom(now) {
			return false
		}
		str = &stranger{names: map[string]struct{}{}}
		sts.byAddress[address] = str
	}
	str.lastAt = now
	if _, ok := str.names[name]; !ok && len(str.names) >= maxStrangerNames {
		return false
	}
	str.names[name] = struct{}{}
	return true
}

// makeRoom removes the addresses that no longer count if there is no room for another one, and reports whether there is.
func (sts *strangers) makeRoom(now time.Time) bool {
	if sts.byAddress == nil {
		sts.byAddress = map[netip.AddrPort]*stranger{}
	}
	if len(sts.byAddress) < maxStrangers {
		return true
	}
	for address, str := range sts.byAddress {
		if now.Sub(str.lastAt) > strangerTTL {
			delete(sts.byAddress, address)
		}
	}
	return len(sts.byAddress) < maxStrangers
}
