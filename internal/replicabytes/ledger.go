// Package replicabytes limits the bytes of large request bodies that one process has in flight at each replica of a
// pool. Several bodies that would fit alone can together exhaust a replica's memory. A body counts from the choice of
// its replica until the replica has answered. Replicas don't report their memory, so the limit is learned from the
// bytes that replicas held when they crashed.
//
// The package is pure: times are durations since an arbitrary start. A Ledger is not safe for concurrent use.
package replicabytes

import (
	"slices"
	"time"

	"github.com/tamarindring/tamarindring/internal/share"
)

// largeBodyThreshold is the size in bytes above which a body is counted. Smaller bodies take at most 35 ms on a link
// of 60 Mbit/s, and as many of them as a replica has slots take little memory.
const largeBodyThreshold = 256 << 10

// Large reports whether a body of this size in bytes is counted.
func Large(bytes int64) bool { return bytes > largeBodyThreshold }

const (
	// safeBytes is the total in bytes that every replica is assumed to have memory for: the size of the largest body
	// that a caller may send.
	safeBytes = share.SafeBytes
	// learnedDivisor divides the total at a crash to get the learned limit, since other processes may have had bodies
	// at the replica that this one does not know of.
	learnedDivisor = 2
	// raiseDivisor sets by how much a limit is raised: by the limit divided by raiseDivisor, at most once in
	// raiseInterval, while replicas answer with totals that close to the limit.
	raiseDivisor  = 8
	raiseInterval = 30 * time.Second
	// maxRaiseNumerator / maxRaiseDenominator is the fraction of the smallest total at a crash up to which a limit is
	// raised.
	maxRaiseNumerator   = 3
	maxRaiseDenominator = 4
	// retention is how long a learned limit is kept after the last crash that confirmed it. The limit is not kept
	// for ever because replicas may be replaced by larger ones, and because the crash may have had another cause.
	retention = 10 * time.Minute
	// crashWindow is the time within which failures at one replica count as one crash. After each failure, the
	// replica is checked for a crash for 100 ms.
	crashWindow = time.Second
	// singleBodyCrashWindow is how long a crash with one body of this process is reported to the leader. It covers
	// several lease renewals, so that the leader gets the reports of all processes that had a body there.
	singleBodyCrashWindow = 2 * time.Second
	// fleetLimitHold is how long a fleet limit is kept against a higher one or none. It is longer than a lease, so
	// that a new leader has received every process's limit by then.
	fleetLimitHold = 10 * time.Second
	// bodyDurationWeight is the weight of the latest body in the smoothed bodyDuration.
	bodyDurationWeight = 0.2
)

// Ledger counts the bytes of one process at the replicas of one pool, which are assumed to be of one kind.
type Ledger struct {
	replicas        map[string]*replica
	total           int64
	fleetLimit      int64 // in bytes, learned by any process of the fleet; 0: none
	fleetLimitAt    time.Duration
	singleBodyCrash holding // the last crash with one body of this process
	limit           int64   // in bytes at one replica, learned by this process; 0: none
	crashBytes      int64   // the smallest total that a replica crashed with, while limit is set
	limitChangedAt  time.Duration
	limitLoweredAt  time.Duration // time of the last crash that set, lowered or confirmed limit
	maxAnswered     int64         // the largest total that a replica held when it answered, in bytes
	bodyDuration    time.Duration // smoothed time from the choice of a replica to the answer
}

// replica is the state of this process's bodies at one replica.
type replica struct {
	bytes            int64
	bodies           []*Body // in the order in which they were added
	unacceptedBodies int
	unacceptedBytes  int64   // bytes of the bodies that are not accepted yet
	heldAtFailure    holding // the most that it held when a body failed, within crashWindow
	crash            Crash
	crashedAt        time.Duration
	hasCrashed       bool
}

// holding holds the total size and the number of the bodies at a replica at one moment.
type holding struct {
	bytes  int64
	bodies int
	at     time.Duration
}

// Body is a large body at one replica.
type Body struct {
	Bytes    int64
	instance string
	chosenAt time.Duration
	accepted bool
}

// Crash describes the unexpected end of a replica that held large bodies of this process.
type Crash struct {
	Bytes       int64 // total of the bodies at the replica
	Bodies      int
	MaxAnswered int64 // the largest total that a replica of the pool held when it answered
	Limit       int64 // limit in bytes learned from the crash; 0: none
	// ByTotal reports that the total is a likelier cause than a single request, since no replica has answered with as
	// much. It is false while a limit is in force: totals beyond it are not sent, so the request that crashes
	// replicas has to be found.
	ByTotal bool
	New     bool // this is the first call for this crash
}

// New returns a Ledger without bodies and without a limit.
func New() *Ledger { return &Ledger{replicas: map[string]*replica{}} }

