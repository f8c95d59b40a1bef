package state

import (
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/batch"
	"github.com/tamarindring/tamarindring/internal/compat"
	"github.com/tamarindring/tamarindring/internal/statepart"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// SnapshotFormat is the newest version of the snapshot's encoding. A build reads its own format and all older ones, and
// refuses newer ones.
const SnapshotFormat uint32 = 2

// baseFormat is the version of the encoding while no level is in force. Builds from before levels read it and refuse
// newer versions. A node that is downgraded to such a build after a level came into force therefore stops before it has
// changed anything.
const baseFormat uint32 = 1

// format returns the version of the encoding that the level in force requires.
func (m *Machine) format() uint32 {
	if m.level == compat.Base {
		return baseFormat
	}
	return SnapshotFormat
}

// Snapshot returns the whole state in one encoded message. Equal states give equal bytes.
func (m *Machine) Snapshot() ([]byte, error) {
	parts, err := m.Capture()()
	if err != nil {
		return nil, err
	}
	whole := &wire.MachineSnapshot{}
	for _, part := range parts {
		content, err := part.Content()
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if err := (proto.UnmarshalOptions{Merge: true}).Unmarshal(content, whole); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(whole)
	return data, trace.Wrap(err, "encoding a snapshot")
}

// Capture captures the current state and returns a function that encodes it. The function may run concurrently with
// later commands. Claims, samples and batch jobs grow with the traffic and are shared with the state, which replaces
// their messages and never modifies them. The rest is small and is copied.
//
// Each encoded part is a wire.MachineSnapshot with some of the state. The concatenation of the parts is one with all of
// it, which builds from before parts can read. Every batch job that no longer changes is a part of its own, which is
// the same in each encoding.
func (m *Machine) Capture() (encode func() (statepart.Parts, error)) {
	jobs := m.jobs.Capture()
	snapshot := &wire.MachineSnapshot{
		Format:       m.format(),
		Level:        uint32(m.level),
		AppliedIndex: m.applied,
		Table:        proto.CloneOf(m.table.Snapshot()),
		Members:      proto.CloneOf(m.members.Snapshot()),
		Fences:       proto.CloneOf(m.fences.Snapshot()),
		Releases:     proto.CloneOf(m.releases.Snapshot()),
		Ledger:       m.ledger.Snapshot(),
		Jobs:         jobs.Head(),
		Usage:        m.usage.Snapshot(),
	}
	snapshot.ProtoReflect().SetUnknown(m.unknownFields)
	claims := m.claims.Capture()
	return func() (statepart.Parts, error) {
		snapshot.Claims = claims.Message()
		head, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
		if err != nil {
			return nil, trace.Wrap(err, "encoding a snapshot")
		}
		parts, err := jobs.Parts()
		return append(statepart.NewParts(head), parts...), trace.Wrap(err)
	}
}

// Restore replaces the state with that of a snapshot. It fails as RestoreParts does.
func (m *Machine) Restore(data []byte) error { return m.RestoreParts(statepart.NewParts(data)) }

// RestoreParts replaces the state with that of a snapshot. The Machine may retain the parts. It fails, without changing the Machine, if the data is not a valid snapshot or is of a format or level
// that this build does not support.
func (m *Machine) RestoreParts(parts statepart.Parts) error {
	snapshot, records, err := decodeParts(parts)
	if err != nil {
		return trace.BadParameter("data is not a snapshot: %v", err)
	}
	if snapshot.GetFormat() == 0 {
		return trace.BadParameter("data is not a snapshot: it has no format")
	}
	if snapshot.GetFormat() > SnapshotFormat {
		return trace.BadParameter("snapshot has format %d; this program reads up to %d: use a newer program", snapshot.GetFormat(), SnapshotFormat)
	}
	if level := compat.Level(snapshot.GetLevel()); !compat.Newest.Includes(level) {
		return levelTooHigh(level)
	}
	return trace.Wrap(m.restoreState(snapshot, records))
}

// restoreState restores copies of all components first, so that an error in one of them leaves the others unchanged.
func (m *Machine) restoreState(snapshot *wire.MachineSnapshot, records []batch.Record) error {
	tableCopy, membersCopy, fencesCopy, claimsCopy, ledgerCopy := *m.table, *m.members, *m.fences, *m.claims, *m.ledger
	releasesCopy, jobsCopy, usageCopy := *m.releases, *m.jobs, *m.usage
	for _, restore := range []func() error{
		func() error { return tableCopy.Restore(snapshot.GetTable()) },
		func() error { return membersCopy.Restore(snapshot.GetMembers()) },
		func() error { return fencesCopy.Restore(snapshot.GetFences()) },
		func() error { return claimsCopy.Restore(snapshot.GetClaims()) },
		func() error { return ledgerCopy.Restore(snapshot.GetLedger()) },
		func() error { return releasesCopy.Restore(snapshot.GetReleases()) },
		func() error { return jobsCopy.RestoreRecords(snapshot.GetJobs(), records) },
		func() error { return usageCopy.Restore(snapshot.GetUsage()) },
	} {
		if err := restore(); err != nil {
			return trace.Wrap(err)
		}
	}
	*m.table, *m.members, *m.fences, *m.claims, *m.ledger = tableCopy, membersCopy, fencesCopy, claimsCopy, ledgerCopy
	*m.releases, *m.jobs, *m.usage = releasesCopy, jobsCopy, usageCopy
	m.applied, m.unknownFields = snapshot.GetAppliedIndex(), snapshot.ProtoReflect().GetUnknown()
	m.setLevel(compat.Level(snapshot.GetLevel()))
	return nil
}
