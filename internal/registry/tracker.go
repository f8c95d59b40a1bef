package registry

import (
	"time"

	"github.com/tamarindring/tamarindring/internal/incarnation"
	"github.com/tamarindring/tamarindring/internal/monotonic"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// suspendedSilences is the time between two ticks, as a multiple of TrackerConfig.Silence, above which the process
// counts as having been suspended. Below it the process may only have been late: a tick waits up to one second for a
// change of the table, and on a shared processor the next tick runs late.
const suspendedSilences = 4

// TrackerConfig holds a Tracker's parameters.
type TrackerConfig struct {
	// Silence is the time without a heartbeat after which a replica is removed from service.
	Silence time.Duration
	// Retention is how long the row of a removed replica is retained, so that its late heartbeats are recognised as
	// late.
	Retention time.Duration
}

// Tracker remembers the last heartbeat of each replica. It belongs to the process that leads the control group, and is
// not safe for concurrent use.
type Tracker struct {
	config       TrackerConfig
	observedTime *monotonic.ObservedTime  // clock on which silence is measured
	silenceFrom  time.Duration            // silence counts from here at the earliest: the end of the last suspension
	lastTick     time.Duration            // time of the last Tick
	heartbeats   map[string]lastHeartbeat // by instance
	removedSince map[string]time.Duration // time at which a row was first seen as removed, by instance
}

// lastHeartbeat is the newest heartbeat of a replica.
type lastHeartbeat struct {
	at        time.Duration
	attention time.Duration // the same time on Tracker.observedTime
	replica   incarnation.Incarnation
	sequence  uint64
}

// outdates reports whether a heartbeat is older than this one, or from a former start.
func (h lastHeartbeat) outdates(heartbeat *Registration) bool {
	switch heartbeat.Incarnation().Compare(h.replica) {
	case incarnation.Older:
		return true
	case incarnation.Same:
		return heartbeat.Sequence < h.sequence
	}
	return false
}

// NewTracker returns a tracker for a process that becomes the leader now.
func NewTracker(now time.Duration, config TrackerConfig) *Tracker {
	return &Tracker{config: config, lastTick: now, observedTime: monotonic.NewObservedTime(now, config.Silence/2),
		heartbeats: map[string]lastHeartbeat{}, removedSince: map[string]time.Duration{}}
}

// NoteHeartbeat notes a heartbeat. One that is older than the newest, or from a former start, has no effect.
func (t *Tracker) NoteHeartbeat(now time.Duration, heartbeat *Registration) {
	if known, ok := t.heartbeats[heartbeat.Instance]; ok && known.outdates(heartbeat) {
		return
	}
	t.heartbeats[heartbeat.Instance] = lastHeartbeat{at: now, attention: t.observedTime.At(now), replica: heartbeat.Incarnation(), sequence: heartbeat.Sequence}
}

// SinceHeard returns the time since the last heartbeat of a replica, and false if there was none.
func (t *Tracker) SinceHeard(now time.Duration, instance string) (time.Duration, bool) {
	known, ok := t.heartbeats[instance]
	return now - known.at, ok
}

// Tick returns the change that removes the silent replicas of the view from service and drops rows whose retention has
// ended. It returns nil if there is nothing to change. Call Tick at least once per half of Silence. After a longer
// interval only half of Silence counts, because heartbeats that arrived meanwhile may not have been read yet.
func (t *Tracker) Tick(now time.Duration, view *table.View) *wire.TableChange {
	attention := t.observedTime.Observe(now)
	if now-t.lastTick > suspendedSilences*t.config.Silence {
		t.silenceFrom = attention // the process was suspended and has not read the heartbeats that arrived meanwhile
	}
	t.lastTick = now
	change := &wire.TableChange{BaseVersion: view.Version(), Note: table.ForceNote}
	known := map[string]bool{}
	for _, pool := range view.Pools() {
		t.removeSilent(attention, view.Backends(pool.Name), change)
	}
	for _, row := range view.Rows() {
		if row.IsRegistered() {
			known[row.Name] = true
			t.dropRemoved(now, row, change)
		}
	}
	t.forget(known, now)
	if len(change.Cells)+len(change.RemoveRows) == 0 {
		return nil
	}
	return change
}

// removeSilent removes a pool's silent replicas from service. If more than half of the pool's replicas are silent, and
// the pool has more than one, it removes none: more likely this process does not receive their heartbeats.
func (t *Tracker) removeSilent(attention time.Duration, backends []*table.Row, change *wire.TableChange) {
	var silent []*table.Row
	count := 0
	for _, row := range backends {
		if !row.IsRegistered() {
			continue
		}
		count++
		if attention-max(t.silenceFrom, t.heartbeats[row.Name].attention) > t.config.Silence {
			silent = append(silent, row)
		}
	}
	if len(silent)*2 > count && count > 1 {
		return
	}
	for _, row := range silent {
		change.Cells = append(change.Cells, &wire.CellChange{Row: row.Name, Column: table.ColumnState, Value: string(table.Removed)})
	}
}

// dropRemoved drops the row of a replica that has been removed for longer than Retention.
func (t *Tracker) dropRemoved(now time.Duration, row *table.Row, change *wire.TableChange) {
	own, _ := row.Explicit(table.ColumnState)
	if own != string(table.Removed) {
		delete(t.removedSince, row.Name)
		return
	}
	since, known := t.removedSince[row.Name]
	if !known {
		t.removedSince[row.Name] = now
	} else if now-since > t.config.Retention {
		change.RemoveRows = append(change.RemoveRows, row.Name)
	}
}

// forget drops the state of instances without a row. Their last heartbeats are kept until they are older than
// Retention. known holds the instances with a row.
func (t *Tracker) forget(known map[string]bool, now time.Duration) {
	for instance, last := range t.heartbeats {
		if !known[instance] && now-last.at > t.config.Retention {
			delete(t.heartbeats, instance)
		}
	}
	for instance := range t.removedSince {
		if !known[instance] {
			delete(t.removedSince, instance)
		}
	}
}
