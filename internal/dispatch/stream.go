package dispatch

import (
	"net/http"
	"time"

	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// onChunk forwards what the caller does not have yet. After a resume or a replay chunks may overlap what
// was forwarded before; a gap means that a chunk was lost and the stream counts as cut.
func (m *Machine) onChunk(now time.Duration, event *Event) {
	if !m.active() || m.replied {
		return
	}
	m.touched = true
	if event.Count > 0 && m.state == stateSending {
		m.state = stateStreaming
	}
	end := event.Offset + event.Count
	switch {
	case event.Count == 0:
		if !m.forwarded() {
			m.act(Action{Kind: Forward})
		}
		return
	case event.Offset > m.tokens:
		m.onBroken(now, &Event{Kind: StreamCut})
		return
	case end <= m.tokens:
		return
	}
	m.state = stateStreaming
	m.tries = 1
	m.tried = m.tried[:0]
	m.act(Action{Kind: Forward, Skip: m.tokens - event.Offset})
	m.tokens = end
}

// resume asks the same back end to go on from the first token that the caller does not have. That starts
// nothing new, so a non-repeatable request may be resumed too.
func (m *Machine) resume() {
	m.state = stateResuming
	m.act(Action{Kind: Resume, Backend: m.backend, Offset: m.tokens})
}

// onBroken handles a send or stream that ended without a whole answer after bytes may have arrived.
func (m *Machine) onBroken(now time.Duration, event *Event) {
	if !m.active() {
		return
	}
	m.touched = true
	if event.Kind == StreamCut {
		if m.settings.Unsafe.TreatCutAsEnd {
			m.onCompleted(now, &Event{Kind: Completed, Answer: &wire.Answer{Status: http.StatusOK}})
			return
		}
		if m.request.Continuable && m.state != stateResuming {
			m.resume()
			return
		}
	}
	m.state = stateSendEnded
	failure := Outcome{Status: http.StatusBadGateway, Code: CodeBackendLost,
		Reason: "the connection to the back end broke before the answer was whole", RetryAfter: m.settings.RetryAfter}
	if event.Code != "" { // the request itself was broken on its way
		m.giveUp(Outcome{Status: event.Status, Code: event.Code, Reason: event.Reason})
		return
	}
	if !m.mayRepeat() || (m.forwarded() && !m.request.Continuable) {
		m.giveUp(failure)
		return
	}
	m.retryElsewhere(now, failure, false)
}

// mayRepeat tells whether the request may be sent again though it may have run.
func (m *Machine) mayRepeat() bool {
	return m.request.Repeatable || m.settings.Unsafe.RetryAfterFirstByte
}

// onCompleted handles a whole answer. A server error without a verdict leaves open whether the request
// ran: it is repeated where that is allowed, and else passed on as "may have run".
func (m *Machine) onCompleted(now time.Duration, event *Event) {
	if !m.active() {
		return
	}
	m.touched = true
	m.state = stateSendEnded
	answer := event.Answer
	if answer.GetStatus() >= http.StatusInternalServerError && !m.forwarded() {
		failure := Outcome{Status: int(answer.GetStatus()), Answer: answer}
		if m.mayRepeat() {
			m.retryElsewhere(now, failure, false)
			return
		}
		m.giveUp(failure)
		return
	}
	m.freeSlot()
	m.reply(Outcome{Status: int(answer.GetStatus()), Verdict: verdict.Ran, Answer: answer})
	m.finishClaim(wire.ClaimState_CLAIM_STATE_DONE, answer)
}
