package consensus

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcstream"

	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// sender keeps one stream to another node and sends it the messages of all groups.
type sender struct {
	host   *Host
	nonce  uint64
	node   uint64
	notify chan struct{} // has a token when the queue may have work
	wake   chan struct{} // has a token when the node was heard from: dial at once

	mutex sync.Mutex
	queue queue
}

func newSender(host *Host, nonce, node uint64) *sender {
	return &sender{host: host, nonce: nonce, node: node, notify: make(chan struct{}, 1), wake: make(chan struct{}, 1)}
}

func (s *sender) enqueue(group uint32, message *raft.Message) {
	s.mutex.Lock()
	if message.Snapshot != nil {
		s.queue.addChunks(snapshotChunks(group, message, s.host.storesParts()))
	} else {
		s.queue.add(toWire(group, message))
	}
	s.mutex.Unlock()
	signal(s.notify)
}

func (s *sender) met(news bool) {
	if news {
		s.mutex.Lock()
		s.queue.greeting = true
		s.mutex.Unlock()
		signal(s.notify)
	}
	signal(s.wake)
}

func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// run connects again and again until ctx ends.
func (s *sender) run(ctx context.Context) {
	var wait reconnect
	for attempt := 0; ctx.Err() == nil; attempt++ {
		began := time.Now()
		connected, err := s.serve(ctx, attempt)
		s.host.contacts.connected(s.node, time.Time{})
		if drpcerr.Code(err) == refusedCode {
			s.host.fail(&ErrRefused{Peer: s.node, Reason: err.Error()})
		}
		if connected {
			logging.Emit(s.host.config.Log, &events.PeerLost{Peer: s.node, Cause: events.ErrorText(err)})
		}
		s.forget()
		select {
		case <-ctx.Done():
		case <-s.wake:
		case <-time.After(wait.pause(connected, time.Since(began))):
		}
	}
}

// reconnect is the wait between connections to a node.
type reconnect struct {
	failures int // in a row
}

// pause returns how long to wait after a connection that lasted so long. One that ended at once counts as failed: the
// node refuses this one, or another one has its address.
func (r *reconnect) pause(connected bool, lasted time.Duration) time.Duration {
	if connected && lasted >= steadyTime {
		r.failures = 0
	}
	pause := min(firstBackoff<<min(r.failures, maximumDoublings), lastBackoff)
	r.failures++
	return pause
}

// forget drops what waited for a connection that failed: raft sends anew what still matters.
func (s *sender) forget() {
	s.mutex.Lock()
	s.queue = queue{}
	s.mutex.Unlock()
}

// serve dials one of the node's addresses, greets and sends until the stream breaks.
func (s *sender) serve(ctx context.Context, attempt int) (connected bool, err error) {
	addresses := s.host.book.addresses(s.node)
	if len(addresses) == 0 {
		return false, errors.New("no address is known")
	}
	address := addresses[attempt%len(addresses)]
	connection, err := s.dial(ctx, Peer{ID: s.node, Address: address})
	if err != nil {
		return false, err
	}
	if credentials := s.host.config.Credentials; credentials != nil {
		connection = credentials.Secure(connection)
		ctx = credentials.Context(ctx)
	}
	conn := drpcconn.NewWithOptions(connection, drpcconn.Options{Manager: drpcmanager.Options{
		Stream: drpcstream.Options{MaximumBufferSize: wire.KeptBufferBytes}}})
	defer conn.Close()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stream, err := wire.NewDRPCRaftClient(conn).Exchange(ctx)
	if err != nil {
		return false, err
	}
	if err := stream.Send(s.greeting()); err != nil {
		return false, err
	}
	var watching sync.WaitGroup
	watching.Go(func() { cancel(watch(stream)) })
	defer watching.Wait()
	defer conn.Close()
	s.host.contacts.connected(s.node, time.Now())
	logging.Emit(s.host.config.Log, &events.PeerFound{Peer: s.node, Address: address})
	err = s.pump(ctx, stream)
	s.host.tellStreamRefused(s.node, address, err)
	return true, err
}

// dial connects to the node. An attempt under way ends when the node is heard from, and another one begins: a
// machine without power does not answer the first packet, and it is sent again no sooner than after a second.
func (s *sender) dial(ctx context.Context, peer Peer) (net.Conn, error) {
	for {
		attempt, cancel := context.WithCancelCause(ctx)
		done, watched := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(watched)
			select {
			case <-s.wake:
				cancel(errHeard)
			case <-done:
			}
		}()
		connection, err := s.host.config.Dial(attempt, peer)
		close(done)
		<-watched
		heard := errors.Is(context.Cause(attempt), errHeard)
		cancel(nil)
		if err == nil || !heard {
			return connection, err
		}
	}
}

// errHeard ends an attempt to dial.
var errHeard = errors.New("the node was heard from")

// watch returns why the other side ended the stream.
func watch(stream drpc.Stream) error {
	err := stream.MsgRecv(&wire.RaftAcknowledgement{}, protoEncoding{})
	if err == nil {
		err = errors.New("the peer ended the stream")
	}
	return err
}

// pump sends what is queued until the stream breaks, and returns why.
func (s *sender) pump(ctx context.Context, stream wire.DRPCRaft_ExchangeClient) error {
	alive := time.NewTicker(keepAliveInterval)
	defer alive.Stop()
	for {
		batch := &wire.RaftBatch{}
		select {
		case <-alive.C:
			batch = s.host.keepAlive()
		default:
		}
		s.mutex.Lock()
		if s.queue.greeting {
			s.queue.greeting = false
			batch = s.greeting()
		}
		any := s.queue.take(batch)
		s.mutex.Unlock()
		if !any && batch.ClusterId == "" && !batch.KeepAlive {
			select {
			case <-ctx.Done():
				return context.Cause(ctx)
			case <-s.notify:
				continue
			case <-alive.C:
				batch = s.host.keepAlive()
			}
		}
		if err := stream.Send(batch); err != nil {
			<-ctx.Done() // the watcher knows why
			return context.Cause(ctx)
		}
	}
}

func (s *sender) greeting() *wire.RaftBatch {
	return &wire.RaftBatch{
		ClusterId:     s.host.config.ClusterID,
		FromIdentity:  s.host.config.Store.Identity().Folder,
		FromNode:      s.host.config.NodeID,
		ToNode:        s.node,
		FromAddress:   s.host.config.Address,
		Starts:        s.host.config.Store.Starts(),
		StartNonce:    s.nonce,
		KnownIdentity: s.host.book.knownFolder(s.node),
		Speaks:        uint32(s.host.config.Speaks),
		CapacityBytes: s.host.config.CapacityBytes,
	}
}

// protoEncoding encodes protobuf messages for drpc.
type protoEncoding struct{}

// Marshal implements drpc.Encoding.
func (protoEncoding) Marshal(message drpc.Message) ([]byte, error) {
	return proto.Marshal(message.(proto.Message))
}

// Unmarshal implements drpc.Encoding.
func (protoEncoding) Unmarshal(data []byte, message drpc.Message) error {
	return proto.Unmarshal(data, message.(proto.Message))
}
