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
	ledgerTimeout         = 2 * time.Second
	scheduleInterval      = 100 * time.Millisecond
	rolloutSlots          = 8
	initialStalenessBound = 2 // in weight versions
)

// coordinator schedules and delivers samples. It follows package coordinator: it acquires the fencing token of a
// trainer before it reads the trainer's ledger, stores samples before they count, seals batches before it hands them
// over, and checks the staleness bound last, under its lease. Where production keeps a mirror of the ledger, it reads
// the ledger again.
type coordinator struct {
	*process
	fleet          *fleet
	client         *client
	session        *holderSession
	ownedTrainers  map[string]*ownedTrainer
	scheduler      *rollout.Scheduler
	runs           map[rollout.SampleID]*sampleRun
	partialRuns    map[string]*sampleRun    // interrupted samples with their tokens, by sample id
	versionReports map[string]versionReport // by engine name
	wave           *waveOwner
	fenceRequests  uint64
	draining       bool // starts no sample and takes over no trainer
	leaving        bool // answers fetches without samples
	activeFetches  int  // fetches in progress
}

// ownedTrainer is a trainer that this coordinator has taken over.
type ownedTrainer struct {
	name           string
	group          uint32
	fence          uint64
	newestFetch    uint64       // number of the newest fetch, which supersedes older ones
	sealedFetch    fetchRequest // the fetch for which the batch at its cursor was sealed
	view           *wire.TrainerView
	acknowledged   uint64            // acknowledged cursor, from this coordinator's commands alone
	ledgerEditions map[string]uint32 // editions of the samples in the ledger, from this coordinator's commands alone
	closedStep     uint64            // newest step that is fully delivered
	handedOverStep uint64            // newest step whose samples have all been handed over
	scheduledStep  uint64            // newest step that was passed to the scheduler

	sealedBound uint64 // staleness bound at sealing time; only used by the mutation BoundFromSeal
}

func (f *fleet) newCoordinator(number int, zone string) *coordinator {
	c := &coordinator{process: f.world.newProcess(fmt.Sprintf("coordinator-%d", number), zone), fleet: f}
	c.onDeath = func() { f.restartLater(c.process) }
	f.coordinators = append(f.coordinators, c)
	return c
}

func (c *coordinator) launch() {
	if c.up {
		return
	}
	c.start()
	c.client = c.fleet.newClient(c.process)
	c.ownedTrainers, c.runs, c.wave = map[string]*ownedTrainer{}, map[rollout.SampleID]*sampleRun{}, nil
	c.draining, c.leaving, c.activeFetches = false, false, 0
	c.versionReports = map[string]versionReport{}
	c.partialRuns = map[string]*sampleRun{}
	c.scheduler = rollout.New(rollout.Config{Policy: rollout.Asynchronous{}})
	c.session = c.client.openSession(func(*table.View) {})
	c.schedule()
}

func (c *coordinator) owner() string {
	return wire.OwnerName(&wire.Member{Name: c.name, Incarnation: c.epoch})
}

// currentBound returns the staleness bound of the table that this process acts on; false without a valid lease.
func (c *coordinator) currentBound() (uint64, bool) {
	_, ok := c.session.admit()
	row := c.session.view.Pool(modelPool)
	if !ok || row == nil {
		return 0, false
	}
	c.world.truth.checkDispatch(c.process, "the bound", c.session.view.Version())
	return uint64(row.StalenessBound), true
}

// acquireFence makes this coordinator the owner of a resource. done gets the fencing token, or 0 when the outcome is
// unknown.
func (c *coordinator) acquireFence(resource string, done func(token uint64)) {
	c.fenceRequests++
	command := &wire.Command{Kind: &wire.Command_FenceAcquire{FenceAcquire: &wire.FenceAcquire{Resource: resource,
		Owner: c.owner(), RequestId: fmt.Sprintf("%s/%d", c.owner(), c.fenceRequests)}}}
	c.client.execute(&wire.ExecuteRequest{Group: state.ControlGroup, Command: command}, ledgerTimeout, func(reply *wire.ExecuteReply) {
		done(reply.GetResult().GetFence().GetToken())
	})
}

// execute sends a command to a trainer's ledger group; done gets nil when the outcome is unknown.
func (c *coordinator) execute(t *ownedTrainer, command *wire.Command, done func(*wire.SampleResult)) {
	c.client.execute(&wire.ExecuteRequest{Group: t.group, Command: command}, ledgerTimeout, func(reply *wire.ExecuteReply) {
		done(reply.GetResult().GetSample())
	})
}

// takeOver takes over a trainer unless it is already owned: it acquires a fencing token, shows it to the ledger with
// a command and then reads the ledger. done gets nil when that fails.
func (c *coordinator) takeOver(name string, done func(*ownedTrainer)) {
	if known := c.ownedTrainers[name]; known != nil || c.draining {
		done(known)
		return
	}
	t := &ownedTrainer{name: name, group: state.LedgerGroup(name, ledgerGroups)}
	c.acquireFence("trainer/"+name, func(token uint64) {
		if token == 0 || c.ownedTrainers[name] != nil {
			done(c.ownedTrainers[name])
			return
		}
		t.fence = token
		nothing := ledger.SlotID{Trainer: name, Prompt: "-"}
		showFence := &wire.Command{Kind: &wire.Command_BatchDiscard{BatchDiscard: &wire.BatchDiscard{Trainer: name,
			SampleIds: []string{nothing.String()}, Editions: []uint32{0}, Fence: token}}}
		if c.world.hasMutation(TakeOverWithoutFence) {
			showFence = &wire.Command{Kind: &wire.Command_BatchAcknowledge{BatchAcknowledge: &wire.BatchAcknowledge{Trainer: name}}}
		}
		c.execute(t, showFence, func(result *wire.SampleResult) {
			if result == nil {
				done(nil)
				return
			}
			c.refreshView(t, func(ok bool) {
				if !ok || c.ownedTrainers[name] != nil {
					done(c.ownedTrainers[name])
					return
				}
				c.tracef("takes over %s under token %d", name, token)
				c.ownedTrainers[name] = t
				t.ledgerEditions, t.acknowledged = storedEditions(t.view), t.view.GetAcknowledgedCursor()
				c.reschedule(t)
				done(t)
			})
		})
	})
}

