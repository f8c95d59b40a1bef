package raft

import (
	"fmt"
	"math/rand"
	"testing"

	"pgregory.net/rapid"
)

// chooser returns the next choice of a schedule, from 0 to n-1. Property tests draw it from rapid, which can shrink a
// failing schedule, and other tests from a seeded source.
type chooser func(n int) int

// runSchedule runs a group with random faults for a number of steps, then ends all faults. It returns the counts of
// the checks made and the first violation, which is empty if there was none.
func runSchedule(choose chooser, seed int64, unsafe Unsafe, steps int) (counts, string) {
	random := rand.New(rand.NewSource(seed))
	base := Config{ElectionTicks: 5, RetainedEntries: 1, SnapshotRetryTicks: 10, MaxInflightAppends: 4, MaxAppendBytes: 24, Unsafe: unsafe}
	s := &scheduler{cluster: newCluster(random, base, 2+choose(3)), choose: choose, nextID: 10}
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

// scheduler picks and runs the steps of a schedule.
type scheduler struct {
	cluster *cluster
	choose  chooser
	nextID  uint64 // ID of the next machine that is added
}

func (s *scheduler) any() *machine { return s.cluster.machines[s.choose(len(s.cluster.machines))] }

// step does one random thing. Ordinary events are more frequent than faults, so that faults hit a working group.
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
		c.takeReady(s.any())
	case kind < 82:
		c.finishReady(s.any())
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
		c.runTicks(1 + s.choose(12))
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
	if len(c.network) > 200 { // drops the oldest messages, which bounds the network
		c.network = c.network[100:]
	}
}

func (s *scheduler) crash() {
	m := s.any()
	switch s.choose(3) {
	case 0:
		s.cluster.crash(m)
	case 1:
		s.cluster.syncThenCrash(m, false)
	default:
		s.cluster.syncThenCrash(m, true)
	}
}

func (s *scheduler) partition() {
	c := s.cluster
	if len(c.isolated) > 0 {
		clear(c.isolated)
		return
	}
	for range 1 + s.choose(2) {
		c.isolated[s.any().id] = true
	}
}

// change proposes a random configuration change to a random machine if that machine leads.
func (s *scheduler) change() {
	c := s.cluster
	m := s.any()
	if m.node == nil || m.node.role != Leader {
		return
	}
	change := ConfigurationChange{Kind: ChangeKind(s.choose(3)), Node: s.any().id}
	if change.Kind == AddLearner && len(c.machines) < 7 {
		change.Node = s.nextID
	}
	if _, _, err := m.node.ProposeChange(change); err == nil && change.Kind == AddLearner && c.machine(change.Node) == nil {
		c.add(change.Node, Snapshot{})
		s.nextID++
	}
}

// heal ends all faults and checks that the group then commits again within a bounded number of ticks.
func (s *scheduler) heal() {
	c := s.cluster
	clear(c.isolated)
	for _, m := range c.machines {
		if m.node == nil {
			c.start(m)
		}
		if c.check.violation != "" {
			return
		}
	}
	c.runTicks(healTicks)
	leader := c.leader()
	if leader == nil {
		c.check.fail("liveness: no leader %d ticks after all faults ended\n%s", healTicks, c.describe())
		return
	}
	before := leader.node.log.commit
	c.read(leader)
	if err := c.propose(leader); err != nil {
		c.check.fail("liveness: the leader rejects a proposal after all faults ended: %v", err)
	}
	c.runTicks(20)
	if leader.node.log.commit <= before {
		c.check.fail("liveness: nothing committed after all faults ended\n%s", c.describe())
	}
}

// healTicks is 40 election timeouts, which leaves time for several split votes.
const healTicks = 200

// TestScheduleProperty checks the safety properties, and liveness after all faults have ended, on schedules of random
// faults that rapid can shrink.
func TestScheduleProperty(t *testing.T) {
	total := counts{}
	rapid.Check(t, func(t *rapid.T) {
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		examined, violation := runSchedule(choose, int64(choose(1<<20)), Unsafe{}, 1000)
		total.add(examined)
		if violation != "" {
			t.Fatal(violation)
		}
	})
	requireExamined(t, total)
}

// TestSeededSchedules checks the same properties as TestScheduleProperty on schedules with fixed seeds.
func TestSeededSchedules(t *testing.T) {
	seeds := 2000
	if testing.Short() {
		seeds = 300
	}
	total := counts{}
	for seed := range int64(seeds) {
		examined, violation := runSeededSchedule(seed, Unsafe{}, 1000)
		total.add(examined)
		if violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
	}
	requireExamined(t, total)
}

// runSeededSchedule runs a schedule whose choices come from a seeded source. A panic counts as a violation.
func runSeededSchedule(seed int64, unsafe Unsafe, steps int) (examined counts, violation string) {
	defer func() {
		if recovered := recover(); recovered != nil {
			violation = fmt.Sprint(recovered)
		}
	}()
	random := rand.New(rand.NewSource(seed))
	return runSchedule(random.Intn, seed, unsafe, steps)
}

// requireExamined fails the test if the schedules made no check of some kind.
func requireExamined(t *testing.T, total counts) {
	t.Helper()
	t.Logf("examined %+v", total)
	if total.leaders == 0 || total.entries == 0 || total.completeness == 0 || total.matches == 0 || total.reads == 0 || total.snapshots == 0 {
		t.Fatalf("no check was made of at least one kind: %+v", total)
	}
}
