package raft

import (
	"fmt"
	"math/rand"
	"testing"

	"pgregory.net/rapid"
)

// chooser picks the next step of a schedule: rapid for shrinking, a seeded source for mutations.
type chooser func(n int) int

// schedule throws faults at a group for a number of steps and returns what it examined and the first
// violation.
func schedule(choose chooser, seed int64, unsafe Unsafe, steps int) (counts, string) {
	random := rand.New(rand.NewSource(seed))
	base := Config{ElectionTicks: 5, RetainedEntries: 1, SnapshotRetryTicks: 10, MaxInflightAppends: 4, MaxAppendBytes: 24, Unsafe: unsafe}
	s := &scheduler{cluster: newCluster(random, base, 2+choose(3)), choose: choose, next: 10}
	for range steps {
		s.step()
		s.cluster.check.observe(s.cluster)
		if s.cluster.check.violation != "" {
			return s.cluster.check.counts, s.cluster.check.violation
		}
	}
	s.heal()
	return s.cluster.check.counts, s.cluster.check.violation
}

type scheduler struct {
	cluster *cluster
	choose  chooser
	next    uint64 // next new machine
}

func (s *scheduler) any() *machine { return s.cluster.machines[s.choose(len(s.cluster.machines))] }

// step does one thing. Common things come often, so that faults hit a group that works.
func (s *scheduler) step() {
	c := s.cluster
	switch kind := s.choose(100); {
	case kind < 20:
		s.tick()
	case kind < 45:
		for range 1 + s.choose(6) {
			s.deliver()
		}
	case kind < 65:
		c.take(s.any())
	case kind < 82:
		c.finish(s.any())
	case kind < 88:
		if m := s.any(); m.node != nil {
			_ = c.propose(m)
		}
	case kind < 90:
		if m := s.any(); m.node != nil {
			c.read(m)
		}
	case kind < 92:
		s.crash()
	case kind < 94:
		if m := s.any(); m.node == nil {
			c.start(m)
		}
	case kind < 95:
		c.compact(s.any())
	case kind < 97:
		s.change()
	case kind < 98:
		s.partition()
	case kind < 99:
		if m := s.any(); m.node != nil {
			_ = m.node.TransferLeadership(s.any().id)
		}
	default:
		c.settle(1 + s.choose(12))
	}
}

func (s *scheduler) tick() {
	if m := s.any(); m.node != nil {
		for range 1 + s.choose(6) {
			m.node.Tick()
		}
	}
}

func (s *scheduler) deliver() {
	c := s.cluster
	if len(c.network) == 0 {
		return
	}
	i := s.choose(min(len(c.network), 8))
	switch kind := s.choose(20); {
	case kind == 0:
		c.network = append(c.network[:i], c.network[i+1:]...)
	case kind == 1:
		c.deliver(i, true)
	default:
		c.deliver(i, false)
	}
	if len(c.network) > 200 { // the network cannot hold messages forever
		c.network = c.network[100:]
	}
}

func (s *scheduler) crash() {
	m := s.any()
	switch s.choose(3) {
	case 0:
		s.cluster.crash(m)
	case 1:
		s.cluster.finishPartly(m, false)
	default:
		s.cluster.finishPartly(m, true)
	}
}

func (s *scheduler) partition() {
	c := s.cluster
	if len(c.cut) > 0 {
		clear(c.cut)
		return
	}
	for range 1 + s.choose(2) {
		c.cut[s.any().id] = true
	}
}

// change proposes a configuration change to whoever leads.
func (s *scheduler) change() {
	c := s.cluster
	m := s.any()
	if m.node == nil || m.node.role != Leader {
		return
	}
	change := ConfigurationChange{Kind: ChangeKind(s.choose(3)), Node: s.any().id}
	if change.Kind == AddLearner && len(c.machines) < 7 {
		change.Node = s.next
	}
	if _, _, err := m.node.ProposeChange(change); err == nil && change.Kind == AddLearner && c.machine(change.Node) == nil {
		c.add(change.Node, Snapshot{})
		s.next++
	}
}

// heal ends all faults; the group must then work again in a bounded number of ticks.
func (s *scheduler) heal() {
	c := s.cluster
	clear(c.cut)
	for _, m := range c.machines {
		if m.node == nil {
			c.start(m)
		}
		if c.check.violation != "" {
			return
		}
	}
	c.settle(healTicks)
	leader := c.leader()
	if leader == nil {
		c.check.fail("liveness: no leader %d ticks after all faults ended\n%s", healTicks, c.describe())
		return
	}
	before := leader.node.log.commit
	c.read(leader)
	if err := c.propose(leader); err != nil {
		c.check.fail("liveness: a healed leader refuses work: %v", err)
	}
	c.settle(20)
	if leader.node.log.commit <= before {
		c.check.fail("liveness: nothing committed after all faults ended\n%s", c.describe())
	}
}

// healTicks is 40 election timeouts: time for several split votes.
const healTicks = 200

func TestScheduleProperty(t *testing.T) {
	total := counts{}
	rapid.Check(t, func(t *rapid.T) {
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		examined, violation := schedule(choose, int64(choose(1<<20)), Unsafe{}, 1000)
		total.add(examined)
		if violation != "" {
			t.Fatal(violation)
		}
	})
	requireExamined(t, total)
}

func TestSeededSchedules(t *testing.T) {
	seeds := 2000
	if testing.Short() {
		seeds = 300
	}
	total := counts{}
	for seed := range int64(seeds) {
		examined, violation := seeded(seed, Unsafe{}, 1000)
		total.add(examined)
		if violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
	}
	requireExamined(t, total)
}

func seeded(seed int64, unsafe Unsafe, steps int) (examined counts, violation string) {
	defer func() {
		if broken := recover(); broken != nil {
			violation = fmt.Sprint(broken)
		}
	}()
	random := rand.New(rand.NewSource(seed))
	return schedule(random.Intn, seed, unsafe, steps)
}

// requireExamined fails a run that has looked at nothing of some kind.
func requireExamined(t *testing.T, total counts) {
	t.Helper()
	t.Logf("examined %+v", total)
	if total.leaders == 0 || total.entries == 0 || total.completeness == 0 || total.matches == 0 || total.reads == 0 || total.snapshots == 0 {
		t.Fatalf("a kind of event was never examined: %+v", total)
	}
}
