// Package listing decides when the finished results of a batch job are listed. It answers this load: owners of jobs wait for
// whole groups and read the list about twice a second, holding a read open while there is nothing new; a result that is listed
// alone ends the open read, and what is listed next waits for the reader's next turn. Results are therefore listed together, at
// most once in an interval, so that the one which the owner waits for finds a read open.
//
// The package is pure: times are durations since an arbitrary start. A Pace is not safe for concurrent use.
package listing

import "time"

// DefaultInterval is the shortest time between two listings of a job. It is longer than a reader's pause of half a second,
// so that a read is open again, and shorter than the second for which reads are held open. On a played day without faults the
// owner of a step ended it 0.56 s after its last result on average where each result was listed at once.
const DefaultInterval = 750 * time.Millisecond

// Pace is the listing of one job.
type Pace struct {
	interval time.Duration
	last     time.Duration // of the last listing, or the job's opening
	due      time.Duration // of the job: from then on everything is listed at once
	open     map[string]int
	wanted   int // groups that are still waited for
}

// New returns the pace of a job that was opened now. open counts the items without a result by group; of the groups that are
// not in it, whole are whole already. desired is how many whole groups the job's owner waits for; 0: all.
func New(interval, now, due time.Duration, open map[string]int, whole, desired int) *Pace {
	if desired <= 0 {
		desired = whole + len(open)
	}
	return &Pace{interval: interval, last: now, due: due, open: open, wanted: desired - whole}
}

// Finished notes the result of an item of a group.
func (p *Pace) Finished(group string) {
	if p.open[group]--; p.open[group] == 0 {
		p.wanted--
	}
}

// Release reports whether results that wait are to be listed now, and counts them as listed then. What the owner waits for is
// never held back, nor is anything once it is whole or the job is due.
func (p *Pace) Release(now time.Duration) bool {
	if p.wanted > 0 && now < p.due && now < p.last+p.interval {
		return false
	}
	p.last = now
	return true
}
