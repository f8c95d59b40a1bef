package coordinator

import (
	"time"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// gatewayUse is what this coordinator has at one gateway. Guarded by the server's mutex.
type gatewayUse struct {
	address string
	running int
	failed  time.Duration // time of the last failure
	failing bool
}

// gatewayPause is how long a gateway that failed is left alone while others serve.
const gatewayPause = 500 * time.Millisecond

// chooseGateway takes the live gateway with the fewest requests of this coordinator: the table's limits are
// divided evenly among the gateways.
func (s *Server) chooseGateway() (*gatewayUse, error) {
	members := s.session.Members().GetMembers()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.now()
	var best *gatewayUse
	for _, member := range members {
		if member.GetRole() != wire.MemberRole_MEMBER_ROLE_GATEWAY || member.GetState() != wire.MemberState_MEMBER_STATE_ALIVE {
			continue
		}
		known := s.gateways[member.GetAddress()]
		if known == nil {
			known = &gatewayUse{address: member.GetAddress()}
			s.gateways[known.address] = known
		}
		if best == nil || known.better(best, now) {
			best = known
		}
	}
	if best == nil {
		return nil, errNoGateway
	}
	best.running++
	return best, nil
}

func (g *gatewayUse) resting(now time.Duration) bool { return g.failing && now < g.failed+gatewayPause }

func (g *gatewayUse) better(other *gatewayUse, now time.Duration) bool {
	if g.resting(now) != other.resting(now) {
		return other.resting(now)
	}
	return g.running < other.running
}

func (s *Server) releaseGateway(gateway *gatewayUse, failed bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	gateway.running--
	gateway.failing = failed
	if failed {
		gateway.failed = s.now()
	}
}
