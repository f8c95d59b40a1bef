// Package listing decides when the finished results of a batch job are listed, that is, become visible to the job's
// owner.
//
// It is designed for owners that wait for complete groups and read the list by long polling: a read is held open for at
// most 1 s while there is nothing new, and consecutive reads begin at least half a second (a turn) apart. Listing a
// result ends the open read. If that read has been open for less than a turn, the owner handles the answer only when
// the turn is over. The results that complete a job should therefore meet a read that has been open for a turn already.
// For this, results are listed in batches. They are listed at once only with the group that completes the job, and some
// are held back to end a read at the right moment before the job's expected end.
//
// The package has no clock: times are durations since an arbitrary start. A Planner is not safe for concurrent use.
package listing

import (
	"math"
	"time"
)

const (
	// DefaultInterval is the time between two listings of a job while its end is not near. It is longer than a reader's
	// turn of 0.5 s, so that a new read is open, and shorter than the 1 s for which reads are held open.
	DefaultInterval = 900 * time.Millisecond
	// lastCallDelay is the time from a job's due time to the last listing that the owner can still use. Owners accept
	// results that they read until shortly after that listing. Committing the results and reading them takes part of
	// this remaining time.
	lastCallDelay = 450 * time.Millisecond
	// lastCallExtension is how much the last call is postponed if the job is expected to be complete within this time
	// after it, so that one listing has all results.
	lastCallExtension = 150 * time.Millisecond
	// endLead is how long before the expected end of a job a held-back result is listed. The read that begins after
	// this listing has then been open for a turn at the end, even if the reader makes another request in between, and
	// stays open for some time after it.
	endLead = 800 * time.Millisecond
	// readerTurn is the minimum time between the beginnings of two reads.
	readerTurn = 500 * time.Millisecond
	// readerHold is the maximum time for which a read is held open. Of two listings this far apart, the second one
	// always meets a read that has been open for a turn, in whatever state the first one met the reader.
	readerHold = time.Second
	// heldBackResults is the number of results held back for the listings before the end. One is listed endLead before
	// it, the other one readerHold before that.
	heldBackResults = 2
	// maximumHold bounds how long a result is held back, because the end may be far away or never come.
	maximumHold = 5 * time.Second
)

// Job describes the state of a job when its listing begins.
type Job struct {
	Opened, Due    time.Duration
	MissingResults map[string]int // number of items without a result, by group; owned by the Planner after New
	CompleteGroups int            // complete groups
	Desired        int            // complete groups that the owner waits for; 0: all
	// Carried are the open groups, carried from an earlier job, that the owner waits for in any case.
	Carried []string
}

// Planner decides when the results of one job are listed.
type Planner struct {
	interval      time.Duration
	lastCall      time.Duration   // time of the last useful listing; interval boundaries are counted from here
	lastListing   time.Duration   // time of the last listing, or of the job's opening before the first one
	expectedEnd   time.Duration   // when the wanted groups are expected to be complete; 0: unknown
	waiting       []time.Duration // times since which results wait, oldest first
	completeGroup bool            // the waiting results complete at least one group
	open          map[string]int  // number of items without a result, by group
	carried       map[string]bool // carried groups that are not complete
	wanted        int             // further complete groups that the owner waits for
	completeJob   bool            // the waiting results complete all groups that the owner waits for
}

// New returns the Planner of a job. interval is the time between two listings while the job's end is not near.
func New(interval time.Duration, job *Job) *Planner {
	desired := job.Desired
	if desired <= 0 {
		desired = job.CompleteGroups + len(job.MissingResults)
	}
	planner := &Planner{
		interval: interval, lastCall: job.Due + lastCallDelay, lastListing: job.Opened, open: job.MissingResults, carried: map[string]bool{},
		wanted: desired - job.CompleteGroups,
	}
	for _, group := range job.Carried {
		planner.carried[group] = true
	}
	return planner
}

