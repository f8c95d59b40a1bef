package control

import (
	"errors"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/compat"
	"github.com/tamarindring/tamarindring/internal/consensus"
	"github.com/tamarindring/tamarindring/internal/state"
	"github.com/tamarindring/tamarindring/internal/storage"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// openHost opens the data folder and the replicated groups stored in it.
func (s *Server) openHost() error {
	store, err := storage.Open(storage.Options{
		Folder: s.config.DataFolder, ClusterID: s.config.ClusterID,
		NodeID: s.config.NodeID, NodeName: s.config.Name,
		HeadroomBytes: s.config.HeadroomBytes,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	storedGroups, err := store.Groups()
	if err != nil {
		return trace.NewAggregate(err, store.Close())
	}
	s.levels.founded = foundingState{isFounder: !s.config.Join && len(storedGroups) == 0, at: s.config.Clock()}
	host, err := consensus.New(consensus.Config{
		NodeID: s.config.NodeID, ClusterID: s.config.ClusterID,
		Name: s.config.Name, Address: s.Address(),
		Peers: s.consensusPeers(), Join: s.config.Join, Groups: s.groups(),
		Store:              timedStore{Store: store, syncDurations: s.syncDurations},
		NewStateMachine:    func(uint32) consensus.StateMachine { return state.New() },
		Tick:               s.config.Tick,
		CampaignDelayTicks: s.config.campaignDelay(),
		SnapshotBytes:      s.config.SnapshotBytes,
		RetainedBytes:      int(s.config.DiskBytes / retainedShare),
		Reserved:           func(group uint32) bool { return group == controlGroup },
		OnLeaderChange:     s.leaderChanged,
		OnApply:            s.applied,
		OnRestore:          s.restored,
		Credentials:        s.config.Credentials,
		Dial:               s.config.dialPeer(),
		IsStandby:          isStandby,
		SupportedLevel:     s.config.speaks(),
		CapacityBytes:      s.config.JobBytes,
		LevelInForce:       s.levels.agreed,
		Log:                s.log,
	})
	if err != nil {
		return trace.NewAggregate(err, store.Close())
	}
	s.store, s.replicas = store, host
	return nil
}

func (s *Server) consensusPeers() []consensus.Peer {
	peers := make([]consensus.Peer, 0, len(s.config.Peers))
	for _, peer := range s.config.Peers {
		address := peer.Address
		if peer.ID == s.config.NodeID {
			address = s.Address()
		}
		peers = append(peers, consensus.Peer{ID: peer.ID, Name: peer.Name, Address: address})
	}
	return peers
}

// groups returns the control group and the ledger groups.
func (s *Server) groups() []uint32 {
	groups := []uint32{controlGroup}
	for group := uint32(1); int(group) <= s.config.LedgerGroups; group++ {
		groups = append(groups, group)
	}
	return groups
}

// leaderChanged records a group's leader. The consensus host's loop calls it.
func (s *Server) leaderChanged(group uint32, leadership consensus.Leadership) {
	s.states[group].leadership.Store(&leadership)
	if group != controlGroup {
		return
	}
	select {
	case s.leaderChange <- struct{}{}:
	default:
	}
}

// applied processes an applied command. The consensus host's loop calls it.
func (s *Server) applied(group uint32, index uint64, command *wire.Command, result *wire.Result) {
	s.states[group].applied.Store(index)
	s.retention.applied(group, command)
	if command.GetJobSubmit() != nil || command.GetJobEnd() != nil {
		s.states[group].notifyJobsChanged()
	}
	if group == controlGroup && result.GetTable() != nil {
		// The grace period of holders that act on the previous version starts here, no matter how late the publisher
		// reads the change.
		s.leases.tableApplied(result.GetTable().Version)
	}
	if group == controlGroup && result.GetLevel() != nil {
		s.levels.applied(compat.Level(result.GetLevel().Level))
	}
	if group == controlGroup && (command.GetTableChange() != nil || command.GetMemberUpdate() != nil) {
		s.publisher.applied()
	}
}

// restored processes an applied snapshot. The consensus host's loop calls it.
func (s *Server) restored(group uint32, index uint64) {
	s.states[group].applied.Store(index)
	s.states[group].notifyJobsChanged()
	if group == controlGroup {
		s.publisher.applied()
	}
}

// failureReply returns the reply to a request that the group did not execute because of err.
func (s *Server) failureReply(group uint32, err error) *wire.ExecuteReply {
	reply := &wire.ExecuteReply{Status: wire.ExecuteStatus_EXECUTE_STATUS_UNKNOWN, Error: err.Error()}
	var notLeader *consensus.ErrNotLeader
	switch {
	case errors.As(err, &notLeader):
		reply.Status = wire.ExecuteStatus_EXECUTE_STATUS_NOT_LEADER
		reply.LeaderAddress = notLeader.LeaderAddress
	case errors.Is(err, consensus.ErrOverloaded), errors.Is(err, consensus.ErrDiskFull):
		reply.Status = wire.ExecuteStatus_EXECUTE_STATUS_OVERLOADED
	case errors.Is(err, consensus.ErrInvalid):
		reply.Status = wire.ExecuteStatus_EXECUTE_STATUS_INVALID
	}
	return reply
}
