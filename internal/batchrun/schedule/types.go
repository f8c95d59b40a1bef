// Package schedule decides for the items of batch jobs which run starts next, on which replica and how urgently, which
// runs move to another replica, and which items are terminated.
//
// The package is pure: it has no clock, goroutines or I/O. Times are durations since an arbitrary start. A Scheduler is
// not safe for concurrent use.
//
// Items are ordered by their latest start, the time at which each must start to complete by its job's deadline. Among
// items with the same latest start the longest goes first. Groups beyond those that a job's owner requires come after
// the required groups of all jobs. The required groups are the first ones in a ranking of a job's groups by whether an
// earlier job already contained them, then by whether they have started, then by the length of their longest item. If
// capacity is too small for all items to meet their deadlines, owners take turns when one of them would otherwise use
// up the capacity of the others.
package schedule

import (
	"time"

	"github.com/tamarindring/tamarindring/internal/defaults"
)

// Key identifies an item. Item ids are unique only within a job.
type Key struct{ Job, Item string }

// Item is one request of a job.
type Item struct {
	ID    string
	Group string // items of one group count only together; empty: the item is its own group
	// Length is the expected length of the answer in tokens. Long items start early.
	Length uint64
	// Estimated reports that Length is an estimate rather than an upper bound of the answer's length.
	Estimated bool
	MaxTokens uint64 // maximum number of tokens in the answer; 0: unknown
	Prompt    uint64 // tokens of the prompt, which the items of a group share; 0: unknown
	// Scored reports that the item is finished only once its text has a score; see Scheduler.Scored.
	Scored bool
}

// Job describes a batch job to the scheduler.
type Job struct {
	ID         string
	Model      string // model that generates the tokens; a replica may serve several models
	MinVersion uint64 // oldest weight version that may generate tokens; 0: any
	Desired    int    // number of complete groups that the owner requires; 0: all
	OpenedAt   time.Duration
	Deadline   time.Duration
	// GiveUp is when waiting items may be terminated; 0: never.
	GiveUp      time.Duration
	MaxAttempts int // failed runs after which an item is terminated; 0: unlimited
	// Tenant owns the job; empty: unknown. Weight is the tenant's share when capacity is too small for all; 0: the
	// default weight.
	Tenant string
	Weight uint32
	Items  []Item
}

// Share is the share of a route's items that a pool receives.
type Share struct {
	Pool   string
	Weight uint32
}

// Replica describes a replica of a pool that accepts new work.
type Replica struct {
	Instance string
	Address  string
	Pool     string
	Slots    int    // maximum number of concurrent items
	Memory   uint64 // capacity in tokens of prompts and answers held at the same time; 0: unknown
}

// Start tells the caller to run an item on a replica.
type Start struct {
	Key
	Instance string
	Address  string
	Pool     string
	Slots    int // slots of the replica
	Urgency  int // 0 (most urgent) to 9
	// ExpectedVersion asks the replica to reject the item unless it serves this weight version. It is set if the
	// version last heard from the replica was too old, because a rejection costs less than a run that is discarded. 0:
	// any version will do.
	ExpectedVersion uint64
	// The basis of the choice: the number of items running on the replica including this one, the weight version last
	// heard from it (0: none) and the age of that information.
	Running      int
	KnownVersion uint64
	KnownAge     time.Duration
}

// Move is a run that is to continue on another replica, with the figures on which the decision was based.
type Move struct {
	Key
	Pace, Fastest time.Duration // time between two events on its replica and on the fastest one of its pool; 0: unknown
	Remaining     time.Duration // expected time until the run ends; 0: unknown
	Leaving       bool          // its replica accepts no new work
	// RelativePace is the replica's last reported pace as a multiple of its long-term pace. Saved is the time that the
	// move is expected to save after subtracting its cost. Both are 0 if unknown or if the pool reports no pace.
	RelativePace float64
	Saved        time.Duration
}

// Suspension is a pause during which a replica receives no items.
type Suspension struct {
	Key      // identifies the run whose ending caused the suspension
	Instance string
	Ending   Ending
	Pause    time.Duration
	InRow    int // number of consecutive pauses for this kind of reason, including this one
}

// Ending is how a run of an item ended.
type Ending uint8

// The ways in which a run can end.
const (
	Completed   Ending = iota // the complete answer is held
	Failed                    // the replica ran the item and reports that it failed
	Impossible                // the replica reports that the item can never succeed
	Broken                    // the item may have run; the answer was cut off, invalid or slow
	Full                      // not run: no free slot
	Unreachable               // not run: no connection
	Misdirected               // not run: reached another replica, or other weights than expected
	OldVersion                // discarded: the weights are older than the job allows
	Moved                     // stopped to continue on a faster replica
	Changed                   // discarded or not run: weights other than those that generated the text so far
	Stopped                   // stopped by the caller for a reason of its own
	Lost                      // the process driving the run is unreachable or rejected it; says nothing about the replica
)

// String returns the name of the ending as used in logs.
func (e Ending) String() string {
	return [...]string{Completed: "completed", Failed: "failed", Impossible: "impossible", Broken: "broken", Full: "full",
		Unreachable: "unreachable", Misdirected: "misdirected", OldVersion: "old_version", Moved: "moved", Changed: "changed",
		Stopped: "stopped", Lost: "lost"}[e]
}

// mayHaveRun reports whether an item may have been at the replica during a run that ended so.
func (e Ending) mayHaveRun() bool {
	switch e {
	case Full, Unreachable, Misdirected, Stopped:
		return false
	}
	return true
}

