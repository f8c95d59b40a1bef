package sim

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/state"
	"github.com/tamarindring/tamarindring/internal/storage"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// Times and sizes of the hosts. They are those of consensus.Config, except that snapshots are so frequent that every
// run takes some.
const (
	tickTime              = 50 * time.Millisecond
	heartbeatTicks        = 2
	greetingIntervalTicks = 10
	snapshotEntries       = 150
	retainedEntries       = 20
	ledgerGroups          = 2
	groupCount            = ledgerGroups + 1
)

// host runs one control machine's replicas of all groups. It follows the order of consensus.Host's loop: early
// messages, sync, the other messages, apply, advance.
type host struct {
	*process
	fleet            *fleet
	id               uint64
	disk             *disk
	groups           []*group
	queuedGroups     []*group // groups with state to write
	writingGroups    []*group // groups in the write in progress
	writing          bool
	identityRejected bool     // a peer knows this node with another data folder, so it must not run again
	confirmed        bool     // all required voters know this node's data folder
	requiredVoters   []uint64 // voters that must know this node's data folder before it participates
	stopping         bool
	replaced         bool // removed for good
	control          *control
}

func (f *fleet) newHost(id uint64, zone string, configuration raft.Configuration) *host {
	h := &host{process: f.world.newProcess(fmt.Sprintf("control-%d", id), zone), fleet: f, id: id}
	h.disk = f.world.newDisk(groupCount, configuration)
	h.onDeath = func() {
		h.disk.crash()
		h.groups, h.control = nil, nil
		f.restartLater(h.process)
	}
	f.hosts = append(f.hosts, h)
	return h
}

// launch starts the process from the state on its disk, unless it is up or was replaced.
func (h *host) launch() {
	if h.up || h.replaced {
		return
	}
	h.start()
	h.stopping = false
	h.disk.startCount++
	h.writing, h.queuedGroups, h.writingGroups, h.requiredVoters, h.confirmed = false, nil, nil, nil, false
	for id := range uint32(groupCount) {
		g, err := h.loadGroup(id)
		if err != nil {
			h.world.truth.reportFailure("node %d does not start: %v", h.id, err)
			return
		}
		h.groups = append(h.groups, g)
	}
	h.requireVoterConfirmation()
	h.control = newControl(h)
	h.tick(0)
}

// requireVoterConfirmation makes a node without any stored state wait until every voter knows its data folder.
func (h *host) requireVoterConfirmation() {
	for _, g := range h.groups {
		if !g.cycle.IsHardStateEmpty() || g.applied > 0 {
			return
		}
	}
	for _, voter := range h.groups[0].node.Status().Configuration.Voters {
		if voter != h.id {
			h.requiredVoters = append(h.requiredVoters, voter)
		}
	}
}

// canParticipate reports whether every required voter knows this node's data folder.
func (h *host) canParticipate() bool {
	if h.confirmed || h.world.hasMutation(VoteUnderOldIdentity) {
		return true
	}
	for _, voter := range h.requiredVoters {
		if !h.disk.peers[voter].knowsOwnFolder {
			return false
		}
	}
	h.confirmed = true
	return true
}

func (h *host) tick(count int) {
	if count%greetingIntervalTicks == 0 {
		h.sendGreetings()
	}
	if h.canParticipate() {
		for _, g := range h.groups {
			g.node.Tick()
		}
	}
	h.control.tick()
	h.advance()
	h.after(tickTime, func() { h.tick(count + 1) })
}

// sendGreetings tells the other nodes which data folder this node has.
func (h *host) sendGreetings() {
	for _, other := range h.fleet.hosts {
		if other == h || !other.up {
			continue
		}
		folder, starts, knows := h.disk.folder, h.disk.startCount, h.disk.peers[other.id].folder
		h.world.network.sendOnce(h.process, other.process, func() { other.receiveGreeting(h.id, folder, starts, knows) })
	}
}

// receiveGreeting follows consensus's addressBook.greet: a node whose data folder differs from the known one is
// rejected. knows is the folder under which the sender knows this node, 0 for none.
func (h *host) receiveGreeting(from, folder, starts, knows uint64) {
	skipCheck := h.world.hasMutation(VoteUnderOldIdentity)
	if knows != 0 && knows != h.disk.folder && !skipCheck {
		h.identityRejected = true
		h.tracef("stops: node %d knows it with another data folder", from)
		h.die()
		return
	}
	known, ok := h.disk.peers[from]
	if ok && (known.folder != folder || starts < known.startCount) && !skipCheck {
		return
	}
	h.disk.peers[from] = peerRecord{folder: folder, startCount: starts, knowsOwnFolder: known.knowsOwnFolder || knows == h.disk.folder}
}

