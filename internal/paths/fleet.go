package paths

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// statementMaxAge is how long a peer counts as one that has lost its path, or as one that has one, after it last stated or showed it.
	statementMaxAge = 10 * time.Second
	// busyPause is how long a peer that has too much under way is not asked again.
	busyPause = 200 * time.Millisecond
	// unreachedPause is how long a peer that does not answer, or that leaves, is not asked again.
	unreachedPause = time.Second
)

// Peer is another instance that may send to upstreams for this one.
type Peer struct {
	Name string
	// Near reports whether it is in the failure domain of this instance.
	Near bool
	// Alive reports whether its notes arrive, which would state a lost path.
	Alive bool
}

// Fleet is what an instance knows of the paths of the others. Each states the services to which it has lost its path; what a peer
// did with a message shows the same.
type Fleet struct {
	// peers holds what is known of each peer's path to each service.
	peers map[string]map[string]*peerPath
}

// peerPath is what is known of the path of one peer to one service.
type peerPath struct {
	// lostAt is when the peer last stated or showed that it has lost its path, zero if it has not, or has one again.
	lostAt time.Time
	// refused reports that lostAt is from a refusal of a peer that states no lost paths, as earlier releases do not.
	refused bool
	// servedAt is when the peer last reached an upstream for this instance.
	servedAt time.Time
	// pausedUntil is until when the peer is not asked.
	pausedUntil time.Time
	// unreached reports whether the pause is due to a peer that does not answer.
	unreached bool
}

func (fl *Fleet) of(peer, service string) *peerPath {
	if fl.peers == nil {
		fl.peers = map[string]map[string]*peerPath{}
	}
	if fl.peers[peer] == nil {
		fl.peers[peer] = map[string]*peerPath{}
	}
	pp, ok := fl.peers[peer][service]
	if !ok {
		pp = &peerPath{}
		fl.peers[peer][service] = pp
	}
	return pp
}

// Stated records all services to which the peer states that it has lost its path. It returns those that are news.
func (fl *Fleet) Stated(now time.Time, peer string, services []string) (news []string) {
	for service, pp := range fl.peers[peer] {
		if !pp.refused && !slices.Contains(services, service) {
			pp.lostAt = time.Time{}
		}
	}
	for _, service := range services {
		pp := fl.of(peer, service)
		if !pp.isLost(now) {
			news = append(news, service)
		}
		pp.lostAt, pp.refused = now, false
	}
	return news
}

// Refused records that the peer refused a message to the service since it has lost its path. states reports whether the peer
// also states its lost paths.
func (fl *Fleet) Refused(now time.Time, peer, service string, states bool) {
	pp := fl.of(peer, service)
	pp.lostAt, pp.refused, pp.servedAt = now, !states, time.Time{}
}

// Busy records that the peer has too much under way.
func (fl *Fleet) Busy(now time.Time, peer, service string) {
	pp := fl.of(peer, service)
	pp.pausedUntil, pp.unreached = now.Add(busyPause), false
}

// Unreached records that the peer does not answer or passes nothing on.
func (fl *Fleet) Unreached(now time.Time, peer, service string) {
	pp := fl.of(peer, service)
	pp.pausedUntil, pp.unreached, pp.servedAt = now.Add(unreachedPause), true, time.Time{}
}

// Served records that the peer reached an upstream of the service for this instance.
func (fl *Fleet) Served(now time.Time, peer, service string) {
	pp := fl.of(peer, service)
	pp.lostAt, pp.servedAt = time.Time{}, now
}

// Lost reports whether the peer is known to have lost its path to the service.
func (fl *Fleet) Lost(now time.Time, peer, service string) bool {
	pp, ok := fl.peers[peer][service]
	return ok && pp.isLost(now)
}

// Forget drops what is known of the peer, whose process is a new one.
func (fl *Fleet) Forget(peer string) { delete(fl.peers, peer) }

// DropExpired drops what is out of date.
func (fl *Fleet) DropExpired(now time.Time) {
	for peer, services := range fl.peers {
		maps.DeleteFunc(services, func(_ string, pp *peerPath) bool {
			return !pp.isLost(now) && !pp.hasServed(now) && !now.Before(pp.pausedUntil)
		})
		if len(services) == 0 {
			delete(fl.peers, peer)
		}
	}
}

func (pp *peerPath) isLost(now time.Time) bool {
	return !pp.lostAt.IsZero() && now.Sub(pp.lostAt) < statementMaxAge
}

func (pp *peerPath) hasServed(now time.Time) bool {
	return !pp.servedAt.IsZero() && now.Sub(pp.servedAt) < statementMaxAge
}

// Choice is the peer through which a message goes.
type Choice struct {
	// Peer is empty if none can take the message now.
	Peer string
	// RetryAt is when one may be able to, zero if all peers have lost their paths, or are gone: they do not answer and send no notes.
	RetryAt time.Time
}

// Choose returns the peer through which a message to the service goes: one that is known to have a path before one of which nothing is
// known. One of the own failure domain is preferred, unless so few are left there that they would get more than their share.
// Among those the choice is random, which spreads the messages.
func (fl *Fleet) Choose(now time.Time, random *rand.Rand, service string, peers []Peer) Choice {
	var sound, unknown pool
	var retryAt time.Time
	// nearLost is the number of instances of the own failure domain that have lost their path, with this one.
	nearLost := 1
	for _, peer := range peers {
		pp := fl.peers[peer.Name][service]
		switch {
		case pp != nil && pp.isLost(now):
			if peer.Near {
				nearLost++
			}
		case pp != nil && now.Before(pp.pausedUntil):
			if (!pp.unreached || peer.Alive) && (retryAt.IsZero() || pp.pausedUntil.Before(retryAt)) {
				retryAt = pp.pausedUntil
			}
		case pp != nil && pp.hasServed(now) || peer.Alive:
			sound.add(peer)
		default:
			unknown.add(peer)
		}
	}
	names := sound.preferred(nearLost <= maxInstancesForOne*len(sound.near))
	if len(names) == 0 {
		// One lost path in the own failure domain makes others there likely.
		names = unknown.preferred(nearLost == 1)
	}
	if len(names) == 0 {
		return Choice{RetryAt: retryAt}
	}
	return Choice{Peer: names[random.IntN(len(names))]}
}

// pool holds peers of which as much is known.
type pool struct{ near, far []string }

func (po *pool) add(peer Peer) {
	if peer.Near {
		po.near = append(po.near, peer.Name)
		return
	}
	po.far = append(po.far, peer.Name)
}

// maxInstancesForOne is the number of instances of a failure domain for which one of its others passes messages on before those of
// other failure domains do, too.
const maxInstancesForOne = 2

// preferred returns the peers to choose from: all, or only those of the own failure domain if there are any.
func (po *pool) preferred(near bool) []string {
	if near && len(po.near) > 0 {
		return po.near
	}
	return slices.Concat(po.near, po.far)
}
