package sim

import (
	"fmt"
	"time"

	"github.com/tamarindring/tamarindring/internal/dispatch"
	"github.com/tamarindring/tamarindring/internal/invariant"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

// call is one request of a caller, which may be sent several times.
type call struct {
	id         string
	key        string // idempotency key; empty for none
	body       string
	repeatable bool
	begun      time.Duration
}

// name identifies the call in the ground truth: the key, or the id for a call without a key.
func (c *call) name() string {
	if c.key != "" {
		return c.key
	}
	return c.id
}

// answer returns the correct answer of a back end to the call.
func (c *call) answer() string { return "done " + c.id + " " + c.body }

const (
	meanCallInterval      = 250 * time.Millisecond // between the calls of one caller
	callTimeout           = 4 * time.Second
	callGracePeriod       = 300 * time.Millisecond // how much longer a caller waits than the gateway's timeout
	maxAttempts           = 4
	maxLateRepeatDelay    = 40 * time.Second // late repeats of a key are sent within this time
	hedgeProbability      = 0.08
	lateRepeatProbability = 0.1
	repeatableProbability = 0.15
	keylessProbability    = 0.15
)

// caller sends calls. When an answer is lost it sends the same key again through another gateway.
type caller struct {
	*process
	fleet    *fleet
	lastCall int
}

func (f *fleet) newCaller(number int, zone string) *caller {
	c := &caller{process: f.world.newProcess(fmt.Sprintf("caller-%d", number), zone), fleet: f}
	f.callers = append(f.callers, c)
	return c
}

func (c *caller) launch() {
	c.start()
	c.scheduleCall()
}

func (c *caller) scheduleCall() {
	c.after(c.world.exponentialDuration(meanCallInterval), func() {
		if c.world.now < c.fleet.loadEnd {
			c.begin(c.newCall())
			c.scheduleCall()
		}
	})
}

func (c *caller) newCall() *call {
	c.lastCall++
	made := &call{id: fmt.Sprintf("%s/%d", c.name, c.lastCall), body: fmt.Sprintf("body-%d", c.world.random.Intn(1000)), begun: c.world.now}
	switch draw := c.world.random.Float64(); {
	case draw < repeatableProbability:
		made.repeatable = true
	case draw < repeatableProbability+keylessProbability:
	default:
		made.key = "push/" + made.id
	}
	return made
}

// begin sends a call for the first time. By chance it is also hedged through a second gateway or repeated much later.
func (c *caller) begin(made *call) {
	c.attempt(made, 1)
	if made.key == "" {
		return
	}
	if !c.fleet.plannedOnly && c.world.randomBool(hedgeProbability) {
		c.after(c.world.randomDuration(0, 30*time.Millisecond), func() { c.attempt(made, maxAttempts) })
	}
	if c.world.randomBool(lateRepeatProbability) {
		c.after(c.world.randomDuration(time.Second, maxLateRepeatDelay), func() { c.attempt(made, maxAttempts) })
	}
}

// attempt sends a call to a random gateway and acts on the answer.
func (c *caller) attempt(made *call, number int) {
	g := c.fleet.gateways[c.world.random.Intn(len(c.fleet.gateways))]
	network := c.world.network
	finished := false
	if !g.isListening() && !network.isCut(c.process, g.process) {
		c.after(refusedDialDelay, func() { c.retry(made, number, true) })
		return
	}
	c.after(callTimeout+callGracePeriod, func() {
		if !finished {
			finished = true
			c.retry(made, number, false)
		}
	})
	asking := c.currentRun()
	network.sendOnce(c.process, g.process, func() {
		g.serve(made, callTimeout, func(outcome dispatch.Outcome) {
			network.reply(g.process, asking, func() {
				if !finished {
					finished = true
					c.handleAnswer(made, number, &outcome)
				}
			})
		})
	})
}

// retry sends a call without an answer again if that is safe. unsent tells that the call certainly did not run.
func (c *caller) retry(made *call, number int, unsent bool) {
	if number >= maxAttempts || made.key == "" && !made.repeatable && !unsent {
		return
	}
	c.after(c.world.randomDuration(time.Millisecond, 200*time.Millisecond), func() { c.attempt(made, number+1) })
}

func (c *caller) handleAnswer(made *call, number int, outcome *dispatch.Outcome) {
	switch outcome.Verdict {
	case verdict.Ran:
		if outcome.Answer != nil {
			body := string(outcome.Answer.Body)
			c.world.truth.examine(invariant.WholeAnswer, body == made.answer(), "call %s got %q, want %q", made.id, body, made.answer())
			c.world.truth.completed++
		}
	case verdict.DidNotRun:
		c.world.truth.refused++
		if c.world.randomBool(0.5) {
			c.retry(made, number, true)
		}
	default:
		c.world.truth.unknown++
		if made.key != "" {
			c.retry(made, number, false)
		}
	}
}
