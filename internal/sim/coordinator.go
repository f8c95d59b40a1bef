package sim

import (
	"fmt"
	"maps"
	"time"

	"github.com/tamarindring/tamarindring/internal/ledger"
	"github.com/tamarindring/tamarindring/internal/rollout"
	"github.com/tamarindring/tamarindring/internal/state"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	storeTimeout  = 2 * time.Second
	scheduleEvery = 100 * time.Millisecond
	rolloutSlots  = 8
	modelBound    = 2 // staleness bound at first
)

// coordinator schedules and delivers samples. It follows package coordinator: the fence of a trainer first,
// then the ledger; samples are stored before they count, batches sealed before they are handed over, and
// the bound is looked at last, under the lease. In place of a mirror it reads the ledger again.
type coordinator struct {
	*process
	fleet     *fleet
	client    *client
	session   *holderSession
	owned     map[string]*ownedTrainer
	scheduler *rollout.Scheduler
	running   map[rollout.SampleID]*sampleRun
	partials  map[string]*sampleRun    // interrupted, by sample
	reports   map[string]versionReport // by engine
	wave      *waveOwner
	requests  uint64
	draining  bool // starts no sample and takes no trainer over
	leaving   bool // serves no fetch
	fetches   int  // being served
}

// ownedTrainer is a trainer that this coordinator has taken over.
type ownedTrainer struct {
	name         string
	group        uint32
	fence        uint64
	turn         uint64       // the newest fetch; older ones are superseded
	served       fetchRequest // the fetch for which the ledger knows that the batch may be handed over
	view         *wire.TrainerView
	acknowledged uint64            // cursor, as far as this coordinator knows
	known        map[string]uint32 // editions of the samples that the ledger holds, as far as this coordinator knows
	closed       uint64            // newest step that is delivered
	handed       uint64            // newest step that was handed over wholly
	scheduled    uint64            // newest step that the scheduler was given

	sealedBound uint64 // only under BoundFromSeal
}

func (f *fleet) newCoordinator(number int, zone string) *coordinator {
	c := &coordinator{process: f.world.newProcess(fmt.Sprintf("coordinator-%d", number), zone), fleet: f}
	c.died = func() { f.restartLater(c.process) }
	f.coordinators = append(f.coordinators, c)
	return c
}

func (c *coordinator) launch() {
	if c.up {
		return
	}
	c.start()
	c.client = c.fleet.newClient(c.process)
	c.owned, c.running, c.wave = map[string]*ownedTrainer{}, map[rollout.SampleID]*sampleRun{}, nil
	c.draining, c.leaving, c.fetches = false, false, 0
	c.reports = map[string]versionReport{}
	c.partials = map[string]*sampleRun{}
	c.scheduler = rollout.New(rollout.Config{Policy: rollout.Asynchronous{}})
	c.session = c.client.openSession(func(*table.View) {})
	c.schedule()
}

func (c *coordinator) owner() string {
	return wire.OwnerName(&wire.Member{Name: c.name, Incarnation: c.epoch})
}

// bound is the staleness bound in the table that is in force now; false without a lease.
func (c *coordinator) bound() (uint64, bool) {
	_, ok := c.session.admit()
	row := c.session.view.Pool(modelPool)
	if !ok || row == nil {
		return 0, false
	}
	c.world.truth.dispatched(c.process, "the bound", c.session.view.Version())
	return uint64(row.StalenessBound), true
}

// acquire makes this coordinator the owner of a resource.
func (c *coordinator) acquire(resource string, done func(token uint64)) {
	c.requests++
	command := &wire.Command{Kind: &wire.Command_FenceAcquire{FenceAcquire: &wire.FenceAcquire{Resource: resource,
		Owner: c.owner(), RequestId: fmt.Sprintf("%s/%d", c.owner(), c.requests)}}}
	c.client.execute(&wire.ExecuteRequest{Group: state.ControlGroup, Command: command}, storeTimeout, func(reply *wire.ExecuteReply) {
		done(reply.GetResult().GetFence().GetToken())
	})
}

