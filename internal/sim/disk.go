package sim

import (
	"errors"
	"slices"
	"time"

	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/storage"
)

// errSync is a sync that failed: nobody knows what reached the disk.
var errSync = errors.New("sim: the sync failed")

const (
	syncTime     = 400 * time.Microsecond
	noSpaceRetry = 500 * time.Millisecond // consensus.noSpaceRetry
)

// disk is a machine's storage. A write counts once it is synced; one that was under way when the machine
// lost power may have reached the disk as a whole or not at all, as a transaction of the store does.
type disk struct {
	world    *world
	folder   uint64 // identity of the data folder
	starts   uint64
	peers    map[uint64]peerRecord
	groups   map[uint32]raft.Restored
	unsynced [][]storage.GroupWrite
	full     bool
	failNext bool
	tearNext bool          // the machine loses power in the middle of the next write
	torn     bool          // it has
	slow     time.Duration // longest extra time of a sync
}

// peerRecord is what a node durably knows of another one's folder.
type peerRecord struct {
	folder    uint64
	starts    uint64
	knowsThis bool
}

func (w *world) newDisk(groups int, configuration raft.Configuration) *disk {
	d := &disk{world: w, folder: uint64(w.random.Int63()), peers: map[uint64]peerRecord{}, groups: map[uint32]raft.Restored{}}
	for group := range uint32(groups) {
		d.groups[group] = raft.Restored{Snapshot: raft.Snapshot{Configuration: configuration.Clone()}}
	}
	return d
}

// load returns what a group has on the disk.
func (d *disk) load(group uint32) raft.Restored {
	restored := d.groups[group]
	restored.Entries = slices.Clone(restored.Entries)
	return restored
}

// write makes a batch durable, then tells so, unless the process died meanwhile.
func (d *disk) write(p *process, batch []storage.GroupWrite, done func(error)) {
	if d.full {
		p.after(noSpaceRetry, func() { d.write(p, batch, done) })
		return
	}
	d.unsynced = append(d.unsynced, batch)
	delay := syncTime + d.world.exponential(syncTime/4)
	if d.slow > 0 {
		delay += d.world.between(0, d.slow)
	}
	early := d.world.mutated(AnswerBeforeSync)
	if early {
		delay += earlySyncLag
		p.after(0, func() { done(nil) })
	}
	epoch := p.epoch
	if d.tearNext {
		d.tearNext = false
		d.world.after(delay/2, func() {
			if p.epoch == epoch && p.up {
				d.torn = true
				p.die()
			}
		})
	}
	d.world.after(delay, func() { d.synced(p, epoch, done, early) })
}

// earlySyncLag is how far the disk is behind when a host does not wait for it.
const earlySyncLag = 50 * time.Millisecond

func (d *disk) synced(p *process, epoch uint64, done func(error), told bool) {
	if p.epoch != epoch || !p.up || len(d.unsynced) == 0 {
		return
	}
	batch := d.unsynced[0]
	d.unsynced = d.unsynced[1:]
	if d.failNext {
		d.failNext = false
		if d.world.chance(0.5) {
			d.store(batch)
		}
		p.enter(epoch, func() { done(errSync) })
		return
	}
	d.store(batch)
	if !told {
		p.enter(epoch, func() { done(nil) })
	}
}

// crash ends the machine's run: writes that were not synced may be lost, from some point on.
func (d *disk) crash() {
	for _, batch := range d.unsynced {
		if d.torn || d.world.chance(0.5) {
			d.lose(batch)
			break
		}
		d.store(batch)
	}
	d.unsynced, d.failNext, d.torn = nil, false, false
}

// lose drops the first write that did not reach the disk as a whole. The store finds a torn one when it opens the
// folder, and goes on from the write before.
func (d *disk) lose(batch []storage.GroupWrite) {
	if !d.torn {
		d.world.faults[UnsyncedLost]++
		return
	}
	d.torn = false
	d.world.faults[TornRecord]++
	if !d.world.mutated(AcceptTornRecord) {
		return
	}
	for i := range batch {
		part := batch[i]
		part.Entries = part.Entries[:len(part.Entries)/2]
		d.storeGroup(&part)
	}
}

func (d *disk) store(batch []storage.GroupWrite) {
	for i := range batch {
		d.storeGroup(&batch[i])
	}
}

func (d *disk) storeGroup(write *storage.GroupWrite) {
	stored := d.groups[write.Group]
	if write.Snapshot != nil {
		stored.Snapshot, stored.Entries = *write.Snapshot, nil
	}
	if len(write.Entries) > 0 {
		keep := min(write.Entries[0].Index-stored.Snapshot.Index-1, uint64(len(stored.Entries)))
		stored.Entries = append(slices.Clone(stored.Entries[:keep]), write.Entries...)
	}
	if write.HardState != nil {
		stored.HardState = *write.HardState
	}
	if write.Compaction != nil && write.Compaction.Index > stored.Snapshot.Index {
		drop := min(write.Compaction.Index-stored.Snapshot.Index, uint64(len(stored.Entries)))
		stored.Entries = slices.Clone(stored.Entries[drop:])
		stored.Snapshot = *write.Compaction
	}
	d.groups[write.Group] = stored
}
