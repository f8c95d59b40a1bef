package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
	"pgregory.net/rapid"
)

// modelLedger is a reference model of the ledger for one key, as wire.proto specifies it.
type modelLedger struct {
	index     uint64
	refusedAt uint64
	state     wire.ClaimState
	attempt   string
	answer    *wire.Answer
	ended     map[string]bool
}

func (l *modelLedger) result(state wire.ClaimState) *wire.ClaimResult {
	return &wire.ClaimResult{State: state, Answer: l.answer, Index: l.index}
}

func (l *modelLedger) apply(action ClaimAction, request *Request) *wire.ClaimResult {
	l.index++
	switch action.Kind {
	case ClaimBegin:
		if l.ended[action.Attempt] || request.Ticket < l.refusedAt {
			return l.result(wire.ClaimState_CLAIM_STATE_STALE_ATTEMPT)
		}
		if l.state != 0 && !(l.state == wire.ClaimState_CLAIM_STATE_RUNNING && l.attempt == action.Attempt) {
			return l.result(l.state)
		}
		l.state, l.attempt = wire.ClaimState_CLAIM_STATE_RUNNING, action.Attempt
		return l.result(wire.ClaimState_CLAIM_STATE_GRANTED)
	case ClaimFinish:
		if l.state == wire.ClaimState_CLAIM_STATE_RUNNING && l.attempt == action.Attempt {
			l.state, l.answer = action.Outcome, action.Answer
		}
	case ClaimRelease:
		l.ended[action.Attempt] = true
		if l.state == wire.ClaimState_CLAIM_STATE_RUNNING && l.attempt == action.Attempt {
			l.state = 0
		}
	case ClaimRefuse:
		if action.Attempt != "" {
			l.ended[action.Attempt] = true
			if l.state == wire.ClaimState_CLAIM_STATE_RUNNING && l.attempt == action.Attempt {
				l.state = 0
			}
		}
		if l.state == 0 {
			l.refusedAt = l.index
		}
	}
	return l.result(l.state)
}

// modelCall is one arrival of the key at some gateway.
type modelCall struct {
	machine *Machine
	arrived int // step of the arrival
	inbox   []Event
	reply   *Outcome
	// refusedAt is the step at which a refusal was last applied. Without a refusal it is the step of the reply.
	refusedAt int
}

// world simulates several arrivals of one non-repeatable key with one ledger and adversarial back ends.
type world struct {
	t       *rapid.T
	ledger  modelLedger
	calls   []*modelCall
	delayed []func() // ledger commands still in transit whose sender no longer waits for the result
	runs    []int    // index in calls for each execution
	runAt   []int    // step of each execution
	step    int
	sends   int
}

func (w *world) draw(label string, n int) int { return rapid.IntRange(0, n-1).Draw(w.t, label) }

func (w *world) arrive(unsafe Unsafe) {
	settings := Settings{Random: func() float64 { return 0.5 }, Budget: NewRetryBudget(0, 5), Unsafe: unsafe}.WithDefaults()
	ticket := w.ledger.index - min(w.ledger.index, uint64(w.draw("ticket lag", 3)))
	request := Request{Key: "k", Attempt: fmt.Sprintf("a%d", len(w.calls)), Ticket: ticket,
		Replayable: true, Deadline: time.Hour}
	call := &modelCall{machine: New(request, &settings), arrived: w.step}
	w.calls = append(w.calls, call)
	call.inbox = append(call.inbox, Event{Kind: Arrived})
}

func (w *world) perform(index int, action Action) {
	call := w.calls[index]
	put := func(event Event) { call.inbox = append(call.inbox, event) }
	switch action.Kind {
	case Admit:
		if w.draw("admission", 5) == 0 {
			put(Event{Kind: Refused, Status: 503, Code: "queue_full"})
			return
		}
		put(Event{Kind: Admitted})
	case Choose:
		if w.draw("choice", 8) == 0 {
			put(Event{Kind: NoBackend})
			return
		}
		put(Event{Kind: BackendChosen, Backend: fmt.Sprintf("b%d", w.draw("backend", 3))})
	case Wait:
		put(Event{Kind: TimerFired})
	case Claim:
		w.performClaim(call, action.Claim)
	case Send, Replay:
		w.performSend(index, action)
	case Reply:
		if call.reply != nil {
			w.t.Fatalf("got a second reply: %+v, then %+v", call.reply, action.Outcome)
		}
		outcome := action.Outcome
		call.reply = &outcome
		if call.refusedAt == 0 {
			call.refusedAt = w.step
		}
	case Resume:
		w.t.Fatalf("resume of a request that is not continuable")
	}
}

func (w *world) performClaim(call *modelCall, action ClaimAction) {
	request := call.machine.Request()
	switch w.draw("ledger", 6) {
	case 0: // applied, but the reply is lost
		w.ledger.apply(action, request)
		call.inbox = append(call.inbox, Event{Kind: ClaimUnknown})
	case 1: // still in transit; applied later
		w.delayed = append(w.delayed, func() { w.ledger.apply(action, request) })
		call.inbox = append(call.inbox, Event{Kind: ClaimUnknown})
	default:
		if action.Kind == ClaimRefuse {
			call.refusedAt = w.step
		}
		call.inbox = append(call.inbox, Event{Kind: ClaimAnswered, Claim: w.ledger.apply(action, request)})
	}
}

