package batchrun

import (
	"cmp"
	"slices"
	"time"

	"github.com/tamarindring/tamarindring/internal/batchrun/schedule"
)

// itemTiming records how an item spent its time under this leader.
type itemTiming struct {
	hasRun      bool
	firstRunAt  time.Duration // start of the first run
	runningTime time.Duration // total duration of the runs
	runs        int
	events      int           // received by the runs
	finishedAt  time.Duration // when finish recorded its result; 0: not under this leader, or the result got a score
}

// startRun records the start of a run.
func (p *itemTiming) startRun(now time.Duration) {
	if !p.hasRun {
		p.hasRun, p.firstRunAt = true, now
	}
	p.runs++
}

// endRun records the duration of a run that has ended, and the events that it received.
func (p *itemTiming) endRun(took time.Duration, events int) {
	p.runningTime += took
	p.events += events
}

// criticalItem returns the item whose result completed as many groups as the job's owner waits for. The way that this
// item spent its time explains the duration of the job. It returns nil if that many groups were never complete, or if
// the item has no finishedAt, because an earlier leader finished it or because its result got a score.
func (j *job) criticalItem() *item {
	last := map[string]*item{} // the last item to finish, by group; nil for an incomplete group
	for _, entry := range j.items {
		name := entry.groupName()
		latest, known := last[name]
		switch {
		case entry.open || known && latest == nil:
			last[name] = nil
		case !known || entry.timing.finishedAt > latest.timing.finishedAt:
			last[name] = entry
		}
	}
	var lastItems []*item // of the complete groups
	for _, entry := range last {
		if entry != nil {
			lastItems = append(lastItems, entry)
		}
	}
	wanted := int(j.submit.GetDesired())
	if wanted <= 0 {
		wanted = len(last)
	}
	if len(lastItems) < wanted {
		return nil
	}
	slices.SortFunc(lastItems, func(a, b *item) int {
		return cmp.Or(cmp.Compare(a.timing.finishedAt, b.timing.finishedAt), cmp.Compare(a.wire.GetId(), b.wire.GetId()))
	})
	critical := lastItems[wanted-1]
	if critical.timing.finishedAt == 0 || !critical.timing.hasRun {
		return nil // an earlier leader finished it
	}
	return critical
}

// criticalPath divides the time from a job's opening to its end by what its critical item was doing.
type criticalPath struct {
	item    string        // id of the critical item
	wait    time.Duration // from the job's opening to the item's first run
	running time.Duration // in runs
	between time.Duration // between runs, and waiting for a score
	after   time.Duration // from the item's result to the end of the job: commit, listing, and the owner's polling
	runs    int
	events  int
}

// criticalPath returns the critical path of a job that ends now. It returns false if the job has no critical item.
func (j *job) criticalPath(now time.Duration) (criticalPath, bool) {
	critical := j.criticalItem()
	if critical == nil {
		return criticalPath{}, false
	}
	timing := &critical.timing
	return criticalPath{
		item: critical.wire.GetId(), wait: timing.firstRunAt - j.openedAt, running: timing.runningTime,
		between: timing.finishedAt - timing.firstRunAt - timing.runningTime, after: now - timing.finishedAt, runs: timing.runs, events: timing.events,
	}, true
}

// timingOf returns the timing of an item. Once the item's job has ended, it returns a new one that is discarded.
func (t *termRunner) timingOf(key schedule.Key) *itemTiming {
	if openJob := t.jobs[key.Job]; openJob != nil && openJob.items[key.Item] != nil {
		return &openJob.items[key.Item].timing
	}
	return &itemTiming{}
}
