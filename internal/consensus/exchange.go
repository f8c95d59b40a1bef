package consensus

import (
	"errors"

	"storj.io/drpc/drpcerr"

	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// refusedCode is the drpc error code by which a node learns that it must not take part.
const refusedCode = 4001

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
	news, err := r.host.book.greet(greeting)
	var refused *refusal
	var refusedSelf *ErrRefused
	switch {
	case err == nil:
	case errors.As(err, &refused):
		r.host.config.Log.Errorf("refused %s", refused.reason)
		return drpcerr.WithCode(err, refusedCode)
	case errors.As(err, &refusedSelf):
		r.host.fail(err)
		return err
	default:
		r.host.config.Log.Debugf("refused a stream: %v", err)
		return err
	}
	r.from = greeting.FromNode
	r.host.peers.met(greeting.FromNode, news)
	return nil
}
