package executorclient

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/tamarindring/tamarindring/internal/executor"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// briefExecutor is an executor that accepts each leader, lists the run that the tests use, and ends the stream when the
// order to attach to it arrives.
type briefExecutor struct{}

func (briefExecutor) Drive(stream wire.DRPCExecutor_DriveStream) error {
	if _, err := stream.Recv(); err != nil {
		return err
	}
	held := &wire.HeldRun{Key: startOrder().GetKey(), Term: 3, Number: 1}
	welcome := &wire.RunWelcome{Accepted: true, Protocol: executor.Protocol, Runs: []*wire.HeldRun{held}}
	if err := stream.Send(&wire.RunReport{Welcome: welcome}); err != nil {
		return err
	}
	_, err := stream.Recv()
	return err
}

// dialBriefExecutor connects to a new briefExecutor through a pipe, so that connecting takes no time on the synthetic
// clock.
func dialBriefExecutor(t *testing.T) net.Conn {
	t.Helper()
	mux := drpcmux.New()
	if err := wire.DRPCRegisterExecutor(mux, briefExecutor{}); err != nil {
		t.Fatal(err)
	}
	near, far := net.Pipe()
	go func() { _ = drpcserver.New(mux).ServeOne(context.Background(), far) }()
	return near
}

// TestStreamsWithoutReportsDontCountAsReconnected: an executor ends each stream right after the welcome. The leader
// must pause between two attempts instead of reconnecting in a busy loop, and must give up the followed run as if no
// stream had been reopened.
func TestStreamsWithoutReportsDontCountAsReconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const observed = reconnectTimeout + retryPause
		const maxGreetings = int64(observed/retryPause) + 1
		var greetings atomic.Int64
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		fleet, err := New(Config{Term: 3, Peers: func() []Peer { return nil }, Dial: func(context.Context, string) (net.Conn, error) {
			if greetings.Add(1) > maxGreetings {
				cancel() // without pauses the synthetic clock would never advance
			}
			return dialBriefExecutor(t), nil
		}})
		if err != nil {
			t.Fatal(err)
		}
		l := newLink(fleet, Peer{Name: "e1"}, cancel)
		run := newFollowedRun(executor.Order{Term: 3, Number: 1})
		l.runs[keyOf(startOrder().GetKey())] = run
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			l.run(ctx)
		}()
		time.Sleep(observed)
		synctest.Wait()
		if _, outcome := run.takeQueued(); outcome == nil || !errors.Is(outcome.Err, ErrLost) {
			t.Errorf("outcome after %v: %v, want ErrLost", observed, outcome)
		}
		if count := greetings.Load(); count < 2 || count > maxGreetings {
			t.Errorf("connected %d times in %v, want a pause of %v between two attempts", count, observed, retryPause)
		}
		cancel()
		<-ended
	})
}
