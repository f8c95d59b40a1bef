package consensus

import (
	"bytes"
	"context"
	"path/filepath"
	"testing"

	"github.com/tamarindring/tamarindring/internal/compat"
	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/statepart"
)

// largeStateJournal is a journal with two additional large parts that never change.
type largeStateJournal struct {
	journal
	large statepart.Parts
}

func newLargeStateJournal() *largeStateJournal {
	return &largeStateJournal{large: statepart.NewParts(bytes.Repeat([]byte{'a'}, 1<<20), bytes.Repeat([]byte{'b'}, 1<<20))}
}

func (j *largeStateJournal) Capture() func() (statepart.Parts, error) {
	encode := j.journal.Capture()
	return func() (statepart.Parts, error) {
		parts, err := encode()
		return append(parts, j.large...), err
	}
}

func (j *largeStateJournal) RestoreParts(parts statepart.Parts) error {
	j.large = parts[len(parts)-2:]
	return j.journal.RestoreParts(parts[:len(parts)-2])
}

// TestReceivedSnapshotIsStoredInParts guards against a received snapshot that is stored as one file. A node with an
// empty disk received a state of 86 MB before it knew the level in force, and wrote it as one file. On a disk of 128
// MB neither its next snapshot, in parts, nor any later one fitted beside that file.
func TestReceivedSnapshotIsStoredInParts(t *testing.T) {
	c := newCluster(t, 3, func(config *Config) {
		config.SnapshotEntries, config.SnapshotCost = 4, 1<<30
		config.NewStateMachine = func(uint32) StateMachine { return newLargeStateJournal() }
		config.LevelInForce = func() compat.Level { return compat.SnapshotParts }
		config.SupportedLevel = compat.SnapshotParts
	})
	for range 2000 {
		c.commit(0, "fills the log")
		if c.leader(0).snapshotIndex(0) > 1200 {
			break
		}
	}
	late := c.add(4, func(config *Config) {
		config.SnapshotEntries = 1 << 20
		config.NewStateMachine = func(uint32) StateMachine { return newLargeStateJournal() }
		config.SupportedLevel = compat.SnapshotParts // it does not know the level in force
	})
	late.join = true
	late.start()
	c.retryMembershipChange("add the late node", 0, func(ctx context.Context, host *Host) error { return host.AddLearner(ctx, 0, 4) }, raft.ErrAlreadyMember)
	c.wait("the late node has the state", func() bool { return late.snapshotIndex(0) > 0 })
	files, err := filepath.Glob(filepath.Join(late.folder, "snapshot-0-*"))
	if err != nil || len(files) < 3 {
		t.Fatalf("the received snapshot is stored in %d files, want at least 3: %v", len(files), err)
	}
}
