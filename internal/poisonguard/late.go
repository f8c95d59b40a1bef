package poisonguard

import (
	"slices"
	"time"

	"github.com/tamarindring/tamarindring/internal/poison"
	"github.com/tamarindring/tamarindring/internal/table"
)

const (
	// brokenRunTime is how long after a run broke off the end of its back end is attributed to the run. A back end that
	// restarts has registered within 3.4 s, at most one heartbeat late.
	brokenRunTime = 5 * time.Second
	// maximumBrokenRuns bounds the remembered runs. Beyond it the oldest are dropped.
	maximumBrokenRuns = 1024
)

// brokenRun is a run that broke off without this process knowing whether its back end crashed.
type brokenRun struct {
	run *Run
	at  time.Duration
}

// rememberBroken remembers a run that broke off until the table shows whether its back end has ended.
func (g *Guard) rememberBroken(run *Run) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.isLeavingLocked(run.instance) {
		return
	}
	if len(g.brokenRuns) >= maximumBrokenRuns {
		g.brokenRuns = slices.Delete(g.brokenRuns, 0, 1)
	}
	g.brokenRuns = append(g.brokenRuns, brokenRun{run: run, at: g.config.Clock()})
}

// takeCrashed removes and returns the remembered runs whose back ends have ended since: the back end has restarted, or
// another one serves at its address. If a network partition separates this process from the back end, the table is the
// only evidence. The caller holds the mutex.
func (g *Guard) takeCrashed(now time.Duration) (crashed []*Run) {
	g.brokenRuns = slices.DeleteFunc(g.brokenRuns, func(one brokenRun) bool { return now-one.at > brokenRunTime })
	if len(g.brokenRuns) == 0 {
		return nil
	}
	g.brokenRuns = slices.DeleteFunc(g.brokenRuns, func(one brokenRun) bool {
		holder := servingAt(g.view, one.run.address)
		ended := g.view.HasRestarted(one.run.instance) || holder != "" && holder != one.run.instance
		if ended {
			g.book.Crashed(now, one.run.ensureDigest(), poison.Crash{Instance: one.run.crashName(), EndedAt: one.at})
			g.counts.crashes.WithLabelValues().Inc()
			crashed = append(crashed, one.run)
		}
		return ended
	})
	return crashed
}

// servingAt returns the instance that serves at an address, or "" if none does.
func servingAt(view *table.View, address string) (instance string) {
	for _, row := range view.AtAddress(address) {
		if row.Serving() {
			instance = row.Instance
		}
	}
	return instance
}

// isLeaving reports whether the followed table shows a planned end of a back end: its state is not active.
func (g *Guard) isLeaving(instance string) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.isLeavingLocked(instance)
}

func (g *Guard) isLeavingLocked(instance string) bool {
	if g.view == nil {
		return false
	}
	row := g.view.Backend(instance)
	return row != nil && row.State != table.Active
}
