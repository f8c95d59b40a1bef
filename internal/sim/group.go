package sim

import (
	"errors"
	"maps"
	"math/rand"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/durable"
	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/state"
	"github.com/tamarindring/tamarindring/internal/statepart"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// Errors of requests to a host, matching those of package consensus.
var (
	errNotLeader      = errors.New("sim: not the leader")
	errOverloaded     = errors.New("sim: overloaded")
	errUnknownOutcome = errors.New("sim: the outcome is unknown")
)

// proposal is a proposed entry that has not been applied yet.
type proposal struct {
	term uint64
	done func(result *wire.Result, index uint64, err error)
}

// readRound is one linearizable read barrier of a group.
type readRound struct {
	context   uint64
	confirmed bool
	index     uint64
	done      []func(error)
}

// leadership is a node's view of a group's leader.
type leadership struct {
	term    uint64
	leader  uint64
	leading bool
}

// group is one raft node with its state machine. It follows consensus.hostedGroup step by step.
type group struct {
	host    *host
	id      uint32
	node    *raft.Node
	machine *state.Machine

	cycle      *durable.Cycle
	applied    uint64
	leadership leadership

	snapshotIndex uint64

	proposals       map[uint64]*proposal
	lastReadContext uint64
	pendingReads    []readRound
}

func (h *host) loadGroup(id uint32) (*group, error) {
	restored := h.disk.load(id)
	g := &group{host: h, id: id, machine: state.NewUnsafe(h.world.mutation.stateUnsafe()),
		applied: restored.Snapshot.Index, snapshotIndex: restored.Snapshot.Index, proposals: map[uint64]*proposal{}}
	if len(restored.Snapshot.Data) > 0 {
		if err := g.machine.RestoreParts(restored.Snapshot.Data); err != nil {
			return nil, err
		}
	}
	var err error
	g.node, err = raft.New(raft.Config{ID: h.id, HeartbeatTicks: heartbeatTicks, RetainedEntries: retainedEntries,
		Random: rand.New(rand.NewSource(h.world.random.Int63())), Unsafe: h.world.mutation.raftUnsafe()}, restored)
	if err != nil {
		return nil, err
	}
	g.cycle = durable.New(id, g.node, restored.HardState)
	return g, nil
}

func (g *group) propose(data []byte, done func(*wire.Result, uint64, error)) {
	index, term, err := g.node.Propose(data)
	switch {
	case err == nil:
		g.proposals[index] = &proposal{term: term, done: done}
	case errors.Is(err, raft.ErrNotLeader):
		done(nil, 0, errNotLeader)
	default:
		done(nil, 0, errOverloaded)
	}
}

// proposeChange proposes a configuration change.
func (g *group) proposeChange(change raft.ConfigurationChange, done func(error)) {
	index, term, err := g.node.ProposeChange(change)
	if err != nil {
		done(err)
		return
	}
	g.proposals[index] = &proposal{term: term, done: func(_ *wire.Result, _ uint64, err error) { done(err) }}
}

// read calls done once the state includes everything that was committed before the call.
func (g *group) read(done func(error)) {
	if g.host.world.hasMutation(ReadWithoutBarrier) && g.node.Status().Role == raft.Leader {
		done(nil)
		return
	}
	g.lastReadContext++
	err := g.node.ReadIndex(g.lastReadContext)
	switch {
	case err == nil:
		g.pendingReads = append(g.pendingReads, readRound{context: g.lastReadContext, done: []func(error){done}})
	case errors.Is(err, raft.ErrOverloaded):
		done(errOverloaded)
	default:
		done(errNotLeader)
	}
}

func (g *group) finishReady(ready *raft.Ready) {
	if ready.Snapshot != nil {
		g.restore(ready.Snapshot)
	}
	g.apply(ready.Committed)
	g.cycle.Finish(ready)
	g.confirmReads(ready.ReadStates)
}

// confirmReads marks reads as confirmed and answers those whose index has been applied.
func (g *group) confirmReads(states []raft.ReadState) {
	for _, confirmed := range states {
		for i := range g.pendingReads {
			if g.pendingReads[i].context == confirmed.Context {
				g.pendingReads[i].confirmed, g.pendingReads[i].index = true, confirmed.Index
			}
		}
	}
	g.serveReads()
}

func (g *group) serveReads() {
	var served []func(error)
	rest := g.pendingReads[:0]
	for _, round := range g.pendingReads {
		if round.confirmed && round.index <= g.applied {
			served = append(served, round.done...)
			continue
		}
		rest = append(rest, round)
	}
	g.pendingReads = rest
	for _, done := range served {
		done(nil)
	}
}

func (g *group) restore(snapshot *raft.Snapshot) {
	if err := g.machine.RestoreParts(snapshot.Data); err != nil {
		g.host.world.truth.reportFailure("node %d cannot restore a snapshot: %v", g.host.id, err)
		return
	}
	g.applied, g.snapshotIndex = snapshot.Index, snapshot.Index
	g.host.onSnapshotRestored(g)
	for _, index := range slices.Sorted(maps.Keys(g.proposals)) {
		if index <= snapshot.Index {
			waiting := g.proposals[index]
			delete(g.proposals, index)
			waiting.done(nil, 0, errUnknownOutcome)
		}
	}
}

func (g *group) apply(entries []raft.Entry) {
	for i := range entries {
		if entries[i].Index <= g.applied {
			continue
		}
		g.applyEntry(&entries[i])
	}
}

func (g *group) applyEntry(entry *raft.Entry) {
	waiting := g.proposals[entry.Index]
	delete(g.proposals, entry.Index)
	if waiting != nil && waiting.term != entry.Term {
		waiting.done(nil, 0, errNotLeader)
		waiting = nil
	}
	g.host.world.truth.recordEntry(g, entry)
	if entry.Kind != raft.EntryCommand || len(entry.Data) == 0 {
		g.applied = entry.Index
		if waiting != nil {
			waiting.done(nil, entry.Index, nil)
		}
		return
	}
	command := &wire.Command{}
	result := &wire.Result{}
	if err := proto.Unmarshal(entry.Data, command); err == nil {
		result = g.machine.Apply(entry.Index, command)
	}
	g.applied = entry.Index
	g.host.onCommandApplied(g, entry.Index, command, result)
	if waiting != nil {
		waiting.done(result, entry.Index, nil)
	}
}

// observeLeadership reports whether the leader, the term or this node's role has changed. On a loss of leadership it
// fails the pending proposals and reads.
func (g *group) observeLeadership() bool {
	status := g.node.Status()
	now := leadership{term: status.Term, leader: status.Leader, leading: status.Role == raft.Leader}
	if now == g.leadership {
		return false
	}
	lost := g.leadership.leading && (!now.leading || now.term != g.leadership.term)
	g.leadership = now
	if lost {
		for _, index := range slices.Sorted(maps.Keys(g.proposals)) {
			waiting := g.proposals[index]
			delete(g.proposals, index)
			waiting.done(nil, 0, errUnknownOutcome)
		}
	}
	if !now.leading {
		waiting := g.pendingReads
		g.pendingReads = nil
		for _, round := range waiting {
			for _, done := range round.done {
				done(errNotLeader)
			}
		}
	}
	return true
}

func (g *group) compactIfDue() {
	if g.applied-g.snapshotIndex < snapshotEntries || !g.cycle.IsIdle() {
		return
	}
	data, err := g.machine.Snapshot()
	if err != nil {
		g.host.world.truth.reportFailure("node %d cannot take a snapshot: %v", g.host.id, err)
		return
	}
	if g.host.world.hasMutation(SnapshotForgetsChangeIDs) && g.id == state.ControlGroup {
		data = withoutChangeIDs(data)
	}
	snapshot, err := g.node.Compact(g.applied, statepart.NewParts(data))
	if err != nil {
		g.host.world.truth.reportFailure("node %d cannot compact: %v", g.host.id, err)
		return
	}
	g.cycle.Compact(&snapshot)
	g.snapshotIndex = g.applied
}
