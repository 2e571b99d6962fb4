package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/notice"
	"dandelionsail.example/dandelionsail/internal/upstr"
)

// announcements holds what upstreams have announced, for the check of each call just before it is sent. The reducer receives the
// same and places no requests there, so that the check seldom holds a call back. It is safe for concurrent use.
type announcements struct {
	mu sync.Mutex
	// byAddress holds the announcements by the upstream's address.
	byAddress map[string]*upstreamAnnouncements
	random    *rand.Rand
}

// upstreamAnnouncements holds the announcements of the upstream at one address.
type upstreamAnnouncements struct {
	// name is the upstream's. Another upstream that takes the address has announced nothing.
	name    string
	leaving bool
	rest    notice.Rest
	// listedAt is when a list last named the upstream.
	listedAt time.Time
	// invalid is the last announcement of unusable value that was logged.
	invalid string
}

// announcementRetention is how long the announcements of an upstream that is no longer listed are kept, so that a stale list
// does not bring it back.
const announcementRetention = 10 * time.Minute

func newAnnouncements(seed uint64) *announcements {
	return &announcements{byAddress: map[string]*upstreamAnnouncements{}, random: rand.New(rand.NewPCG(seed, 0))}
}

// list applies the platform's list of upstreams.
func (an *announcements) list(now time.Time, ups []event.Upstream) {
	an.mu.Lock()
	defer an.mu.Unlock()
	for _, up := range ups {
		known, ok := an.byAddress[up.Address]
		if !ok || known.name != up.Name {
			known = &upstreamAnnouncements{name: up.Name}
			an.byAddress[up.Address] = known
		}
		known.listedAt = now
		known.leaving = known.leaving || up.Leaving
	}
	for address, known := range an.byAddress {
		if now.Sub(known.listedAt) > announcementRetention {
			delete(an.byAddress, address)
		}
	}
}

// check returns the announcement that holds the call back, or notice.None. A call that may be sent counts as sent.
func (an *announcements) check(now time.Time, call upstr.Call) notice.Announcement {
	an.mu.Lock()
	defer an.mu.Unlock()
	known, ok := an.byAddress[call.Address]
	if !ok {
		return notice.None
	}
	for _, ann := range []notice.Announcement{notice.Leaving, notice.Resting, notice.Returning} {
		if !known.inForce(ann, now) {
			continue
		}
		switch notice.Rules[ann].Treatments[call.Kind] {
		case notice.Allowed:
		case notice.TrialOnly:
			if uint64(call.ID) != known.rest.Trial {
				return ann
			}
		default:
			return ann
		}
	}
	known.rest.Pass(now, uint64(call.ID), call.Kind)
	return notice.None
}

func (ua *upstreamAnnouncements) inForce(ann notice.Announcement, now time.Time) bool {
	switch ann {
	case notice.Leaving:
		return ua.leaving
	case notice.Resting:
		return ua.rest.InForce(now)
	case notice.Returning:
		return ua.rest.OnTrial(now)
	}
	return false
}

// record applies what an answer to the call announces, and returns the event for the reducer. changed reports whether there is
// anything new in it.
func (an *announcements) record(now time.Time, call upstr.Call, sent time.Time, ann notice.Announced) (ev event.UpstreamAnnounced, changed bool) {
	an.mu.Lock()
	defer an.mu.Unlock()
	known, ok := an.byAddress[call.Address]
	if !ok {
		return ev, false
	}
	ev.Upstream, ev.Address = known.name, call.Address
	known.rest.AnsweredSince(sent)
	if ann.Leaving && !known.leaving {
		known.leaving = true
		ev.Leaving = true
	}
	if ann.Rest > 0 {
		until := now.Add(ann.Rest)
		if spread := notice.MaxSpread(ann.Rest); spread > 0 {
			until = until.Add(time.Duration(an.random.Int64N(int64(spread))))
		}
		known.rest.Start(now, until)
		ev.RestUntil = known.rest.Until
	}
	if len(ann.Invalid) > 0 && ann.Invalid[0] != known.invalid {
		known.invalid = ann.Invalid[0]
		ev.Invalid = ann.Invalid[0]
	}
	return ev, ev.Leaving || !ev.RestUntil.IsZero() || ev.Invalid != ""
}

// checkCall holds a call to an upstream back if an announcement rules it out.
func (in *Instance) checkCall(call upstr.Call) error {
	ann := in.announcements.check(time.Now(), call)
	if ann == notice.None {
		return nil
	}
	in.incCounter("Upstreams.HeldBack." + ann.String())
	return upstr.Held.New("entry: a call to %s was held back (%s, %s); the request goes to another upstream", call.Address, ann, call.Kind)
}

// readAnnounced passes on what an upstream announces.
func (in *Instance) readAnnounced(call upstr.Call, sent time.Time, ann notice.Announced) {
	now := time.Now()
	ev, changed := in.announcements.record(now, call, sent, ann)
	if !changed {
		return
	}
	line := in.log.Info().Str("Upstream", ev.Upstream).Str("Source", "answer")
	switch {
	case ev.Invalid != "":
		line.Str("Invalid", ev.Invalid).Msg("announcement ignored")
	case ev.Leaving:
		line.Str("Announcement", notice.Leaving.String()).Msg("upstream leaves")
	default:
		line.Str("Announcement", notice.Resting.String()).Int64("RestMs", ev.RestUntil.Sub(now).Milliseconds()).Msg("announcement received")
	}
	if ev.Leaving || !ev.RestUntil.IsZero() {
		in.loop.Submit(ev)
	}
}