// Bytes returns the total of this process's bodies at all replicas.
func (l *Ledger) Bytes() int64 { return l.total }

// Held returns the total in bytes of this process's bodies at a replica.
func (l *Ledger) Held(instance string) int64 {
	if state := l.replicas[instance]; state != nil {
		return state.bytes
	}
	return 0
}

// Limit returns the bytes that one replica may hold of this process: the lower of the learned and the fleet limit, or
// 0 if there is neither.
func (l *Ledger) Limit(now time.Duration) int64 {
	learned := l.LearnedLimit(now)
	if learned == 0 || l.fleetLimit == 0 {
		return max(learned, l.fleetLimit)
	}
	return min(learned, l.fleetLimit)
}

// LearnedLimit returns the limit in bytes that this process has learned itself, or 0 if there is none.
func (l *Ledger) LearnedLimit(now time.Duration) int64 {
	if l.limit > 0 && now-l.limitLoweredAt >= retention {
		l.limit, l.crashBytes = 0, 0
	}
	return l.limit
}

// SetFleetLimit sets the limit in bytes that the fleet has learned; 0 means none. Shortly after a crash with one body
// of this process the limit is adopted as the learned limit as well, because the bodies of several processes may have
// caused the crash together.
func (l *Ledger) SetFleetLimit(now time.Duration, limit int64) {
	isLower := limit > 0 && (l.fleetLimit == 0 || limit <= l.fleetLimit)
	if !isLower && now-l.fleetLimitAt < fleetLimitHold {
		return
	}
	l.fleetLimit, l.fleetLimitAt = limit, now
	if limit > 0 && l.SingleBodyCrash(now) > 0 {
		l.lowerLimit(now, limit, limit*learnedDivisor)
		l.singleBodyCrash = holding{}
	}
}

// SingleBodyCrash returns the size in bytes of the only body that this process had at a replica that crashed within
// singleBodyCrashWindow, or 0 if there was no such crash.
func (l *Ledger) SingleBodyCrash(now time.Duration) int64 {
	if now-l.singleBodyCrash.at > singleBodyCrashWindow {
		return 0
	}
	return l.singleBodyCrash.bytes
}

// Fits reports whether a body may be sent to a replica now. An empty replica gets a body of any size, also one larger
// than the limit. Otherwise a replica gets the next body only after it has accepted the previous ones. While no limit
// is known, totals larger than any at an answer are tried at one replica at a time, because otherwise all replicas
// could crash at once.
func (l *Ledger) Fits(now time.Duration, instance string, bytes int64) bool {
	state := l.replicas[instance]
	if state == nil || len(state.bodies) == 0 {
		return true
	}
	if state.unacceptedBodies > 0 {
		return false
	}
	if limit := l.Limit(now); limit > 0 {
		return state.bytes+bytes <= limit
	}
	safe := max(safeBytes, l.maxAnswered)
	return state.bytes+bytes <= safe || !l.anyHoldsMore(safe)
}

// anyHoldsMore reports whether any replica holds more than a number of bytes.
func (l *Ledger) anyHoldsMore(bytes int64) bool {
	for _, state := range l.replicas {
		if state.bytes > bytes {
			return true
		}
	}
	return false
}

// Add counts a body at the replica that was chosen for it. The caller passes the result to End.
func (l *Ledger) Add(now time.Duration, instance string, bytes int64) *Body {
	state := l.replicas[instance]
	if state == nil {
		state = &replica{}
		l.replicas[instance] = state
	}
	state.bytes += bytes
	state.unacceptedBodies++
	state.unacceptedBytes += bytes
	l.total += bytes
	body := &Body{Bytes: bytes, instance: instance, chosenAt: now}
	state.bodies = append(state.bodies, body)
	return body
}

// Accept records that the replica has read the body or started to answer it. It returns false if that was recorded
// before.
func (l *Ledger) Accept(body *Body) bool {
	if body.accepted {
		return false
	}
	body.accepted = true
	state := l.replicas[body.instance]
	state.unacceptedBodies--
	state.unacceptedBytes -= body.Bytes
	return true
}

// End removes a body from its replica. answered says whether the replica answered it completely.
func (l *Ledger) End(now time.Duration, body *Body, answered bool) {
	l.Accept(body)
	state := l.replicas[body.instance]
	if answered {
		l.recordAnswered(now, state.bytes-state.unacceptedBytes)
		l.updateBodyDuration(now - body.chosenAt)
	} else if state.heldAtFailure.bytes < state.bytes || now-state.heldAtFailure.at > crashWindow {
		state.heldAtFailure = holding{bytes: state.bytes, bodies: len(state.bodies), at: now}
	}
	state.bytes -= body.Bytes
	state.bodies = slices.DeleteFunc(state.bodies, func(other *Body) bool { return other == body })
	l.total -= body.Bytes
	l.prune(now)
}

