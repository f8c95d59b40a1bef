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
	// joinInterval is how often a node asks to carry the groups until it does.
	joinInterval = 300 * time.Millisecond
	// joinTimeout bounds one question.
	joinTimeout = 500 * time.Millisecond
	// announceTimeout bounds how long a planned stop tells the other nodes of itself.
	announceTimeout = 200 * time.Millisecond
	// joinPatience is how long a voter hears of no leader before it asks as well.
	joinPatience = 3 * time.Second
)

// Join implements wire.DRPCControlServer: it notes that a node asks to carry the groups or leaves, and says which nodes
// are known here. Each leader of a group decides by itself.
func (s *Server) Join(_ context.Context, request *wire.JoinRequest) (*wire.JoinReply, error) {
	if request.ClusterId != s.config.ClusterID {
		return nil, trace.BadParameter("this is a node of cluster %q, not of %q", s.config.ClusterID, request.ClusterId)
	}
	if request.Leaving {
		s.voters.leaves(request.Node)
	} else {
		s.voters.asks(request.Node, request.Address)
	}
	reply := &wire.JoinReply{}
	for _, known := range s.replicas.Nodes() {
		reply.Nodes = append(reply.Nodes, &wire.ControlNode{Node: known.ID, Address: known.Address})
	}
	return reply, nil
}

// join asks all control nodes that can be found, beginning with the seeds, to let this node carry the groups:
// until it is a voter in all of them, and again when it has heard of no leader for long. Then its place may
// have been taken while it could not be reached; with its disk it takes another one under its old identity.
func (s *Server) join(ctx context.Context) {
	if len(s.currentSeeds()) == 0 {
		return
	}
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	ledAt := s.config.Clock()
	for {
		votes, led := s.standing(ctx)
		now := s.config.Clock()
		if led {
			ledAt = now
		}
		if (!votes || now-ledAt > joinPatience) && !s.draining.Load() {
			s.askAll(ctx, false)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// SetSeeds replaces the addresses at which this node asks to carry the groups. The voters stay as they are.
func (s *Server) SetSeeds(seeds []string) { s.seeds.Store(&seeds) }

func (s *Server) currentSeeds() []string {
	if changed := s.seeds.Load(); changed != nil {
		return *changed
	}
	return s.config.Seeds
}

// standing tells whether this node is a voter in all groups and knows a leader in all, as far as it can tell.
func (s *Server) standing(ctx context.Context) (votes, led bool) {
	ctx, cancel := context.WithTimeout(ctx, localTimeout)
	defer cancel()
	votes, led = true, true
	for _, group := range s.groups() {
		status, err := s.replicas.Status(ctx, group)
		votes = votes && err == nil && status.Configuration.IsVoter(s.config.NodeID)
		led = led && err == nil && status.Leader != raft.None
	}
	return votes, led
}

// askAll tells every known node once that this one asks to carry the groups or leaves them, all at the same time:
// one that is cut off holds up nobody.
func (s *Server) askAll(ctx context.Context, leaving bool) {
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
		go func() { answers <- s.askOne(ctx, address, leaving) }()
	}
	for range asked {
		var nodes []consensus.Peer
		for _, node := range (<-answers).GetNodes() {
			nodes = append(nodes, consensus.Peer{ID: node.Node, Address: node.Address})
		}
		s.replicas.Introduce(nodes)
	}
}

// announceLeaving tells the other nodes that this one stops by plan; those that can't be reached are not waited for.
func (s *Server) announceLeaving(ctx context.Context) {
	if s.config.Voters == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	s.askAll(ctx, true)
}

// askOne returns nil if there is no answer.
func (s *Server) askOne(ctx context.Context, address string, leaving bool) *wire.JoinReply {
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
