package dispatch

import (
	"net/http"
	"time"

	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// onChunk forwards the tokens that the caller does not have yet. After a resume or a replay, chunks may overlap with
// already forwarded tokens. A gap means that a chunk was lost, and the stream is treated as interrupted.
func (m *Machine) onChunk(now time.Duration, event *Event) {
	if !m.isInFlight() || m.replied {
		return
	}
	m.mayHaveReachedBackend = true
	if event.Count > 0 && m.state == stateSending {
		m.state = stateStreaming
	}
	end := event.Offset + event.Count
	switch {
	case event.Count == 0:
		if !m.hasForwarded() {
			m.emit(Action{Kind: Forward})
		}
		return
	case event.Offset > m.tokens:
		m.onSendBroken(now, &Event{Kind: StreamCut})
		return
	case end <= m.tokens:
		return
	}
	m.state = stateStreaming
	m.tries = 1
	m.tried = m.tried[:0]
	m.emit(Action{Kind: Forward, Skip: m.tokens - event.Offset})
	m.tokens = end
}

// resumeStream asks the same back end to continue from the first token that the caller does not have. This starts no
// second execution, so a non-repeatable request may be resumed too.
func (m *Machine) resumeStream() {
	m.state = stateResuming
	m.emit(Action{Kind: Resume, Backend: m.backend, Offset: m.tokens})
}

// onSendBroken handles a send or stream that ended without a complete answer after bytes may have reached the back end.
func (m *Machine) onSendBroken(now time.Duration, event *Event) {
	if !m.isInFlight() {
		return
	}
	m.mayHaveReachedBackend = true
	if event.Kind == StreamCut {
		if m.settings.Unsafe.TreatCutAsEnd {
			m.onCompleted(now, &Event{Kind: Completed, Answer: &wire.Answer{Status: http.StatusOK}})
			return
		}
		if m.request.Continuable && m.state != stateResuming {
			m.resumeStream()
			return
		}
	}
	m.state = stateSendEnded
	failure := Outcome{Status: http.StatusBadGateway, Code: CodeBackendLost,
		Reason: "the connection to the back end broke before the answer was whole", RetryAfter: m.settings.RetryAfter}
	if event.Code != "" { // the request itself caused the failure
		m.fail(Outcome{Status: event.Status, Code: event.Code, Reason: event.Reason})
		return
	}
	if !m.canRepeat() || (m.hasForwarded() && !m.request.Continuable) {
		m.fail(failure)
		return
	}
	m.retryElsewhere(now, failure, false)
}

// canRepeat reports whether the request may be sent again although it may have run.
func (m *Machine) canRepeat() bool {
	return m.request.Repeatable || m.settings.Unsafe.RetryAfterFirstByte
}

// onCompleted handles a complete answer. A server error without a verdict leaves open whether the request ran: the
// request is repeated if that is permitted; otherwise the error is forwarded with the verdict "may have run".
func (m *Machine) onCompleted(now time.Duration, event *Event) {
	if !m.isInFlight() {
		return
	}
	m.mayHaveReachedBackend = true
	m.state = stateSendEnded
	answer := event.Answer
	if answer.GetStatus() >= http.StatusInternalServerError && !m.hasForwarded() {
		failure := Outcome{Status: int(answer.GetStatus()), Answer: answer}
		if m.canRepeat() {
			m.retryElsewhere(now, failure, false)
			return
		}
		m.fail(failure)
		return
	}
	m.freeSlot()
	m.reply(Outcome{Status: int(answer.GetStatus()), Verdict: verdict.Ran, Answer: answer})
	m.finishClaim(wire.ClaimState_CLAIM_STATE_DONE, answer)
}
