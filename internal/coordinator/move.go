package coordinator

import (
	"errors"
	"slices"

	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// errMoved is why a request ends whose replica or gateway leaves; the sample goes on elsewhere.
var errMoved = errors.New("the replica or gateway is leaving")

// moveAway takes samples off replicas that leave and off gateways that are not live any more. The tokens made
// so far go along as the continuation's prefix; the KV cache goes along from a replica that leaves, which saves the
// next one a prefill. The caller holds the mutex.
func (s *Server) moveAway(p *pool, view *table.View) {
	live := map[string]bool{}
	for _, member := range s.session.Members().GetMembers() {
		if member.GetRole() == wire.MemberRole_MEMBER_ROLE_GATEWAY && member.GetState() == wire.MemberState_MEMBER_STATE_ALIVE {
			live[member.GetAddress()] = true
		}
	}
	for _, one := range p.running {
		if one.generated || one.stop == nil {
			continue
		}
		if live[one.gateway] && !s.leavingReplica(p, view, one.replica) {
			continue
		}
		if live[one.gateway] {
			s.transfer(one, view, one.stop)
		} else {
			one.stop(errMoved)
		}
		one.stop = nil
		s.stats.Moved++
	}
}

// leavingReplica tells whether a replica is about to go: the table says so, or the replica itself.
func (s *Server) leavingReplica(p *pool, view *table.View, name string) bool {
	if name == "" {
		return false
	}
	if row := view.Row(name); row == nil || row.State != table.Active {
		return true
	}
	known := p.replicas[name]
	return known != nil && known.known && known.report.Leaving || slices.Contains(p.news.Leaving, name)
}
