package control

import (
	"context"

	"github.com/tamarindring/tamarindring/internal/consensus"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// standbyDelay is how much later than other nodes a standby campaigns, in ticks: two further election timeouts, within
// which the others have usually elected one of their own.
const standbyDelay = 2 * consensus.DefaultElectionTicks

// campaignDelay returns the CampaignDelayTicks of the consensus host.
func (c *Config) campaignDelay() int {
	if c.Standby {
		return standbyDelay
	}
	return 0
}

// CanRetire reports whether the groups keep all their voters if the standby at an address leaves: the remaining
// standbys that vote or recently asked to join must be enough to fill all places that other voters do not. It relies on
// this node's view, which may be out of date. It returns an error if the status of a group cannot be read.
func (s *Server) CanRetire(ctx context.Context, address string) (bool, error) {
	standbys, needed := map[uint64]bool{}, 0
	gone := s.retiring()
	gone[address] = true
	addresses := map[uint64]string{}
	for _, node := range s.replicas.Nodes() {
		addresses[node.ID] = node.Address
	}
	for _, group := range s.groups() {
		status, err := s.replicas.Status(ctx, group)
		if err != nil {
			return false, err
		}
		regularVoters := 0
		for _, voter := range status.Configuration.Voters {
			switch {
			case !isStandby(voter):
				regularVoters++
			case !gone[addresses[voter]]:
				standbys[voter] = true
			}
		}
		needed = max(needed, s.config.Voters-regularVoters)
	}
	for _, candidate := range s.voters.recentCandidates(s.config.Clock()) {
		if candidate.Standby && !gone[candidate.Address] {
			standbys[candidate.ID] = true
		}
	}
	return len(standbys) >= needed, nil
}

// AddressOf returns the IP:port of a control node, or "" if this node does not know it.
func (s *Server) AddressOf(node uint64) string {
	if node == s.config.NodeID {
		return s.Address()
	}
	for _, known := range s.replicas.Nodes() {
		if known.ID == node {
			return known.Address
		}
	}
	return ""
}

// retiring returns the addresses of storage members that an operator has asked to leave. Nodes at these addresses are
// replaced as voters and not added again.
func (s *Server) retiring() map[string]bool {
	addresses := map[string]bool{}
	for _, member := range s.publisher.currentMembers().GetMembers() {
		if member.Role == wire.MemberRole_MEMBER_ROLE_STORAGE && member.State == wire.MemberState_MEMBER_STATE_LEAVING {
			addresses[member.Address] = true
		}
	}
	return addresses
}
