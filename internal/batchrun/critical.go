package batchrun

import (
	"cmp"
	"slices"
	"time"

	"github.com/tamarindring/tamarindring/internal/batchrun/schedule"
)

// itemPath is what an item spent its time on under this leader.
type itemPath struct {
	began    bool
	first    time.Duration // start of the first run
	running  time.Duration // in runs, from start to end
	runs     int
	events   int           // that the runs brought
	finished time.Duration // when its result was made; 0: not under this leader
}

// started notes the start of a run.
func (p *itemPath) started(now time.Duration) {
	if !p.began {
		p.began, p.first = true, now
	}
	p.runs++
}

// ended notes the end of a run that lasted for took and brought some events.
func (p *itemPath) ended(took time.Duration, events int) {
	p.running += took
	p.events += events
}

// criticalItem is the item with which a job had as many whole groups as its owner waits for: what it spent its time on is why
// the job took as long as it did. nil: there were never as many under this leader.
func (j *job) criticalItem() *item {
	last := map[string]*item{} // of each group, nil for one that is not whole
	for _, entry := range j.items {
		name := entry.group()
		latest, known := last[name]
		switch {
		case entry.open || known && latest == nil:
			last[name] = nil
		case !known || entry.path.finished > latest.path.finished:
			last[name] = entry
		}
	}
	var closing []*item
	for _, entry := range last {
		if entry != nil {
			closing = append(closing, entry)
		}
	}
	wanted := int(j.submit.GetDesired())
	if wanted <= 0 {
		wanted = len(last)
	}
	if len(closing) < wanted {
		return nil
	}
	slices.SortFunc(closing, func(a, b *item) int {
		return cmp.Or(cmp.Compare(a.path.finished, b.path.finished), cmp.Compare(a.wire.GetId(), b.wire.GetId()))
	})
	critical := closing[wanted-1]
	if critical.path.finished == 0 || !critical.path.began {
		return nil // an earlier leader finished it
	}
	return critical
}

// criticalPath is how the time from a job's opening to its end was spent, by its critical item.
type criticalPath struct {
	item    string
	wait    time.Duration // until its first run
	running time.Duration
	between time.Duration // neither running nor waiting for the first run: between runs, and for a score
	after   time.Duration // from its result to the end of the job: commit, listing, the owner's own rhythm
	runs    int
	events  int
}

// criticalPath returns the critical path of a job that ends now; false if there is none.
func (j *job) criticalPath(now time.Duration) (criticalPath, bool) {
	critical := j.criticalItem()
	if critical == nil {
		return criticalPath{}, false
	}
	path := &critical.path
	return criticalPath{
		item: critical.wire.GetId(), wait: path.first - j.opened, running: path.running,
		between: path.finished - path.first - path.running, after: now - path.finished, runs: path.runs, events: path.events,
	}, true
}

// path is where an item's times are noted; one that nobody reads once its job has ended.
func (t *tenure) path(key schedule.Key) *itemPath {
	if held := t.jobs[key.Job]; held != nil && held.items[key.Item] != nil {
		return &held.items[key.Item].path
	}
	return &itemPath{}
}
