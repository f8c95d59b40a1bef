package raft

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand"
	"slices"

	"github.com/tamarindring/tamarindring/internal/statepart"
)

// disk is the synced storage of a machine.
type disk struct {
	hard     HardState
	snapshot Snapshot
	entries  []Entry
}

// write stores what a Ready has to persist.
func (d *disk) write(ready Ready) {
	if ready.Snapshot != nil {
		d.snapshot, d.entries = *ready.Snapshot, nil
	}
	if len(ready.Entries) > 0 {
		keep := ready.Entries[0].Index - d.snapshot.Index - 1
		d.entries = append(slices.Clone(d.entries[:keep]), ready.Entries...)
	}
	d.hard = ready.HardState
}

// compact stores a snapshot of the node's own state and drops the entries that it covers.
func (d *disk) compact(snapshot Snapshot) {
	d.entries = slices.Clone(d.entries[snapshot.Index-d.snapshot.Index:])
	d.snapshot = snapshot
}

// machine is one process with its disk.
type machine struct {
	id           uint64
	node         *Node // nil while it is down
	disk         disk
	ready        *Ready // outstanding, nil if none
	state        []byte // of the state machine: a digest of all commands applied so far
	appliedIndex uint64 // index of the last entry applied
	reads        []ReadState

	campaignDelay int // Config.CampaignDelayTicks
}

// cluster is a group over a network that loses, repeats and reorders messages. A checker verifies the safety
// properties of the group.
type cluster struct {
	random       *rand.Rand
	base         Config
	machines     []*machine
	network      []Message
	isolated     map[uint64]bool // machines that can neither send nor receive
	nextProposal uint64          // content of the last proposal
	check        checker
	hold         func(Message) bool // keeps a message off the network if it returns true; may be nil
}

func newCluster(random *rand.Rand, base Config, voters int) *cluster {
	c := &cluster{random: random, base: base, isolated: map[uint64]bool{}, check: newChecker()}
	configuration := Configuration{}
	for id := range voters {
		configuration.Voters = append(configuration.Voters, uint64(id)+1)
	}
	for _, id := range configuration.Voters {
		c.add(id, Snapshot{Configuration: configuration})
	}
	return c
}

func (c *cluster) add(id uint64, snapshot Snapshot) *machine {
	m := &machine{id: id, disk: disk{snapshot: snapshot}}
	c.machines = append(c.machines, m)
	c.start(m)
	return m
}

func (c *cluster) start(m *machine) {
	config := c.base
	config.ID, config.Random = m.id, rand.New(rand.NewSource(c.random.Int63()))
	config.CampaignDelayTicks = m.campaignDelay
	node, err := New(config, Restored{HardState: m.disk.hard, Snapshot: m.disk.snapshot, Entries: slices.Clone(m.disk.entries)})
	if err != nil {
		c.check.fail("node %d rejected the state on its own disk: %v", m.id, err)
		return
	}
	m.node, m.ready, m.state, m.appliedIndex = node, nil, mustJoin(m.disk.snapshot.Data), m.disk.snapshot.Index
	m.reads = nil
}

func (c *cluster) crash(m *machine) { m.node, m.ready = nil, nil }

func (c *cluster) machine(id uint64) *machine {
	for _, m := range c.machines {
		if m.id == id {
			return m
		}
	}
	return nil
}

func (c *cluster) leader() *machine {
	var leader *machine
	for _, m := range c.machines {
		if m.node != nil && m.node.role == Leader && (leader == nil || m.node.term > leader.node.term) {
			leader = m
		}
	}
	return leader
}

func (c *cluster) send(messages []Message) { c.network = append(c.network, messages...) }

// takeReady takes a machine's next Ready, if there is one, sends its early messages and applies its durable entries.
func (c *cluster) takeReady(m *machine) {
	if m.node != nil {
		c.takeUrgent(m)
	}
	if m.node == nil || m.ready != nil || !m.node.HasReady() {
		return
	}
	ready := m.node.Ready()
	m.ready = &ready
	c.send(ready.EarlyMessages)
	c.applyDurable(m, ready)
}

// takeUrgent does the work that may be done at once, even while a Ready is outstanding.
func (c *cluster) takeUrgent(m *machine) {
	urgent := m.node.Urgent()
	c.send(urgent.Messages)
	c.applyEntries(m, urgent.Committed...)
	c.recordReads(m, urgent.ReadStates)
}

// applyDurable applies the committed entries that the machine's disk already holds; the others follow after the sync.
func (c *cluster) applyDurable(m *machine, ready Ready) {
	if ready.Snapshot != nil {
		return
	}
	for _, entry := range ready.Committed {
		if len(ready.Entries) > 0 && entry.Index >= ready.Entries[0].Index {
			return
		}
		c.applyEntries(m, entry)
	}
}