// recordAnswered records what a replica held when it answered, and raises the learned limit if this is close to it.
func (l *Ledger) recordAnswered(now time.Duration, bytes int64) {
	l.maxAnswered = max(l.maxAnswered, bytes)
	limit := l.LearnedLimit(now)
	if limit == 0 || now-l.limitChangedAt < raiseInterval || bytes < limit-limit/raiseDivisor {
		return
	}
	maxLimit := l.crashBytes / maxRaiseDenominator * maxRaiseNumerator
	l.limit, l.limitChangedAt = max(limit, min(limit+limit/raiseDivisor, maxLimit)), now
}

func (l *Ledger) updateBodyDuration(took time.Duration) {
	if l.bodyDuration == 0 {
		l.bodyDuration = took
		return
	}
	l.bodyDuration += time.Duration(bodyDurationWeight * float64(took-l.bodyDuration))
}

// Crashed records that a replica crashed and describes the crash. It is called for each body at the replica, before
// End, and returns the same crash each time, except for New.
func (l *Ledger) Crashed(now time.Duration, instance string) Crash {
	state := l.replicas[instance]
	if state == nil {
		return Crash{}
	}
	if state.hasCrashed && now-state.crashedAt <= crashWindow {
		state.crash.New = false
		return state.crash
	}
	held := holding{bytes: state.bytes, bodies: len(state.bodies)}
	if now-state.heldAtFailure.at <= crashWindow && state.heldAtFailure.bytes > held.bytes {
		held = state.heldAtFailure
	}
	if held.bytes == 0 {
		return Crash{}
	}
	state.crash, state.crashedAt, state.hasCrashed = l.learnFromCrash(now, held), now, true
	return state.crash
}

// IgnoreCrash records that a replica crashed for a reason other than the large bodies there, so that Crashed learns
// nothing from it.
func (l *Ledger) IgnoreCrash(now time.Duration, instance string) {
	if state := l.replicas[instance]; state != nil && (!state.hasCrashed || now-state.crashedAt > crashWindow) {
		state.crash, state.crashedAt, state.hasCrashed = Crash{}, now, true
	}
}

// learnFromCrash lowers the limit according to what a replica held when it crashed. The crash has another cause if the
// replica held a single body, if the total was within safeBytes, or if a replica has answered while it held at least
// as much. It does not change the limit then, because a limit slows down the whole pool.
func (l *Ledger) learnFromCrash(now time.Duration, held holding) Crash {
	crash := Crash{Bytes: held.bytes, Bodies: held.bodies, MaxAnswered: l.maxAnswered, New: true}
	if held.bodies == 1 {
		l.singleBodyCrash = holding{bytes: held.bytes, bodies: held.bodies, at: now}
	}
	if held.bodies < 2 || held.bytes <= max(safeBytes, l.maxAnswered) {
		return crash
	}
	crash.ByTotal = l.Limit(now) == 0
	crash.Limit = l.lowerLimit(now, held.bytes/learnedDivisor, held.bytes)
	return crash
}

// lowerLimit sets the learned limit after a crash with crashBytes, but never raises an existing one, and returns the
// result.
func (l *Ledger) lowerLimit(now time.Duration, limit, crashBytes int64) int64 {
	if known := l.LearnedLimit(now); known > 0 {
		limit, crashBytes = min(limit, known), min(crashBytes, l.crashBytes)
	}
	l.limit, l.crashBytes, l.limitChangedAt, l.limitLoweredAt = limit, crashBytes, now, now
	l.maxAnswered = min(l.maxAnswered, limit) // larger totals may have been answered by replicas with more memory
	return limit
}

// BodyDuration returns the smoothed time from the choice of a body's replica to its answer, or 0 if no body was
// answered yet.
func (l *Ledger) BodyDuration() time.Duration { return l.bodyDuration }

// Wait estimates the time until enough bodies at a replica are answered for the limit to permit another one. It
// returns 0 without a limit, and when only a body that the replica has not accepted yet prevents it, because how long
// that takes is not known.
func (l *Ledger) Wait(now time.Duration, instance string, bytes int64) time.Duration {
	state, limit := l.replicas[instance], l.Limit(now)
	if state == nil || limit == 0 {
		return 0
	}
	remaining, wait := state.bytes, time.Duration(0)
	for _, body := range state.bodies {
		if remaining+bytes <= limit {
			break
		}
		remaining -= body.Bytes
		wait = max(wait, body.chosenAt+l.bodyDuration-now)
	}
	return wait
}

// prune deletes the state of replicas that hold nothing and whose last failure and crash are older than crashWindow.
func (l *Ledger) prune(now time.Duration) {
	for instance, state := range l.replicas {
		if len(state.bodies) == 0 && now-state.heldAtFailure.at > crashWindow && now-state.crashedAt > crashWindow {
			delete(l.replicas, instance)
		}
	}
}
