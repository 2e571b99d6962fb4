package relay

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"

	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/internal/steer"
)

// Entries of the Directory may come from another writer. An entry that cannot be used is left out as a whole where it is decoded, and the
// others hold. Without that, a single one ends each Instance that reads it or keeps all of them from following the changes after it.

const (
	// maxNameBytes is the maximum length of the name of a replica, Instance or service. Keys of the Directory have at most 200 bytes.
	maxNameBytes = 200
	// maxSlots is the maximum number of slots of a replica, far above what one process serves and far below what overflows in a sum.
	maxSlots = 1 << 20
	// maxBornMs is the latest start of a replica in Unix ms, the end of the year 9999.
	maxBornMs = 253_402_300_799_999
	// maxQuarantineParts is the maximum number of parts in a record, above that of the longest prompts.
	maxQuarantineParts = 2048
	// maxQuarantineCallers is the maximum number of callers in a record. It only counts whether there is more than one.
	maxQuarantineCallers = 64
	// maxInvalidEntries is the maximum number of unusable entries that are kept for the log and the gauge.
	maxInvalidEntries = 4096
)

// UnusableEntry reports that an entry of the Directory cannot be used.
var UnusableEntry = Errors.NewType("unusable_entry")

// EntryKind is the kind of an entry in the Directory.
type EntryKind int

// The kinds of entries.
const (
	EntryReplica EntryKind = iota + 1
	EntryPeer
	EntryQuarantine
)

// String implements fmt.Stringer.
func (kind EntryKind) String() string {
	switch kind {
	case EntryReplica:
		return "replica"
	case EntryPeer:
		return "instance"
	case EntryQuarantine:
		return "quarantine"
	}
	return "unknown"
}

// InvalidEntry is an entry of the Directory that is left out because it cannot be used.
type InvalidEntry struct {
	Kind EntryKind `cbor:"1,keyasint,omitempty"`
	// Name is the end of the entry's key.
	Name string `cbor:"2,keyasint,omitempty"`
	// Reason says why the entry cannot be used.
	Reason string `cbor:"3,keyasint,omitempty"`
}

// CheckReplica returns an UnusableEntry error if the entry names no replica that can be used. The errors quote nothing of the entry, since
// its writer may change it at any time.
func CheckReplica(rep *steer.Replica) error {
	switch {
	case !usableName(rep.Name):
		return unusable("the name is empty, has more than 200 bytes or has control characters")
	case !usableName(rep.Service):
		return unusable("the service is empty, has more than 200 bytes or has control characters")
	case len(rep.FailureDomain) > maxDomainName:
		return unusable("the failure domain has more than 256 bytes")
	case rep.Slots < 1 || rep.Slots > maxSlots:
		return unusable("the number of slots is not between 1 and 1048576")
	case rep.Born < 0 || rep.Born > maxBornMs:
		return unusable("the start is not between the years 1970 and 9999")
	}
	address, err := netip.ParseAddrPort(rep.Address)
	if err != nil || address.Port() == 0 {
		return unusable("the address is not an IP address and a port")
	}
	if ip := address.Addr(); ip.IsUnspecified() || ip.IsMulticast() || ip.Zone() != "" || ip == limitedBroadcast {
		return unusable("the address is not that of a process")
	}
	return nil
}

// limitedBroadcast is the IPv4 broadcast address of the local network.
var limitedBroadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

// CheckPeer returns an UnusableEntry error if the entry names no Instance that can be used. A host name is not looked up: the resolver may take
// seconds, for which the follower would stand still.
func CheckPeer(peer *Peer) error {
	if !usableName(peer.Name) {
		return unusable("the name is empty, has more than 200 bytes or has control characters")
	}
	if len(peer.FailureDomain) > maxDomainName {
		return unusable("the failure domain has more than 256 bytes")
	}
	if address, err := netip.ParseAddrPort(peer.Address); err != nil || address.Port() == 0 {
		return unusable("the address is not an IP address and a port")
	}
	return nil
}

