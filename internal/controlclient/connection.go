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

// managerOptions returns the drpc options of every connection to a control node. Flushing is manual: the writer
// flushes when it has nothing more to send, so that many requests share one system call.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maximumMessageBytes},
		Stream: drpcstream.Options{ManualFlush: true, MaximumBufferSize: wire.MaximumRetainedBufferBytes, SplitSize: wire.RequestFrameBytes},
	}
}

// openControl dials address and returns a drpc connection, secured by the credentials. Errors:
// trace.ConnectionProblem if the dial fails or takes longer than dialTimeout.
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
	done    chan struct{} // closed when the connection is broken

	mutex      sync.Mutex
	pending    map[uint64]chan *wire.ExecuteReply // callers waiting for a reply, by request id
	nextID     uint64
	broken     error     // why the connection broke; nil while it is usable
	lastReply  time.Time // time of the last reply
	goroutines sync.WaitGroup
}

// newConnection dials address and starts the stream's reader and writer. The connection lives until ctx ends or it
// breaks.
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
	c.goroutines.Add(2)
	go c.write()
	go c.read()
	return c, nil
}

// call sends one request and waits for its reply. sent is false only if the request certainly never left this
// process.
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
	reply, err = c.awaitReply(ctx, replies)
	return reply, true, err
}

// awaitReply waits for the reply to a queued request. A reply that has arrived is returned even if the stream has
// broken or ctx has ended since: dropping it would make a command that was rejected look like one that may have run.
func (c *connection) awaitReply(ctx context.Context, replies <-chan *wire.ExecuteReply) (*wire.ExecuteReply, error) {
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

// register assigns an id to request and records where its reply goes. It fails if the connection is broken.
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

// failure returns why the connection broke, or nil while it is usable.
func (c *connection) failure() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.broken
}

// write sends queued requests until the connection breaks, and flushes whenever the queue is empty.
func (c *connection) write() {
	defer c.goroutines.Done()
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

// writeBatch sends request and all queued ones, then flushes.
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

// read passes each reply to its caller until the stream breaks. Replies that nobody waits for any more are dropped.
func (c *connection) read() {
	defer c.goroutines.Done()
	for {
		reply, err := c.stream.Recv()
		if err != nil {
			c.fail(err)
			return
		}
		c.mutex.Lock()
		replies := c.pending[reply.Id]
		delete(c.pending, reply.Id)
		c.lastReply = time.Now()
		c.mutex.Unlock()
		if replies != nil {
			replies <- reply
		}
	}
}

// fail marks the connection broken and wakes all waiting callers. Only the first call has an effect.
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

// hasReplySince reports whether any reply arrived after the given time.
func (c *connection) hasReplySince(moment time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.lastReply.After(moment)
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
	c.goroutines.Wait()
}
