package consensus

import "context"

// Holdings lists the sizes in bytes of the data that a node holds of a group beside its state machine.
type Holdings struct {
	Log           int // data of the log entries in memory
	SinceSnapshot int // data of the entries applied since the last snapshot was captured
	Snapshot      int // size of the last snapshot, on disk or in memory
	Unstored      int // part of the snapshot that is held in memory because it is not on disk
}

// Holdings returns the sizes of the data that this node holds of a group. Errors: those of Status.
func (h *Host) Holdings(ctx context.Context, group uint32) (Holdings, error) {
	return callWithResult(ctx, h, group, func(g *hostedGroup) (Holdings, error) {
		return Holdings{
			Log: g.node.LogBytes(), SinceSnapshot: g.snapshots.appliedBytes,
			Snapshot: g.snapshots.size, Unstored: g.node.SnapshotBytes(),
		}, nil
	})
}

// Capacity returns the state size in bytes that every voter of a group can hold. It considers this node and the
// voters that have announced a capacity since this node started, and is 0 if none has. Errors: those of Status.
func (h *Host) Capacity(ctx context.Context, group uint32) (uint64, error) {
	status, err := h.Status(ctx, group)
	if err != nil {
		return 0, err
	}
	least := h.config.CapacityBytes
	for _, voter := range status.Configuration.Voters {
		if capacity := h.contacts.get(voter).capacityBytes; capacity > 0 && (least == 0 || capacity < least) {
			least = capacity
		}
	}
	return least, nil
}