// finishReady completes the outstanding Ready: sync, send, apply, advance.
func (c *cluster) finishReady(m *machine) {
	if m.node == nil || m.ready == nil {
		return
	}
	ready := *m.ready
	m.ready = nil
	m.disk.write(ready)
	c.send(ready.Messages)
	c.apply(m, ready)
	m.node.Advance(ready)
}

// syncThenCrash syncs the outstanding Ready, sends its messages if send is set, and then crashes the machine.
func (c *cluster) syncThenCrash(m *machine, send bool) {
	if m.node == nil || m.ready == nil {
		return
	}
	m.disk.write(*m.ready)
	if send {
		c.send(m.ready.Messages)
	}
	c.crash(m)
}

func (c *cluster) apply(m *machine, ready Ready) {
	if ready.Snapshot != nil {
		m.state, m.appliedIndex = mustJoin(ready.Snapshot.Data), ready.Snapshot.Index
		c.check.checkSnapshot(m.id, ready.Snapshot)
	}
	c.applyEntries(m, ready.Committed...)
	c.recordReads(m, ready.ReadStates)
}

// applyEntries applies entries in order and skips those that were applied before.
func (c *cluster) applyEntries(m *machine, entries ...Entry) {
	for _, entry := range entries {
		if entry.Index <= m.appliedIndex {
			continue
		}
		if entry.Index != m.appliedIndex+1 {
			c.check.fail("node %d has applied up to %d, got entry %d next", m.id, m.appliedIndex, entry.Index)
		}
		m.state, m.appliedIndex = digest(m.state, entry), entry.Index
		c.check.checkApplied(m.id, entry, m.state)
	}
}

func (c *cluster) recordReads(m *machine, states []ReadState) {
	for _, state := range states {
		c.check.checkRead(m.id, state)
	}
	m.reads = append(m.reads, states...)
}

func digest(before []byte, entry Entry) []byte {
	sum := binary.BigEndian.AppendUint64(nil, entry.Index)
	for i, b := range append(bytes.Clone(before), entry.Data...) {
		sum[i%len(sum)] = sum[i%len(sum)]*31 + b
	}
	return sum
}

// deliver delivers the message at position i of the network, and leaves a copy of it there if keep is set.
func (c *cluster) deliver(i int, keep bool) {
	message := c.network[i]
	if !keep {
		c.network = slices.Delete(c.network, i, i+1)
	}
	if c.hold != nil && c.hold(message) {
		return
	}
	m := c.machine(message.To)
	if m == nil || m.node == nil || c.isolated[message.To] || c.isolated[message.From] {
		return
	}
	if err := m.node.Step(message); err != nil {
		c.check.fail("node %d: %v", m.id, err)
	}
}

func (c *cluster) propose(m *machine) error {
	c.nextProposal++
	_, _, err := m.node.Propose(binary.BigEndian.AppendUint64(nil, c.nextProposal))
	return err
}

func (c *cluster) compact(m *machine) {
	if m.node == nil || m.ready != nil || m.node.log.applied <= m.node.snapshot.Index {
		return
	}
	snapshot, err := m.node.Compact(m.node.log.applied, statepart.NewParts(m.state))
	if err != nil {
		c.check.fail("compaction: %v", err)
		return
	}
	m.disk.compact(snapshot)
}

func (c *cluster) read(m *machine) {
	if m.node.ReadIndex(c.check.nextRead) == nil {
		c.check.recordReadRequest()
	}
}

// runTicks runs the group without faults for a number of ticks.
func (c *cluster) runTicks(ticks int) {
	for range ticks {
		for _, m := range c.machines {
			if m.node != nil {
				m.node.Tick()
			}
		}
		c.drain()
	}
}

// drain works until nothing is left to do at this tick.
func (c *cluster) drain() {
	for busy := true; busy; {
		busy = false
		for _, m := range c.machines {
			c.takeReady(m)
			busy = busy || m.ready != nil
			c.finishReady(m)
		}
		for len(c.network) > 0 {
			busy = true
			c.deliver(0, false)
		}
	}
	c.check.observe(c)
}

func (c *cluster) describe() string {
	text := ""
	for _, m := range c.machines {
		if m.node != nil {
			text += fmt.Sprintf("%+v\n", m.node.Status())
		}
	}
	return text
}

// mustJoin returns the encoding of a state whose parts are in memory.
func mustJoin(parts statepart.Parts) []byte {
	data, err := parts.Join()
	if err != nil {
		panic(err)
	}
	return data
}
