package sim

import (
	"fmt"
	"time"

	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	trainTime        = 2 * time.Second
	fetchTimeout     = 3 * time.Second
	fetchWait        = 1500 * time.Millisecond
	fetchRetry       = 100 * time.Millisecond
	promptsPerStep   = 4
	samplesPerPrompt = 2
	batchSamples     = 3
	stepsAhead       = 2
)

// fetchRequest asks for the batch at a cursor, one above what was acknowledged.
type fetchRequest struct {
	cursor  uint64
	version uint64 // that the trainer has
	fetch   uint64 // number of the call
}

// fetchReply hands a batch over; one without samples says to ask again.
type fetchReply struct {
	ok       bool // false: ask another coordinator
	cursor   uint64
	step     uint64
	complete bool
	bound    uint64
	samples  []*wire.Sample
}

// trainer takes the samples of one step after another and makes a new weight version from each. What it has
// received and at which cursor survives its restarts, as a trainer's checkpoint does.
type trainer struct {
	*process
	fleet       *fleet
	coordinator int    // asked at present
	attempt     uint64 // only an answer to the newest call counts
	version     uint64
	step        uint64
	opened      uint64
	cursor      uint64 // received
}

func (f *fleet) newTrainer(number int, zone string) *trainer {
	t := &trainer{process: f.world.newProcess(fmt.Sprintf("trainer-%d", number), zone), fleet: f, version: 1, step: 1}
	t.died = func() { f.restartLater(t.process) }
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

// call sends something to the coordinator of the moment and to the next one when no answer comes.
func (t *trainer) call(what string, send func(c *coordinator, answer func(func())), again func()) {
	t.attempt++
	attempt := t.attempt
	c := t.fleet.coordinators[t.coordinator%len(t.fleet.coordinators)]
	t.tracef("%s at %s, cursor %d", what, c.name, t.cursor+1)
	network := t.world.network
	t.after(fetchTimeout, func() {
		if t.attempt == attempt {
			t.coordinator++
			again()
		}
	})
	asking := t.thisRun()
	network.once(t.process, c.process, func() {
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

// openSteps opens the steps up to some way ahead, then fetches.
func (t *trainer) openSteps() {
	if t.opened >= t.step+stepsAhead-1 {
		t.announce()
		return
	}
	open := &wire.StepOpen{Trainer: t.name, Step: t.opened + 1, SamplesPerPrompt: samplesPerPrompt, Pool: modelPool,
		Prompts: stepPrompts(t.opened + 1)}
	t.call("opens a step", func(c *coordinator, answer func(func())) {
		c.open(open, func(ok bool) {
			answer(func() {
				if ok {
					t.opened = max(t.opened, open.Step)
					t.openSteps()
					return
				}
				t.coordinator++
				t.after(fetchRetry, t.openSteps)
			})
		})
	}, t.openSteps)
}

// announce tells of the newest version, then fetches.
func (t *trainer) announce() {
	version := t.version
	t.call("announces its version", func(c *coordinator, answer func(func())) {
		c.release(version, func(ok bool) {
			answer(func() {
				if ok {
					t.fetch()
					return
				}
				t.coordinator++
				t.after(fetchRetry, t.announce)
			})
		})
	}, t.announce)
}

func (t *trainer) fetch() {
	request := fetchRequest{cursor: t.cursor + 1, version: t.version, fetch: t.attempt + 1}
	t.call("fetches", func(c *coordinator, answer func(func())) {
		c.fetch(t.name, request, func(reply fetchReply) {
			answer(func() { t.take(reply) })
		})
	}, t.fetch)
}

func (t *trainer) take(reply fetchReply) {
	switch {
	case !reply.ok:
		t.coordinator++
		t.after(fetchRetry, t.fetch)
		return
	case len(reply.samples) == 0:
		t.announce() // the wave's owner may have died
		return
	}
	t.tracef("receives %d samples of step %d at cursor %d, step complete: %v", len(reply.samples), reply.step, reply.cursor, reply.complete)
	t.world.truth.received(t, &reply)
	t.cursor = reply.cursor
	if !reply.complete {
		t.fetch()
		return
	}
	t.step = reply.step + 1
	t.version++
	t.after(t.world.between(trainTime/2, 2*trainTime), t.openSteps)
}

func stepPrompts(step uint64) []*wire.Prompt {
	prompts := make([]*wire.Prompt, 0, promptsPerStep)
	for i := range promptsPerStep {
		prompts = append(prompts, &wire.Prompt{Id: fmt.Sprintf("p%d", i), Text: fmt.Sprintf("question %d of step %d", i, step), MaxTokens: 2 * longestSample})
	}
	return prompts
}
