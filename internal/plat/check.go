package plat

import (
	"encoding/json"
	"maps"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
)

// The list may contain entries of another writer. One that cannot be used is left out as a whole, and the others hold: if it failed the whole list,
// the instances would use the last one for as long as the entry is there, and follow no upstream that is added or gone.

const (
	// maxNameBytes is the maximum length of a name or address in an entry.
	maxNameBytes = 256
	// maxInvalid is the maximum number of entries that cannot be used that are reported by name.
	maxInvalid = 4096
)

// UnmarshalJSON implements json.Unmarshaler.
func (ls *Listing) UnmarshalJSON(raw []byte) error {
	var wire struct{ Instances []json.RawMessage }
	if err := json.Unmarshal(raw, &wire); err != nil {
		return err
	}
	*ls = Listing{}
	for i, item := range wire.Instances {
		var en Entry
		reason := "a field is of another type"
		if json.Unmarshal(item, &en) == nil {
			reason = en.problem()
		}
		if reason == "" {
			ls.Instances = append(ls.Instances, en)
			continue
		}
		if !usableName(en.Name) {
			en.Name = "entry " + strconv.Itoa(i)
		}
		if ls.Invalid == nil {
			ls.Invalid = map[string]string{}
		}
		if len(ls.Invalid) < maxInvalid {
			ls.Invalid[en.Name] = reason
		}
	}
	return nil
}

// problem returns why the entry cannot be used, empty if it can.
func (en *Entry) problem() string {
	switch {
	case !usableName(en.Name):
		return "the name is empty, too long or has control characters"
	case !usableName(en.Service):
		return "the service is empty, too long or has control characters"
	case len(en.FailureDomain) > maxNameBytes:
		return "the failure domain is too long"
	case en.State != StateLive && en.State != StateLeaving:
		return "the state is neither " + StateLive + " nor " + StateLeaving
	case !usableAddress(en.Address):
		return "the address is not a host and a port"
	}
	if _, err := netip.ParseAddrPort(en.Peer); err != nil && en.Peer != "" {
		return "the address for peers is not an IP address and a port"
	}
	return ""
}

func usableName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && !strings.ContainsFunc(name, func(char rune) bool { return char < ' ' || char == 0x7f })
}

// usableAddress reports whether the text is a host and a port at which an upstream can listen.
func usableAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	number, errPort := strconv.ParseUint(port, 10, 16)
	return err == nil && errPort == nil && number > 0 && usableName(host) && !strings.ContainsAny(host, " /?#@[]\\,")
}

// NewInvalid returns the names of the entries that cannot be used and could be, or were not there, in the list before, in order.
func (ls *Listing) NewInvalid(before *Listing) []string {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(ls.Invalid)), func(name string) bool {
		_, known := before.Invalid[name]
		return known
	})
}