// Finished adds the result of an item in a group, which waits to be listed from now on.
func (p *Planner) Finished(group string, now time.Duration) {
	p.waiting = append(p.waiting, now)
	if p.open[group]--; p.open[group] > 0 {
		return
	}
	p.wanted--
	p.completeGroup = true
	delete(p.carried, group)
	p.completeJob = p.completeJob || p.wanted <= 0 && len(p.carried) == 0
}

// Expect sets when the groups that the owner waits for are expected to be complete (0: unknown). It may be called again
// at any time.
func (p *Planner) Expect(end time.Duration) { p.expectedEnd = end }

// Release returns how many of the waiting results, oldest first, must be listed now, and counts them as listed.
func (p *Planner) Release(now time.Duration) int {
	count := min(p.countDue(now), len(p.waiting))
	if count <= 0 {
		return 0
	}
	p.waiting = p.waiting[count:]
	p.lastListing, p.completeJob = now, false
	p.completeGroup = p.completeGroup && len(p.waiting) > 0
	return count
}

// countDue returns how many results must be listed now. It may exceed the number that wait, which means all.
func (p *Planner) countDue(now time.Duration) int {
	if p.expectedEnd != 0 && now > p.expectedEnd+readerTurn {
		p.expectedEnd = 0 // the expected end has passed, so nothing is held back for it any more
	}
	return max(p.countScheduled(now), p.countOverheld(now))
}

// countOverheld returns how many results have waited for maximumHold.
func (p *Planner) countOverheld(now time.Duration) (count int) {
	for count < len(p.waiting) && now-p.waiting[count] >= maximumHold {
		count++
	}
	return count
}

// countScheduled returns how many results must be listed now according to the intervals and the end of the job.
func (p *Planner) countScheduled(now time.Duration) int {
	const all = math.MaxInt
	beforeEnd := p.expectedEnd - endLead
	switch {
	case p.completeJob, p.isLastCall(now):
		return all
	case p.expectedEnd == 0 || now < beforeEnd-readerHold:
		return p.countDueByInterval(now)
	case now > p.expectedEnd-readerTurn:
		return 0 // the read that is open now must stay open until the end
	case p.hasReached(beforeEnd, now):
		return all
	case p.hasReached(beforeEnd-readerHold, now):
		return len(p.waiting) - heldBackResults + 1
	}
	return 0
}

// hasReached reports whether a moment before the expected end has passed without a listing for it. The expected end is
// updated continually, so a listing within a turn before the moment counts as the listing for it.
func (p *Planner) hasReached(moment, now time.Duration) bool {
	return p.hasPassed(moment, now) && p.lastListing < moment-readerTurn
}

// hasPassed reports whether a moment has passed since the last listing.
func (p *Planner) hasPassed(moment, now time.Duration) bool {
	return p.lastListing < moment && moment <= now
}

// isLastCall reports whether the waiting results must be listed now to be of use to the owner. If there was a listing
// shortly before, only a group that was completed since justifies another one.
func (p *Planner) isLastCall(now time.Duration) bool {
	moment := p.lastCall
	if p.expectedEnd > moment && p.expectedEnd <= moment+lastCallExtension {
		moment += lastCallExtension
	}
	return p.hasPassed(moment, now) && (p.completeGroup || p.lastListing < p.lastCall-endLead)
}

// countDueByInterval returns how many results must be listed now if an interval has begun since the last listing: all
// except those that are held back for an expected end.
func (p *Planner) countDueByInterval(now time.Duration) int {
	switch {
	case p.intervalNumber(now) == p.intervalNumber(p.lastListing):
		return 0
	case p.expectedEnd == 0:
		return len(p.waiting)
	}
	return len(p.waiting) - heldBackResults
}

// intervalNumber returns the number of the interval that contains a time. Interval 0 begins at the last call, and
// earlier intervals have negative numbers.
func (p *Planner) intervalNumber(at time.Duration) int64 {
	since := at - p.lastCall
	number := int64(since / p.interval)
	if since < 0 && since%p.interval != 0 {
		number-- // round down instead of towards 0
	}
	return number
}
