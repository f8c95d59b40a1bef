package cli

import (
	"context"
	"time"

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
func serveMember(ctx context.Context, server memberServer, drainTime time.Duration, log *logrus.Entry) error {
	lasting := context.WithoutCancel(ctx)
	served := make(chan error, 1)
	go func() { served <- server.Run(lasting) }()
	if err, ended := waitForStop(ctx, server, served, log); ended {
		return err
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
func waitForStop(ctx context.Context, server memberServer, served <-chan error, log *logrus.Entry) (err error, ended bool) {
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
		}
	}
}
