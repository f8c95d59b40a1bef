package coordinator

import (
	"time"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// gatewayState is this coordinator's load on one gateway and its last failure. Guarded by the server's mutex.
type gatewayState struct {
	address  string
	running  int
	failedAt time.Duration // time of the last failure
	failing  bool
}

// gatewayBackoff is how long a failed gateway is avoided while others are available.
const gatewayBackoff = 500 * time.Millisecond

// chooseGateway returns the live gateway with the fewest requests of this coordinator, and counts one more there.
// Spreading requests evenly matches the table's limits, which are divided evenly among the gateways. It returns
// errNoGateway if no gateway is live.
func (s *Server) chooseGateway() (*gatewayState, error) {
	members := s.session.Members().GetMembers()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.now()
	var best *gatewayState
	for _, member := range members {
		if member.GetRole() != wire.MemberRole_MEMBER_ROLE_GATEWAY || member.GetState() != wire.MemberState_MEMBER_STATE_ALIVE {
			continue
		}
		gateway := s.gateways[member.GetAddress()]
		if gateway == nil {
			gateway = &gatewayState{address: member.GetAddress()}
			s.gateways[gateway.address] = gateway
		}
		if best == nil || gateway.isPreferred(best, now) {
			best = gateway
		}
	}
	if best == nil {
		return nil, errNoGateway
	}
	best.running++
	return best, nil
}

func (g *gatewayState) isPaused(now time.Duration) bool {
	return g.failing && now < g.failedAt+gatewayBackoff
}

func (g *gatewayState) isPreferred(other *gatewayState, now time.Duration) bool {
	if g.isPaused(now) != other.isPaused(now) {
		return other.isPaused(now)
	}
	return g.running < other.running
}

func (s *Server) releaseGateway(gateway *gatewayState, failed bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	gateway.running--
	gateway.failing = failed
	if failed {
		gateway.failedAt = s.now()
	}
}
