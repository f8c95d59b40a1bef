package cli

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/metrics"
)

// leavePoll is how often a process looks whether an operator has asked it to leave.
const leavePoll = 200 * time.Millisecond

// memberServer is what gateways and coordinators have in common.
type memberServer interface {
	metrics.Process
	// Address is the bound IP:port.
	Address() string
	Run(context.Context) error
	Drain(context.Context) error
	Close() error
	// LeaveRequested says whether an operator has asked this process to finish its work and leave.
	LeaveRequested() bool
}

// serveMember runs a server until it fails, ctx ends or an operator asks it to leave; then it drains it for
// at most drainTime.
func serveMember(ctx context.Context, server memberServer, drainTime time.Duration, lost *lostWatch, log *logrus.Entry) error {
	lasting := context.WithoutCancel(ctx)
	served := make(chan error, 1)
	go func() { served <- server.Run(lasting) }()
	if err, ended := waitForStop(ctx, server, served, lost, log); ended {
		return err
	}
	if lost.isOver() {
		return endLost(lasting, server, drainTime, lost.limit)
	}
	drainContext, cancel := context.WithTimeout(lasting, drainTime)
	defer cancel()
	if err := server.Drain(drainContext); err != nil {
		_ = server.Close()
		return err
	}
	return <-served
}

// waitForStop returns when the server should drain, or with its error when it has ended by itself.
func waitForStop(ctx context.Context, server memberServer, served <-chan error, lost *lostWatch, log *logrus.Entry) (err error, ended bool) {
	ticker := time.NewTicker(leavePoll)
	defer ticker.Stop()
	for {
		select {
		case err := <-served:
			return err, true
		case <-ctx.Done():
			return nil, false
		case <-ticker.C:
			if server.LeaveRequested() {
				log.Info("an operator asked this process to leave")
				return nil, false
			}
			if lost.look(time.Now(), server.Ready(ctx) == nil) {
				return nil, false
			}
		}
	}
}

// lostWatch notices that a process is without a lease for too long. One that was cut off while every control node that it
// knows was replaced finds the others by its settings only.
type lostWatch struct {
	limit time.Duration // 0: never
	since time.Time     // zero while the process is ready
	over  bool
}

// look takes the state of the moment, and tells whether the limit is passed.
func (w *lostWatch) look(now time.Time, ready bool) bool {
	switch {
	case ready || w.limit == 0:
		w.since = time.Time{}
	case w.since.IsZero():
		w.since = now
	default:
		w.over = now.Sub(w.since) >= w.limit
	}
	return w.over
}

func (w *lostWatch) isOver() bool { return w.over }

// lostDrainTime bounds the drain of a process that has no control node to say farewell to.
const lostDrainTime = 30 * time.Second

// endLost finishes what is in flight and fails.
func endLost(ctx context.Context, server memberServer, drainTime, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, min(drainTime, lostDrainTime))
	defer cancel()
	if err := server.Drain(ctx); err != nil {
		_ = server.Close()
	}
	return trace.ConnectionProblem(nil, "no control node has granted a lease for %v; start again with control nodes that live", limit)
}
