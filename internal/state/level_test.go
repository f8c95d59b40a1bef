package state

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/compat"
	"github.com/tamarindring/tamarindring/internal/wire"
)

func raiseTo(level compat.Level) *wire.Command {
	return &wire.Command{Kind: &wire.Command_LevelRaise{LevelRaise: &wire.LevelRaise{Level: uint32(level)}}}
}

// TestLevelNeverDecreases checks that raising the level to a lower or the same level is refused and changes nothing.
func TestLevelNeverDecreases(t *testing.T) {
	machine := New()
	for position, step := range []struct {
		level    compat.Level
		accepted bool
	}{{compat.Base, false}, {compat.Shares, true}, {compat.Shares, false}, {compat.Base, false}} {
		result := machine.Apply(uint64(position+1), raiseTo(step.level)).GetLevel()
		if result.GetAccepted() != step.accepted || result.GetLevel() != uint32(machine.Level()) {
			t.Errorf("step %d: got %v, want another acceptance or the level in force", position, result)
		}
	}
	if machine.Level() != compat.Shares {
		t.Errorf("%s is in force, want that of shares", machine.Level())
	}
}

// TestSnapshotFormatFollowsTheLevel checks that snapshots have the format that builds from before levels read until a
// level is in force, and a format that they refuse afterwards.
func TestSnapshotFormatFollowsTheLevel(t *testing.T) {
	machine := New()
	for position, want := range []struct {
		format uint32
		level  compat.Level
	}{{1, compat.Base}, {2, compat.Shares}} {
		machine.Apply(uint64(position+1), raiseTo(want.level))
		data, err := machine.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		written := &wire.MachineSnapshot{}
		if err := proto.Unmarshal(data, written); err != nil || written.Format != want.format {
			t.Errorf("snapshot at %s has format %d (error %v), want another", want.level, written.Format, err)
		}
		restored := New()
		if err := restored.Restore(data); err != nil || restored.Level() != want.level {
			t.Errorf("restored level is %s (error %v), want the level of the snapshot", restored.Level(), err)
		}
	}
}

// TestUnknownFieldsOfASnapshotArePreserved guards against losing state that another build of the same level wrote.
// Fields that this build does not know must be part of its own snapshots.
func TestUnknownFieldsOfASnapshotArePreserved(t *testing.T) {
	data, err := proto.Marshal(&wire.MachineSnapshot{Format: baseFormat, AppliedIndex: 3})
	if err != nil {
		t.Fatal(err)
	}
	const madeUp = 777
	data = protowire.AppendTag(data, madeUp, protowire.BytesType)
	data = protowire.AppendString(data, "kept")
	machine := New()
	if err := machine.Restore(data); err != nil {
		t.Fatal(err)
	}
	again, err := machine.Snapshot()
	if err != nil || !bytes.Contains(again, []byte("kept")) {
		t.Errorf("got snapshot %q (error %v), want the unknown field in it", again, err)
	}
}

// TestHigherLevelIsRejected checks that log entries and snapshots of a level above the newest supported one are
// rejected, because this build would apply them differently.
func TestHigherLevelIsRejected(t *testing.T) {
	machine := New()
	if err := machine.CheckReadable(raiseTo(compat.Newest)); err != nil {
		t.Error(err)
	}
	if machine.CheckReadable(raiseTo(compat.Newest+1)) == nil || machine.CheckReadable(&wire.Command{}) == nil {
		t.Error("an entry of a newer build was accepted")
	}
	data, err := proto.Marshal(&wire.MachineSnapshot{Format: SnapshotFormat, Level: uint32(compat.Newest + 1)})
	if err != nil {
		t.Fatal(err)
	}
	if machine.Restore(data) == nil {
		t.Error("a snapshot of a newer build was accepted")
	}
}
