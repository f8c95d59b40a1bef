package sim

import (
	"errors"
	"slices"
	"time"

	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/storage"
)

// errSync is the error of a failed sync, after which it is unknown what reached the disk.
var errSync = errors.New("sim: the sync failed")

const (
	syncTime             = 400 * time.Microsecond
	noSpaceRetryInterval = 500 * time.Millisecond // equal to consensus.noSpaceRetryInterval
)

// disk is a machine's storage. A write is durable once it is synced. A write that was in progress when the machine
// lost power may have reached the disk as a whole or not at all, like a transaction of the store.
type disk struct {
	world         *world
	folder        uint64 // identity of the data folder
	startCount    uint64
	peers         map[uint64]peerRecord
	groups        map[uint32]raft.Restored
	unsynced      [][]storage.GroupWrite
	full          bool          // writes wait until there is free space
	failNext      bool          // the next sync fails
	tearNext      bool          // the machine loses power during the next write
	torn          bool          // the machine lost power during a write
	extraSyncTime time.Duration // longest extra time of a sync; 0 for none
}

// peerRecord is what a node has stored durably about another node's data folder.
type peerRecord struct {
	folder         uint64
	startCount     uint64
	knowsOwnFolder bool // the other node knows the data folder of this node
}

func (w *world) newDisk(groups int, configuration raft.Configuration) *disk {
	d := &disk{world: w, folder: uint64(w.random.Int63()), peers: map[uint64]peerRecord{}, groups: map[uint32]raft.Restored{}}
	for group := range uint32(groups) {
		d.groups[group] = raft.Restored{Snapshot: raft.Snapshot{Configuration: configuration.Clone()}}
	}
	return d
}

// load returns the stored state of a group.
func (d *disk) load(group uint32) raft.Restored {
	restored := d.groups[group]
	restored.Entries = slices.Clone(restored.Entries)
	return restored
}

// write makes a batch durable and then calls done, unless the process has died meanwhile. While the disk is full it
// retries.
func (d *disk) write(p *process, batch []storage.GroupWrite, done func(error)) {
	if d.full {
		p.after(noSpaceRetryInterval, func() { d.write(p, batch, done) })
		return
	}
	d.unsynced = append(d.unsynced, batch)
	delay := syncTime + d.world.exponentialDuration(syncTime/4)
	if d.extraSyncTime > 0 {
		delay += d.world.randomDuration(0, d.extraSyncTime)
	}
	early := d.world.hasMutation(AnswerBeforeSync)
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
	d.world.after(delay, func() { d.finishSync(p, epoch, done, early) })
}

// earlySyncLag is how far the disk lags behind when a host does not wait for it.
const earlySyncLag = 50 * time.Millisecond

func (d *disk) finishSync(p *process, epoch uint64, done func(error), acknowledged bool) {
	if p.epoch != epoch || !p.up || len(d.unsynced) == 0 {
		return
	}
	batch := d.unsynced[0]
	d.unsynced = d.unsynced[1:]
	if d.failNext {
		d.failNext = false
		if d.world.randomBool(0.5) {
			d.store(batch)
		}
		p.runInEpoch(epoch, func() { done(errSync) })
		return
	}
	d.store(batch)
	if !acknowledged {
		p.runInEpoch(epoch, func() { done(nil) })
	}
}

// crash applies a loss of power: of the unsynced writes, a random suffix is lost.
func (d *disk) crash() {
	for _, batch := range d.unsynced {
		if d.torn || d.world.randomBool(0.5) {
			d.loseWrite(batch)
			break
		}
		d.store(batch)
	}
	d.unsynced, d.failNext, d.torn = nil, false, false
}

// loseWrite drops the first write that did not reach the disk as a whole. The store detects a torn write when it
// opens the folder, and continues from the write before it.
func (d *disk) loseWrite(batch []storage.GroupWrite) {
	if !d.torn {
		d.world.faults[UnsyncedLost]++
		return
	}
	d.torn = false
	d.world.faults[TornRecord]++
	if !d.world.hasMutation(AcceptTornRecord) {
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
