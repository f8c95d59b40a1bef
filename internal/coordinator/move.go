package coordinator

import (
	"errors"
	"slices"

	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// errMoved ends a request whose replica or gateway is leaving. The sample resumes elsewhere.
var errMoved = errors.New("the replica or gateway is leaving")

// migrateSamples takes running samples off leaving replicas and off gateways that are no longer live. The next attempt
// resumes with the tokens generated so far as its prefix. From a leaving replica the KV cache is moved too, which saves
// the next replica a prefill. The caller holds the mutex.
func (s *Server) migrateSamples(p *pool, view *table.View) {
	live := map[string]bool{}
	for _, member := range s.session.Members().GetMembers() {
		if member.GetRole() == wire.MemberRole_MEMBER_ROLE_GATEWAY && member.GetState() == wire.MemberState_MEMBER_STATE_ALIVE {
			live[member.GetAddress()] = true
		}
	}
	for _, r := range p.running {
		if r.generated || r.stopRequest == nil {
			continue
		}
		if live[r.gateway] && !s.isReplicaLeaving(p, view, r.replica) {
			continue
		}
		if live[r.gateway] {
			s.transfer(r, view, r.stopRequest)
		} else {
			r.stopRequest(errMoved)
		}
		r.stopRequest = nil
		s.stats.Moved++
	}
}

// isReplicaLeaving reports whether a replica is leaving or gone, according to the table, its load report or the pool's
// collector. It is false for an empty name, which stands for a replica that is not known yet.
func (s *Server) isReplicaLeaving(p *pool, view *table.View, name string) bool {
	if name == "" {
		return false
	}
	if row := view.Row(name); row == nil || row.State != table.Active {
		return true
	}
	known := p.replicas[name]
	return known != nil && known.hasReport && known.report.Leaving || slices.Contains(p.collectorStatus.Leaving, name)
}
