package executor

import (
	"cmp"
	"slices"
	"time"
)

// Key identifies a run by the batch job and the item that it produces the answer of.
type Key struct{ Job, Item string }

// compare orders keys by job and then by item.
func (k Key) compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Job, other.Job), cmp.Compare(k.Item, other.Item))
}

// Order identifies an order and ranks it among others: orders of a newer term take precedence over those of all older
// terms.
type Order struct {
	Term   uint64 // of the leader that issued the order
	Number uint64 // increases within the term
}

// Refusal is the reason for which an order is not carried out.
type Refusal uint8

// The values are those of RunEnded.refusal on the wire, so new ones must be appended at the end.
const (
	Accepted     Refusal = iota
	Superseded           // a newer leader, or a newer stream of the same leader, has taken over
	Held                 // a run of the item is still in progress here
	Leaving              // the executor is draining
	Full                 // the executor is at its limit of concurrent runs
	NotHeld              // the run to attach to is no longer held
	NotPermitted         // the process's routing table or lease does not permit the run; not returned by RunTable
)

// String returns the name of the refusal in logs and metrics.
func (r Refusal) String() string {
	return [...]string{Accepted: "accepted", Superseded: "superseded", Held: "held", Leaving: "leaving", Full: "full",
		NotHeld: "not_held", NotPermitted: "not_permitted"}[r]
}

// Defaults of Settings.
const (
	// DefaultAbandonAfter exceeds the time to detect the loss of a leader, elect its successor and have that one survey
	// the executors, about 2 s in total. A run that nobody has asked for by then occupies a slot that other runs wait
	// for.
	DefaultAbandonAfter = 5 * time.Second
	// DefaultMaximumRuns limits the runs in progress at one executor, and separately the ended answers that it retains.
	// All of them are in memory.
	DefaultMaximumRuns = 256
)

// Settings configures a RunTable. Zero fields take the defaults.
type Settings struct {
	// AbandonAfter is the time after which a run or a retained answer that no leader follows is dropped.
	AbandonAfter time.Duration
	// MaximumRuns limits the number of runs in progress, and separately the number of retained answers of ended runs.
	MaximumRuns int
}

// RunTable decides which orders an executor carries out, and which runs it keeps when leaders change. A leader that
// drives hundreds of runs may be lost at any moment. Its successor connects about a second later, and the former leader
// may return and keep sending orders until it notices that it was replaced.
//
// A RunTable is pure: times are durations since an arbitrary start. It is not safe for concurrent use.
type RunTable struct {
	settings      Settings
	highestTerm   uint64 // highest term of a leader that has connected
	highestNumber uint64 // highest number of a stream of that term, as assigned by the leader
	currentStream uint64 // newest stream of that term; 0: none is open
	streamCount   uint64 // streams opened so far; the last assigned stream id
	leaving       bool
	runs          map[Key]*entry
}

// entry is a run that the executor holds.
type entry struct {
	order           Order
	ended           bool
	followed        bool          // a stream of the current leader follows the run
	unfollowedSince time.Duration // start of the period after which the run is dropped, unless it is followed
}

// NewRunTable returns a table without runs.
func NewRunTable(settings Settings) *RunTable {
	if settings.AbandonAfter == 0 {
		settings.AbandonAfter = DefaultAbandonAfter
	}
	if settings.MaximumRuns == 0 {
		settings.MaximumRuns = DefaultMaximumRuns
	}
	return &RunTable{settings: settings, runs: map[Key]*entry{}}
}

// OpenStream registers a new stream of a leader, with the leader's number for it. It supersedes the streams of older
// terms and older streams of its own term. refused is true if a newer term, or a stream of the same term with this
// number or a higher one, is known. The returned stream id accompanies each order of the stream.
//
// The leader is told which runs are held, and needs time to attach to those it wants. The first stream of a term
// therefore restarts the AbandonAfter period of all held runs. Later streams of the term restart it only for runs that
// were followed until now. Otherwise a leader whose stream breaks repeatedly would keep alive runs that nobody wants.
func (t *RunTable) OpenStream(term, number uint64, now time.Duration) (stream uint64, refused bool) {
	if term < t.highestTerm || term == t.highestTerm && number <= t.highestNumber {
		return 0, true
	}
	t.unfollowAll(now)
	if term > t.highestTerm {
		t.extendAll(now)
	}
	t.highestTerm, t.highestNumber = term, number
	t.streamCount++
	t.currentStream = t.streamCount
	return t.currentStream, false
}

// extendAll restarts the AbandonAfter period of all held runs.
func (t *RunTable) extendAll(now time.Duration) {
	for _, held := range t.runs {
		held.unfollowedSince = now
	}
}

