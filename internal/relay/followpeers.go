package relay

import (
	"context"
	"net"
	"time"
)

const (
	// maxAgeShare is the maximum age of a usable confirmation, as a share of ConfigLag. An Instance that sends an older
	// one cannot reach the store itself, and accepting its confirmation would hide every change made in the store since.
	maxAgeShare = 0.4
	// maxConfirmRounds is the maximum number of requests for one confirmation. Several are sent if the changes do not fit
	// into one response.
	maxConfirmRounds = 256
)

// How a follower has its state confirmed by other instances. Each confirmation carries the changes that are missing here.

// confirmByPeers asks pollers in turn to confirm the state and reports whether one did.
func (fl *follower) confirmByPeers(ctx context.Context) bool {
	for _, from := range fl.in.gossip.pickPollers(fl.pollerCount()) {
		if fl.confirmByPeer(ctx, from) {
			fl.pollers = fl.pollerCount() / 2
			return true
		}
	}
	return false
}

// confirmByRegularPollers asks the regular pollers at the same time to confirm the state, if further instances are taken as
// pollers, and reports whether one did. If so, these are not needed any more.
func (fl *follower) confirmByRegularPollers(ctx context.Context) bool {
	if fl.pollerCount() == storePollers {
		return false
	}
	requestedAt := bootTime()
	for from, conf := range fl.in.gossip.requestConfirmations(ctx, fl.in.gossip.pollerAddresses(storePollers), fl.position()) {
		if fl.isOld(&conf) || fl.catchUp(ctx, from, &conf) != nil {
			continue
		}
		if fl.acceptConfirmation(requestedAt, &conf) || fl.confirmByPeer(ctx, from) {
			withPosition(fl.in.log.Info().Int("Pollers", storePollers), fl.position()).Msg("state confirmed by a regular poller; no more instances are taken as pollers")
			fl.pollers = storePollers
			return true
		}
	}
	return false
}

// confirmByPeer requests the changes from the Instance at the address until the state here has reached its position,
// and reports whether that Instance confirmed the state. The confirmation is dated to when the request was sent, minus
// the age stated in the response. So neither a suspended process nor a late datagram can extend a token's lifetime, and
// a confirmation never becomes younger when it is passed on.
func (fl *follower) confirmByPeer(ctx context.Context, from *net.UDPAddr) bool {
	for range maxConfirmRounds {
		requestedAt := bootTime()
		conf, ok := fl.in.gossip.requestConfirmation(ctx, from, fl.position())
		fl.in.recordTime("Peers.Wait", bootTime()-requestedAt)
		if !ok {
			fl.in.count("Peers.Unanswered")
			return false
		}
		if fl.isOld(&conf) {
			fl.adoptConfiguration(ctx, from, &conf)
			return false
		}
		if err := fl.catchUp(ctx, from, &conf); err != nil {
			fl.in.count("Peers.NotFollowed")
			return false
		}
		fl.adoptConfiguration(ctx, from, &conf)
		fl.adoptEvacuations(from, &conf)
		if fl.acceptConfirmation(requestedAt, &conf) {
			return true
		}
	}
	return false
}

// isOld reports whether the confirmation is too old to be used, and counts it if so.
func (fl *follower) isOld(conf *confirmation) bool {
	if time.Duration(conf.AgeMs)*time.Millisecond <= time.Duration(maxAgeShare*float64(fl.in.opts.ConfigLag)) {
		return false
	}
	fl.in.count("Peers.Old")
	return true
}

// acceptConfirmation records the confirmation if the state here has reached its position, and reports whether it has. A
// confirmation from before a return of the store, or of an Instance that does not know of it, proves nothing.
func (fl *follower) acceptConfirmation(requestedAt time.Duration, conf *confirmation) bool {
	if have := fl.position(); have.Before(conf.position()) || !have.SameEra(conf.position()) {
		return false
	}
	fl.in.count("Confirmed.ByPeer")
	fl.in.recordTime("Peers.Age", time.Duration(conf.AgeMs)*time.Millisecond)
	fl.markReachable()
	fl.confirm(requestedAt - time.Duration(conf.AgeMs)*time.Millisecond)
	return true
}
