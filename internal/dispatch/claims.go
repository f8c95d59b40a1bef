package dispatch

import (
	"net/http"
	"time"

	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// claimProgress tracks what was recorded in the ledger for this request and which commands are still due. At most one
// command is outstanding at a time.
type claimProgress struct {
	outstanding  ClaimKind // 0 for none
	attempts     int       // ClaimBegin commands so far, each with an attempt name of its own
	granted      bool      // the current attempt was granted and has not ended
	releaseDue   bool      // the current attempt must be released: granted and not sent, or its grant is unknown
	refusalDue   bool      // the refusal of the key must be recorded before the caller gets the verdict "did not run"
	outcomeDue   bool      // outcome and answer must be recorded
	outcome      wire.ClaimState
	answer       *wire.Answer
	unknownFates int // consecutive ledger commands of unknown fate
}

// releaseIfGranted marks a granted attempt that will not be sent as due for release.
func (c *claimProgress) releaseIfGranted() {
	if c.granted {
		c.granted = false
		c.releaseDue = true
	}
}

// sendCommand sends a ledger command and marks it as outstanding.
func (m *Machine) sendCommand(action ClaimAction) {
	m.claim.outstanding = action.Kind
	m.emit(Action{Kind: Claim, Claim: action})
}

// beginClaim claims the key under a new attempt name.
func (m *Machine) beginClaim() {
	m.state = stateClaiming
	m.claim.attempts++
	m.sendCommand(ClaimAction{Kind: ClaimBegin, Attempt: m.attemptName(m.claim.attempts)})
}

func (m *Machine) queryClaim() {
	m.sendCommand(ClaimAction{Kind: ClaimQuery})
}

// refuseClaim records in the ledger that the key did not run and that no attempt which arrived so far can run, then
// answers the caller. If a command is still outstanding, the caller gets the verdict "may have run" at once and the
// attempt is released afterwards.
func (m *Machine) refuseClaim(failure Outcome) {
	m.state = stateSettling
	m.claim.releaseIfGranted()
	if m.settings.Unsafe.RefuseWithoutLedger {
		failure.Verdict = verdict.DidNotRun
		m.reply(failure)
	}
	if m.claim.outstanding != 0 {
		failure.Verdict = verdict.MayHaveRun
		m.reply(failure)
	}
	if !m.replied {
		m.pendingFailure = failure
		m.claim.refusalDue = true
	}
	m.settleClaim()
}

// finishClaim records how a dispatched request ended. It runs after the reply: a caller that has its answer does not
// resend, and a resend that arrives before the outcome is recorded finds the key running and waits.
func (m *Machine) finishClaim(outcome wire.ClaimState, answer *wire.Answer) {
	m.state = stateSettling
	if m.claim.granted {
		m.claim.granted = false
		m.claim.outcomeDue = true
		m.claim.outcome = outcome
		m.claim.answer = answer
	}
	m.settleClaim()
}

// settleClaim sends the next ledger command that is due, or ends the request if none is.
func (m *Machine) settleClaim() {
	if m.claim.outstanding != 0 {
		return
	}
	attempt := m.attemptName(m.claim.attempts)
	switch {
	case m.claim.outcomeDue:
		m.sendCommand(ClaimAction{Kind: ClaimFinish, Attempt: attempt, Outcome: m.claim.outcome, Answer: m.claim.answer})
	case m.claim.refusalDue && !m.replied && m.claim.releaseDue:
		m.sendCommand(ClaimAction{Kind: ClaimRefuse, Attempt: attempt}) // the same log entry releases the attempt
	case m.claim.releaseDue:
		m.sendCommand(ClaimAction{Kind: ClaimRelease, Attempt: attempt})
	case m.claim.refusalDue && !m.replied:
		m.sendCommand(ClaimAction{Kind: ClaimRefuse})
	case m.state == stateSettling:
		m.state = stateDone
	}
}

// scheduleSettlement schedules the repetition of a command of unknown fate after an exponential backoff with jitter.
func (m *Machine) scheduleSettlement() {
	round := min(m.claim.unknownFates, 16)
	pause := min(m.settings.BackoffBase<<round, m.settings.BackoffLimit)
	m.emit(Action{Kind: Wait, Pause: time.Duration(float64(pause) * (0.5 + m.settings.Random()))})
}

// onClaimResult handles the result of the outstanding ledger command, or the report that its fate is unknown.
func (m *Machine) onClaimResult(now time.Duration, event *Event) {
	kind := m.claim.outstanding
	m.claim.outstanding = 0
	if event.Kind == ClaimUnknown {
		m.claim.unknownFates++
		m.onClaimUnknown(now, kind)
		return
	}
	m.claim.unknownFates = 0
	switch kind {
	case ClaimBegin:
		m.onBeginResult(now, event.Claim)
	case ClaimQuery:
		m.onQueryResult(now, event.Claim)
	case ClaimFinish:
		m.claim.outcomeDue = false
		m.settleClaim()
	case ClaimRelease:
		m.claim.releaseDue = false
		m.onReleaseRecorded()
	case ClaimRefuse:
		m.claim.refusalDue, m.claim.releaseDue = false, false
		m.onRefusalRecorded(now, event.Claim)
	}
}

func (m *Machine) onClaimUnknown(now time.Duration, kind ClaimKind) {
	switch kind {
	case ClaimBegin:
		if m.settings.Unsafe.TrustLostBegin && m.state == stateClaiming {
			m.claim.granted = true
			m.chooseBackend()
			return
		}
		m.claim.releaseDue = true // ensures that a late ClaimBegin is never granted
		m.settleClaim()
	case ClaimQuery:
		if m.state == statePolling {
			m.schedulePoll(now)
			return
		}
		m.settleClaim()
	case ClaimRefuse:
		m.claim.refusalDue = false
		m.replyLedgerUnavailable()
		if m.claim.releaseDue {
			m.scheduleSettlement()
			return
		}
		m.settleClaim()
	case ClaimRelease:
		m.freeSlot()
		m.state = stateSettling
		m.replyLedgerUnavailable()
		m.scheduleSettlement()
	case ClaimFinish:
		m.scheduleSettlement()
	}
}

// replyLedgerUnavailable answers a request whose refusal could not be recorded. Its verdict is "may have run".
func (m *Machine) replyLedgerUnavailable() {
	failure := m.pendingFailure
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

func (m *Machine) onBeginResult(now time.Duration, result *wire.ClaimResult) {
	granted := result.GetState() == wire.ClaimState_CLAIM_STATE_GRANTED
	if m.state == stateSettling || m.state == stateDone {
		m.claim.releaseDue = m.claim.releaseDue || granted // the grant came after the caller was answered
		m.settleClaim()
		return
	}
	if granted {
		m.claim.granted = true
		if m.state == stateClaiming {
			m.chooseBackend()
		}
		return
	}
	if m.state != stateClaiming {
		return
	}
	m.freeSlot()
	m.onClaimNotGranted(now, result)
}

func (m *Machine) onQueryResult(now time.Duration, result *wire.ClaimResult) {
	if m.state != statePolling {
		m.settleClaim()
		return
	}
	if result.GetState() == wire.ClaimState_CLAIM_STATE_UNSPECIFIED {
		m.requestSlot() // the other attempt was released without running
		return
	}
	m.onClaimNotGranted(now, result)
}

// onClaimNotGranted handles a key that the ledger did not grant. It polls the key while another attempt is running. If
// this request's own attempt is stale, it refuses the key. Otherwise it answers with the recorded outcome.
func (m *Machine) onClaimNotGranted(now time.Duration, result *wire.ClaimResult) {
	if result.GetState() == wire.ClaimState_CLAIM_STATE_RUNNING {
		m.state = statePolling
		m.schedulePoll(now)
		return
	}
	if result.GetState() == wire.ClaimState_CLAIM_STATE_STALE_ATTEMPT {
		// This attempt can never run, but a resend that arrived after the earlier refusal can. A second refusal
		// covers that resend too, so that "did not run" holds for the key and not only for this attempt.
		m.refuseClaim(Outcome{Status: http.StatusServiceUnavailable, Code: CodeRefusedEarlier,
			Reason:     "the key was refused while this request was on its way; send it again",
			RetryAfter: m.settings.RetryAfter})
		return
	}
	m.state = stateSettling
	m.reply(m.outcomeOf(result))
	m.settleClaim()
}

// schedulePoll schedules the next query of the key's state after a pause that never exceeds the deadline.
func (m *Machine) schedulePoll(now time.Duration) {
	m.polls++
	m.emit(Action{Kind: Wait, Pause: m.retryPause(now, m.polls+1)})
}

func (m *Machine) onReleaseRecorded() {
	if m.state != stateClaiming {
		m.settleClaim()
		return
	}
	if m.claim.attempts < m.settings.MaxClaimTries {
		m.beginClaim()
		return
	}
	m.freeSlot()
	m.refuseClaim(Outcome{Status: http.StatusServiceUnavailable, Code: CodeLedgerUnavailable,
		Reason: "the ledger of keys did not answer", RetryAfter: m.settings.RetryAfter})
}

// onRefusalRecorded answers the caller with the key's state after the refusal: refused, running, or ended earlier. If
// this request's own attempt was stale and another attempt is running, the request polls for the other attempt's
// outcome, as it does when its claim finds the key running.
func (m *Machine) onRefusalRecorded(now time.Duration, result *wire.ClaimResult) {
	if result.GetState() == wire.ClaimState_CLAIM_STATE_RUNNING && m.pendingFailure.Code == CodeRefusedEarlier && !m.replied {
		m.onClaimNotGranted(now, result)
		return
	}
	switch result.GetState() {
	case wire.ClaimState_CLAIM_STATE_UNSPECIFIED:
		m.pendingFailure.Verdict = verdict.DidNotRun
		m.reply(m.pendingFailure)
	case wire.ClaimState_CLAIM_STATE_RUNNING, wire.ClaimState_CLAIM_STATE_STALE_ATTEMPT:
		m.pendingFailure.Verdict = verdict.MayHaveRun
		m.reply(m.pendingFailure)
	default:
		m.reply(m.outcomeOf(result))
	}
	m.settleClaim()
}

// outcomeOf translates a key's recorded state into the answer for the caller.
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
