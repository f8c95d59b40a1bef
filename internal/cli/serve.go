package cli

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/metrics"
)

// leavePollInterval is how often a process checks whether an operator has asked it to leave, and whether it holds a
// lease.
const leavePollInterval = 200 * time.Millisecond

// memberServer is the common interface of gateways and coordinators.
type memberServer interface {
	metrics.Process
	// Address returns the bound IP:port.
	Address() string
	Run(context.Context) error
	Drain(context.Context) error
	Close() error
	// LeaveRequested reports whether an operator has asked this process to finish its work and leave.
	LeaveRequested() bool
}

// serveMember runs a server until it fails, ctx ends, an operator asks it to leave, or it has been without a lease
// for too long. Then it drains the server for at most drainTime.
func serveMember(ctx context.Context, server memberServer, drainTime time.Duration, monitor *leaseLossMonitor, log *logrus.Entry) error {
	uncancelled := context.WithoutCancel(ctx)
	served := make(chan error, 1)
	go func() { served <- server.Run(uncancelled) }()
	if err, ended := waitForStop(ctx, server, served, monitor, log); ended {
		return err
	}
	if monitor.isExpired() {
		return drainAfterLoss(uncancelled, server, drainTime, monitor.limit)
	}
	drainContext, cancel := context.WithTimeout(uncancelled, drainTime)
	defer cancel()
	if err := server.Drain(drainContext); err != nil {
		_ = server.Close()
		return err
	}
	return <-served
}

// waitForStop returns when the server should be drained, or with the server's error and ended set when it has stopped
// by itself.
func waitForStop(ctx context.Context, server memberServer, served <-chan error, monitor *leaseLossMonitor, log *logrus.Entry) (err error, ended bool) {
	ticker := time.NewTicker(leavePollInterval)
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
			if monitor.update(time.Now(), server.Ready(ctx) == nil) {
				return nil, false
			}
		}
	}
}

// leaseLossMonitor detects that a process has been without a lease for too long. If every control node that a process
// knows is replaced while it is cut off, it can find the new ones only in its settings, which are read at the start.
// So it has to be restarted.
type leaseLossMonitor struct {
	limit     time.Duration // 0: no limit
	lostSince time.Time     // zero while the process is ready
	expired   bool
}

// update records whether the process is ready now. It reports whether the limit has been reached.
func (m *leaseLossMonitor) update(now time.Time, ready bool) bool {
	switch {
	case ready || m.limit == 0:
		m.lostSince = time.Time{}
	case m.lostSince.IsZero():
		m.lostSince = now
	default:
		m.expired = now.Sub(m.lostSince) >= m.limit
	}
	return m.expired
}

func (m *leaseLossMonitor) isExpired() bool { return m.expired }

// maxLostDrainTime bounds the drain of a process that has lost its lease. It can't announce its leaving to any
// control node, so only the requests in flight have to be finished.
const maxLostDrainTime = 30 * time.Second

// drainAfterLoss finishes the requests in flight and returns an error, so that the process's supervisor restarts it.
func drainAfterLoss(ctx context.Context, server memberServer, drainTime, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, min(drainTime, maxLostDrainTime))
	defer cancel()
	if err := server.Drain(ctx); err != nil {
		_ = server.Close()
	}
	return trace.ConnectionProblem(nil, "no control node has granted a lease for %v; start again with control nodes that live", limit)
}
