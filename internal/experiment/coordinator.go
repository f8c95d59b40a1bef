package experiment

import (
	"time"

	"github.com/tamarindring/tamarindring/internal/rollout"
)

// Intervals of the coordinator.
const (
	coordinatorTick  = 250 * time.Millisecond // between looks for work that has become eligible
	progressInterval = time.Second            // between reports of one running sample to the scheduler
)

// coordinator drives rollout.Scheduler as the production coordinator does.
type coordinator struct {
	simulation *simulation
	scheduler  *rollout.Scheduler
	trainers   []*trainer
	samples    map[rollout.SampleID]*sample
	gateways   int           // round robin over the gateways
	holdUntil  time.Duration // no new samples before, because a gateway refused one
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
	s.weights.complete = c.weightsServed
	return c
}

func (c *coordinator) start() {
	for _, one := range c.trainers {
		one.start()
	}
	c.tick()
}

func (c *coordinator) tick() {
	c.simulation.weights.drive()
	c.noteAvailable()
	c.discardExpired()
	c.dispatch()
	c.simulation.after(coordinatorTick, c.tick)
}

// room is what the table grants to rollouts.
func (c *coordinator) room() rollout.Room {
	table := &c.simulation.scenario.Table
	return rollout.Room{Slots: c.simulation.slots() * table.RolloutShare / 100, StalenessBound: table.StalenessBound}
}

// dispatch starts what the scheduler wants started.
func (c *coordinator) dispatch() {
	now := c.simulation.now
	if now < c.holdUntil {
		return
	}
	for _, start := range c.scheduler.Next(now, c.room()) {
		c.samples[start.ID].start(start)
	}
}

// discardExpired drops the samples that would be too old when they are used.
func (c *coordinator) discardExpired() {
	for _, id := range c.scheduler.Expired(c.simulation.scenario.Table.StalenessBound) {
		c.samples[id].discard()
	}
}

// released sends a trainer's new weights on their way. The scheduler hears of them when they are available.
func (c *coordinator) released(one *trainer) {
	c.simulation.weights.release(one.index, one.version)
}

// noteAvailable tells the scheduler which versions new samples will be made by.
func (c *coordinator) noteAvailable() {
	weights := c.simulation.weights
	if c.simulation.policy.Scheduling == SchedulingSynchronous && !weights.everywhere() {
		return
	}
	for _, one := range c.trainers {
		c.scheduler.Released(c.simulation.now, one.spec.Name, weights.available(one.index))
	}
}

// weightsServed is called when a replica serves new weights.
func (c *coordinator) weightsServed() {
	c.noteAvailable()
	c.dispatch()
}

// interruptOnSwap cuts the samples that run on a replica whose weights changed, if the policy keeps no
// tokens over a change.
func (s *simulation) interruptOnSwap(r *replica) {
	if s.coordinator.scheduler.Policy().KeepsPrefix() {
		return
	}
	for _, one := range sortedAttempts(r) {
		if cut, is := one.receiver.(*sample); is {
			s.after(0, cut.interrupt)
		}
	}
}

// close ends the trainers' waits that are still open at the end of the run.
func (c *coordinator) close() {
	for _, one := range c.trainers {
		one.close()
	}
}
