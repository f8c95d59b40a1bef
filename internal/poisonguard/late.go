package poisonguard

import (
	"slices"
	"time"

	"github.com/tamarindring/tamarindring/internal/table"
)

const (
	// brokenTime is for how long after a run broke off the end of its back end is put down to it: a back end that starts again has
	// registered within 3.4 s, one heartbeat late at most.
	brokenTime = 5 * time.Second
	// maximumBroken bounds the runs that are remembered for it; the oldest go first.
	maximumBroken = 1024
)

// brokenRun is a run that broke off while what became of its back end was not known.
type brokenRun struct {
	run *Run
	at  time.Duration
}

// remember keeps a run that broke off until the table tells what became of its back end.
func (g *Guard) remember(run *Run) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.leavingLocked(run.instance) {
		return
	}
	if len(g.broken) >= maximumBroken {
		g.broken = slices.Delete(g.broken, 0, 1)
	}
	g.broken = append(g.broken, brokenRun{run: run, at: g.config.Clock()})
}

// crashedMeanwhile takes out the runs that broke off and whose back ends are known to have ended since: they have started again, or
// another one has their address. Behind a cut nothing else tells. The caller holds the mutex.
func (g *Guard) crashedMeanwhile(now time.Duration) (crashed []*Run) {
	g.broken = slices.DeleteFunc(g.broken, func(one brokenRun) bool { return now-one.at > brokenTime })
	if len(g.broken) == 0 {
		return nil
	}
	holders := map[string]string{} // instance by address
	for _, row := range g.view.Rows() {
		if row.Kind == table.Backend && row.Serving() {
			holders[row.Address] = row.Instance
		}
	}
	g.broken = slices.DeleteFunc(g.broken, func(one brokenRun) bool {
		holder := holders[one.run.address]
		over := g.view.Ended(one.run.instance) || holder != "" && holder != one.run.instance
		if over {
			g.book.Crashed(now, one.run.named(), one.run.crash())
			g.counts.crashes.WithLabelValues().Inc()
			crashed = append(crashed, one.run)
		}
		return over
	})
	return crashed
}

// leaving tells whether a back end leaves by plan, as far as the table tells.
func (g *Guard) leaving(instance string) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.leavingLocked(instance)
}

func (g *Guard) leavingLocked(instance string) bool {
	if g.view == nil {
		return false
	}
	row := g.view.Backend(instance)
	return row != nil && row.State != table.Active
}
