package consensus

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/durable"
	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// hostedGroup is one raft node with its state machine and everybody who waits for it. The loop owns it.
type hostedGroup struct {
	config  *Config
	id      uint32
	node    *raft.Node
	machine StateMachine

	cycle      *durable.Cycle
	applied    uint64
	leadership Leadership
	absence    absence // of a leader

	snapshots snapshots

	pending map[uint64]*proposal // proposed, by log index
	reads   readQueue
}

func newGroup(config *Config, id uint32, restored raft.Restored) (*hostedGroup, error) {
	g := &hostedGroup{
		config:    config,
		id:        id,
		machine:   config.NewStateMachine(id),
		applied:   restored.Snapshot.Index,
		snapshots: snapshots{index: restored.Snapshot.Index, size: restored.Snapshot.Data.Size()},
		pending:   map[uint64]*proposal{},
	}
	if len(restored.Snapshot.Data) > 0 {
		if err := g.machine.RestoreParts(restored.Snapshot.Data); err != nil {
			return nil, trace.Wrap(err, "consensus: group %d cannot restore its snapshot at %d", id, restored.Snapshot.Index)
		}
	}
	var err error
	g.node, err = raft.New(raft.Config{
		ID:                 config.NodeID,
		ElectionTicks:      config.ElectionTicks,
		HeartbeatTicks:     config.HeartbeatTicks,
		CampaignDelayTicks: config.CampaignDelayTicks,
		RetainedBytes:      config.RetainedBytes,
		Random:             rand.New(rand.NewSource(electionSeed(config, id))),
	}, restored)
	if err != nil {
		return nil, trace.Wrap(err, "consensus: group %d", id)
	}
	g.node.ReleaseSnapshot(restored.Snapshot.Index)
	g.cycle = durable.New(id, g.node, restored.HardState)
	return g, nil
}

// electionSeed differs between nodes and groups, so that they draw different timeouts.
func electionSeed(config *Config, group uint32) int64 {
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%s/%d/%d/%d", config.ClusterID, config.NodeID, group, config.Store.Starts())
	return int64(hash.Sum64())
}

// propose hands a command to raft, or answers its proposer.
func (g *hostedGroup) propose(p *proposal) {
	index, term, err := g.node.Propose(p.data)
	switch {
	case err == nil:
		p.term = term
		g.pending[index] = p
	case errors.Is(err, raft.ErrNotLeader):
		p.answer(nil, 0, &ErrNotLeader{Leader: g.node.Status().Leader})
	case errors.Is(err, raft.ErrOverloaded):
		p.answer(nil, 0, ErrOverloaded)
	default:
		p.answer(nil, 0, trace.Wrap(ErrInvalid, "%v", err))
	}
}

// finishReady applies the rest once the Ready is durable, and lets raft go on.
func (g *hostedGroup) finishReady(ready *raft.Ready) error {
	if ready.Snapshot != nil {
		if err := g.restore(ready.Snapshot); err != nil {
			return err
		}
		g.node.ReleaseSnapshot(ready.Snapshot.Index)
	}
	if err := g.apply(ready.Committed); err != nil {
		return err
	}
	g.cycle.Finish(ready)
	g.confirmReads(ready.ReadStates)
	return nil
}

// confirmReads notes which reads are confirmed and answers those whose index is applied.
func (g *hostedGroup) confirmReads(states []raft.ReadState) {
	g.reads.confirm(states)
	g.reads.serve(g)
}

func (g *hostedGroup) restore(snapshot *raft.Snapshot) error {
	if err := g.machine.RestoreParts(snapshot.Data); err != nil {
		return trace.Wrap(err, "consensus: group %d cannot restore a snapshot at %d", g.id, snapshot.Index)
	}
	g.applied = snapshot.Index
	g.snapshots.received(snapshot)
	if g.config.OnRestore != nil {
		g.config.OnRestore(g.id, snapshot.Index)
	}
	for index, p := range g.pending {
		if index <= snapshot.Index {
			delete(g.pending, index)
			p.answer(nil, 0, ErrUnknownOutcome)
		}
	}
	return nil
}

// apply applies entries in order; those applied before are skipped.
func (g *hostedGroup) apply(entries []raft.Entry) error {
	for i := range entries {
		entry := &entries[i]
		if entry.Index <= g.applied {
			continue
		}
		if entry.Index != g.applied+1 {
			return trace.Errorf("consensus: group %d is at %d and was given entry %d", g.id, g.applied, entry.Index)
		}
		if err := g.applyEntry(entry); err != nil {
			return trace.Wrap(err, "consensus: group %d stops at entry %d", g.id, entry.Index)
		}
		g.applied = entry.Index
	}
	return nil
}

// applyEntry applies one entry. An error says that this build can't apply it as the other nodes do.
func (g *hostedGroup) applyEntry(entry *raft.Entry) error {
	g.snapshots.appliedBytes += len(entry.Data)
	waiting := g.pending[entry.Index]
	delete(g.pending, entry.Index)
	if waiting != nil && waiting.term != entry.Term {
		// Another leader's entry took its place: it can never be applied.
		waiting.answer(nil, 0, &ErrNotLeader{Leader: g.leadership.Leader})
		waiting = nil
	}
	if entry.Kind != raft.EntryCommand || len(entry.Data) == 0 {
		if waiting != nil {
			waiting.answer(nil, entry.Index, nil)
		}
		return nil
	}
	command := &wire.Command{}
	if err := proto.Unmarshal(entry.Data, command); err != nil {
		return trace.Wrap(err, "malformed command")
	}
	if err := g.machine.Readable(command); err != nil {
		return err
	}
	result := g.machine.Apply(entry.Index, command)
	if result.GetLevel().GetAccepted() {
		g.snapshots.wanted = true
	}
	if g.config.OnApply != nil {
		g.config.OnApply(g.id, entry.Index, command, result)
	}
	if waiting != nil {
		waiting.answer(result, entry.Index, nil)
	}
	return nil
}

// observeLeadership reports whether the leader, the term or this node's role changed.
func (g *hostedGroup) observeLeadership() bool {
	status := g.node.Status()
	now := Leadership{Term: status.Term, Leader: status.Leader, Leading: status.Role == raft.Leader}
	if now == g.leadership {
		return false
	}
	lost := g.leadership.Leading && (!now.Leading || now.Term != g.leadership.Term)
	g.leadership = now
	if lost {
		g.failPending(ErrUnknownOutcome)
	}
	if !now.Leading {
		g.failReads(&ErrNotLeader{Leader: now.Leader})
	}
	return true
}

// failPending answers all proposals whose fate this node will not learn in time.
func (g *hostedGroup) failPending(err error) {
	for index, p := range g.pending {
		delete(g.pending, index)
		p.answer(nil, 0, err)
	}
}

func (g *hostedGroup) failReads(err error) { g.reads.fail(err) }
