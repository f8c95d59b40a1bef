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

// refusedCode is the drpc error code by which a node learns that it must not take part.
const refusedCode = 4001

// turnedAwayCode is the drpc error code of a greeting that is refused for now: the node may come again.
const turnedAwayCode = 4002

// Exchange serves the stream of another node's messages (wire.DRPCRaftServer).
func (h *Host) Exchange(stream wire.DRPCRaft_ExchangeStream) error {
	receiver := &receiver{host: h, assembler: assembler{partial: map[uint32]*partialSnapshot{}}}
	for {
		batch, err := stream.Recv()
		if err != nil {
			return nil // the sender is gone; it will come again
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
	from      uint64 // raft.None before the greeting
	assembler assembler
}

func (r *receiver) receive(batch *wire.RaftBatch) error {
	if batch.ClusterId != "" {
		if err := r.greet(batch); err != nil {
			return err
		}
	}
	if r.from == raft.None {
		return errors.New("the first batch of a stream has to be a greeting")
	}
	r.host.contacts.heard(r.from, time.Now())
	if batch.KeepAlive {
		r.host.contacts.told(r.from, batch.Unheard, time.Now())
	}
	if len(batch.Messages) == 0 || !r.host.book.takesPart() {
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
			if message.Snapshot = r.assembler.add(encoded.Group, encoded.Snapshot); message.Snapshot == nil {
				continue
			}
		}
		messages = append(messages, envelope{group: encoded.Group, message: message})
	}
	r.host.inbox.addMessages(messages)
	return nil
}

func (r *receiver) greet(greeting *wire.RaftBatch) error {
	news, err := r.host.judgeGreeting(greeting)
	var refused *refusal
	var refusedSelf *ErrRefused
	switch {
	case err == nil:
	case errors.As(err, &refused):
		r.host.tellGreetingRefused(greeting, refused.reason, endsPeer)
		r.host.config.Log.Errorf("refused %s", refused.reason)
		return drpcerr.WithCode(err, refusedCode)
	case errors.As(err, &refusedSelf):
		r.host.tellGreetingRefused(greeting, refusedSelf.Reason, endsSelf)
		r.host.fail(err)
		return err
	default:
		r.host.tellGreetingRefused(greeting, err.Error(), "")
		return drpcerr.WithCode(err, turnedAwayCode)
	}
	r.from = greeting.FromNode
	r.host.contacts.spoke(greeting.FromNode, compat.Level(greeting.Speaks), greeting.CapacityBytes)
	r.host.peers.met(greeting.FromNode, news)
	return nil
}

// The processes that stop because of a refused greeting.
const (
	endsPeer = "peer"
	endsSelf = "self"
)

// tellGreetingRefused notes a greeting that this node refuses.
func (h *Host) tellGreetingRefused(greeting *wire.RaftBatch, reason, ends string) {
	self := h.config.NodeID
	if greeting.ToNode == raft.None || greeting.ToNode == self {
		h.contacts.refused(greeting.FromNode, reason)
	}
	if !h.contacts.lineDue(refusalKey{by: self, of: greeting.FromNode, sought: greeting.ToNode}, reason, time.Now()) {
		return
	}
	logging.Emit(h.config.Log, &events.GreetingRefused{Peer: greeting.FromNode, Address: greeting.FromAddress,
		Reason: events.ErrorText(errors.New(reason)), Ends: ends})
}

// tellStreamRefused notes that the node at an address refused this one's stream, if that is why it ended.
func (h *Host) tellStreamRefused(node uint64, address string, err error) {
	code := drpcerr.Code(err)
	if code != refusedCode && code != turnedAwayCode {
		return
	}
	h.contacts.refusedBy(node, events.ErrorText(err))
	if !h.contacts.lineDue(refusalKey{by: node, of: h.config.NodeID, sought: node}, err.Error(), time.Now()) {
		return
	}
	logging.Emit(h.config.Log, &events.StreamRefused{Peer: node, Address: address, Reason: events.ErrorText(err), Ends: code == refusedCode})
}
