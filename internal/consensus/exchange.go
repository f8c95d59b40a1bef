package consensus

import (
	"errors"
	"time"

	"storj.io/drpc/drpcerr"

	"github.com/tamarindring/tamarindring/internal/compat"
	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// refusedCode is the drpc error code that tells a node that it must not participate.
const refusedCode = 4001

// rejectedCode is the drpc error code of a greeting that is rejected for now. The node may retry.
const rejectedCode = 4002

// Exchange serves the stream of another node's messages (wire.DRPCRaftServer).
func (h *Host) Exchange(stream wire.DRPCRaft_ExchangeStream) error {
	receiver := &receiver{host: h, assembler: assembler{partial: map[uint32]*partialSnapshot{}}}
	for {
		batch, err := stream.Recv()
		if err != nil {
			return nil // the sender has disconnected and will reconnect
		}
		if h.ctx.Err() != nil {
			return ErrClosed
		}
		if err := receiver.receive(batch); err != nil {
			return err
		}
	}
}

// receiver is the state of one incoming stream.
type receiver struct {
	host      *Host
	from      uint64 // node ID of the sender; raft.None before the greeting
	assembler assembler
	began     time.Time // when the first chunk of the last snapshot arrived
}

// receive processes one batch. An error ends the stream.
func (r *receiver) receive(batch *wire.RaftBatch) error {
	if batch.ClusterId != "" {
		if err := r.handleGreeting(batch); err != nil {
			return err
		}
	}
	if r.from == raft.None {
		return errors.New("the first batch of a stream has to be a greeting")
	}
	r.host.contacts.recordHeard(r.from, time.Now())
	if batch.KeepAlive {
		r.host.contacts.recordSilences(r.from, batch.Unheard, time.Now())
	}
	if len(batch.Messages) == 0 || !r.host.book.canParticipate() {
		return nil
	}
	messages := make([]envelope, 0, len(batch.Messages))
	for _, encoded := range batch.Messages {
		message, err := fromWire(r.from, encoded)
		if err != nil {
			return err
		}
		if encoded.Snapshot != nil {
			if encoded.Snapshot.PartsAgreed {
				r.host.partsAgreed.Store(true)
			}
			if message.Snapshot = r.assemble(encoded.Group, encoded.Snapshot); message.Snapshot == nil {
				continue
			}
		}
		messages = append(messages, envelope{group: encoded.Group, message: message})
	}
	r.host.inbox.addMessages(messages)
	return nil
}

// assemble adds a chunk and returns the snapshot once it is complete, otherwise nil.
func (r *receiver) assemble(group uint32, chunk *wire.RaftSnapshot) *raft.Snapshot {
	if chunk.Chunk == 0 {
		r.began = time.Now()
	}
	snapshot := r.assembler.add(group, chunk)
	if snapshot != nil {
		logging.Emit(r.host.config.Log, &events.SnapshotReceived{Group: group, Peer: r.from, Index: snapshot.Index,
			Bytes: snapshot.Data.Size(), TookMs: events.Millis(time.Since(r.began))})
	}
	return snapshot
}

// handleGreeting records the sender of an accepted greeting. Otherwise it records the refusal and returns the error
// that ends the stream. It stops this host if the greeting shows that this node must not participate.
func (r *receiver) handleGreeting(greeting *wire.RaftBatch) error {
	isNew, err := r.host.acceptGreeting(greeting)
	var refused *refusal
	var refusedSelf *ErrRefused
	switch {
	case err == nil:
	case errors.As(err, &refused):
		r.host.recordGreetingRefused(greeting, refused.reason, endsPeer)
		r.host.config.Log.Errorf("refused greeting: %s", refused.reason)
		return drpcerr.WithCode(err, refusedCode)
	case errors.As(err, &refusedSelf):
		r.host.recordGreetingRefused(greeting, refusedSelf.Reason, endsSelf)
		r.host.fail(err)
		return err
	default:
		r.host.recordGreetingRefused(greeting, err.Error(), "")
		return drpcerr.WithCode(err, rejectedCode)
	}
	r.from = greeting.FromNode
	r.host.contacts.recordGreeting(greeting.FromNode, compat.Level(greeting.Speaks), greeting.CapacityBytes)
	r.host.peers.noteGreeting(greeting.FromNode, isNew)
	return nil
}

// These values of the event field Ends name the process that stops because of a refused greeting.
const (
	endsPeer = "peer"
	endsSelf = "self"
)

// recordGreetingRefused records a greeting that this node refuses and logs it, unless the same refusal was logged
// recently. ends names the process that stops, empty for none.
func (h *Host) recordGreetingRefused(greeting *wire.RaftBatch, reason, ends string) {
	self := h.config.NodeID
	if greeting.ToNode == raft.None || greeting.ToNode == self {
		h.contacts.recordGreetingRefused(greeting.FromNode, reason)
	}
	if !h.contacts.isRefusalLogDue(refusalKey{refuser: self, sender: greeting.FromNode, intended: greeting.ToNode}, reason, time.Now()) {
		return
	}
	logging.Emit(h.config.Log, &events.GreetingRefused{Peer: greeting.FromNode, Address: greeting.FromAddress,
		Reason: events.ErrorText(errors.New(reason)), Ends: ends})
}

// recordStreamRefused records and logs that the node at an address refused this node's stream, if err says so.
func (h *Host) recordStreamRefused(node uint64, address string, err error) {
	code := drpcerr.Code(err)
	if code != refusedCode && code != rejectedCode {
		return
	}
	h.contacts.recordStreamRefused(node, events.ErrorText(err))
	if !h.contacts.isRefusalLogDue(refusalKey{refuser: node, sender: h.config.NodeID, intended: node}, err.Error(), time.Now()) {
		return
	}
	logging.Emit(h.config.Log, &events.StreamRefused{Peer: node, Address: address, Reason: events.ErrorText(err), Ends: code == refusedCode})
}