// step handles a raft message. It drops messages from a data folder that is not the known one of the sender, and
// messages with entries while the disk is full.
func (h *host) step(groupID uint32, folder uint64, message raft.Message) {
	if known, ok := h.disk.peers[message.From]; (!ok || known.folder != folder) && !h.world.hasMutation(VoteUnderOldIdentity) {
		return
	}
	if !h.canParticipate() || h.disk.full && len(message.Entries) > 0 {
		return
	}
	if err := h.groups[groupID].node.Step(message); err != nil {
		h.tracef("drops a message: %v", err)
	}
	h.advance()
}

func (h *host) send(g *group, messages []raft.Message) {
	for _, message := range messages {
		to := h.fleet.hostByID(message.To)
		if to == nil {
			continue
		}
		groupID, folder, content := g.id, h.disk.folder, message
		h.world.network.send(h.process, to.process, func() { to.step(groupID, folder, content) })
	}
}

// propose proposes a command in a group. done gets its result and log index once it is applied, or an error.
func (h *host) propose(groupID uint32, command *wire.Command, done func(*wire.Result, uint64, error)) {
	if h.disk.full {
		done(nil, 0, errOverloaded)
		return
	}
	data, err := proto.Marshal(command)
	if err != nil {
		done(nil, 0, err)
		return
	}
	h.groups[groupID].propose(data, done)
	h.advance()
}

func (h *host) read(groupID uint32, done func(error)) {
	h.groups[groupID].read(done)
	h.advance()
}

// advance processes every group's Ready until none can do more without a sync, and then starts the next write.
func (h *host) advance() {
	if !h.up {
		return
	}
	for _, g := range h.groups {
		h.advanceGroup(g)
		if !h.up {
			return
		}
	}
	h.startWrite()
}

func (h *host) advanceGroup(g *group) {
	urgent := g.cycle.UrgentOutput()
	h.send(g, urgent.Messages)
	g.apply(urgent.Committed)
	g.confirmReads(urgent.ReadStates)
	for ready := g.cycle.Take(); ready != nil; ready = g.cycle.Take() {
		h.send(g, ready.EarlyMessages)
		g.apply(ready.Durable())
		if ready.MustSync {
			g.cycle.Hold(ready)
			h.queueWrite(g)
			g.confirmReads(ready.ReadStates)
			break
		}
		h.send(g, ready.Messages)
		g.finishReady(ready)
	}
	if g.observeLeadership() {
		h.tracef("group %d: leader %d, term %d", g.id, g.leadership.leader, g.leadership.term)
		if g.id == state.ControlGroup {
			h.control.onLeaderChange()
		}
	}
	g.compactIfDue()
	if g.cycle.HasPendingSnapshot() {
		h.queueWrite(g)
	}
}

func (h *host) queueWrite(g *group) {
	if g.cycle.Queue() {
		h.queuedGroups = append(h.queuedGroups, g)
	}
}

func (h *host) startWrite() {
	if h.writing || len(h.queuedGroups) == 0 {
		return
	}
	batch := make([]storage.GroupWrite, 0, len(h.queuedGroups))
	for _, g := range h.queuedGroups {
		batch = append(batch, g.cycle.Write())
	}
	h.writingGroups, h.queuedGroups = h.queuedGroups, nil
	h.writing = true
	h.disk.write(h.process, batch, h.finishWrite)
}

// finishWrite sends and applies what had to wait for the sync. A failed write ends the process.
func (h *host) finishWrite(err error) {
	h.writing = false
	if err != nil {
		h.tracef("stops: %v", err)
		h.die()
		return
	}
	written := h.writingGroups
	h.writingGroups = nil
	for _, g := range written {
		if ready, _ := g.cycle.CompleteWrite(); ready != nil {
			h.send(g, ready.Messages)
			g.finishReady(ready)
		}
	}
	h.advance()
}

func (h *host) onCommandApplied(g *group, index uint64, command *wire.Command, result *wire.Result) {
	h.world.truth.recordResult(g, index, command, result)
	if g.id == state.ControlGroup && command.GetTableChange() != nil && h.control != nil {
		h.control.adoptTableVersion()
	}
}

func (h *host) onSnapshotRestored(g *group) {
	if g.id == state.ControlGroup && h.control != nil {
		h.control.adoptTableVersion()
	}
}