func (w *world) run(index int) {
	w.runs = append(w.runs, index)
	w.runAt = append(w.runAt, w.step)
}

func (w *world) performSend(index int, action Action) {
	call := w.calls[index]
	w.sends++
	fate := w.draw("fate", 8)
	if action.Unchecked {
		fate = max(fate, 4)
	}
	switch fate {
	case 0:
		call.inbox = append(call.inbox, Event{Kind: SendFailed})
	case 1:
		call.inbox = append(call.inbox, Event{Kind: RefusedByBackend})
	case 2:
		call.inbox = append(call.inbox, Event{Kind: LeaseLapsed})
	case 3: // ran, but the answer is lost
		w.run(index)
		call.inbox = append(call.inbox, Event{Kind: SendUnknown})
	case 4: // did not run, which the gateway cannot know
		call.inbox = append(call.inbox, Event{Kind: SendUnknown})
	case 5:
		w.run(index)
		call.inbox = append(call.inbox, Event{Kind: Completed, Answer: &wire.Answer{Status: 500}})
	default:
		w.run(index)
		call.inbox = append(call.inbox, Event{Kind: Completed, Answer: &wire.Answer{Status: 200, Body: []byte("ok")}})
	}
}

// advance delivers one pending event, applies one delayed command, or adds an arrival, a passed deadline or a
// disconnected caller.
func (w *world) advance(unsafe Unsafe) {
	w.step++
	what := w.draw("what", 20)
	switch {
	case what == 0 && len(w.calls) < 5:
		w.arrive(unsafe)
	case what == 1 && len(w.delayed) > 0:
		pick := w.draw("late command", len(w.delayed))
		w.delayed[pick]()
		w.delayed = append(w.delayed[:pick], w.delayed[pick+1:]...)
	case what == 2:
		w.feed(w.draw("call", len(w.calls)), Event{Kind: DeadlinePassed})
	case what == 3:
		w.feed(w.draw("call", len(w.calls)), Event{Kind: CallerGone})
	default:
		index := w.draw("call", len(w.calls))
		call := w.calls[index]
		if len(call.inbox) > 0 {
			pick := w.draw("event", len(call.inbox))
			event := call.inbox[pick]
			call.inbox = append(call.inbox[:pick], call.inbox[pick+1:]...)
			w.feed(index, event)
		}
	}
}

func (w *world) feed(index int, event Event) {
	actions := append([]Action(nil), w.calls[index].machine.Step(0, &event)...)
	for _, action := range actions {
		w.perform(index, action)
	}
}

// check returns a description of the first violated guarantee, or "".
func (w *world) check() string {
	if len(w.runs) > 1 {
		return fmt.Sprintf("key ran %d times", len(w.runs))
	}
	for i, call := range w.calls {
		if call.reply == nil || call.reply.Verdict != verdict.DidNotRun {
			continue
		}
		for r, runner := range w.runs {
			if w.calls[runner].arrived <= call.refusedAt {
				return fmt.Sprintf("call %d got the verdict did-not-run as of step %d, but call %d ran at step %d", i, call.refusedAt, runner, w.runAt[r])
			}
		}
	}
	for i, call := range w.calls {
		if call.reply != nil && call.reply.Verdict == verdict.Ran && len(w.runs) == 0 {
			return fmt.Sprintf("call %d got the verdict ran, but nothing ran", i)
		}
	}
	return ""
}

func runWorld(t *rapid.T, unsafe Unsafe) (*world, string) {
	w := &world{t: t, ledger: modelLedger{ended: map[string]bool{}}}
	w.arrive(unsafe)
	for range 120 {
		w.advance(unsafe)
		if broken := w.check(); broken != "" {
			return w, broken
		}
	}
	return w, ""
}

// TestNonRepeatableKeyRunsOnceAndVerdictsHold guards against a key that runs twice and against wrong verdicts, for
// random orders of events, lost replies and delayed ledger commands.
func TestNonRepeatableKeyRunsOnceAndVerdictsHold(t *testing.T) {
	sends := 0
	rapid.Check(t, func(t *rapid.T) {
		w, broken := runWorld(t, Unsafe{})
		if broken != "" {
			t.Fatal(broken)
		}
		sends += w.sends
	})
	if sends == 0 {
		t.Fatal("no run sent the request, want at least one send")
	}
}

// TestModelNoticesEachUnsafeSwitch checks that the property above fails if a safety rule is disabled.
func TestModelNoticesEachUnsafeSwitch(t *testing.T) {
	mutations := map[string]Unsafe{
		"DispatchBeforeClaim": {DispatchBeforeClaim: true},
		"TrustLostBegin":      {TrustLostBegin: true},
		"RetryAfterFirstByte": {RetryAfterFirstByte: true},
		"RefuseWithoutLedger": {RefuseWithoutLedger: true},
	}
	for name, unsafe := range mutations {
		t.Run(name, func(t *testing.T) {
			found := false
			for seed := 0; seed < 4000 && !found; seed++ {
				run := rapid.Custom(func(t *rapid.T) string { _, broken := runWorld(t, unsafe); return broken })
				found = run.Example(seed) != ""
			}
			if !found {
				t.Fatal("no violated guarantee found in 4000 runs with the rule disabled, want one")
			}
		})
	}
}