// Next is the state of an item after a run.
type Next uint8

// The states of an item after a run.
const (
	Again     Next = iota // it waits for another run
	Done                  // it is completed
	GivenUp               // it is terminated permanently
	Forgotten             // its job has ended
	ToScore               // its text is complete and needs a score
)

// String returns the name of the state as used in logs.
func (n Next) String() string {
	return [...]string{Again: "again", Done: "done", GivenUp: "given_up", Forgotten: "forgotten", ToScore: "to_score"}[n]
}

// Urgencies of starts, from 0 (most urgent) to 9. Requests without an urgency count as 5.
const (
	urgencyStraggler = 4 // critical items and the last items of a required group
	urgencyRequired  = 6
	urgencySurplus   = 8 // groups beyond the required ones
)

// Default values of Settings.
const (
	DefaultFirstEvent       = time.Second
	DefaultMinimumStall     = 500 * time.Millisecond
	DefaultStallFactor      = 8
	DefaultFullPause        = 60 * time.Millisecond
	DefaultMaximumFullPause = 300 * time.Millisecond
	DefaultFailurePause     = 250 * time.Millisecond
	DefaultMaximumPause     = 4 * time.Second
	DefaultVersionPause     = 200 * time.Millisecond
	DefaultRetryPause       = 50 * time.Millisecond
	DefaultSlownessCost     = 2
	DefaultExcessSpeedCost  = 0.3
	DefaultInterferenceCost = 1
	DefaultMoveRatio        = 1.25
	DefaultMovePause        = 600 * time.Millisecond
	DefaultMoveGain         = 200 * time.Millisecond
	DefaultMinimumRemaining = time.Second
	DefaultAffinityBonus    = 0.25
)

// Settings configures a Scheduler. Fields that are zero take their defaults.
type Settings struct {
	// FirstEvent is how long a run may take until its first event. Afterwards a run is stalled if it delivers no event
	// for StallFactor times the pool's usual time between two events, and at least for MinimumStall.
	FirstEvent   time.Duration
	MinimumStall time.Duration
	StallFactor  int
	// FullPause is how long a replica that rejected an item as full receives no items. It doubles with each consecutive
	// rejection up to MaximumFullPause. FailurePause is the same for a replica that failed and doubles up to
	// MaximumPause. VersionPause is the time between two attempts on a replica whose weights were too old. After each
	// of these pauses the replica receives a single item, and more only once that item has delivered an event.
	FullPause        time.Duration
	MaximumFullPause time.Duration
	FailurePause     time.Duration
	MaximumPause     time.Duration
	VersionPause     time.Duration
	// RetryPause is how long an item waits after a failed run or after the loss of the process that drove the run.
	RetryPause time.Duration
	// AffinityBonus is the extra load, as a fraction of the slots, that a replica may have over others and still
	// receive an item whose group started there, because its memory already holds the group's prompt.
	AffinityBonus float64
	// SlownessCost is the load added to a replica that takes twice as long per event as the fastest one.
	SlownessCost float64
	// ExcessSpeedCost is the load added to a replica that is far faster than an item needs. It keeps fast replicas free
	// for the items that need them.
	ExcessSpeedCost float64
	// InterferenceCost is how many additional runs each critical run on a replica counts for in the load that a
	// non-critical item sees there, because concurrent runs slow the critical one down.
	InterferenceCost float64
	// MoveRatio is how many times slower a replica must be than another one with free capacity for its runs to be moved
	// there. MovePause is how long a run stays on its replica before it can be moved.
	MoveRatio float64
	MovePause time.Duration
	// MoveGain is the minimum time that a move must be expected to save. A moved run processes its prompt again,
	// usually on a new connection, and loses the event in progress.
	MoveGain time.Duration
	// MinimumRemaining is the minimum expected remaining time of a run for it to be moved off a leaving replica.
	// Replicas keep serving for some seconds after they announce that they leave, and then fall silent. With 18
	// replicas removed during a day, 10 runs of up to 60 events each stood still for about a second until the silence
	// was detected.
	MinimumRemaining time.Duration
}

// WithDefaults returns the settings with zero fields replaced by their defaults.
func (s Settings) WithDefaults() Settings {
	defaults.Set(&s.FirstEvent, DefaultFirstEvent)
	defaults.Set(&s.MinimumStall, DefaultMinimumStall)
	defaults.Set(&s.StallFactor, DefaultStallFactor)
	defaults.Set(&s.FullPause, DefaultFullPause)
	defaults.Set(&s.MaximumFullPause, DefaultMaximumFullPause)
	defaults.Set(&s.FailurePause, DefaultFailurePause)
	defaults.Set(&s.MaximumPause, DefaultMaximumPause)
	defaults.Set(&s.VersionPause, DefaultVersionPause)
	defaults.Set(&s.RetryPause, DefaultRetryPause)
	defaults.Set(&s.AffinityBonus, DefaultAffinityBonus)
	defaults.Set(&s.SlownessCost, DefaultSlownessCost)
	defaults.Set(&s.ExcessSpeedCost, DefaultExcessSpeedCost)
	defaults.Set(&s.InterferenceCost, DefaultInterferenceCost)
	defaults.Set(&s.MoveRatio, DefaultMoveRatio)
	defaults.Set(&s.MovePause, DefaultMovePause)
	defaults.Set(&s.MoveGain, DefaultMoveGain)
	defaults.Set(&s.MinimumRemaining, DefaultMinimumRemaining)
	return s
}
