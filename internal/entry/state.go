package entry

// joinState lets the configuration and the claims reach the peers.
func (in *Instance) joinState() {
	if in.peers == nil {
		return
	}
	in.follower.Transport = in.peers
	in.follower.SetPeer(in.peers.Address())
	in.claims.Transport = in.peers
}
