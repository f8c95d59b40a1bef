package sim

import (
	"slices"
	"time"

	"github.com/tamarindring/tamarindring/internal/invariant"
	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/routing"
)

const (
	loadPollInterval        = 250 * time.Millisecond
	drainPollInterval       = 50 * time.Millisecond
	drainLimit              = 10 * time.Second
	leavingBound            = 3 * time.Second // target of promise P7
	leadershipTransferLimit = 5 * time.Second
)

// pollLoads asks every back end for its load at regular intervals.
func (g *gateway) pollLoads() {
	g.requestLoads()
	g.after(loadPollInterval, g.pollLoads)
}

func (g *gateway) requestLoads() {
	asking := g.currentRun()
	for _, b := range g.fleet.backends {
		g.world.network.sendOnce(g.process, b.process, func() {
			leaving, running := b.leaving && !b.world.hasMutation(IgnoreLeaving), len(b.connections)
			g.world.network.reply(b.process, asking, func() {
				g.pool.replicas.Report(b.name, routing.LoadReport{Requests: float64(running), Leaving: leaving}, g.clock())
			})
		})
	}
}

// checkLeavingBackend checks that a gateway does not send to a back end that has been leaving for longer than
// leavingBound, provided that the gateway could have learned of it. Every dispatch made while some back end is
// leaving is examined.
func (t *truth) checkLeavingBackend(g *gateway, b *backend) {
	if !b.leaving {
		if slices.ContainsFunc(g.fleet.backends, func(other *backend) bool { return other.leaving }) {
			t.examine(invariant.LeavingBackend, true, "")
		}
		return
	}
	if b.paused {
		return // a paused back end cannot report that it is leaving, and runs nothing
	}
	since := max(b.leavingSince, b.resumedAt, g.tableSince, g.resumedAt, t.world.network.lastCutTime(g.process, b.process))
	until := t.world.now
	if !b.up {
		until = b.diedAt // a gateway that did not know by then cannot learn it from a dead back end
	}
	t.examine(invariant.LeavingBackend, until-since <= leavingBound, "%s sends to %s, which has been leaving for %v", g.name, b.name, t.world.now-b.leavingSince)
}

// stop begins the planned stop of a gateway: it rejects new requests, finishes those in flight and then exits. It
// returns false if the gateway is down or already draining.
func (g *gateway) stop() bool {
	if !g.up || g.draining {
		return false
	}
	g.tracef("drains")
	g.draining = true
	g.drain(g.clock() + drainLimit)
	return true
}

func (g *gateway) drain(deadline time.Duration) {
	if len(g.exchanges) > 0 && g.clock() < deadline && !g.world.hasMutation(StopWithoutDrain) {
		g.after(drainPollInterval, func() { g.drain(deadline) })
		return
	}
	if g.fleet.plannedOnly {
		g.world.truth.examine(invariant.PlannedStop, len(g.exchanges) == 0, "%s stops with %d requests in flight", g.name, len(g.exchanges))
	}
	g.dropLease()
	g.die()
}

// dropLease gives up the lease, as a session does when its process leaves.
func (g *gateway) dropLease() { g.session.holder.Drop() }

// stop begins the planned stop of a control node: it transfers its leaderships first and then exits. It returns false
// if the node is down or already stopping.
func (h *host) stop() bool {
	if !h.up || h.stopping {
		return false
	}
	h.tracef("transfers its group leaderships")
	h.stopping = true
	h.handOverLeaderships(h.clock() + leadershipTransferLimit)
	return true
}

func (h *host) handOverLeaderships(deadline time.Duration) {
	leaderships := 0
	for _, g := range h.groups {
		leaderships += h.transferLeadership(g)
	}
	h.advance()
	if leaderships > 0 && h.clock() < deadline {
		h.after(tickTime, func() { h.handOverLeaderships(deadline) })
		return
	}
	h.die()
}

// transferLeadership asks the most advanced other voter that is active to lead a group. It returns 1 if this node
// leads the group and 0 otherwise.
func (h *host) transferLeadership(g *group) int {
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
		_ = g.node.TransferLeadership(best.Node) // on failure, the next handOverLeaderships retries it until the limit
	}
	return 1
}

// moveLeader transfers the control group's leadership to another node, without stopping any.
func (f *fleet) moveLeader() bool {
	for _, h := range f.hosts {
		if h.up && !h.paused && h.groups[0].node.Status().Role == raft.Leader {
			h.transferLeadership(h.groups[0])
			h.advance()
			return true
		}
	}
	return false
}

// sampleDrainLimit is how long a draining coordinator waits for its running samples.
const sampleDrainLimit = 500 * time.Millisecond

// stop begins the planned stop of a coordinator: it starts no more samples, then releases its trainers, answers their
// fetches and exits. It returns false if the coordinator is down or already draining.
func (c *coordinator) stop() bool {
	if !c.up || c.draining {
		return false
	}
	c.tracef("drains")
	c.draining = true
	c.waitForSamples(c.clock() + sampleDrainLimit)
	return true
}

func (c *coordinator) waitForSamples(deadline time.Duration) {
	if len(c.runs) > 0 && c.clock() < deadline {
		c.after(drainPollInterval, func() { c.waitForSamples(deadline) })
		return
	}
	c.leaving = true
	for _, t := range c.fleet.trainers {
		if owned := c.ownedTrainers[t.name]; owned != nil {
			c.releaseTrainer(owned, "draining")
		}
	}
	c.waitForFetches(c.clock() + drainLimit)
}

func (c *coordinator) waitForFetches(deadline time.Duration) {
	if c.activeFetches > 0 && c.clock() < deadline && !c.world.hasMutation(StopWithoutDrain) {
		c.after(drainPollInterval, func() { c.waitForFetches(deadline) })
		return
	}
	if c.fleet.plannedOnly {
		c.world.truth.examine(invariant.PlannedStop, c.activeFetches == 0, "%s stops with %d fetches in flight", c.name, c.activeFetches)
	}
	c.session.holder.Drop()
	c.die()
}

// plannedStop begins the planned stop of a random process. It returns false if none can be stopped now.
func (f *fleet) plannedStop() bool {
	switch draw := f.world.random.Intn(5); {
	case draw < 2:
		return f.randomGateway().stop()
	case draw == 2:
		return f.randomCoordinator().stop()
	}
	for _, h := range f.hosts {
		if h.stopping && !h.replaced || !h.up && !h.replaced {
			return false // one control node at a time
		}
	}
	return f.randomHost().stop()
}
