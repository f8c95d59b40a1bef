package consensus

import "context"

// Holdings is what a node holds of a group beside its state machine, in bytes.
type Holdings struct {
	Log        int // entries' data in memory
	SinceState int // entries' data applied since the last snapshot was captured
	Snapshot   int // size of the last snapshot, on disk or not
	Unstored   int // part of it that is in memory since it is on no disk
}

// Holdings returns what this node holds of a group. Errors: those of Status.
func (h *Host) Holdings(ctx context.Context, group uint32) (Holdings, error) {
	return ask(ctx, h, group, func(g *hostedGroup) (Holdings, error) {
		return Holdings{
			Log: g.node.LogBytes(), SinceState: g.snapshots.appliedBytes,
			Snapshot: g.snapshots.size, Unstored: g.node.SnapshotBytes(),
		}, nil
	})
}

// Capacity is the size of state that each voter of a group can hold, as far as they have told since this node started; 0 if none
// has. Errors: those of Status.
func (h *Host) Capacity(ctx context.Context, group uint32) (uint64, error) {
	status, err := h.Status(ctx, group)
	if err != nil {
		return 0, err
	}
	least := h.config.CapacityBytes
	for _, voter := range status.Configuration.Voters {
		if told := h.contacts.of(voter).capacity; told > 0 && (least == 0 || told < least) {
			least = told
		}
	}
	return least, nil
}
