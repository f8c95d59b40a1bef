// Package listing decides when the finished results of a batch job are listed. It answers this load: owners of jobs wait for
// whole groups and read the list in turns of half a second, holding a read open while there is nothing new; a result that is
// listed ends the open read, and an owner whose read was open for less than a turn sees what is listed next a turn later. Results
// are therefore listed together, and at once only with the group that makes the job whole.
//
// The package is pure: times are durations since an arbitrary start. A Pace is not safe for concurrent use.
package listing

import "time"

const (
	// DefaultInterval is the time between two listings of a job. It is longer than a reader's turn of half a second, so that a
	// read is open again, and shorter than the second for which reads are held open. Replayed steps end 0.21 s after they are
	// whole, 0.27 s with 0.75 s, 0.29 s with 1.4 s, and 0.75 s where each result is listed at once.
	DefaultInterval = 900 * time.Millisecond
	// lastCall is how long after a job is due one of its listings stands, from which the others are counted: owners still take
	// what they have read 0.7 s past the due time, and commit, look and read take up to 0.25 s.
	lastCall = 450 * time.Millisecond
)

// Job is what the pace of a job's listing depends on.
type Job struct {
	Opened, Due time.Duration
	Open        map[string]int // items without a result, by group; New takes it over
	Whole       int            // groups that are whole
	Desired     int            // whole groups that the owner waits for; 0: all
	// Carried are the open groups that the owner waits for whichever others are whole.
	Carried []string
}

// Pace is the listing of one job.
type Pace struct {
	interval time.Duration
	anchor   time.Duration // a moment of listing; the others are whole intervals away
	last     time.Duration // of the last listing, or the job's opening
	open     map[string]int
	carried  map[string]bool // of them without a result for each item
	wanted   int             // groups that are still waited for
	atOnce   bool            // what waits completes the job, as far as is known
}

// New returns the pace of a job.
func New(interval time.Duration, job *Job) *Pace {
	desired := job.Desired
	if desired <= 0 {
		desired = job.Whole + len(job.Open)
	}
	pace := &Pace{
		interval: interval, anchor: job.Due + lastCall, last: job.Opened, open: job.Open, carried: map[string]bool{},
		wanted: desired - job.Whole,
	}
	for _, group := range job.Carried {
		pace.carried[group] = true
	}
	return pace
}

// Finished notes the result of an item of a group.
func (p *Pace) Finished(group string) {
	if p.open[group]--; p.open[group] > 0 {
		return
	}
	p.wanted--
	delete(p.carried, group)
	p.atOnce = p.atOnce || p.wanted <= 0 && len(p.carried) == 0
}

// Release reports whether results that wait are to be listed now, and counts them as listed then.
func (p *Pace) Release(now time.Duration) bool {
	if !p.atOnce && p.turn(now) == p.turn(p.last) {
		return false
	}
	p.last, p.atOnce = now, false
	return true
}

// turn numbers the intervals from the anchor on; those before it are negative.
func (p *Pace) turn(at time.Duration) int64 {
	since := at - p.anchor
	turn := int64(since / p.interval)
	if since < 0 && since%p.interval != 0 {
		turn-- // rounded down, not towards the anchor
	}
	return turn
}
