package experiment

import (
	"time"

	"github.com/tamarindring/tamarindring/internal/rollout"
)

// Intervals of the coordinator.
const (
	coordinatorTickInterval = 250 * time.Millisecond // between two scheduling passes
	progressInterval        = time.Second            // between two progress reports of a sample to the scheduler
)

// coordinator drives rollout.Scheduler in the same way as the production coordinator.
type coordinator struct {
	simulation    *simulation
	scheduler     *rollout.Scheduler
	trainers      []*trainer
	samples       map[rollout.SampleID]*sample
	gatewayCursor int           // selects gateways round-robin
	holdUntil     time.Duration // no new samples start earlier, because a gateway rejected one
}

func newCoordinator(s *simulation) *coordinator {
	c := &coordinator{
		simulation: s, scheduler: rollout.New(rollout.Config{Policy: s.policy.rolloutPolicy()}),
		samples: map[rollout.SampleID]*sample{},
	}
	if s.policy.Scheduling == SchedulingNone {
		return c
	}
	for index := range s.scenario.Trainers {
		c.trainers = append(c.trainers, newTrainer(c, index))
	}
	s.after(0, c.start)
	s.weights.onServed = c.handleWeightsServed
	return c
}

func (c *coordinator) start() {
	for _, one := range c.trainers {
		one.start()
	}
	c.tick()
}

func (c *coordinator) tick() {
	c.simulation.weights.executeOrders()
	c.publishAvailableVersions()
	c.discardExpired()
	c.dispatch()
	c.simulation.after(coordinatorTickInterval, c.tick)
}

// capacity returns the slots that the table grants to rollouts, and the staleness bound.
func (c *coordinator) capacity() rollout.Capacity {
	table := &c.simulation.scenario.Table
	return rollout.Capacity{Slots: c.simulation.slots() * table.RolloutShare / 100, StalenessBound: table.StalenessBound}
}

// dispatch starts the samples that the scheduler selects.
func (c *coordinator) dispatch() {
	now := c.simulation.now
	if now < c.holdUntil {
		return
	}
	for _, start := range c.scheduler.Next(now, c.capacity()) {
		c.samples[start.ID].start(start)
	}
}

// discardExpired discards the samples that would exceed the staleness bound when their step is delivered.
func (c *coordinator) discardExpired() {
	for _, id := range c.scheduler.Expired(c.simulation.scenario.Table.StalenessBound) {
		c.samples[id].discard()
	}
}

// releaseWeights starts the rollout of a trainer's new weights. The scheduler learns of them only once they are
// available.
func (c *coordinator) releaseWeights(one *trainer) {
	c.simulation.weights.release(one.index, one.version)
}

// publishAvailableVersions tells the scheduler which weight versions generate new samples. With synchronous scheduling
// it waits until all replicas that are up serve the newest weights.
func (c *coordinator) publishAvailableVersions() {
	weights := c.simulation.weights
	if c.simulation.policy.Scheduling == SchedulingSynchronous && !weights.isServedEverywhere() {
		return
	}
	for _, one := range c.trainers {
		c.scheduler.Released(c.simulation.now, one.spec.Name, weights.availableVersion(one.index))
	}
}

// handleWeightsServed is called when the set of served weights may have changed: after a swap, crash or restart.
func (c *coordinator) handleWeightsServed() {
	c.publishAvailableVersions()
	c.dispatch()
}

// interruptOnSwap interrupts the samples on a replica whose weights changed, unless the policy keeps generated tokens
// across weight changes.
func (s *simulation) interruptOnSwap(r *replica) {
	if s.coordinator.scheduler.Policy().KeepsPrefix() {
		return
	}
	for _, one := range sortedAttempts(r) {
		if affected, isSample := one.receiver.(*sample); isSample {
			s.after(0, affected.interrupt)
		}
	}
}

// close records the trainers' waits that are still open at the end of the run.
func (c *coordinator) close() {
	for _, one := range c.trainers {
		one.close()
	}
}
