package registry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/tamarindring/tamarindring/internal/batching"
)

const (
	// relayTimeout bounds one message with heartbeats to the leader, so that time remains for another route if the
	// leader is lost.
	relayTimeout = 300 * time.Millisecond
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
// the next one.
type relays struct {
	send  func(ctx context.Context, heartbeats []*Registration) (taken []bool, err error)
	queue batching.Queue[*Registration]
}

func newRelays(send func(context.Context, []*Registration) ([]bool, error)) *relays {
	r := &relays{send: send}
	r.queue.Take, r.queue.Run = batching.AtMost[*Registration](maximumRelayed), r.forward
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

// TakeRelayed processes heartbeats that another node forwarded, and reports for each whether it may be acknowledged. An
// element is nil if the heartbeat could not be decoded; it must not be acknowledged.
func (s *Service) TakeRelayed(ctx context.Context, heartbeats []*Registration) []bool {
	taken := make([]bool, len(heartbeats))
	var waiting sync.WaitGroup
	for number, heartbeat := range heartbeats {
		if heartbeat == nil {
			continue
		}
		waiting.Go(func() { taken[number] = s.TakeHere(ctx, heartbeat) == nil })
	}
	waiting.Wait()
	return taken
}

// ShouldSpread reports whether replicas should stay with the control node that they reached because there are many of
// them. Otherwise they should send their heartbeats to the leader.
func (s *Service) ShouldSpread() bool {
	view := s.config.View()
	return view != nil && view.Registered() > spreadThreshold
}
