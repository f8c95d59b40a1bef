package consensus

import (
	"context"
	"time"

	"github.com/tamarindring/tamarindring/internal/compat"
	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/storage"
)

// headroomTicks is the number of ticks between two looks at the disk's free space.
const headroomTicks = 20

// loop drives all groups until ctx ends or something fails.
func (h *Host) loop(ctx context.Context) error {
	// A ticker keeps at most one tick for a slow receiver: after a pause of the process one tick passes,
	// not all that were missed.
	ticker := time.NewTicker(h.config.Tick)
	defer ticker.Stop()
	ticks := 0
	for {
		select {
		case <-ctx.Done():
			return errStopped
		case err := <-h.failed:
			return err
		case <-ticker.C:
			if ticks%headroomTicks == 0 {
				h.watchRoom()
			}
			if ticks%silenceTicks == 0 {
				h.lookForSilences(time.Now())
			}
			ticks++
			h.tick()
			h.watchLeaders(time.Now())
		case end := <-h.writer.done:
			if err := h.finishWrite(end); err != nil {
				return err
			}
		case encoded := <-h.encoded:
			h.finishEncoding(encoded)
		case <-h.inbox.notify:
		}
		h.takeWork()
		if err := h.advance(); err != nil {
			return err
		}
		if !h.writer.busy && h.inbox.hasProposals() {
			h.inbox.wake()
		}
	}
}

func (h *Host) tick() {
	if !h.book.takesPart() {
		return
	}
	for _, g := range h.groups {
		g.node.Tick()
	}
}

// takeWork feeds raft with all that came since the last round.
func (h *Host) takeWork() {
	taken := h.inbox.take(h.config.MaxBatchProposals - h.proposed)
	h.proposed += len(taken.proposals)
	for i := range taken.messages {
		h.step(&taken.messages[i])
	}
	for _, p := range taken.proposals {
		h.propose(p)
	}
	h.startReads(taken.reads)
	for _, call := range taken.calls {
		call(false)
	}
}

func (h *Host) step(received *envelope) {
	g := h.groupByID[received.group]
	if g == nil || !h.fits(g, &received.message) {
		return // what has no room is taken for lost: the leader sends it again when there may be some
	}
	if err := g.node.Step(received.message); err != nil {
		h.config.Log.Warnf("group %d dropped a message: %v", g.id, err)
	}
}

func (h *Host) propose(p *proposal) {
	g := h.groupByID[p.group]
	if !h.takesNewWork(g) {
		p.answer(nil, 0, ErrDiskFull)
		return
	}
	g.propose(p)
}

// startReads begins one barrier per group for all reads of this round.
func (h *Host) startReads(reads []*readRequest) {
	if len(reads) == 0 {
		return
	}
	byGroup := map[uint32][]*readRequest{}
	for _, request := range reads {
		if request.local {
			h.groupByID[request.group].answerRead(request)
			continue
		}
		byGroup[request.group] = append(byGroup[request.group], request)
	}
	for _, g := range h.groups {
		if requests := byGroup[g.id]; len(requests) > 0 {
			g.reads.start(g, requests)
		}
	}
}

// advance takes every group's Ready until none has more to do without a sync, then starts the next
// write if the writer is idle.
func (h *Host) advance() error {
	for _, g := range h.groups {
		if err := h.advanceGroup(g); err != nil {
			return err
		}
	}
	h.startWrite()
	return nil
}

func (h *Host) advanceGroup(g *hostedGroup) error {
	if err := h.doUrgent(g); err != nil {
		return err
	}
	for ready := g.cycle.Take(); ready != nil; ready = g.cycle.Take() {
		h.send(g, ready.EarlyMessages)
		if err := g.apply(ready.Durable()); err != nil {
			return err
		}
		if ready.MustSync {
			g.cycle.Hold(ready)
			h.queueWrite(g)
			g.confirmReads(ready.ReadStates)
			break
		}
		h.send(g, ready.Messages)
		if err := g.finishReady(ready); err != nil {
			return err
		}
	}
	if g.observeLeadership() {
		h.announce(g)
	}
	if err := h.compact(g); err != nil {
		return err
	}
	if g.cycle.Compacts() {
		h.queueWrite(g)
	}
	return nil
}

// doUrgent does what waits for no sync. Reads that waited for the syncs under way took up to three of them: with 450 ms each
// and commands on their way, 17 of 19 were given up after 600 ms.
func (h *Host) doUrgent(g *hostedGroup) error {
	urgent := g.cycle.Urgent()
	h.send(g, urgent.Messages)
	if err := g.apply(urgent.Committed); err != nil {
		return err
	}
	g.confirmReads(urgent.ReadStates)
	return nil
}

func (h *Host) queueWrite(g *hostedGroup) {
	if g.cycle.Queue() {
		h.nextWrite = append(h.nextWrite, g)
	}
}

func (h *Host) announce(g *hostedGroup) {
	leadership := g.leadership
	logging.Emit(h.config.Log, &events.LeaderChanged{Group: g.id, Term: leadership.Term, Leader: leadership.Leader, Self: leadership.Leading})
	if h.config.OnLeaderChange != nil {
		h.config.OnLeaderChange(g.id, leadership)
	}
}

// startWrite hands the waiting Readies of all groups to the writer as one batch.
func (h *Host) startWrite() {
	if h.writer.busy {
		return
	}
	h.proposed = 0
	if len(h.nextWrite) == 0 {
		return
	}
	batch := make([]storage.GroupWrite, 0, len(h.nextWrite))
	for _, g := range h.nextWrite {
		write := g.cycle.Write()
		write.InParts = h.storesParts()
		batch = append(batch, write)
	}
	h.inWrite, h.nextWrite = h.nextWrite, h.inWrite[:0]
	h.writer.submit(batch)
}

// finishWrite sends and applies what had to wait for the sync. A failed write ends the host: nobody can
// tell what reached the disk.
func (h *Host) finishWrite(end written) error {
	h.writer.busy = false
	if end.err != nil {
		return end.err
	}
	took := time.Since(h.writer.began)
	for _, g := range h.groups {
		g.absence.synced(took)
	}
	for _, g := range h.inWrite {
		ready, compacted := g.cycle.Written()
		switch {
		case compacted == 0:
		case end.uncompacted: // raft keeps the state that is on no disk, for followers that need it
			logging.Emit(h.config.Log, &events.SnapshotLeftOut{Group: g.id, Index: compacted, Bytes: g.snapshots.size})
		default:
			g.node.ReleaseSnapshot(compacted)
		}
		if ready == nil {
			continue // only a compaction
		}
		h.send(g, ready.Messages)
		if err := g.finishReady(ready); err != nil {
			return err
		}
	}
	return nil
}

// storesParts tells whether all builds that may read the folder know states in parts. A node whose disk is empty is sent states
// before it knows the level: their sender tells.
func (h *Host) storesParts() bool {
	return h.partsAgreed.Load() || h.config.Agreed().Includes(compat.SnapshotParts)
}

func (h *Host) send(g *hostedGroup, messages []raft.Message) {
	for i := range messages {
		if snapshot := messages[i].Snapshot; snapshot != nil && snapshot.Data == nil {
			h.sendStored(g.id, messages[i])
			continue
		}
		h.peers.send(g.id, &messages[i])
	}
}
