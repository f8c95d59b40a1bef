package control

import (
	"context"

	"github.com/tamarindring/tamarindring/internal/consensus"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// standbyDelay is how much later than others a standby stands for election: two further election timeouts, in
// which the others mostly have elected one of theirs.
const standbyDelay = 2 * consensus.DefaultElectionTicks

// campaignDelay is the consensus groups' CampaignDelayTicks.
func (c *Config) campaignDelay() int {
	if c.Standby {
		return standbyDelay
	}
	return 0
}

// MayRetire tells whether the groups keep all their voters when the standby at an address goes: there are as many
// others, voters or nodes that have asked lately, as are needed beside the voters that are no standbys. It is this
// node's view, which may lag.
func (s *Server) MayRetire(ctx context.Context, address string) (bool, error) {
	others, needed := map[uint64]bool{}, 0
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
		leaders := 0
		for _, voter := range status.Configuration.Voters {
			switch {
			case !isStandby(voter):
				leaders++
			case !gone[addresses[voter]]:
				others[voter] = true
			}
		}
		needed = max(needed, s.config.Voters-leaders)
	}
	for _, candidate := range s.voters.asking(s.config.Clock()) {
		if candidate.Standby && !gone[candidate.Address] {
			others[candidate.ID] = true
		}
	}
	return len(others) >= needed, nil
}

// AddressOf is where a control node listens, as far as is known here; empty if it is not.
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

// retiring are the addresses of storage members that an operator has asked to leave: nodes there give their places up
// and get none.
func (s *Server) retiring() map[string]bool {
	addresses := map[string]bool{}
	for _, member := range s.publisher.currentMembers().GetMembers() {
		if member.Role == wire.MemberRole_MEMBER_ROLE_STORAGE && member.State == wire.MemberState_MEMBER_STATE_LEAVING {
			addresses[member.Address] = true
		}
	}
	return addresses
}
