package controlclient

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/pause"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	// leaderWait bounds how long a session waits at all nodes for news of a leader before it asks them one by one
	// again. By then a node that was down may be back, and the address of a replacement may be known.
	leaderWait = 500 * time.Millisecond
	// watchRetryInterval is the pause before an unreachable node is asked again during that wait.
	watchRetryInterval = 40 * time.Millisecond
)

// awaitLeader waits at all known nodes at once until one of them leads or names the leader, and records that leader.
// A node tells its open session streams who has won an election, so the process learns it at once and without
// polling.
//
// All nodes are asked because a single one may never answer: a partitioned or empty node does not learn of the
// election, and a machine without power does not even refuse connections. A node that names failed as the leader is
// not believed, because followers keep naming a leader for a while after it has died.
func (s *Session) awaitLeader(ctx context.Context, failed string) {
	ctx, cancel := context.WithTimeout(ctx, s.client.config.leaderWait)
	defer cancel()
	var watchers sync.WaitGroup
	defer watchers.Wait()
	found := make(chan string, 1)
	for _, address := range s.client.Addresses() {
		watchers.Go(func() {
			if leader := s.watch(ctx, address, failed); leader != "" {
				select {
				case found <- leader:
				default: // another node answered first
				}
				cancel()
			}
		})
	}
	<-ctx.Done()
	watchers.Wait()
	select {
	case leader := <-found:
		s.client.setLeader(ControlGroup, leader)
	default:
	}
}

// watch waits at one node, reconnecting as needed, until it leads or names the leader. It returns the address of that
// leader, or "" once ctx has ended.
func (s *Session) watch(ctx context.Context, address, failed string) (leader string) {
	for ctx.Err() == nil {
		leader, err := s.watchOnce(ctx, address, failed)
		if err == nil {
			return leader
		}
		_ = pause.For(ctx, watchRetryInterval) // the loop condition checks ctx
	}
	return ""
}

// watchOnce reads one stream until a reply identifies the leader, whose address it returns, or the stream breaks.
func (s *Session) watchOnce(ctx context.Context, address, failed string) (leader string, err error) {
	conn, err := openControl(ctx, &s.client.config, address)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	stream, err := wire.NewDRPCControlClient(conn).Session(s.client.config.Credentials.Context(ctx))
	if err != nil {
		return "", trace.Wrap(err)
	}
	request := &wire.SessionRequest{Member: s.member.Load(), Sequence: 1, ActedVersion: s.view.Load().Version(),
		MembersVersion: s.Members().MembersVersion, AcceptsPacked: true, Scope: s.client.config.Scope}
	if err = stream.Send(request); err != nil {
		return "", trace.Wrap(err)
	}
	if err = flush(stream); err != nil {
		return "", trace.Wrap(err)
	}
	for {
		reply, err := stream.Recv()
		if err != nil {
			return "", trace.Wrap(err)
		}
		switch {
		case reply.LeaderAddress != "" && reply.LeaderAddress != failed:
			return reply.LeaderAddress, nil
		case reply.Granted || reply.SupersededBy != 0 || isInvitation(reply):
			return address, nil
		}
	}
}

// isInvitation reports whether a reply is an invitation to renew: an otherwise empty reply by which a node announces
// that it leads now.
func isInvitation(reply *wire.SessionReply) bool {
	return reply.Sequence == 0 && !reply.Granted && reply.LeaderAddress == "" && !reply.LeaderUnknown &&
		reply.Update == nil && len(reply.PackedUpdate) == 0 && reply.Members == nil
}
