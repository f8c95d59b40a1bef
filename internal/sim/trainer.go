package sim

import (
	"fmt"
	"time"

	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	trainTime          = 2 * time.Second
	fetchTimeout       = 3 * time.Second
	fetchWaitLimit     = 1500 * time.Millisecond
	fetchRetryInterval = 100 * time.Millisecond
	promptsPerStep     = 4
	samplesPerPrompt   = 2
	batchSamples       = 3
	stepsAhead         = 2
)

// fetchRequest asks for the batch at a cursor, which is one above the last batch received.
type fetchRequest struct {
	cursor  uint64
	version uint64 // the trainer's weight version
	number  uint64 // number of this call to a coordinator
}

// fetchReply carries a batch; one that is ok but without samples tells the trainer to ask again.
type fetchReply struct {
	ok       bool // false tells the trainer to ask another coordinator
	cursor   uint64
	step     uint64
	complete bool   // the step is complete with this batch
	bound    uint64 // staleness bound under which the batch is handed over
	samples  []*wire.Sample
}

// trainer consumes the samples of one step after another and makes a new weight version from each step. The batches
// received and their cursor survive its restarts, as in a trainer's checkpoint.
type trainer struct {
	*process
	fleet       *fleet
	coordinator int    // index of the coordinator that it asks
	attempt     uint64 // only the answer to the newest call is accepted
	version     uint64
	step        uint64
	openedStep  uint64
	cursor      uint64 // cursor of the last batch received
}

func (f *fleet) newTrainer(number int, zone string) *trainer {
	t := &trainer{process: f.world.newProcess(fmt.Sprintf("trainer-%d", number), zone), fleet: f, version: 1, step: 1}
	t.onDeath = func() { f.restartLater(t.process) }
	f.trainers = append(f.trainers, t)
	return t
}

func (t *trainer) launch() {
	if t.up {
		return
	}
	t.start()
	t.attempt++
	t.openSteps()
}

// callCoordinator sends a request to the current coordinator. When no answer arrives it switches to the next
// coordinator and calls retry.
func (t *trainer) callCoordinator(action string, send func(c *coordinator, answer func(func())), retry func()) {
	t.attempt++
	attempt := t.attempt
	c := t.fleet.coordinators[t.coordinator%len(t.fleet.coordinators)]
	t.tracef("%s at %s, cursor %d", action, c.name, t.cursor+1)
	network := t.world.network
	t.after(fetchTimeout, func() {
		if t.attempt == attempt {
			t.coordinator++
			retry()
		}
	})
	asking := t.currentRun()
	network.sendOnce(t.process, c.process, func() {
		send(c, func(take func()) {
			network.reply(c.process, asking, func() {
				if t.attempt == attempt {
					t.attempt++
					take()
				}
			})
		})
	})
}

// openSteps opens the steps up to stepsAhead, counting the current one, then announces the weight version.
func (t *trainer) openSteps() {
	if t.openedStep >= t.step+stepsAhead-1 {
		t.announceVersion()
		return
	}
	open := &wire.StepOpen{Trainer: t.name, Step: t.openedStep + 1, SamplesPerPrompt: samplesPerPrompt, Pool: modelPool,
		Prompts: stepPrompts(t.openedStep + 1)}
	t.callCoordinator("opens a step", func(c *coordinator, answer func(func())) {
		c.openStep(open, func(ok bool) {
			answer(func() {
				if ok {
					t.openedStep = max(t.openedStep, open.Step)
					t.openSteps()
					return
				}
				t.coordinator++
				t.after(fetchRetryInterval, t.openSteps)
			})
		})
	}, t.openSteps)
}

// announceVersion tells a coordinator the newest weight version, then fetches.
func (t *trainer) announceVersion() {
	version := t.version
	t.callCoordinator("announces its version", func(c *coordinator, answer func(func())) {
		c.releaseVersion(version, func(ok bool) {
			answer(func() {
				if ok {
					t.fetch()
					return
				}
				t.coordinator++
				t.after(fetchRetryInterval, t.announceVersion)
			})
		})
	}, t.announceVersion)
}

func (t *trainer) fetch() {
	request := fetchRequest{cursor: t.cursor + 1, version: t.version, number: t.attempt + 1}
	t.callCoordinator("fetches", func(c *coordinator, answer func(func())) {
		c.fetch(t.name, request, func(reply fetchReply) {
			answer(func() { t.handleReply(reply) })
		})
	}, t.fetch)
}

func (t *trainer) handleReply(reply fetchReply) {
	switch {
	case !reply.ok:
		t.coordinator++
		t.after(fetchRetryInterval, t.fetch)
		return
	case len(reply.samples) == 0:
		t.announceVersion() // the owner of the weight wave may have died
		return
	}
	t.tracef("receives %d samples of step %d at cursor %d, step complete: %v", len(reply.samples), reply.step, reply.cursor, reply.complete)
	t.world.truth.recordBatch(t, &reply)
	t.cursor = reply.cursor
	if !reply.complete {
		t.fetch()
		return
	}
	t.step = reply.step + 1
	t.version++
	t.after(t.world.randomDuration(trainTime/2, 2*trainTime), t.openSteps)
}

func stepPrompts(step uint64) []*wire.Prompt {
	prompts := make([]*wire.Prompt, 0, promptsPerStep)
	for i := range promptsPerStep {
		prompts = append(prompts, &wire.Prompt{Id: fmt.Sprintf("p%d", i), Text: fmt.Sprintf("question %d of step %d", i, step), MaxTokens: 2 * maxSampleTokens})
	}
	return prompts
}
