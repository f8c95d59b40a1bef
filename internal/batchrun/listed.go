package batchrun

import (
	"time"

	"github.com/tamarindring/tamarindring/internal/batchrun/listing"
)

// jobListing holds the results of a job that wait to be listed, and decides when they are listed.
type jobListing struct {
	planner *listing.Planner
	waiting []pendingEntry
	// waitingSince is when the first waiting result arrived, or the time of the last listing if that held some back.
	waitingSince time.Duration
	count        int // listings so far
	carried      int // groups carried from an earlier job, as known when the job was opened
}

// beginListing initializes the listing of a job that was added to the scheduler.
func (t *termRunner) beginListing(opened *job) {
	groups, open := map[string]bool{}, map[string]int{}
	for _, entry := range opened.items {
		groups[entry.groupName()] = true
		if entry.open {
			open[entry.groupName()]++
		}
	}
	carried := t.scheduler.CarriedGroups(opened.submit.GetId())
	opened.listing = jobListing{carried: len(carried), planner: listing.New(t.config.ListInterval, &listing.Job{
		Opened: opened.openedAt, Due: opened.deadline, MissingResults: open, CompleteGroups: len(groups) - len(open),
		Desired: int(opened.submit.GetDesired()), Carried: carried,
	})}
}

// list queues an item's result to be listed together with other results of its job.
func (t *termRunner) list(openJob *job, entry pendingEntry) {
	if len(openJob.listing.waiting) == 0 {
		openJob.listing.waitingSince = t.config.Clock()
	}
	openJob.listing.planner.Finished(openJob.items[entry.itemID()].groupName(), t.config.Clock())
	openJob.listing.waiting = append(openJob.listing.waiting, entry)
	t.releaseResults(openJob)
}

// updateExpectedEnd passes the expected completion time of a job's wanted groups to its listing. Without one, the
// listing holds no results back for the end.
func (t *termRunner) updateExpectedEnd(openJob *job) {
	end, known := t.scheduler.ExpectedEnd(openJob.submit.GetId())
	if !known {
		openJob.listing.planner.Expect(0)
		return
	}
	openJob.listing.planner.Expect(max(end, t.config.Clock()))
}

// releaseResults commits the results of a job that are due to be listed.
func (t *termRunner) releaseResults(openJob *job) {
	now := t.config.Clock()
	count := openJob.listing.planner.Release(now)
	if count == 0 {
		return
	}
	t.runner.metrics.listingWait.WithLabelValues().Observe((now - openJob.listing.waitingSince).Seconds())
	t.committer.add(openJob.listing.waiting[:count]...)
	openJob.listing.waiting = openJob.listing.waiting[count:]
	openJob.listing.waitingSince = now
	openJob.listing.count++
}
