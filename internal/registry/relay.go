package registry

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tamarindring/tamarindring/internal/batching"
)

const (
	// relayTimeout bounds one message with heartbeats to the leader, so that time remains for another route if the
	// leader is lost.
	relayTimeout = 400 * time.Millisecond
	// relayAnswerTime is how long the leader works on a message before it answers for the heartbeats that are finished by
	// then. A message with many registrations must not time out for the others in it.
	relayAnswerTime = relayTimeout / 2
	// maximumRelayed bounds the heartbeats in one message.
	maximumRelayed = 256
	// spreadThreshold is the number of registered replicas above which replicas stay with the control node that they
	// reached. Otherwise the leader would hold a connection to each replica and process all heartbeats alone. Up to the
	// threshold, heartbeats that go directly to the leader cost the fleet the least.
	spreadThreshold = 600
)

// errRefused is the result for a heartbeat that the leader received and did not accept.
var errRefused = errors.New("the leader did not take the heartbeat")

// relays forwards heartbeats to the leader. Heartbeats that arrive while a message is outstanding are sent together in
// the next one. Those that change the table have messages of their own, because their answers take longer.
type relays struct {
	send      func(ctx context.Context, heartbeats []*Registration) (taken []bool, err error)
	unchanged batching.Queue[*Registration]
	changes   batching.Queue[*Registration]
}

func newRelays(send func(context.Context, []*Registration) ([]bool, error)) *relays {
	r := &relays{send: send}
	for _, queue := range []*batching.Queue[*Registration]{&r.unchanged, &r.changes} {
		queue.Take, queue.Run = batching.AtMost[*Registration](maximumRelayed), r.forward
	}
	return r
}

// forward sends one message with a batch of heartbeats and answers their callers.
func (r *relays) forward(batch []*batching.Call[*Registration]) (postponed []*batching.Call[*Registration]) {
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	heartbeats := make([]*Registration, 0, len(batch))
	for _, call := range batch {
		heartbeats = append(heartbeats, call.Value)
	}
	taken, err := r.send(ctx, heartbeats)
	for number, call := range batch {
		switch {
		case err != nil:
			call.Finish(err)
		case number >= len(taken) || !taken[number]:
			call.Finish(errRefused)
		default:
			call.Finish(nil)
		}
	}
	return nil
}

// relay forwards a heartbeat to the leader and returns its answer.
func (s *Service) relay(ctx context.Context, heartbeat *Registration) error {
	queue := &s.relays.changes
	if view := s.config.View(); view != nil && Classify(view.Row(heartbeat.Instance), heartbeat) != Changed {
		queue = &s.relays.unchanged
	}
	return queue.Do(ctx, heartbeat)
}

// TakeRelayed processes heartbeats that another node forwarded, and reports for each whether it may be acknowledged. It
// answers within relayAnswerTime: a registration that takes longer goes on, and is acknowledged at the replica's next
// heartbeat. An element is nil if the heartbeat could not be decoded; it must not be acknowledged.
func (s *Service) TakeRelayed(ctx context.Context, heartbeats []*Registration) []bool {
	taken := make([]atomic.Bool, len(heartbeats))
	detached, cancel := context.WithTimeout(context.WithoutCancel(ctx), batchTimeout)
	var working sync.WaitGroup
	for number, heartbeat := range heartbeats {
		if heartbeat != nil {
			working.Go(func() { taken[number].Store(s.TakeHere(detached, heartbeat) == nil) })
		}
	}
	finished := make(chan struct{})
	go func() {
		defer cancel()
		working.Wait()
		close(finished)
	}()
	limit := time.NewTimer(relayAnswerTime)
	defer limit.Stop()
	select {
	case <-finished:
	case <-limit.C:
	}
	answer := make([]bool, len(heartbeats))
	for number := range taken {
		answer[number] = taken[number].Load()
	}
	return answer
}

// ShouldSpread reports whether replicas should stay with the control node that they reached because there are many of
// them. Otherwise they should send their heartbeats to the leader.
func (s *Service) ShouldSpread() bool {
	view := s.config.View()
	return view != nil && view.Registered() > spreadThreshold
}
