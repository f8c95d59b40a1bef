package state

import (
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/batch"
	"github.com/tamarindring/tamarindring/internal/compat"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// SnapshotFormat is the newest version of the snapshot's encoding. A program reads its own format and every older
// one; it refuses a newer one.
const SnapshotFormat uint32 = 2

// baseFormat is the encoding's version while no level is in force. Builds before levels read it, and refuse what is newer: a
// node that goes back to such a build after a level was agreed stops before it has changed anything.
const baseFormat uint32 = 1

// format is the version in which the state is encoded.
func (m *Machine) format() uint32 {
	if m.level == compat.Base {
		return baseFormat
	}
	return SnapshotFormat
}

// Snapshot encodes the whole state. Equal states give equal bytes.
func (m *Machine) Snapshot() ([]byte, error) {
	parts, err := m.Capture()()
	if err != nil {
		return nil, err
	}
	whole := &wire.MachineSnapshot{}
	for _, part := range parts {
		if err := (proto.UnmarshalOptions{Merge: true}).Unmarshal(part, whole); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(whole)
	return data, trace.Wrap(err, "encoding a snapshot")
}

// Capture fixes the state as it is now and returns the function that encodes it, which may run beside later
// commands. Claims, samples and batch jobs, which grow with the traffic, are shared with the state: their messages are
// replaced and never modified. The rest is small and copied.
//
// Each part is a wire.MachineSnapshot with some of the state, and their concatenation one with all of it, as builds that know no
// parts read it. Batch jobs that change no more are parts by themselves, the same in each encoding.
func (m *Machine) Capture() (encode func() ([][]byte, error)) {
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
	snapshot.ProtoReflect().SetUnknown(m.unknown)
	claims := m.claims.Capture()
	return func() ([][]byte, error) {
		snapshot.Claims = claims.Message()
		head, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
		if err != nil {
			return nil, trace.Wrap(err, "encoding a snapshot")
		}
		parts, err := jobs.Parts()
		return append([][]byte{head}, parts...), trace.Wrap(err)
	}
}

// Restore replaces the state with a snapshot's. Errors: those of RestoreParts.
func (m *Machine) Restore(data []byte) error { return m.RestoreParts([][]byte{data}) }

// RestoreParts replaces the state with a snapshot's, whose parts it may share from now on. Errors: data that is not a snapshot,
// or of a newer format; the Machine is then unchanged.
func (m *Machine) RestoreParts(parts [][]byte) error {
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
		return unreadable(level)
	}
	return trace.Wrap(m.restoreState(snapshot, records))
}

// restoreState restores copies first, so that an error in a later part leaves the earlier ones alone.
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
	m.applied, m.unknown = snapshot.GetAppliedIndex(), snapshot.ProtoReflect().GetUnknown()
	m.setLevel(compat.Level(snapshot.GetLevel()))
	return nil
}
