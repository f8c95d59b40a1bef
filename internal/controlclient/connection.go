package controlclient

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// sendQueueLength is the number of requests that may wait for the writer of one connection.
const sendQueueLength = 1024

// managerOptions are those of every connection to a control node: messages are flushed by the writer
// when it has no more of them, so that many requests share one system call.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maximumMessageBytes},
		Stream: drpcstream.Options{ManualFlush: true, MaximumBufferSize: wire.KeptBufferBytes},
	}
}

// openControl dials address and returns a drpc connection to its control service.
func openControl(ctx context.Context, config *Config, address string) (*drpcconn.Conn, error) {
	dialContext, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	transport, err := config.Dial(dialContext, "tcp", address)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "control node %s can't be reached", address)
	}
	if tcp, ok := transport.(*net.TCPConn); ok {
		_ = tcp.SetNoDelay(true)
	}
	return drpcconn.NewWithOptions(config.Credentials.Secure(transport), drpcconn.Options{Manager: managerOptions()}), nil
}

// connection is one pipelined Execute stream to one control node.
type connection struct {
	address string
	conn    *drpcconn.Conn
	stream  wire.DRPCControl_ExecuteClient
	queue   chan *wire.ExecuteRequest
	cancel  context.CancelFunc
	done    chan struct{} // closed when the stream is broken

	mutex    sync.Mutex
	pending  map[uint64]chan *wire.ExecuteReply
	nextID   uint64
	broken   error
	heard    time.Time // of the last reply
	routines sync.WaitGroup
}

// newConnection dials and starts the stream's reader and writer. ctx bounds the whole life.
func newConnection(ctx context.Context, config *Config, address string) (*connection, error) {
	conn, err := openControl(ctx, config, address)
	if err != nil {
		return nil, err
	}
	streamContext, cancel := context.WithCancel(ctx)
	stream, err := wire.NewDRPCControlClient(conn).Execute(config.Credentials.Context(streamContext))
	if err != nil {
		cancel()
		_ = conn.Close()
		return nil, trace.ConnectionProblem(err, "control node %s refused the stream", address)
	}
	c := &connection{
		address: address, conn: conn, stream: stream, cancel: cancel,
		queue:   make(chan *wire.ExecuteRequest, sendQueueLength),
		done:    make(chan struct{}),
		pending: make(map[uint64]chan *wire.ExecuteReply),
	}
	c.routines.Add(2)
	go c.write()
	go c.read()
	return c, nil
}

// call sends one request and waits for its reply. sent is false when the request certainly never left.
func (c *connection) call(ctx context.Context, request *wire.ExecuteRequest) (reply *wire.ExecuteReply, sent bool, err error) {
	if err := ctx.Err(); err != nil {
		return nil, false, err
	}
	replies := make(chan *wire.ExecuteReply, 1)
	if err := c.register(request, replies); err != nil {
		return nil, false, err
	}
	defer c.forget(request.Id)
	select {
	case c.queue <- request:
	case <-c.done:
		return nil, false, c.failure()
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
	reply, err = c.await(ctx, replies)
	return reply, true, err
}

// await waits for the reply to a request that was queued. A reply that is here counts, also when the stream
// has broken or ctx has ended since: without it, a command that was refused would pass for one that may have run.
func (c *connection) await(ctx context.Context, replies <-chan *wire.ExecuteReply) (*wire.ExecuteReply, error) {
	var cause error
	select {
	case reply := <-replies:
		return reply, nil
	case <-c.done:
		cause = c.failure()
	case <-ctx.Done():
		cause = ctx.Err()
	}
	select {
	case reply := <-replies:
		return reply, nil
	default:
		return nil, cause
	}
}

func (c *connection) register(request *wire.ExecuteRequest, replies chan *wire.ExecuteReply) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.broken != nil {
		return c.broken
	}
	c.nextID++
	request.Id = c.nextID
	c.pending[request.Id] = replies
	return nil
}

func (c *connection) forget(id uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.pending, id)
}

func (c *connection) failure() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.broken
}

// write sends queued requests and flushes when none is waiting.
func (c *connection) write() {
	defer c.routines.Done()
	for {
		select {
		case <-c.done:
			return
		case request := <-c.queue:
			if err := c.writeBatch(request); err != nil {
				c.fail(err)
				return
			}
		}
	}
}

func (c *connection) writeBatch(request *wire.ExecuteRequest) error {
	for {
		if err := c.stream.Send(request); err != nil {
			return err
		}
		select {
		case request = <-c.queue:
		default:
			return flush(c.stream)
		}
	}
}

func (c *connection) read() {
	defer c.routines.Done()
	for {
		reply, err := c.stream.Recv()
		if err != nil {
			c.fail(err)
			return
		}
		c.mutex.Lock()
		replies := c.pending[reply.Id]
		delete(c.pending, reply.Id)
		c.heard = time.Now()
		c.mutex.Unlock()
		if replies != nil {
			replies <- reply
		}
	}
}

// fail marks the connection broken, once, and wakes all waiting callers.
func (c *connection) fail(cause error) {
	c.mutex.Lock()
	first := c.broken == nil
	if first {
		c.broken = trace.ConnectionProblem(cause, "the connection to control node %s broke", c.address)
		close(c.done)
	}
	c.mutex.Unlock()
	if first {
		c.cancel()
		_ = c.conn.Close()
	}
}

// heardSince says whether any reply arrived after the given moment.
func (c *connection) heardSince(moment time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.heard.After(moment)
}

func (c *connection) isBroken() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// close breaks the connection and waits for its goroutines.
func (c *connection) close() {
	c.fail(context.Canceled)
	c.routines.Wait()
}