// refreshView reads a trainer's ledger again. It releases the trainer when the ledger shows changes by another
// coordinator; done gets false then or when the read fails.
func (c *coordinator) refreshView(t *ownedTrainer, done func(bool)) {
	known, acknowledged := maps.Clone(t.ledgerEditions), t.acknowledged
	query := &wire.Query{Kind: &wire.Query_Trainer{Trainer: &wire.TrainerQuery{Trainer: t.name, WithSamples: true}}}
	c.client.execute(&wire.ExecuteRequest{Group: t.group, Query: query}, ledgerTimeout, func(reply *wire.ExecuteReply) {
		if view := reply.GetView().GetTrainer(); view != nil {
			t.view = view
			if c.ownedTrainers[t.name] == t && t.acknowledged == acknowledged && !t.matchesLedger(view, known) {
				c.releaseTrainer(t, "another coordinator has changed its ledger")
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

// matchesLedger reports whether the ledger was changed by this coordinator's commands only. Production keeps a mirror
// of the ledger, which would contradict the trainer's next cursor or the ledger's next answer; here the view is
// always fresh.
func (t *ownedTrainer) matchesLedger(view *wire.TrainerView, known map[string]uint32) bool {
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
		if t.ledgerEditions[id] != edition {
			continue // discarded since the query was sent
		}
		if held, ok := stored[id]; ok && held == edition || delivered[id] || lowest == 0 || mustParseSampleID(id).Step < lowest {
			continue
		}
		return false
	}
	return true
}

// closeDelivered removes steps that the trainer has received from the scheduler, whichever coordinator handed them
// over.
func (c *coordinator) closeDelivered(t *ownedTrainer) {
	lowest := t.scheduledStep + 1
	if steps := t.view.GetSteps(); len(steps) > 0 {
		lowest = steps[0].GetOpen().GetStep()
	}
	for t.closedStep+1 < lowest {
		t.closedStep++
		c.scheduler.StepClosed(t.name, t.closedStep)
	}
}

// releaseTrainer gives up a trainer because the ledger rejects this coordinator's commands, its view is outdated, or
// it drains.
func (c *coordinator) releaseTrainer(t *ownedTrainer, reason string) {
	if c.ownedTrainers[t.name] != t {
		return
	}
	c.tracef("releases trainer %s: %s", t.name, reason)
	delete(c.ownedTrainers, t.name)
	for _, run := range c.runsOf(t) {
		c.dropRun(run)
	}
	c.scheduler.Forget(t.name)
}

// openStep registers a step in the trainer's ledger and schedules it.
func (c *coordinator) openStep(open *wire.StepOpen, done func(bool)) {
	// A step can be opened before any coordinator owns the trainer, because the ledger creates the trainer with its
	// first step.
	t := &ownedTrainer{name: open.Trainer, group: state.LedgerGroup(open.Trainer, ledgerGroups)}
	c.execute(t, &wire.Command{Kind: &wire.Command_StepOpen{StepOpen: open}}, func(result *wire.SampleResult) {
		if !result.GetAccepted() {
			done(false)
			return
		}
		c.takeOver(open.Trainer, func(owned *ownedTrainer) {
			if owned == nil {
				done(false)
				return
			}
			c.refreshView(owned, func(ok bool) {
				if ok && c.ownedTrainers[open.Trainer] == owned {
					c.reschedule(owned)
				}
				done(ok)
			})
		})
	})
}

// reschedule passes the steps and samples in the ledger of a trainer to the scheduler.
func (c *coordinator) reschedule(t *ownedTrainer) {
	for _, step := range t.view.GetSteps() {
		if step.GetOpen().GetStep() <= t.handedOverStep {
			continue
		}
		t.scheduledStep = max(t.scheduledStep, step.GetOpen().GetStep())
		planned := rollout.Step{Trainer: t.name, Number: step.GetOpen().GetStep(), SamplesPerPrompt: int(step.GetOpen().GetSamplesPerPrompt())}
		for _, prompt := range step.GetOpen().GetPrompts() {
			planned.Prompts = append(planned.Prompts, rollout.Prompt{ID: prompt.GetId(), MaxTokens: int(prompt.GetMaxTokens())})
		}
		if err := c.scheduler.OpenStep(c.clock(), planned); err != nil {
			c.world.truth.reportFailure("%s cannot open a step: %v", c.name, err)
			return
		}
		for _, sample := range step.GetStored() {
			tokens, oldest := summarizeSegments(sample)
			c.scheduler.Finished(c.clock(), mustParseSampleID(sample.GetId()), tokens, oldest)
		}
		for _, id := range step.GetDeliveredIds() {
			c.scheduler.Finished(c.clock(), mustParseSampleID(id), 1, ^uint64(0))
		}
	}
}

func mustParseSampleID(id string) rollout.SampleID {
	parsed, err := rollout.ParseSampleID(id)
	if err != nil {
		panic(err)
	}
	return parsed
}

func summarizeSegments(sample *wire.Sample) (tokens int, oldest uint64) {
	for position, segment := range sample.GetSegments() {
		tokens += int(segment.GetTokenCount())
		if position == 0 || segment.GetVersionNumber() < oldest {
			oldest = segment.GetVersionNumber()
		}
	}
	return tokens, oldest
}
