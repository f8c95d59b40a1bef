package executor

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// testTimeout bounds waits. No test asserts on how much of it is used.
const testTimeout = 20 * time.Second

// unreadConn is the executor's end of a pipe whose peer stops reading after some writes.
type unreadConn struct {
	net.Conn
	writes  int           // that the peer still reads
	stuck   chan struct{} // closed when a write blocks
	waiting sync.Once
	closed  chan struct{}
	closing sync.Once
}

func (c *unreadConn) Write(data []byte) (int, error) {
	if c.writes > 0 {
		c.writes--
		return c.Conn.Write(data)
	}
	c.waiting.Do(func() { close(c.stuck) })
	<-c.closed
	return 0, net.ErrClosed
}

func (c *unreadConn) Close() error {
	c.closing.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// TestSupersededStreamsEndThoughNobodyReads guards against leaked goroutines: a former leader is frozen, and the write
// of a report, or of the welcome, to it blocks. When its successor connects, the old connection must be closed and its
// goroutines must end.
func TestSupersededStreamsEndThoughNobodyReads(t *testing.T) {
	for name, writes := range map[string]int{"the write of the welcome blocks": 0, "the write of a report blocks": 1} {
		t.Run(name, func(t *testing.T) {
			next := newTestStream(t, make(writtenReplica))
			near, far := net.Pipe()
			conn := &unreadConn{Conn: near, writes: writes, stuck: make(chan struct{}), closed: make(chan struct{})}
			ended := serveOne(t, next.server, conn)
			connectAndAttach(t, far)
			await(t, conn.stuck, "a blocked write")
			next.handshake(&wire.RunHello{Term: 9, Number: 1, Protocol: Protocol})
			await(t, ended, "the end of the superseded stream")
		})
	}
}

// serveOne serves one leader's connection. The returned channel is closed when its goroutines have ended.
func serveOne(t *testing.T, server *Server, conn *unreadConn) <-chan struct{} {
	t.Helper()
	mux := drpcmux.New()
	if err := wire.DRPCRegisterExecutor(mux, server); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = drpcserver.New(mux).ServeOne(context.Background(), conn)
	}()
	t.Cleanup(func() {
		_ = conn.Close()
		<-ended
	})
	return ended
}

// connectAndAttach plays a leader of term 4 that attaches to a run that is not held, which the executor reports at
// once.
func connectAndAttach(t *testing.T, transport net.Conn) {
	t.Helper()
	conn := drpcconn.New(transport)
	t.Cleanup(func() { _ = conn.Close() })
	stream, err := wire.NewDRPCExecutorClient(conn).Drive(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	orders := []*wire.RunOrder{
		{Kind: &wire.RunOrder_Hello{Hello: &wire.RunHello{Term: 4, Number: 1, Protocol: Protocol}}},
		{Kind: &wire.RunOrder_Attach{Attach: &wire.RunAttach{Key: &wire.RunKey{Job: "job", Item: "item"}, Order: WireOrder(someOrder)}}},
	}
	go func() {
		for _, order := range orders {
			if stream.Send(order) != nil {
				return
			}
		}
	}()
}

func await(t *testing.T, reached <-chan struct{}, what string) {
	t.Helper()
	select {
	case <-reached:
	case <-time.After(testTimeout):
		t.Fatalf("timed out waiting for %s", what)
	}
}
