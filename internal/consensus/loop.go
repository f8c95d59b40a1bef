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

// freeSpaceCheckTicks is the number of ticks between two checks of the disk's free space.
const freeSpaceCheckTicks = 20

// loop drives all groups until ctx ends or an error occurs.
func (h *Host) loop(ctx context.Context) error {
	// A ticker buffers at most one tick for a slow receiver: after a pause of the process one tick is delivered, not
	// all that were missed.
	ticker := time.NewTicker(h.config.Tick)
	defer ticker.Stop()
	ticks := 0
	for {
		select {
		case <-ctx.Done():
			return errStopped
		case err := <-h.failures:
			return err
		case <-ticker.C:
			if ticks%freeSpaceCheckTicks == 0 {
				h.updateFreeSpace()
			}
			if ticks%silenceCheckTicks == 0 {
				h.updateSilences(time.Now())
			}
			ticks++
			h.tick()
			h.trackLeaders(time.Now())
		case result := <-h.writer.done:
			if err := h.finishWrite(result); err != nil {
				return err
			}
		case encoded := <-h.encoded:
			h.finishEncoding(encoded)
		case <-h.inbox.notify:
		}
		h.processInbox()
		if err := h.advance(); err != nil {
			return err
		}
		if !h.writer.busy && h.inbox.hasProposals() {
			h.inbox.wake()
		}
	}
}

func (h *Host) tick() {
	if !h.book.canParticipate() {
		return
	}
	h.peers.eachProgress(func(node uint64, group uint32) { h.groupByID[group].node.ReportSnapshotProgress(node) })
	for _, g := range h.groups {
		g.node.Tick()
	}
}

// processInbox passes everything that arrived since the last round to raft.
func (h *Host) processInbox() {
	taken := h.inbox.take(h.config.MaxBatchProposals - h.proposedCount)
	h.proposedCount += len(taken.proposals)
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
	if g == nil || !h.hasSpaceFor(g, &received.message) {
		return // raft treats it as lost: the leader sends it again, possibly when there is enough space
	}
	if err := g.node.Step(received.message); err != nil {
		h.config.Log.Warnf("group %d rejected a raft message: %v", g.id, err)
	}
}

func (h *Host) propose(p *proposal) {
	g := h.groupByID[p.group]
	if !h.acceptsNewCommands(g) {
		p.answer(nil, 0, ErrDiskFull)
		return
	}
	g.propose(p)
}

// startReads answers local reads and starts one read barrier per group for the others.
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

// advance processes every group's Readies until none can continue without a sync, then starts the next write if the
// writer is idle.
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
	if err := h.handleUrgent(g); err != nil {
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
	if g.updateLeadership() {
		h.reportLeadership(g)
	}
	if err := h.compact(g); err != nil {
		return err
	}
	if g.cycle.HasPendingSnapshot() {
		h.queueWrite(g)
	}
	return nil
}

// handleUrgent sends and applies everything that needs no sync. When reads waited for the syncs in progress, a read
// took up to three syncs: with syncs of 450 ms and commands in flight, 17 of 19 reads were abandoned after 600 ms.
func (h *Host) handleUrgent(g *hostedGroup) error {
	urgent := g.cycle.UrgentOutput()
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

func (h *Host) reportLeadership(g *hostedGroup) {
	leadership := g.leadership
	logging.Emit(h.config.Log, &events.LeaderChanged{Group: g.id, Term: leadership.Term, Leader: leadership.Leader, Self: leadership.Leading})
	if h.config.OnLeaderChange != nil {
		h.config.OnLeaderChange(g.id, leadership)
	}
}

// startWrite passes the queued Readies of all groups to the writer as one batch, if the writer is idle.
func (h *Host) startWrite() {
	if h.writer.busy {
		return
	}
	h.proposedCount = 0
	if len(h.nextWrite) == 0 {
		return
	}
	batch := make([]storage.GroupWrite, 0, len(h.nextWrite))
	for _, g := range h.nextWrite {
		write := g.cycle.Write()
		write.AllowMultipleFiles = h.canStoreParts()
		batch = append(batch, write)
	}
	h.inWrite, h.nextWrite = h.nextWrite, h.inWrite[:0]
	h.writer.submit(batch)
}

// finishWrite sends messages and applies entries that had to wait for the sync. A failed write ends the host, because
// it is unknown what reached the disk.
func (h *Host) finishWrite(result writeResult) error {
	h.writer.busy = false
	if result.err != nil {
		return result.err
	}
	duration := time.Since(h.writer.startedAt)
	for _, g := range h.groups {
		g.leaderless.recordSync(duration)
	}
	for _, g := range h.inWrite {
		ready, compacted := g.cycle.CompleteWrite()
		switch {
		case compacted == 0:
		case result.compactionSkipped: // raft keeps the state in memory for followers, since it is not on disk
			logging.Emit(h.config.Log, &events.SnapshotLeftOut{Group: g.id, Index: compacted, Bytes: g.snapshots.size})
		default:
			g.node.ReleaseSnapshot(compacted)
		}
		if ready == nil {
			continue // the write held only a compaction
		}
		h.send(g, ready.Messages)
		if err := g.finishReady(ready); err != nil {
			return err
		}
	}
	return nil
}

// canStoreParts reports whether all builds that may read the data folder support snapshots in parts. A node with an
// empty disk receives snapshots before it knows the level in force, so the sender of the snapshot announces it.
func (h *Host) canStoreParts() bool {
	return h.partsAgreed.Load() || h.config.LevelInForce().Includes(compat.SnapshotParts)
}

func (h *Host) send(g *hostedGroup, messages []raft.Message) {
	for i := range messages {
		if snapshot := messages[i].Snapshot; snapshot != nil && snapshot.Data == nil {
			h.sendStoredSnapshot(g.id, messages[i])
			continue
		}
		h.peers.send(g.id, &messages[i])
	}
}
