package executorclient

import "github.com/cespare/xxhash/v2"

// choose selects the executor for a run at a replica among the usable ones. It prefers executors in the zone of the
// replica, and always selects the same one for the same replica while that one stays, so that its connections to the
// replica are reused. An executor in the leader's own process would be lost together with the leader, so it is
// avoided. If it is the only one in the zone, an executor of another zone is selected, and the leader's own only if
// there is none. choose returns false if the zone has no executor, and the caller then drives the run itself.
func choose(usable []Peer, leader, zone, instance string) (Peer, bool) {
	var near, elsewhere, own []Peer
	for _, peer := range usable {
		switch {
		case peer.Name == leader:
			if peer.Zone == zone {
				own = append(own, peer)
			}
		case peer.Zone == zone:
			near = append(near, peer)
		default:
			elsewhere = append(elsewhere, peer)
		}
	}
	switch {
	case len(near) > 0:
		return highestRanked(near, instance), true
	case len(own) == 0:
		return Peer{}, false
	case len(elsewhere) > 0:
		return highestRanked(elsewhere, instance), true
	}
	return own[0], true
}

// highestRanked returns the executor with the highest rendezvous hash for a replica.
func highestRanked(peers []Peer, instance string) (best Peer) {
	var bestRank uint64
	for position, peer := range peers {
		if rank := xxhash.Sum64String(instance + "\x00" + peer.Name); position == 0 || rank > bestRank {
			best, bestRank = peer, rank
		}
	}
	return best
}
