package control

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"storj.io/drpc/drpcconn"

	"github.com/tamarindring/tamarindring/internal/consensus"
	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	// joinInterval is how often a node asks to join the groups until it is a voter.
	joinInterval = 300 * time.Millisecond
	// joinTimeout bounds one request to another node.
	joinTimeout = 500 * time.Millisecond
	// announceTimeout bounds how long a planned stop waits for its announcement to the other nodes.
	announceTimeout = 200 * time.Millisecond
	// noLeaderJoinDelay is how long a voter knows no leader before it asks to join again.
	noLeaderJoinDelay = 3 * time.Second
)

// Join implements wire.DRPCControlServer. It records that a node asks to join the groups or leaves them, and replies
// with the nodes known here. The leader of each group decides independently. A request from another cluster is an
// error.
func (s *Server) Join(_ context.Context, request *wire.JoinRequest) (*wire.JoinReply, error) {
	if request.ClusterId != s.config.ClusterID {
		return nil, trace.BadParameter("this is a node of cluster %q, not of %q", s.config.ClusterID, request.ClusterId)
	}
	if request.Leaving {
		s.voters.recordLeaving(request.Node)
	} else {
		s.voters.recordRequest(request.Node, request.Address)
	}
	reply := &wire.JoinReply{}
	for _, known := range s.replicas.Nodes() {
		reply.Nodes = append(reply.Nodes, &wire.ControlNode{Node: known.ID, Address: known.Address})
	}
	return reply, nil
}

// join asks all known control nodes, starting with the seeds, to add this node to the groups, until it is a voter in
// all of them. It asks again if no leader was known for noLeaderJoinDelay: the node may have been replaced while it was
// unreachable. Since it still has its disk, it then takes another place under its old identity.
func (s *Server) join(ctx context.Context) {
	if len(s.currentSeeds()) == 0 {
		return
	}
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	leaderKnownAt := s.config.Clock()
	for {
		isVoter, hasLeaders := s.votingStatus(ctx)
		now := s.config.Clock()
		if hasLeaders {
			leaderKnownAt = now
		}
		if (!isVoter || now-leaderKnownAt > noLeaderJoinDelay) && !s.draining.Load() {
			s.sendJoinToAll(ctx, false)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// SetSeeds replaces the addresses at which this node asks to join the groups. The voters do not change.
func (s *Server) SetSeeds(seeds []string) { s.seeds.Store(&seeds) }

func (s *Server) currentSeeds() []string {
	if changed := s.seeds.Load(); changed != nil {
		return *changed
	}
	return s.config.Seeds
}

// votingStatus reports whether this node is a voter in all groups and whether it knows a leader of all groups,
// according to its own state.
func (s *Server) votingStatus(ctx context.Context) (isVoter, hasLeaders bool) {
	ctx, cancel := context.WithTimeout(ctx, localTimeout)
	defer cancel()
	isVoter, hasLeaders = true, true
	for _, group := range s.groups() {
		status, err := s.replicas.Status(ctx, group)
		isVoter = isVoter && err == nil && status.Configuration.IsVoter(s.config.NodeID)
		hasLeaders = hasLeaders && err == nil && status.Leader != raft.None
	}
	return isVoter, hasLeaders
}

// sendJoinToAll sends one join or leave request to every known node. The requests run concurrently, so that an
// unreachable node delays no other.
func (s *Server) sendJoinToAll(ctx context.Context, leaving bool) {
	addresses := slices.Clone(s.currentSeeds())
	for _, known := range s.replicas.Nodes() {
		addresses = append(addresses, known.Address)
	}
	slices.Sort(addresses)
	answers := make(chan *wire.JoinReply)
	asked := 0
	for _, address := range slices.Compact(addresses) {
		if address == "" || address == s.Address() {
			continue
		}
		asked++
		go func() { answers <- s.sendJoin(ctx, address, leaving) }()
	}
	for range asked {
		var nodes []consensus.Peer
		for _, node := range (<-answers).GetNodes() {
			nodes = append(nodes, consensus.Peer{ID: node.Node, Address: node.Address})
		}
		s.replicas.AddKnownNodes(nodes)
	}
}

// announceLeaving notifies the other nodes that this node stops as planned. It does not wait for nodes that cannot be
// reached.
func (s *Server) announceLeaving(ctx context.Context) {
	if s.config.Voters == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	s.sendJoinToAll(ctx, true)
}

// sendJoin sends a join or leave request to one node. It returns nil if there is no answer.
func (s *Server) sendJoin(ctx context.Context, address string, leaving bool) *wire.JoinReply {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	connection, err := s.config.dialer()(ctx, "tcp", address)
	if err != nil {
		return nil
	}
	if credentials := s.config.Credentials; credentials != nil {
		connection, ctx = credentials.Secure(connection), credentials.Context(ctx)
	}
	conn := drpcconn.New(connection)
	defer conn.Close()
	reply, err := wire.NewDRPCControlClient(conn).Join(ctx, &wire.JoinRequest{
		ClusterId: s.config.ClusterID, Node: s.config.NodeID, Address: s.Address(), Leaving: leaving})
	if err != nil {
		s.log.WithError(err).Debugf("control node %s did not answer", address)
		return nil
	}
	return reply
}