// isCurrent reports whether orders of the stream are carried out.
func (t *RunTable) isCurrent(stream uint64) bool { return stream != 0 && stream == t.currentStream }

// unfollowAll marks all followed runs as not followed from now on.
func (t *RunTable) unfollowAll(now time.Duration) {
	for _, held := range t.runs {
		if held.followed {
			held.followed, held.unfollowedSince = false, now
		}
	}
}

// Start decides on the order to start a run. If it returns Accepted, the run is held and followed.
func (t *RunTable) Start(stream uint64, key Key, number uint64) Refusal {
	held := t.runs[key]
	switch {
	case !t.isCurrent(stream):
		return Superseded
	case held != nil && !held.ended:
		return Held
	case t.leaving:
		return Leaving
	case t.Running() >= t.settings.MaximumRuns:
		return Full
	}
	t.runs[key] = &entry{order: Order{Term: t.highestTerm, Number: number}, followed: true}
	return Accepted
}

// Follow marks the run that order started as followed. It returns false if the stream is not the current one or the run
// is not held, including when another order's run of the item is held.
func (t *RunTable) Follow(stream uint64, key Key, order Order) bool {
	held := t.runs[key]
	if !t.isCurrent(stream) || held == nil || held.order != order {
		return false
	}
	held.followed = true
	return true
}

// CanStop reports whether the stream may stop the run that order started: the stream is the current one, and the run is
// held. Another order's run of the item does not match.
func (t *RunTable) CanStop(stream uint64, key Key, order Order) bool {
	held := t.runs[key]
	return t.isCurrent(stream) && held != nil && held.order == order
}

// MarkEnded marks a run as ended. Its answer is retained, because a leader that is lost after receiving it may not have
// committed it, and the next leader can.
func (t *RunTable) MarkEnded(key Key, order Order) {
	if held := t.runs[key]; held != nil && held.order == order {
		held.ended = true
	}
}

// MarkReported records that the end of a run was sent on the stream. From then on the answer is retained only for the
// next leader.
func (t *RunTable) MarkReported(stream uint64, key Key, order Order, now time.Duration) {
	if held := t.runs[key]; held != nil && held.order == order && t.isCurrent(stream) && held.followed {
		held.followed, held.unfollowedSince = false, now
	}
}

// CloseStream records the end of a stream. Its runs continue.
func (t *RunTable) CloseStream(stream uint64, now time.Duration) {
	if t.isCurrent(stream) {
		t.currentStream = 0
		t.unfollowAll(now)
	}
}

// Leave starts draining: Start refuses all further runs.
func (t *RunTable) Leave() { t.leaving = true }

// IsLeaving reports whether the executor is draining.
func (t *RunTable) IsLeaving() bool { return t.leaving }

// DropAbandoned removes the runs that nobody has followed for AbandonAfter, and the oldest retained answers beyond
// MaximumRuns. It returns the keys in order. The caller stops those still in progress.
func (t *RunTable) DropAbandoned(now time.Duration) []Key {
	var dropped []Key
	for key, held := range t.runs {
		if !held.followed && now-held.unfollowedSince >= t.settings.AbandonAfter {
			dropped = append(dropped, key)
			delete(t.runs, key)
		}
	}
	dropped = append(dropped, t.dropOldest()...)
	slices.SortFunc(dropped, Key.compare)
	return dropped
}

// dropOldest removes the oldest answers of ended runs that nobody follows, beyond MaximumRuns.
func (t *RunTable) dropOldest() []Key {
	var kept []Key
	for key, held := range t.runs {
		if held.ended && !held.followed {
			kept = append(kept, key)
		}
	}
	beyond := len(kept) - t.settings.MaximumRuns
	if beyond <= 0 {
		return nil
	}
	slices.SortFunc(kept, func(a, b Key) int {
		return cmp.Or(cmp.Compare(t.runs[a].unfollowedSince, t.runs[b].unfollowedSince), a.compare(b))
	})
	for _, key := range kept[:beyond] {
		delete(t.runs, key)
	}
	return kept[:beyond]
}

// Running returns the number of runs in progress.
func (t *RunTable) Running() int {
	count := 0
	for _, held := range t.runs {
		if !held.ended {
			count++
		}
	}
	return count
}

// Keys returns the keys of all held runs, in order.
func (t *RunTable) Keys() []Key {
	keys := make([]Key, 0, len(t.runs))
	for key := range t.runs {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, Key.compare)
	return keys
}

// HeldOrder returns the order that started the held run of the item.
func (t *RunTable) HeldOrder(key Key) (order Order, held bool) {
	if found := t.runs[key]; found != nil {
		return found.order, true
	}
	return Order{}, false
}
