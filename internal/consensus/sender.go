package consensus

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
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

// sender keeps one stream to another node and sends it the raft messages of all groups.
type sender struct {
	host   *Host
	nonce  uint64
	node   uint64
	notify chan struct{} // has a token when the queue may have messages
	wake   chan struct{} // has a token when the node was heard from and should be dialed at once

	mutex      sync.Mutex
	queue      queue
	progressed map[uint32]bool // groups of which a chunk of a snapshot was sent since takeProgress
}

func newSender(host *Host, nonce, node uint64) *sender {
	return &sender{host: host, nonce: nonce, node: node, notify: make(chan struct{}, 1), wake: make(chan struct{}, 1),
		progressed: map[uint32]bool{}}
}

func (s *sender) enqueue(group uint32, message *raft.Message) {
	s.mutex.Lock()
	if message.Snapshot != nil {
		queued := s.queue.addTransfer(newSnapshotTransfer(group, message, s.host.canStoreParts()))
		logging.Emit(s.host.config.Log, &events.SnapshotSent{Group: group, Peer: s.node, Index: message.Snapshot.Index,
			Bytes: message.Snapshot.Data.Size(), Dropped: !queued})
	} else {
		s.queue.add(toWire(group, message))
	}
	s.mutex.Unlock()
	signal(s.notify)
}

func (s *sender) noteGreeting(isNew bool) {
	if isNew {
		s.mutex.Lock()
		s.queue.greetAgain = true
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

// run connects and reconnects until ctx ends.
func (s *sender) run(ctx context.Context) {
	var backoff reconnectBackoff
	for attempt := 0; ctx.Err() == nil; attempt++ {
		began := time.Now()
		connected, err := s.serve(ctx, attempt)
		s.host.contacts.setConnectedAt(s.node, time.Time{})
		if drpcerr.Code(err) == refusedCode {
			s.host.fail(&ErrRefused{Peer: s.node, Reason: err.Error()})
		}
		if connected {
			logging.Emit(s.host.config.Log, &events.PeerLost{Peer: s.node, Cause: events.ErrorText(err)})
		}
		s.clearQueue()
		select {
		case <-ctx.Done():
		case <-s.wake:
		case <-time.After(backoff.next(connected, time.Since(began))):
		}
	}
}

// reconnectBackoff computes the delay between connection attempts to a node.
type reconnectBackoff struct {
	failures int // consecutive failed or short connections
}

// next returns the delay after a connection attempt. lasted is how long the connection existed. A connection that
// ended early counts as a failure: the node rejects this one, or its address now belongs to another node.
func (r *reconnectBackoff) next(connected bool, lasted time.Duration) time.Duration {
	if connected && lasted >= stableConnectionTime {
		r.failures = 0
	}
	pause := min(minBackoff<<min(r.failures, maxDoublings), maxBackoff)
	r.failures++
	return pause
}

// clearQueue drops the messages queued for a failed connection. Raft sends again what is still needed.
func (s *sender) clearQueue() {
	s.mutex.Lock()
	s.queue = queue{}
	s.mutex.Unlock()
}

// serve dials one of the node's addresses, sends a greeting and then queued messages until the stream ends.
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
		Stream: drpcstream.Options{MaximumBufferSize: wire.MaximumRetainedBufferBytes}}})
	defer conn.Close()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stream, err := wire.NewDRPCRaftClient(conn).Exchange(ctx)
	if err != nil {
		return false, err
	}
	if err := stream.Send(s.newGreeting()); err != nil {
		return false, err
	}
	var watching sync.WaitGroup
	watching.Go(func() { cancel(waitForEnd(stream)) })
	defer watching.Wait()
	defer conn.Close()
	s.host.contacts.setConnectedAt(s.node, time.Now())
	logging.Emit(s.host.config.Log, &events.PeerFound{Peer: s.node, Address: address})
	err = s.sendQueued(ctx, stream)
	s.host.recordStreamRefused(s.node, address, err)
	return true, err
}

