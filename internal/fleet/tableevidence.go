package fleet

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	// inForceBound is the promised time, at the present deployment size, after which an accepted change is in force
	// everywhere.
	inForceBound = 2 * time.Second
	// logSlack is the time from a dispatch's admission under the lease to its entry in the log, on a busy machine.
	logSlack = 100 * time.Millisecond
)

// acceptedChange is a change that the control group accepted.
type acceptedChange struct {
	id         string
	version    uint64
	cells      []*wire.CellChange
	acceptedAt time.Time // when the answer arrived, which is not before the acceptance
	// effective is the time from which no process may act on an older version.
	effective time.Time
}

// boundValue is a staleness bound that may be in force.
type boundValue struct {
	changeID string
	value    uint64
	expires  time.Time // zero while no later bound was accepted
}

// tableEvidence records the answers that operators got to their changes.
type tableEvidence struct {
	mutex         sync.Mutex
	accepted      []*acceptedChange
	conflicts     int
	unknowns      map[string]bool // ids of changes whose answers never arrived
	bounds        []boundValue
	inForceDelays *hdrhistogram.Histogram // from acceptance to in force, in milliseconds
}

// recordCreation records the first version of the table.
func (e *tableEvidence) recordCreation(version uint64, cells []*wire.CellChange) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := time.Now()
	e.inForceDelays = hdrhistogram.New(1, time.Minute.Milliseconds(), 3)
	e.unknowns = map[string]bool{}
	e.accepted = append(e.accepted, &acceptedChange{id: "create", version: version, cells: cells, acceptedAt: now, effective: now})
	if value, ok := stalenessBound(cells); ok {
		e.bounds = []boundValue{{value: value}}
	}
}

func stalenessBound(cells []*wire.CellChange) (uint64, bool) {
	for _, cell := range cells {
		if cell.Column == table.ColumnStalenessBound {
			value, err := strconv.ParseUint(cell.Value, 10, 64)
			return value, err == nil
		}
	}
	return 0, false
}

// latestVersion returns the highest version known to be accepted.
func (e *tableEvidence) latestVersion() uint64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var highest uint64
	for _, change := range e.accepted {
		highest = max(highest, change.version)
	}
	return highest
}

// recordSending records that a change may be accepted from now on.
func (e *tableEvidence) recordSending(change *wire.TableChange) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if value, ok := stalenessBound(change.Cells); ok {
		e.bounds = append(e.bounds, boundValue{changeID: change.ChangeId, value: value})
	}
}

// recordAnswer records the result of a change.
func (e *tableEvidence) recordAnswer(change *wire.TableChange, result *wire.TableResult, now time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !accepted(result) {
		e.conflicts++
		e.bounds = slices.DeleteFunc(e.bounds, func(bound boundValue) bool { return bound.changeID == change.ChangeId })
		return
	}
	e.accepted = append(e.accepted, &acceptedChange{id: change.ChangeId, version: result.Version, cells: change.Cells,
		acceptedAt: now, effective: now.Add(inForceBound)})
	e.expireBounds(change.ChangeId, now.Add(inForceBound))
}

// recordUnknown records a change whose answer never arrived. It may have been applied.
func (e *tableEvidence) recordUnknown(change *wire.TableChange) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.unknowns[change.ChangeId] = true
}

// recordInForce records that a version was reported to be in force everywhere.
func (e *tableEvidence) recordInForce(version uint64, now time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, change := range e.accepted {
		if change.version == version {
			_ = e.inForceDelays.RecordValue(max(now.Sub(change.acceptedAt).Milliseconds(), 1))
			change.effective = earlier(change.effective, now.Add(logSlack))
			e.expireBounds(change.id, now.Add(logSlack))
		}
	}
}

// expireBounds sets the expiry of the staleness bounds before that of the given change. The caller holds the mutex.
func (e *tableEvidence) expireBounds(changeID string, at time.Time) {
	own := slices.IndexFunc(e.bounds, func(bound boundValue) bool { return bound.changeID == changeID })
	for index := range own {
		if e.bounds[index].expires.IsZero() {
			e.bounds[index].expires = at
		}
		e.bounds[index].expires = earlier(e.bounds[index].expires, at)
	}
}

func earlier(first, second time.Time) time.Time {
	if second.Before(first) {
		return second
	}
	return first
}

// largestBound returns the largest staleness bound on which a coordinator may still act, and whether one is known.
func (e *tableEvidence) largestBound() (uint64, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := time.Now()
	var largest uint64
	known := false
	for _, bound := range e.bounds {
		if bound.expires.IsZero() || now.Before(bound.expires) {
			largest, known = max(largest, bound.value), true
		}
	}
	return largest, known
}

// requiredVersion returns the lowest version on which a dispatch at the given time may act.
func (e *tableEvidence) requiredVersion(at time.Time) uint64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var lowest uint64
	for _, change := range e.accepted {
		if !change.effective.After(at) {
			lowest = max(lowest, change.version)
		}
	}
	return lowest
}

// changes returns the accepted changes in order of their versions.
func (e *tableEvidence) changes() []acceptedChange {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var all []acceptedChange
	for _, change := range e.accepted {
		all = append(all, *change)
	}
	slices.SortFunc(all, func(a, b acceptedChange) int { return int(a.version) - int(b.version) })
	return all
}

func (e *tableEvidence) mayBeApplied(changeID string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.unknowns[changeID]
}

// report summarizes the changes.
func (e *tableEvidence) report() TableReport {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return TableReport{Accepted: len(e.accepted), Conflicts: e.conflicts, Unknown: len(e.unknowns),
		InForceP50: float64(e.inForceDelays.ValueAtQuantile(50)), InForceMax: float64(e.inForceDelays.Max())}
}
