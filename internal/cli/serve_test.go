package cli

import (
	"context"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tamarindring/tamarindring/internal/logging"
)

// strandedServer holds no lease and serves until it is drained.
type strandedServer struct{ drained chan struct{} }

func (s *strandedServer) Ready(context.Context) error {
	return trace.ConnectionProblem(nil, "no lease")
}
func (s *strandedServer) Collector() prometheus.Collector { return prometheus.NewRegistry() }
func (s *strandedServer) Address() string                 { return "" }
func (s *strandedServer) LeaveRequested() bool            { return false }
func (s *strandedServer) Close() error                    { return nil }
func (s *strandedServer) Run(context.Context) error       { <-s.drained; return nil }
func (s *strandedServer) Drain(context.Context) error     { close(s.drained); return nil }

// TestProcessWithoutControlNodesServesForEver: whoever knows only control nodes that are gone has to start again.
func TestProcessWithoutControlNodesServesForEver(t *testing.T) {
	server := &strandedServer{drained: make(chan struct{})}
	err := serveMember(context.Background(), server, time.Minute, &lostWatch{limit: time.Millisecond}, logging.Discard())
	if !trace.IsConnectionProblem(err) {
		t.Errorf("it ended with %v", err)
	}
	select {
	case <-server.drained:
	default:
		t.Error("it was not drained")
	}
}

func TestShortLossEndsTheProcess(t *testing.T) {
	at := time.Unix(0, 0)
	for _, one := range []struct {
		limit time.Duration
		ready []bool // by second
		over  bool
	}{
		{3 * time.Second, []bool{true, false, false, false, true, false, false, false}, false},
		{3 * time.Second, []bool{true, false, false, false, false}, true},
		{0, []bool{false, false, false, false, false}, false},
	} {
		watch := &lostWatch{limit: one.limit}
		for second, ready := range one.ready {
			watch.look(at.Add(time.Duration(second)*time.Second), ready)
		}
		if watch.isOver() != one.over {
			t.Errorf("%+v: over is %v", one, watch.isOver())
		}
	}
}