// execute sends a command to a trainer's ledger group; nil when its fate is unknown.
func (c *coordinator) execute(t *ownedTrainer, command *wire.Command, done func(*wire.SampleResult)) {
	c.client.execute(&wire.ExecuteRequest{Group: t.group, Command: command}, storeTimeout, func(reply *wire.ExecuteReply) {
		done(reply.GetResult().GetSample())
	})
}

// adopt takes a trainer over unless it is owned: fence, a command that shows it to the ledger, then a read.
func (c *coordinator) adopt(name string, done func(*ownedTrainer)) {
	if known := c.owned[name]; known != nil || c.draining {
		done(known)
		return
	}
	t := &ownedTrainer{name: name, group: state.LedgerGroup(name, ledgerGroups)}
	c.acquire("trainer/"+name, func(token uint64) {
		if token == 0 || c.owned[name] != nil {
			done(c.owned[name])
			return
		}
		t.fence = token
		nothing := ledger.SlotID{Trainer: name, Prompt: "-"}
		raise := &wire.Command{Kind: &wire.Command_BatchDiscard{BatchDiscard: &wire.BatchDiscard{Trainer: name,
			SampleIds: []string{nothing.String()}, Editions: []uint32{0}, Fence: token}}}
		if c.world.mutated(TakeOverWithoutFence) {
			raise = &wire.Command{Kind: &wire.Command_BatchAcknowledge{BatchAcknowledge: &wire.BatchAcknowledge{Trainer: name}}}
		}
		c.execute(t, raise, func(result *wire.SampleResult) {
			if result == nil {
				done(nil)
				return
			}
			c.reread(t, func(ok bool) {
				if !ok || c.owned[name] != nil {
					done(c.owned[name])
					return
				}
				c.tracef("takes over %s under token %d", name, token)
				c.owned[name] = t
				t.known, t.acknowledged = storedEditions(t.view), t.view.GetAcknowledgedCursor()
				c.reschedule(t)
				done(t)
			})
		})
	})
}

// reread brings the view of a trainer up to date with the ledger.
func (c *coordinator) reread(t *ownedTrainer, done func(bool)) {
	known, acknowledged := maps.Clone(t.known), t.acknowledged
	query := &wire.Query{Kind: &wire.Query_Trainer{Trainer: &wire.TrainerQuery{Trainer: t.name, WithSamples: true}}}
	c.client.execute(&wire.ExecuteRequest{Group: t.group, Query: query}, storeTimeout, func(reply *wire.ExecuteReply) {
		if view := reply.GetView().GetTrainer(); view != nil {
			t.view = view
			if c.owned[t.name] == t && t.acknowledged == acknowledged && !t.fits(view, known) {
				c.depose(t, "another coordinator has changed its ledger")
				done(false)
				return
			}
			c.closeDelivered(t)
			done(true)
			return
		}
		done(false)
	})
}

func storedEditions(view *wire.TrainerView) map[string]uint32 {
	editions := map[string]uint32{}
	for _, step := range view.GetSteps() {
		for _, sample := range step.GetStored() {
			editions[sample.GetId()] = sample.GetEdition()
		}
	}
	return editions
}

// fits tells whether the ledger has only moved by this coordinator's commands. The production keeps a mirror
// of the ledger that contradicts the trainer's next cursor or the ledger's next answer; this view is always new.
func (t *ownedTrainer) fits(view *wire.TrainerView, known map[string]uint32) bool {
	if view.GetAcknowledgedCursor() != t.acknowledged {
		return false
	}
	stored := storedEditions(view)
	delivered, lowest := map[string]bool{}, uint64(0)
	for position, step := range view.GetSteps() {
		if position == 0 {
			lowest = step.GetOpen().GetStep()
		}
		for _, id := range step.GetDeliveredIds() {
			delivered[id] = true
		}
	}
	for id, edition := range known {
		if t.known[id] != edition {
			continue // discarded meanwhile
		}
		if held, ok := stored[id]; ok && held == edition || delivered[id] || lowest == 0 || mustSample(id).Step < lowest {
			continue
		}
		return false
	}
	return true
}