// dial connects to the node. If the node is heard from during an attempt, the attempt is canceled and restarted: a
// machine without power does not answer the first packet, and TCP repeats that packet only after a second.
func (s *sender) dial(ctx context.Context, peer Peer) (net.Conn, error) {
	for {
		attempt, cancel := context.WithCancelCause(ctx)
		done, watched := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(watched)
			select {
			case <-s.wake:
				cancel(errPeerHeard)
			case <-done:
			}
		}()
		connection, err := s.host.config.Dial(attempt, peer)
		close(done)
		<-watched
		peerHeard := errors.Is(context.Cause(attempt), errPeerHeard)
		cancel(nil)
		if err == nil || !peerHeard {
			return connection, err
		}
	}
}

// errPeerHeard cancels a dial attempt so that it can be restarted.
var errPeerHeard = errors.New("the node was heard from")

// waitForEnd waits until the peer ends the stream and returns the reason.
func waitForEnd(stream drpc.Stream) error {
	err := stream.MsgRecv(&wire.RaftAcknowledgement{}, protoEncoding{})
	if err == nil {
		err = errors.New("the peer ended the stream")
	}
	return err
}

// sendQueued sends queued messages and keep-alives until the stream ends, and returns the reason.
func (s *sender) sendQueued(ctx context.Context, stream wire.DRPCRaft_ExchangeClient) error {
	keepAlive := time.NewTicker(keepAliveInterval)
	defer keepAlive.Stop()
	for {
		batch := &wire.RaftBatch{}
		select {
		case <-keepAlive.C:
			batch = s.host.newKeepAlive()
		default:
		}
		s.mutex.Lock()
		if s.queue.greetAgain {
			s.queue.greetAgain = false
			batch = s.newGreeting()
		}
		hasMessages := s.queue.fill(batch)
		transfer := s.queue.nextTransfer()
		s.mutex.Unlock()
		if transfer != nil {
			s.addChunk(batch, transfer)
			hasMessages = true
		}
		if !hasMessages && batch.ClusterId == "" && !batch.KeepAlive {
			select {
			case <-ctx.Done():
				return context.Cause(ctx)
			case <-s.notify:
				continue
			case <-keepAlive.C:
				batch = s.host.newKeepAlive()
			}
		}
		if err := stream.Send(batch); err != nil {
			<-ctx.Done() // waitForEnd supplies the reason
			return context.Cause(ctx)
		}
		if transfer != nil {
			s.recordProgress(transfer.group)
		}
	}
}

// recordProgress records that a chunk of a group's snapshot was sent.
func (s *sender) recordProgress(group uint32) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.progressed[group] = true
}

// takeProgress returns the groups of which a chunk of a snapshot was sent since the last call.
func (s *sender) takeProgress() []uint32 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.progressed) == 0 {
		return nil
	}
	groups := slices.Collect(maps.Keys(s.progressed))
	clear(s.progressed)
	return groups
}

// addChunk adds the next chunk of a snapshot to a batch. It ends a transfer that is complete, or of which a part can't be
// read. The lock is not held meanwhile, since the loop must not wait for a disk.
func (s *sender) addChunk(batch *wire.RaftBatch, transfer *snapshotTransfer) {
	chunk, err := transfer.next()
	if err == nil {
		batch.Messages = append(batch.Messages, chunk)
		if !transfer.isDone() {
			return
		}
	}
	s.mutex.Lock()
	s.queue.removeTransfer(transfer)
	s.mutex.Unlock()
	if err != nil {
		s.host.handleUnreadableSnapshot(transfer.group, err)
	}
}

func (s *sender) newGreeting() *wire.RaftBatch {
	return &wire.RaftBatch{
		ClusterId:     s.host.config.ClusterID,
		FromIdentity:  s.host.config.Store.Identity().Folder,
		FromNode:      s.host.config.NodeID,
		ToNode:        s.node,
		FromAddress:   s.host.config.Address,
		Starts:        s.host.config.Store.Starts(),
		StartNonce:    s.nonce,
		KnownIdentity: s.host.book.knownFolder(s.node),
		Speaks:        uint32(s.host.config.SupportedLevel),
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
