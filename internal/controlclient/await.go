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
	// awaitTime is how long a session waits at all nodes for word of a leader before it asks them one by one again. A
	// node that was down may be back by then, and one that was replaced may be known.
	awaitTime = 500 * time.Millisecond
	// awaitAgain is the pause until a node that can't be reached is asked again meanwhile.
	awaitAgain = 40 * time.Millisecond
)

// awaitLeader waits at all known nodes at once until one of them leads or names the leader, and remembers that one. A
// node tells the streams that stay with it who has won an election, so a process learns it at once and without asking
// again and again; a node that is cut off or empty never hears of it, and one without power does not even refuse, so one
// alone must not be waited for. The word of others for the node failed does not count: they believe in a leader for a
// while after its end.
func (s *Session) awaitLeader(ctx context.Context, failed string) {
	ctx, cancel := context.WithTimeout(ctx, s.client.config.awaitTime)
	defer cancel()
	var watchers sync.WaitGroup
	defer watchers.Wait()
	found := make(chan string, 1)
	for _, address := range s.client.Addresses() {
		watchers.Go(func() {
			if leader := s.watch(ctx, address, failed); leader != "" {
				select {
				case found <- leader:
				default: // another node was faster
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

// watch stays with one node until it leads or names the leader, whose address is returned; empty once ctx has ended.
func (s *Session) watch(ctx context.Context, address, failed string) (leader string) {
	for ctx.Err() == nil {
		leader, err := s.watchOnce(ctx, address, failed)
		if err == nil {
			return leader
		}
		_ = pause.For(ctx, awaitAgain) // the loop sees that ctx has ended
	}
	return ""
}

// watchOnce reads one stream until it tells of a leader or breaks.
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
		MembersVersion: s.Members().MembersVersion, AcceptsPacked: true}
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

// isInvitation tells whether a reply says that its node leads now: it carries nothing else.
func isInvitation(reply *wire.SessionReply) bool {
	return reply.Sequence == 0 && !reply.Granted && reply.LeaderAddress == "" && !reply.LeaderUnknown &&
		reply.Update == nil && len(reply.PackedUpdate) == 0 && reply.Members == nil
}
