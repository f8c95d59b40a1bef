package cli

import (
	"context"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tamarindring/tamarindring/internal/logging"
)

// leaselessServer never holds a lease and serves until it is drained.
type leaselessServer struct{ drained chan struct{} }

func (s *leaselessServer) Ready(context.Context) error {
	return trace.ConnectionProblem(nil, "no lease")
}
func (s *leaselessServer) Collector() prometheus.Collector { return prometheus.NewRegistry() }
func (s *leaselessServer) Address() string                 { return "" }
func (s *leaselessServer) LeaveRequested() bool            { return false }
func (s *leaselessServer) Close() error                    { return nil }
func (s *leaselessServer) Run(context.Context) error       { <-s.drained; return nil }
func (s *leaselessServer) Drain(context.Context) error     { close(s.drained); return nil }

// TestProcessWithoutControlNodesServesForEver: a process that has been without a lease for the limit must drain and
// end with an error. Otherwise a process that knows only control nodes that are gone would run forever without ever
// finding the present ones.
func TestProcessWithoutControlNodesServesForEver(t *testing.T) {
	server := &leaselessServer{drained: make(chan struct{})}
	err := serveMember(context.Background(), server, time.Minute, &leaseLossMonitor{limit: time.Millisecond}, logging.Discard())
	if !trace.IsConnectionProblem(err) {
		t.Errorf("got error %v, want a connection problem", err)
	}
	select {
	case <-server.drained:
	default:
		t.Error("the server was not drained")
	}
}

// Only a loss of the lease that lasts as long as the limit may end the process: a recovery in between starts the time
// anew, and limit 0 never ends it.
func TestShortLossEndsTheProcess(t *testing.T) {
	at := time.Unix(0, 0)
	for _, test := range []struct {
		limit   time.Duration
		ready   []bool // one entry per second
		expired bool
	}{
		{3 * time.Second, []bool{true, false, false, false, true, false, false, false}, false},
		{3 * time.Second, []bool{true, false, false, false, false}, true},
		{0, []bool{false, false, false, false, false}, false},
	} {
		monitor := &leaseLossMonitor{limit: test.limit}
		for second, ready := range test.ready {
			monitor.update(at.Add(time.Duration(second)*time.Second), ready)
		}
		if monitor.isExpired() != test.expired {
			t.Errorf("%+v: got expired %v", test, monitor.isExpired())
		}
	}
}