// CheckQuarantine returns an UnusableEntry error if the record holds nothing that can be used.
func CheckQuarantine(qua *Quarantine) error {
	switch {
	case len(qua.Parts) == 0 || len(qua.Parts) > maxQuarantineParts:
		return unusable("the number of parts is not between 1 and 2048")
	case len(qua.Callers) > maxQuarantineCallers:
		return unusable("there are more than 64 callers")
	case qua.Crashes < 0 || qua.LastCrashMs < 0 || qua.LastCrashMs > maxBornMs:
		return unusable("the crashes are not between the years 1970 and 9999")
	}
	return nil
}

func unusable(reason string) error {
	return UnusableEntry.New("relay: %s; correct or remove the entry", reason)
}

// ReasonOf returns the reason in the error of an entry that cannot be used.
func ReasonOf(err error) string {
	if typed := errorx.Cast(err); typed != nil {
		return typed.Message()
	}
	return err.Error()
}

// usableName reports whether the text can be a name, which is sent in headers and in datagrams.
func usableName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && !strings.ContainsFunc(name, func(char rune) bool { return char < ' ' || char == 0x7f })
}

// check replaces what cannot be used in the change by the removal of the entry. The change may come from an Instance of a release that checks
// less.
func (chg *Change) check() {
	var err error
	var inv InvalidEntry
	switch {
	case chg.Replica != nil:
		inv.Kind, inv.Name, err = EntryReplica, chg.Replica.Name, CheckReplica(chg.Replica)
	case chg.Peer != nil:
		inv.Kind, inv.Name, err = EntryPeer, chg.Peer.Name, CheckPeer(chg.Peer)
	case chg.Quarantine != nil:
		inv.Kind, err = EntryQuarantine, CheckQuarantine(chg.Quarantine)
	}
	if err == nil {
		return
	}
	inv.Reason = ReasonOf(err)
	at := chg.Revision
	*chg = InvalidChange(inv)
	chg.Revision = at
}

// InvalidChange returns the change to an entry that cannot be used, without its Revision: the entry that was there before is gone.
func InvalidChange(inv InvalidEntry) Change {
	if len(inv.Name) > maxNameBytes {
		inv.Name = strings.ToValidUTF8(inv.Name[:maxNameBytes], "")
		return Change{Invalid: &inv}
	}
	chg := Change{Invalid: &inv}
	switch inv.Kind {
	case EntryReplica:
		chg.RemovedReplica = inv.Name
	case EntryPeer:
		chg.RemovedPeer = inv.Name
	}
	return chg
}

// check moves what cannot be used to Invalid. The contents may come from an Instance of a release that checks less.
func (snap *Snapshot) check() {
	snap.Replicas = slices.DeleteFunc(snap.Replicas, func(rep steer.Replica) bool {
		return snap.reject(EntryReplica, rep.Name, CheckReplica(&rep))
	})
	snap.Peers = slices.DeleteFunc(snap.Peers, func(peer Peer) bool {
		return snap.reject(EntryPeer, peer.Name, CheckPeer(&peer))
	})
}

// reject records an entry that cannot be used, and reports whether it is one.
func (snap *Snapshot) reject(kind EntryKind, name string, err error) bool {
	if err != nil {
		snap.Invalid = append(snap.Invalid, InvalidEntry{kind, name, ReasonOf(err)})
	}
	return err != nil
}

// entryName identifies an entry.
type entryName struct {
	kind EntryKind
	name string
}

// invalidEntries holds the entries that cannot be used, for the log and the gauge. It is safe for concurrent use.
type invalidEntries struct {
	mu      sync.Mutex
	reasons map[entryName]string
}

// count returns the number of entries that cannot be used.
func (ies *invalidEntries) count() int {
	ies.mu.Lock()
	defer ies.mu.Unlock()
	return len(ies.reasons)
}

// add records an entry and reports whether it was not known.
func (ies *invalidEntries) add(inv InvalidEntry) bool {
	ies.mu.Lock()
	defer ies.mu.Unlock()
	key := entryName{inv.Kind, inv.Name}
	if _, known := ies.reasons[key]; known || len(ies.reasons) >= maxInvalidEntries {
		return false
	}
	if ies.reasons == nil {
		ies.reasons = map[entryName]string{}
	}
	ies.reasons[key] = inv.Reason
	return true
}

