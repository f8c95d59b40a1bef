package consensus

import (
	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// toWire encodes a message. It shares the data of the entries, which raft never modifies.
func toWire(group uint32, message *raft.Message) *wire.RaftMessage {
	encoded := &wire.RaftMessage{
		Group:      group,
		Kind:       uint32(message.Kind),
		To:         message.To,
		From:       message.From,
		Term:       message.Term,
		LogTerm:    message.LogTerm,
		Index:      message.Index,
		Commit:     message.Commit,
		Reject:     message.Reject,
		RejectHint: message.RejectHint,
		Context:    message.Context,
	}
	if len(message.Entries) == 0 {
		return encoded
	}
	entries := make([]wire.RaftEntry, len(message.Entries))
	encoded.Entries = make([]*wire.RaftEntry, len(message.Entries))
	for i := range message.Entries {
		entry := &message.Entries[i]
		entries[i].Index, entries[i].Term, entries[i].Kind, entries[i].Data = entry.Index, entry.Term, uint32(entry.Kind), entry.Data
		encoded.Entries[i] = &entries[i]
	}
	return encoded
}

// fromWire decodes a message received from the given node. It returns an error if the sender's ID differs, the kind
// is unknown, or a snapshot is missing or unexpected.
func fromWire(from uint64, encoded *wire.RaftMessage) (raft.Message, error) {
	if encoded.From != from {
		return raft.Message{}, trace.BadParameter("node %d sent a message of node %d", from, encoded.From)
	}
	kind := raft.MessageKind(encoded.Kind)
	if kind < raft.MessagePreVote || kind > raft.MessageTimeoutNow {
		return raft.Message{}, trace.BadParameter("unknown kind %d of message", encoded.Kind)
	}
	if (kind == raft.MessageSnapshot) != (encoded.Snapshot != nil) {
		return raft.Message{}, trace.BadParameter("a message of kind %d with or without a snapshot", encoded.Kind)
	}
	message := raft.Message{
		Kind:       kind,
		To:         encoded.To,
		From:       encoded.From,
		Term:       encoded.Term,
		LogTerm:    encoded.LogTerm,
		Index:      encoded.Index,
		Commit:     encoded.Commit,
		Reject:     encoded.Reject,
		RejectHint: encoded.RejectHint,
		Context:    encoded.Context,
	}
	if len(encoded.Entries) > 0 {
		message.Entries = make([]raft.Entry, len(encoded.Entries))
		for i, entry := range encoded.Entries {
			message.Entries[i] = raft.Entry{Index: entry.GetIndex(), Term: entry.GetTerm(),
				Kind: raft.EntryKind(entry.GetKind()), Data: entry.GetData()}
		}
	}
	return message, nil
}
