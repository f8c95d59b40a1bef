// Package durable enforces the order in which the output of a raft node becomes durable. Each Ready of the node is
// written before its messages are sent, each group has at most one write in progress, and a snapshot is never replaced
// by an older one. The package does no input or output; package consensus and the simulator run the same code.
package durable

import (
	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/storage"
)

// Cycle tracks the output of one group's raft node from Ready to the completed write. It isn't safe for concurrent use.
type Cycle struct {
	group uint32
	node  *raft.Node

	held            *raft.Ready    // passed to Hold and not finished
	writing         *raft.Ready    // the held Ready while its write is in progress
	queued          bool           // the group waits for the next write
	hardState       raft.HardState // of the last Ready, or as loaded at the start
	hardStateDirty  bool           // hardState is in no write yet
	pendingSnapshot *raft.Snapshot // passed to Compact and in no write yet
	writingIndex    uint64         // index of the snapshot of Compact whose write is in progress; 0: none
}

// New returns the cycle of a group's node, given the hard state that is stored for it.
func New(group uint32, node *raft.Node, stored raft.HardState) *Cycle {
	return &Cycle{group: group, node: node, hardState: stored}
}

// Take returns the node's next Ready. It returns nil if there is none, or if the one passed to Hold is not finished.
func (c *Cycle) Take() *raft.Ready {
	if c.held != nil || !c.node.HasReady() {
		return nil
	}
	ready := c.node.Ready()
	if ready.HardState != c.hardState {
		c.hardState, c.hardStateDirty = ready.HardState, true
	}
	return &ready
}

// UrgentOutput returns the output that may be sent without waiting for a write, also while a Ready is held. The entries
// that Durable returns for the held Ready must be applied before.
func (c *Cycle) UrgentOutput() raft.Urgent { return c.node.Urgent() }

// Hold records a Ready that must be durable before its messages are sent. Take returns no other until Finish.
func (c *Cycle) Hold(ready *raft.Ready) { c.held = ready }

// Compact adds a snapshot that this node made itself to the next write.
func (c *Cycle) Compact(snapshot *raft.Snapshot) { c.pendingSnapshot = snapshot }

// HasPendingSnapshot reports whether a snapshot passed to Compact waits to be written.
func (c *Cycle) HasPendingSnapshot() bool { return c.pendingSnapshot != nil }

// IsIdle reports whether neither a held Ready nor a snapshot passed to Compact waits to be written.
func (c *Cycle) IsIdle() bool { return c.held == nil && c.pendingSnapshot == nil }

// IsHardStateEmpty reports whether the hard state is empty: nothing was stored and no Ready has set it yet.
func (c *Cycle) IsHardStateEmpty() bool { return c.hardState == raft.HardState{} }

// Queue marks the group as waiting for the next write. It returns false if the group was marked already.
func (c *Cycle) Queue() bool {
	if c.queued {
		return false
	}
	c.queued = true
	return true
}

// Write returns the write that makes the group's pending output durable, and marks it as in progress until
// CompleteWrite.
func (c *Cycle) Write() storage.GroupWrite {
	write := storage.GroupWrite{Group: c.group}
	if c.held != nil {
		write.Snapshot, write.Entries = c.held.Snapshot, c.held.Entries
		if write.Snapshot != nil && c.pendingSnapshot != nil && c.pendingSnapshot.Index < write.Snapshot.Index {
			c.pendingSnapshot = nil // it would replace the newer one
		}
	}
	write.Compaction = c.pendingSnapshot
	if c.hardStateDirty {
		state := c.hardState
		write.HardState = &state
	}
	if c.pendingSnapshot != nil {
		c.writingIndex = c.pendingSnapshot.Index
	}
	c.writing, c.queued, c.hardStateDirty, c.pendingSnapshot = c.held, false, false, nil
	return write
}

// CompleteWrite must be called once the result of Write is durable. It returns the Ready whose messages may be sent
// now, nil if only a snapshot was written, and the index of the snapshot of Compact that was part of the write, 0 if
// there was none. Raft need not keep the state of that snapshot in memory, unless the writer left the snapshot out for
// lack of disk space.
func (c *Cycle) CompleteWrite() (ready *raft.Ready, compacted uint64) {
	ready, compacted = c.writing, c.writingIndex
	c.writing, c.writingIndex = nil, 0
	return ready, compacted
}

// Finish advances raft after the messages of the Ready have been sent and its entries applied.
func (c *Cycle) Finish(ready *raft.Ready) {
	c.held = nil
	c.node.Advance(*ready)
}
