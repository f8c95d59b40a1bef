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

// hostedGroup is one raft node with its state machine and its pending proposals and reads. The loop owns it.
type hostedGroup struct {
	config  *Config
	id      uint32
	node    *raft.Node
	machine StateMachine

	cycle      *durable.Cycle
	applied    uint64
	leadership Leadership
	leaderless leaderlessPeriod

	snapshots snapshotSchedule

	pending map[uint64]*proposal // proposed commands by log index
	reads   readQueue

	loadSlots chan struct{} // holds an entry for each answer that reads parts of the state
}

func newGroup(config *Config, id uint32, restored raft.Restored) (*hostedGroup, error) {
	g := &hostedGroup{
		config:    config,
		id:        id,
		machine:   config.NewStateMachine(id),
		applied:   restored.Snapshot.Index,
		snapshots: snapshotSchedule{index: restored.Snapshot.Index, size: restored.Snapshot.Data.Size()},
		pending:   map[uint64]*proposal{},
		loadSlots: make(chan struct{}, maxConcurrentLoads),
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

// electionSeed returns a random seed that differs between nodes and groups, so that their election timeouts differ.
func electionSeed(config *Config, group uint32) int64 {
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%s/%d/%d/%d", config.ClusterID, config.NodeID, group, config.Store.Starts())
	return int64(hash.Sum64())
}

// propose passes a command to raft. If raft rejects it, the proposer is answered at once.
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

// finishReady applies the remaining entries of a durable Ready and lets raft continue.
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

// confirmReads records which reads are confirmed and answers those whose index has been applied.
func (g *hostedGroup) confirmReads(states []raft.ReadState) {
	g.reads.markConfirmed(states)
	g.reads.answerApplied(g)
}

func (g *hostedGroup) restore(snapshot *raft.Snapshot) error {
	if err := g.machine.RestoreParts(snapshot.Data); err != nil {
		return trace.Wrap(err, "consensus: group %d cannot restore a snapshot at %d", g.id, snapshot.Index)
	}
	g.config.Store.RemoveReplaced(g.id)
	g.applied = snapshot.Index
	g.snapshots.recordReceived(snapshot)
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

// apply applies entries in log order and skips those that are already applied.
func (g *hostedGroup) apply(entries []raft.Entry) error {
	for i := range entries {
		entry := &entries[i]
		if entry.Index <= g.applied {
			continue
		}
		if entry.Index != g.applied+1 {
			return trace.Errorf("consensus: group %d has applied entries up to %d and cannot apply entry %d next", g.id, g.applied, entry.Index)
		}
		if err := g.applyEntry(entry); err != nil {
			return trace.Wrap(err, "consensus: group %d cannot apply entry %d", g.id, entry.Index)
		}
		g.applied = entry.Index
	}
	return nil
}

// applyEntry applies one entry. It returns an error if this build cannot apply the entry as the other nodes do.
func (g *hostedGroup) applyEntry(entry *raft.Entry) error {
	g.snapshots.appliedBytes += len(entry.Data)
	waiting := g.pending[entry.Index]
	delete(g.pending, entry.Index)
	if waiting != nil && waiting.term != entry.Term {
		// Another leader's entry has this index, so the proposal can never be applied.
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
	if err := g.machine.CheckReadable(command); err != nil {
		return err
	}
	result := g.machine.Apply(entry.Index, command)
	if result.GetLevel().GetAccepted() {
		g.snapshots.forced = true
	}
	if g.config.OnApply != nil {
		g.config.OnApply(g.id, entry.Index, command, result)
	}
	if waiting != nil {
		waiting.answer(result, entry.Index, nil)
	}
	return nil
}

// updateLeadership records raft's current leader, term and role and reports whether any of them changed. It answers
// proposals and reads that this node can no longer complete.
func (g *hostedGroup) updateLeadership() bool {
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

// failPending answers all pending proposals with err. This node will not learn their outcome in time.
func (g *hostedGroup) failPending(err error) {
	for index, p := range g.pending {
		delete(g.pending, index)
		p.answer(nil, 0, err)
	}
}

func (g *hostedGroup) failReads(err error) { g.reads.fail(err) }