// drop removes an entry that is usable again or gone, and reports whether it was known.
func (ies *invalidEntries) drop(key entryName) bool {
	ies.mu.Lock()
	defer ies.mu.Unlock()
	_, known := ies.reasons[key]
	delete(ies.reasons, key)
	return known
}

// known returns the entries in order.
func (ies *invalidEntries) known() []entryName {
	ies.mu.Lock()
	defer ies.mu.Unlock()
	return slices.SortedFunc(maps.Keys(ies.reasons), func(a, b entryName) int {
		return strings.Compare(a.kind.String()+a.name, b.kind.String()+b.name)
	})
}

// noteInvalid logs and counts the entry once, however often it is read.
func (in *Instance) noteInvalid(inv InvalidEntry) {
	if !in.invalid.add(inv) {
		return
	}
	in.count("Entries.Rejected")
	in.log.Warn().Str("Kind", inv.Kind.String()).Str("Entry", inv.Name).Str("Reason", inv.Reason).Msg("entry of the directory left out: it cannot be used")
}

// noteValid logs once that an entry can be used again or is gone.
func (in *Instance) noteValid(key entryName) {
	if in.invalid.drop(key) {
		in.log.Info().Str("Kind", key.kind.String()).Str("Entry", key.name).Msg("entry of the directory usable again or gone")
	}
}

// replaceInvalid replaces the entries that cannot be used by those of the whole Directory.
func (in *Instance) replaceInvalid(list []InvalidEntry) {
	listed := make(map[entryName]bool, len(list))
	for _, inv := range list {
		listed[entryName{inv.Kind, inv.Name}] = true
		in.noteInvalid(inv)
	}
	for _, key := range in.invalid.known() {
		if !listed[key] {
			in.noteValid(key)
		}
	}
}

// applyInvalid updates the entries that cannot be used by the changes.
func (in *Instance) applyInvalid(changes []Change) {
	for i := range changes {
		switch chg := &changes[i]; {
		case chg.Invalid != nil && chg.Invalid.Reason == "":
			in.noteValid(entryName{chg.Invalid.Kind, chg.Invalid.Name})
		case chg.Invalid != nil:
			in.noteInvalid(*chg.Invalid)
		case chg.Replica != nil && in.isOwnAddress(chg.Replica.Address):
			in.noteInvalid(InvalidEntry{EntryReplica, chg.Replica.Name, ownAddress})
		case chg.Replica != nil:
			in.noteValid(entryName{EntryReplica, chg.Replica.Name})
		case chg.RemovedReplica != "":
			in.noteValid(entryName{EntryReplica, chg.RemovedReplica})
		case chg.Peer != nil:
			in.noteValid(entryName{EntryPeer, chg.Peer.Name})
		case chg.RemovedPeer != "":
			in.noteValid(entryName{EntryPeer, chg.RemovedPeer})
		case chg.Quarantine != nil:
			in.noteValid(entryName{EntryQuarantine, chg.Quarantine.Name})
		}
	}
}

// isOwnAddress reports whether the address is one at which this Instance listens itself. A replica's entry with it would send requests in a circle.
func (in *Instance) isOwnAddress(address string) bool {
	return slices.Contains([]string{in.opts.Listen, in.opts.ReadyListen, in.opts.PeerListen, in.opts.MetricsListen}, address)
}

// splitOwn returns the replicas without those whose address is this Instance's own, and these as entries that cannot be used.
func (in *Instance) splitOwn(list []steer.Replica) (others []steer.Replica, own []InvalidEntry) {
	for i := range list {
		if in.isOwnAddress(list[i].Address) {
			own = append(own, InvalidEntry{EntryReplica, list[i].Name, ownAddress})
			continue
		}
		others = append(others, list[i])
	}
	return others, own
}

// ownAddress is the reason for which the entry of a replica with this Instance's address is left out.
const ownAddress = "the address is that of this instance"
