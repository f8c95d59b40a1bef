package raft

import (
	"math/rand"
	"testing"
)

// never is a delay in ticks beyond the end of each test.
const never = 1_000_000

// delayedSnapshots keeps the snapshots of a cluster off its network for a number of ticks.
type delayedSnapshots struct {
	cluster *cluster
	ticks   int
	sent    int // snapshots sent so far
	waiting []delayedSnapshot
}

type delayedSnapshot struct {
	message Message
	left    int // ticks until it arrives
}

func delaySnapshots(c *cluster, ticks int) *delayedSnapshots {
	d := &delayedSnapshots{cluster: c, ticks: ticks}
	c.hold = func(message Message) bool {
		if message.Kind != MessageSnapshot {
			return false
		}
		d.sent++
		d.waiting = append(d.waiting, delayedSnapshot{message: message, left: ticks})
		return true
	}
	return d
}

// tick runs the group for one tick and delivers the snapshots whose time has come.
func (d *delayedSnapshots) tick(t *testing.T) {
	t.Helper()
	d.cluster.runTicks(1)
	for position := range d.waiting {
		snapshot := &d.waiting[position]
		if snapshot.left--; snapshot.left != 0 {
			continue
		}
		if err := d.cluster.machine(snapshot.message.To).node.Step(snapshot.message); err != nil {
			t.Fatal(err)
		}
		d.cluster.drain()
	}
}

// mustPropose commits a number of commands.
func mustPropose(t *testing.T, c *cluster, leader *machine, commands int) {
	t.Helper()
	for range commands {
		if err := c.propose(leader); err != nil {
			t.Fatal(err)
		}
		c.drain()
	}
}

// learnerID is the node that tests add as a learner.
const learnerID = 9

// addLaggingLearner compacts the log and adds a learner, whose snapshots take delay ticks to arrive.
func addLaggingLearner(t *testing.T, c *cluster, leader *machine, delay int) *delayedSnapshots {
	t.Helper()
	c.compact(leader)
	c.add(learnerID, Snapshot{})
	snapshots := delaySnapshots(c, delay)
	if _, _, err := leader.node.ProposeChange(ConfigurationChange{Kind: AddLearner, Node: learnerID}); err != nil {
		t.Fatal(err)
	}
	return snapshots
}

// TestLearnerIsSentSnapshotsThatAreTooOld guards against a learner that never catches up. Its snapshot takes longer to
// arrive than the group needs to produce the entries that a compaction retains, so that the entry after the snapshot is
// gone when it arrives, and the next snapshot has the same fate.
func TestLearnerIsSentSnapshotsThatAreTooOld(t *testing.T) {
	const delay, rounds = 30, 400
	c := testCluster(t, 3, Unsafe{})
	leader := c.mustElectLeader(t, 60)
	mustPropose(t, c, leader, 50)
	snapshots := addLaggingLearner(t, c, leader, delay)
	for range rounds {
		if err := c.propose(leader); err != nil {
			t.Fatal(err)
		}
		snapshots.tick(t)
		c.compact(leader)
	}
	behind := leader.node.log.commit - c.machine(learnerID).node.log.commit
	if behind > delay || snapshots.sent != 1 {
		t.Errorf("after %d ticks the learner is %d entries behind and was sent %d snapshots, want 1 snapshot and at most %d entries", rounds, behind, snapshots.sent, delay)
	}
}

// TestSnapshotOnItsWayIsSentAgain guards against a large snapshot that is sent again while it is still on its way, and
// against one that is lost and never sent again.
func TestSnapshotOnItsWayIsSentAgain(t *testing.T) {
	c := testCluster(t, 3, Unsafe{})
	leader := c.mustElectLeader(t, 60)
	mustPropose(t, c, leader, 1)
	snapshots := addLaggingLearner(t, c, leader, never)
	retry := leader.node.config.SnapshotRetryTicks
	for range 4 * retry {
		snapshots.tick(t)
		leader.node.ReportSnapshotProgress(learnerID)
	}
	if snapshots.sent != 1 {
		t.Errorf("%d snapshots were sent while the first one made progress, want 1", snapshots.sent)
	}
	for range 2 * retry {
		snapshots.tick(t)
	}
	if snapshots.sent != 2 {
		t.Errorf("%d snapshots were sent after the first one made no more progress, want 2", snapshots.sent)
	}
	for range 4 * 5 * retry {
		snapshots.tick(t)
	}
	if most := 2 + 5; snapshots.sent < 4 || snapshots.sent > most {
		t.Errorf("%d snapshots were sent, want 4 to %d: again and again, and each time later", snapshots.sent, most)
	}
}

// TestOldAcknowledgementDuringATransfer guards against a leader that panics when a member acknowledges something older
// while its snapshot is on its way.
func TestOldAcknowledgementDuringATransfer(t *testing.T) {
	c := testCluster(t, 3, Unsafe{})
	leader := c.mustElectLeader(t, 60)
	mustPropose(t, c, leader, 3)
	snapshots := addLaggingLearner(t, c, leader, never)
	snapshots.tick(t)
	progress := leader.node.progressOf(learnerID)
	old := Message{Kind: MessageAppendReply, From: learnerID, To: leader.id, Term: leader.node.term, Index: 1}
	if progress.state != snapshotting || old.Index > progress.snapshotIndex {
		t.Fatalf("no snapshot is on its way: %+v", progress)
	}
	if err := leader.node.Step(old); err != nil {
		t.Fatal(err)
	}
	before := snapshots.sent
	for range leader.node.config.SnapshotRetryTicks + 1 {
		snapshots.tick(t)
	}
	if snapshots.sent != before+1 {
		t.Errorf("%d snapshots were sent after the first, want 1", snapshots.sent-before)
	}
}

// TestTransferRetainsBoundedEntries guards against a leader whose log grows without bound for a member that never takes
// its snapshot.
func TestTransferRetainsBoundedEntries(t *testing.T) {
	const most = 30 * 8 // bytes of 30 entries
	c := newCluster(rand.New(rand.NewSource(1)), Config{RetainedEntries: 1, TransferRetainedBytes: most}, 3)
	leader := c.mustElectLeader(t, 60)
	mustPropose(t, c, leader, 20)
	snapshots := addLaggingLearner(t, c, leader, never)
	for range 300 {
		if err := c.propose(leader); err != nil {
			t.Fatal(err)
		}
		snapshots.tick(t)
		c.compact(leader)
		if held := leader.node.LogBytes(); held > most+8 {
			t.Fatalf("the leader holds %d bytes of entries for a member that takes no snapshot", held)
		}
	}
}