// closeDelivered takes steps from the scheduler that the trainer has, whoever handed them over.
func (c *coordinator) closeDelivered(t *ownedTrainer) {
	lowest := t.scheduled + 1
	if steps := t.view.GetSteps(); len(steps) > 0 {
		lowest = steps[0].GetOpen().GetStep()
	}
	for t.closed+1 < lowest {
		t.closed++
		c.scheduler.Closed(t.name, t.closed)
	}
}

// depose gives a trainer up: the ledger no longer takes this coordinator's commands, or its view is old.
func (c *coordinator) depose(t *ownedTrainer, why string) {
	if c.owned[t.name] != t {
		return
	}
	c.tracef("gives up %s: %s", t.name, why)
	delete(c.owned, t.name)
	for _, run := range c.runsOf(t) {
		c.dropRun(run)
	}
	c.scheduler.Forget(t.name)
}

// open registers a step.
func (c *coordinator) open(open *wire.StepOpen, done func(bool)) {
	// A step can be opened before anybody owns the trainer: the ledger makes the trainer with its first one.
	t := &ownedTrainer{name: open.Trainer, group: state.LedgerGroup(open.Trainer, ledgerGroups)}
	c.execute(t, &wire.Command{Kind: &wire.Command_StepOpen{StepOpen: open}}, func(result *wire.SampleResult) {
		if !result.GetAccepted() {
			done(false)
			return
		}
		c.adopt(open.Trainer, func(owned *ownedTrainer) {
			if owned == nil {
				done(false)
				return
			}
			c.reread(owned, func(ok bool) {
				if ok && c.owned[open.Trainer] == owned {
					c.reschedule(owned)
				}
				done(ok)
			})
		})
	})
}

// reschedule tells the scheduler what the ledger knows of a trainer.
func (c *coordinator) reschedule(t *ownedTrainer) {
	for _, step := range t.view.GetSteps() {
		if step.GetOpen().GetStep() <= t.handed {
			continue
		}
		t.scheduled = max(t.scheduled, step.GetOpen().GetStep())
		planned := rollout.Step{Trainer: t.name, Number: step.GetOpen().GetStep(), SamplesPerPrompt: int(step.GetOpen().GetSamplesPerPrompt())}
		for _, prompt := range step.GetOpen().GetPrompts() {
			planned.Prompts = append(planned.Prompts, rollout.Prompt{ID: prompt.GetId(), MaxTokens: int(prompt.GetMaxTokens())})
		}
		if err := c.scheduler.OpenStep(c.clock(), planned); err != nil {
			c.world.truth.broken("%s cannot open a step: %v", c.name, err)
			return
		}
		for _, sample := range step.GetStored() {
			tokens, oldest := sampleTokens(sample)
			c.scheduler.Finished(c.clock(), mustSample(sample.GetId()), tokens, oldest)
		}
		for _, id := range step.GetDeliveredIds() {
			c.scheduler.Finished(c.clock(), mustSample(id), 1, ^uint64(0))
		}
	}
}

func mustSample(id string) rollout.SampleID {
	parsed, err := rollout.ParseSampleID(id)
	if err != nil {
		panic(err)
	}
	return parsed
}

func sampleTokens(sample *wire.Sample) (tokens int, oldest uint64) {
	for position, segment := range sample.GetSegments() {
		tokens += int(segment.GetTokenCount())
		if position == 0 || segment.GetVersionNumber() < oldest {
			oldest = segment.GetVersionNumber()
		}
	}
	return tokens, oldest
}
