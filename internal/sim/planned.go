package sim

import (
	"slices"
	"time"

	"github.com/tamarindring/tamarindring/internal/invariant"
	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/routing"
)

const (
	loadInterval  = 250 * time.Millisecond
	drainPoll     = 50 * time.Millisecond
	drainLimit    = 10 * time.Second
	leavingBound  = 3 * time.Second // P7's target
	transferLimit = 5 * time.Second
)

// poll asks every back end for its load, again and again.
func (g *gateway) poll() {
	g.ask()
	g.after(loadInterval, g.poll)
}

func (g *gateway) ask() {
	asking := g.thisRun()
	for _, b := range g.fleet.backends {
		g.world.network.once(g.process, b.process, func() {
			leaving, running := b.leaving && !b.world.mutated(IgnoreLeaving), len(b.connections)
			g.world.network.reply(b.process, asking, func() {
				g.pool.replicas.Report(b.name, routing.LoadReport{Requests: float64(running), Leaving: leaving}, g.clock())
			})
		})
	}
}

// dispatchedToLeaving: no gateway that could hear of it sends to a back end that has been leaving for a while.
// Every dispatch made while some back end leaves is examined.
func (t *truth) dispatchedToLeaving(g *gateway, b *backend) {
	if !b.leaving {
		if slices.ContainsFunc(g.fleet.backends, func(other *backend) bool { return other.leaving }) {
			t.examine(invariant.LeavingBackend, true, "")
		}
		return
	}
	if b.paused {
		return // it cannot say that it leaves, and runs nothing
	}
	since := max(b.leftAt, b.resumedAt, g.knowsSince, g.resumedAt, t.world.network.lastCut(g.process, b.process))
	until := t.world.now
	if !b.up {
		until = b.diedAt // who did not know by then cannot learn it
	}
	t.examine(invariant.LeavingBackend, until-since <= leavingBound, "%s sends to %s, which has been leaving for %v", g.name, b.name, t.world.now-b.leftAt)
}

// stop is the planned stop of a gateway: nothing new, what is in flight is finished, then it ends.
func (g *gateway) stop() bool {
	if !g.up || g.draining {
		return false
	}
	g.tracef("drains")
	g.draining = true
	g.drain(g.clock() + drainLimit)
	return true
}

func (g *gateway) drain(until time.Duration) {
	if len(g.exchanges) > 0 && g.clock() < until && !g.world.mutated(StopWithoutDrain) {
		g.after(drainPoll, func() { g.drain(until) })
		return
	}
	if g.fleet.gentle {
		g.world.truth.examine(invariant.PlannedStop, len(g.exchanges) == 0, "%s stops with %d requests in flight", g.name, len(g.exchanges))
	}
	g.holderDropped()
	g.die()
}

// holderDropped ends the lease, as a session that leaves does.
func (g *gateway) holderDropped() { g.session.holder.Drop() }

// stop is the planned stop of a control node: its leaderships first.
func (h *host) stop() bool {
	if !h.up || h.stopping {
		return false
	}
	h.tracef("hands its groups over")
	h.stopping = true
	h.handOver(h.clock() + transferLimit)
	return true
}

func (h *host) handOver(until time.Duration) {
	led := 0
	for _, g := range h.groups {
		led += h.transferAway(g)
	}
	h.advance()
	if led > 0 && h.clock() < until {
		h.after(tickTime, func() { h.handOver(until) })
		return
	}
	h.die()
}

// transferAway asks the most advanced other voter to lead a group; it returns 1 if this node leads it.
func (h *host) transferAway(g *group) int {
	status := g.node.Status()
	if status.Leader != status.ID || len(status.Configuration.Voters) < 2 {
		return 0
	}
	best := raft.Progress{}
	for _, candidate := range status.Match {
		eligible := candidate.Node != status.ID && !candidate.Learner && candidate.RecentActive
		if eligible && (best.Node == raft.None || candidate.Match > best.Match) {
			best = candidate
		}
	}
	if best.Node != raft.None {
		_ = g.node.TransferLeadership(best.Node) // tried again until the limit
	}
	return 1
}

// moveLeader hands the control group to another node without a stop.
func (f *fleet) moveLeader() bool {
	for _, h := range f.hosts {
		if h.up && !h.paused && h.groups[0].node.Status().Role == raft.Leader {
			h.transferAway(h.groups[0])
			h.advance()
			return true
		}
	}
	return false
}

// drainPatience is how long a coordinator waits for its running samples.
const drainPatience = 500 * time.Millisecond

// stop is the planned stop of a coordinator: no new sample, then its trainers are given up and their fetches answered.
func (c *coordinator) stop() bool {
	if !c.up || c.draining {
		return false
	}
	c.tracef("drains")
	c.draining = true
	c.finishRunning(c.clock() + drainPatience)
	return true
}

func (c *coordinator) finishRunning(until time.Duration) {
	if len(c.running) > 0 && c.clock() < until {
		c.after(drainPoll, func() { c.finishRunning(until) })
		return
	}
	c.leaving = true
	for _, t := range c.fleet.trainers {
		if owned := c.owned[t.name]; owned != nil {
			c.depose(owned, "draining")
		}
	}
	c.finishFetches(c.clock() + drainLimit)
}

func (c *coordinator) finishFetches(until time.Duration) {
	if c.fetches > 0 && c.clock() < until && !c.world.mutated(StopWithoutDrain) {
		c.after(drainPoll, func() { c.finishFetches(until) })
		return
	}
	if c.fleet.gentle {
		c.world.truth.examine(invariant.PlannedStop, c.fetches == 0, "%s stops with %d fetches in flight", c.name, c.fetches)
	}
	c.session.holder.Drop()
	c.die()
}

// plannedStop stops some process by plan.
func (f *fleet) plannedStop() bool {
	switch draw := f.world.random.Intn(5); {
	case draw < 2:
		return f.anyGateway().stop()
	case draw == 2:
		return f.anyCoordinator().stop()
	}
	for _, h := range f.hosts {
		if h.stopping && !h.replaced || !h.up && !h.replaced {
			return false // one control node at a time
		}
	}
	return f.anyHost().stop()
}
