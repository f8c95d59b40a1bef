package dispatch

import (
	"net/http"
	"time"

	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// claimProgress is what the ledger knows or still has to hear about this request. At most one command is
// outstanding at a time.
type claimProgress struct {
	outstanding ClaimKind // 0 for none
	attempts    int       // ClaimBegin commands with different attempt names
	held        bool      // the current attempt was granted and not ended yet
	release     bool      // the current attempt must be released: granted and not sent, or its grant is unknown
	refuse      bool      // the key must be refused before the caller is told "did not run"
	finish      bool      // the outcome below must be recorded
	outcome     wire.ClaimState
	answer      *wire.Answer
	failures    int // ledger commands of unknown fate in a row
}

// releaseIfHeld marks a granted attempt that will not be sent for release.
func (c *claimProgress) releaseIfHeld() {
	if c.held {
		c.held = false
		c.release = true
	}
}

func (m *Machine) command(action ClaimAction) {
	m.claim.outstanding = action.Kind
	m.act(Action{Kind: Claim, Claim: action})
}

// begin asks for the right to run the key, under a new attempt name.
func (m *Machine) begin() {
	m.state = stateClaiming
	m.claim.attempts++
	m.command(ClaimAction{Kind: ClaimBegin, Attempt: m.attemptName(m.claim.attempts)})
}

func (m *Machine) query() {
	m.command(ClaimAction{Kind: ClaimQuery})
}

// refuse records that the key did not run and will not, then tells the caller. When the fate of a begin is
// open, the caller is told "may have run" at once and the attempt is released behind its back.
func (m *Machine) refuse(failure Outcome) {
	m.state = stateSettling
	m.claim.releaseIfHeld()
	if m.settings.Unsafe.RefuseWithoutLedger {
		failure.Verdict = verdict.DidNotRun
		m.reply(failure)
	}
	if m.claim.outstanding != 0 {
		failure.Verdict = verdict.MayHaveRun
		m.reply(failure)
	}
	if !m.replied {
		m.failure = failure
		m.claim.refuse = true
	}
	m.settle()
}

// finishClaim records how a dispatched request ended. It follows the reply: a caller that has its answer
// does not ask again, and a resend that comes before the record finds the key running and waits.
func (m *Machine) finishClaim(outcome wire.ClaimState, answer *wire.Answer) {
	m.state = stateSettling
	if m.claim.held {
		m.claim.held = false
		m.claim.finish = true
		m.claim.outcome = outcome
		m.claim.answer = answer
	}
	m.settle()
}

// settle sends the next command that the ledger still has to hear, or ends the request.
func (m *Machine) settle() {
	if m.claim.outstanding != 0 {
		return
	}
	attempt := m.attemptName(m.claim.attempts)
	switch {
	case m.claim.finish:
		m.command(ClaimAction{Kind: ClaimFinish, Attempt: attempt, Outcome: m.claim.outcome, Answer: m.claim.answer})
	case m.claim.refuse && !m.replied && m.claim.release:
		m.command(ClaimAction{Kind: ClaimRefuse, Attempt: attempt}) // releases the attempt in the same entry
	case m.claim.release:
		m.command(ClaimAction{Kind: ClaimRelease, Attempt: attempt})
	case m.claim.refuse && !m.replied:
		m.command(ClaimAction{Kind: ClaimRefuse})
	case m.state == stateSettling:
		m.state = stateDone
	}
}

// settleLater repeats a command of unknown fate after a pause.
func (m *Machine) settleLater() {
	round := min(m.claim.failures, 16)
	pause := min(m.settings.BackoffBase<<round, m.settings.BackoffLimit)
	m.act(Action{Kind: Wait, Pause: time.Duration(float64(pause) * (0.5 + m.settings.Random()))})
}

func (m *Machine) onClaim(now time.Duration, event *Event) {
	kind := m.claim.outstanding
	m.claim.outstanding = 0
	if event.Kind == ClaimUnknown {
		m.claim.failures++
		m.onClaimUnknown(now, kind)
		return
	}
	m.claim.failures = 0
	switch kind {
	case ClaimBegin:
		m.onBegun(now, event.Claim)
	case ClaimQuery:
		m.onQueried(now, event.Claim)
	case ClaimFinish:
		m.claim.finish = false
		m.settle()
	case ClaimRelease:
		m.claim.release = false
		m.onReleased()
	case ClaimRefuse:
		m.claim.refuse, m.claim.release = false, false
		m.onRefusalRecorded(now, event.Claim)
	}
}

func (m *Machine) onClaimUnknown(now time.Duration, kind ClaimKind) {
	switch kind {
	case ClaimBegin:
		if m.settings.Unsafe.TrustLostBegin && m.state == stateClaiming {
			m.claim.held = true
			m.choose()
			return
		}
		m.claim.release = true // the attempt must never be granted later
		m.settle()
	case ClaimQuery:
		if m.state == statePolling {
			m.poll(now)
			return
		}
		m.settle()
	case ClaimRefuse:
		m.claim.refuse = false
		m.replyLedgerUnavailable()
		if m.claim.release {
			m.settleLater()
			return
		}
		m.settle()
	case ClaimRelease:
		m.freeSlot()
		m.state = stateSettling
		m.replyLedgerUnavailable()
		m.settleLater()
	case ClaimFinish:
		m.settleLater()
	}
}

// replyLedgerUnavailable ends a request whose refusal could not be recorded.
func (m *Machine) replyLedgerUnavailable() {
	failure := m.failure
	if failure.Status == 0 {
		failure = Outcome{Status: http.StatusServiceUnavailable, Code: CodeLedgerUnavailable,
			Reason: "the ledger of keys did not answer; send the same key again to learn the outcome"}
	}
	failure.Verdict = verdict.MayHaveRun
	if failure.RetryAfter == 0 {
		failure.RetryAfter = m.settings.RetryAfter
	}
	m.reply(failure)
}

func (m *Machine) onBegun(now time.Duration, result *wire.ClaimResult) {
	granted := result.GetState() == wire.ClaimState_CLAIM_STATE_GRANTED
	if m.state == stateSettling || m.state == stateDone {
		m.claim.release = m.claim.release || granted // granted after the caller was answered
		m.settle()
		return
	}
	if granted {
		m.claim.held = true
		if m.state == stateClaiming {
			m.choose()
		}
		return
	}
	if m.state != stateClaiming {
		return
	}
	m.freeSlot()
	m.onHeldByLedger(now, result)
}

func (m *Machine) onQueried(now time.Duration, result *wire.ClaimResult) {
	if m.state != statePolling {
		m.settle()
		return
	}
	if result.GetState() == wire.ClaimState_CLAIM_STATE_UNSPECIFIED {
		m.admit() // the other attempt was released without a run
		return
	}
	m.onHeldByLedger(now, result)
}

// onHeldByLedger answers a request whose key is not free.
func (m *Machine) onHeldByLedger(now time.Duration, result *wire.ClaimResult) {
	if result.GetState() == wire.ClaimState_CLAIM_STATE_RUNNING {
		m.state = statePolling
		m.poll(now)
		return
	}
	if result.GetState() == wire.ClaimState_CLAIM_STATE_STALE_ATTEMPT {
		// This attempt will never run, but a resend that arrived after the refusal may. Refusing again
		// covers it, so that "did not run" holds for the key and not only for this attempt.
		m.refuse(Outcome{Status: http.StatusServiceUnavailable, Code: CodeRefusedEarlier,
			Reason:     "the key was refused while this request was on its way; send it again",
			RetryAfter: m.settings.RetryAfter})
		return
	}
	m.state = stateSettling
	m.reply(m.outcomeOf(result))
	m.settle()
}

// poll asks for the key again after a pause, until the deadline.
func (m *Machine) poll(now time.Duration) {
	m.polls++
	m.act(Action{Kind: Wait, Pause: m.pause(now, m.polls+1)})
}

func (m *Machine) onReleased() {
	if m.state != stateClaiming {
		m.settle()
		return
	}
	if m.claim.attempts < m.settings.MaxClaimTries {
		m.begin()
		return
	}
	m.freeSlot()
	m.refuse(Outcome{Status: http.StatusServiceUnavailable, Code: CodeLedgerUnavailable,
		Reason: "the ledger of keys did not answer", RetryAfter: m.settings.RetryAfter})
}

// onRefusalRecorded tells the caller what the ledger says about the key: refused for good, or not. A request
// that came too late for its own claim waits for the attempt that holds the key, as it would have had it come
// after that attempt.
func (m *Machine) onRefusalRecorded(now time.Duration, result *wire.ClaimResult) {
	if result.GetState() == wire.ClaimState_CLAIM_STATE_RUNNING && m.failure.Code == CodeRefusedEarlier && !m.replied {
		m.onHeldByLedger(now, result)
		return
	}
	switch result.GetState() {
	case wire.ClaimState_CLAIM_STATE_UNSPECIFIED:
		m.failure.Verdict = verdict.DidNotRun
		m.reply(m.failure)
	case wire.ClaimState_CLAIM_STATE_RUNNING, wire.ClaimState_CLAIM_STATE_STALE_ATTEMPT:
		m.failure.Verdict = verdict.MayHaveRun
		m.reply(m.failure)
	default:
		m.reply(m.outcomeOf(result))
	}
	m.settle()
}

// outcomeOf translates the ledger's knowledge of a key into an answer.
func (m *Machine) outcomeOf(result *wire.ClaimResult) Outcome {
	switch result.GetState() {
	case wire.ClaimState_CLAIM_STATE_DONE:
		if answer := result.GetAnswer(); answer != nil {
			return Outcome{Status: int(answer.GetStatus()), Verdict: verdict.Ran, Answer: answer, Stored: true}
		}
		return expiredOutcome()
	case wire.ClaimState_CLAIM_STATE_ANSWER_EXPIRED:
		return expiredOutcome()
	case wire.ClaimState_CLAIM_STATE_UNKNOWN_OUTCOME:
		return Outcome{Status: http.StatusConflict, Verdict: verdict.MayHaveRun, Code: CodeOutcomeUnknown,
			Reason: "an earlier attempt of this key was sent and its outcome is not known; it will not be sent again"}
	case wire.ClaimState_CLAIM_STATE_OTHER_BODY:
		return Outcome{Status: http.StatusUnprocessableEntity, Verdict: verdict.MayHaveRun, Code: CodeKeyReused,
			Reason: "the key was used before with another body; this body was not sent, the other one may have run"}
	}
	return Outcome{Status: http.StatusServiceUnavailable, Verdict: verdict.MayHaveRun, Code: CodeLedgerUnavailable,
		Reason: "the ledger gave an answer that this gateway does not know", RetryAfter: m.settings.RetryAfter}
}

func expiredOutcome() Outcome {
	return Outcome{Status: http.StatusGone, Verdict: verdict.Ran, Code: CodeAnswerExpired,
		Reason: "the key ran; its answer is no longer held"}
}
