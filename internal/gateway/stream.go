package gateway

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/tamarindring/tamarindring/internal/dispatch"
	"github.com/tamarindring/tamarindring/internal/poisonguard"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	maxEventBytes  = 1 << 20
	maxHeldText    = 256 << 10 // escaped bytes of an answer that are held for a replay
	maxOutput      = 32 << 10  // bytes put together for one write to the caller
	streamReadSize = 8 << 10
)

// streamState is what an exchange keeps of a streamed answer.
type streamState struct {
	opened    bool   // the caller got the header
	in        []byte // read from the back end, not yet cut into events
	readBuf   []byte
	chunkID   []byte // identity that the back end's chunks carry; empty before the first
	event     []byte // the event being handled, without tokens that the caller has
	trimmed   []byte // buffer of event
	facts     chunkFacts
	out       []byte // for the caller
	sent      int    // of out
	text      []byte // escaped text of the answer so far, for a replay
	overflow  bool   // text is not whole
	reserved  int64  // bytes of the memory budget
	counted   uint64 // tokens seen of a stream that states no offsets
	finished  bool   // a finish reason was passed on
	first     string // back end named in the header
	collected []byte // the stream as sent, when it is to be stored under a key
	wroteAt   time.Time
}

// openStream takes over a stream whose header is here.
func (x *exchange) openStream(up *upstream, action *dispatch.Action) {
	x.stream.in = x.stream.in[:0]
	x.stream.chunkID = x.stream.chunkID[:0]
	x.stream.counted = action.Offset
	if action.Kind == dispatch.Send {
		x.stream.counted = x.machine.Request().FirstToken
	}
	if x.stream.first == "" {
		x.stream.first = x.chosen.name
	}
	if x.stream.readBuf == nil {
		x.stream.readBuf = make([]byte, streamReadSize)
	}
}

// streaming tells whether chunks are to be read from a back end.
func (x *exchange) streaming() bool { return x.up != nil && !x.answered }

// Read implements io.Reader for the body of a streamed answer: it reads from the back end until there is
// something for the caller.
func (x *exchange) Read(p []byte) (int, error) {
	s := &x.stream
	for s.sent == len(s.out) {
		s.out, s.sent = s.out[:0], 0
		if x.answered {
			return 0, io.EOF
		}
		x.pump()
	}
	n := copy(p, s.out[s.sent:])
	s.sent += n
	x.extendWriteDeadline()
	return n, nil
}

// extendWriteDeadline gives the caller time to take the next part; a caller that does not read is cut.
func (x *exchange) extendWriteDeadline() {
	now := time.Now()
	if now.Sub(x.stream.wroteAt) > time.Second {
		x.stream.wroteAt = now
		_ = x.caller.Conn().SetWriteDeadline(now.Add(x.server.config.WriteTimeout))
	}
}

// pump makes one read from the back end and handles the events in it, or drives the machine.
func (x *exchange) pump() {
	if len(x.events) > 0 || !x.streaming() {
		x.drive()
		return
	}
	for {
		up := x.up
		n, err := up.response.BodyStream().Read(x.stream.readBuf)
		x.stream.in = append(x.stream.in, x.stream.readBuf[:n]...)
		x.handleEvents()
		if x.up != up || x.answered || len(x.events) > 0 {
			break
		}
		if err != nil {
			x.cutStream(err)
			break
		}
		if up.reader.Buffered() == 0 || len(x.stream.out) > maxOutput {
			break
		}
	}
	x.drive()
}

// cutStream reports a stream that ended without its end mark.
func (x *exchange) cutStream(cause error) {
	x.dropUpstream()
	if x.feedInterruption(cause) {
		x.endRun(poisonguard.Stopped)
		return
	}
	x.breakOff(cause)
	x.pool.failed(x.server.now(), x.chosen.name)
	x.feed(dispatch.Event{Kind: dispatch.StreamCut})
}

// handleEvents handles the whole events that were read.
func (x *exchange) handleEvents() {
	s := &x.stream
	up, rest := x.up, s.in
	for !x.answered && len(x.events) == 0 {
		event, remaining, ok := nextEvent(rest)
		if !ok {
			break
		}
		rest = remaining
		x.handleEvent(event)
		if x.up != up {
			return // the stream goes on elsewhere, with a buffer of its own
		}
	}
	s.in = append(s.in[:0], rest...)
	if len(s.in) > maxEventBytes {
		x.cutStream(errAnswerTooLarge)
	}
}

func (x *exchange) handleEvent(event []byte) {
	s := &x.stream
	facts := inspect(event)
	switch {
	case facts.exported && x.call.repeatable:
		x.endExported(event)
		return
	case facts.failed:
		x.cutStream(io.ErrUnexpectedEOF)
		return
	case facts.done && s.finished:
		x.completeStream()
		return
	case facts.done:
		x.cutStream(io.ErrUnexpectedEOF)
		return
	case !x.ownChunk(facts.id):
		x.cutStream(errForeignAnswer)
		return
	}
	if !facts.measured {
		facts.offset, facts.count = s.counted, unmeasuredCount(event)
	}
	s.counted = facts.offset + facts.count
	if !s.trimOverlap(event, facts, x.machine.Tokens()) {
		x.cutStream(io.ErrUnexpectedEOF)
		return
	}
	x.step(&dispatch.Event{Kind: dispatch.Chunk, Offset: facts.offset, Count: facts.count})
	if facts.finished && facts.count == 0 && len(x.events) == 0 && facts.offset <= x.machine.Tokens() && !s.finished {
		x.pass(event)
	}
	s.finished = s.finished || (facts.finished && len(x.events) == 0)
	s.event = nil
}

// endExported ends the answer with the engine's own error: whoever had the request's KV cache exported goes on with it
// elsewhere, so that nothing is to be replayed here.
func (x *exchange) endExported(event []byte) {
	x.stream.out = append(x.stream.out, event...)
	x.dropUpstream()
	x.feed(dispatch.Event{Kind: dispatch.CallerGone})
}

// ownChunk tells whether a chunk's identity is the one of the chunks before it, and names no other request.
func (x *exchange) ownChunk(id []byte) bool {
	s := &x.stream
	switch {
	case len(id) == 0:
		return true
	case len(s.chunkID) > 0:
		return bytes.Equal(id, s.chunkID)
	}
	s.chunkID = append(s.chunkID, id...)
	return !namesOther(id, x.server.streamPrefix, x.streamID)
}

// trimOverlap makes the event that Forward passes on: without the tokens that the caller has already. It
// fails when the chunk does not hold what it states.
func (s *streamState) trimOverlap(event []byte, facts chunkFacts, held uint64) bool {
	s.event, s.facts = event, facts
	if facts.offset >= held || facts.offset+facts.count <= held {
		return true
	}
	trimmed, ok := trim(s.trimmed[:0], event, facts, held-facts.offset)
	s.event, s.trimmed = trimmed, trimmed
	return ok
}

// unmeasuredCount counts a chunk of an engine that states no tokens as one when it has text.
func unmeasuredCount(event []byte) uint64 {
	if from, to, ok := textSpan(event); ok && to > from {
		return 1
	}
	return 0
}

// forward passes the current chunk on.
func (x *exchange) forward() {
	s := &x.stream
	if s.facts.count == 0 && s.facts.finished {
		return // passed on by handleEvent
	}
	x.keepText(s.event)
	x.pass(s.event)
}

// pass gives one event to the caller.
func (x *exchange) pass(event []byte) {
	s := &x.stream
	start := len(s.out)
	if x.chosen.name == s.first {
		s.out = append(s.out, event...)
	} else {
		s.out = appendWithReplica(s.out, event, x.chosen.name)
	}
	x.collect(s.out[start:])
}

// keepText holds the answer's text so that it can be replayed, up to a bound.
func (x *exchange) keepText(event []byte) {
	s := &x.stream
	if s.overflow || !x.call.repeatable {
		return
	}
	from, to, ok := textSpan(event)
	if !ok {
		return
	}
	if !x.holdText(to - from) {
		s.overflow, s.text = true, nil
		x.pinned.Store(true)
		return
	}
	s.text = append(s.text, event[from:to]...)
}

// holdText reserves memory for more text; it fails at the stream's own or the common bound.
func (x *exchange) holdText(more int) bool {
	s := &x.stream
	if len(s.text)+more > maxHeldText {
		return false
	}
	for int64(len(s.text)+more) > s.reserved {
		if !x.server.memory.take(memoryStep) {
			return false
		}
		s.reserved += memoryStep
	}
	return true
}

// collect keeps the stream that a key's resend will get.
func (x *exchange) collect(part []byte) {
	if x.machine.Request().Key == "" || len(x.stream.collected) > x.server.config.StoredAnswerBytes {
		return
	}
	x.stream.collected = append(x.stream.collected, part...)
}

// completeStream reports the stream's proper end.
func (x *exchange) completeStream() {
	x.stream.out = append(x.stream.out, doneEvent...)
	x.collect(doneEvent)
	x.endRun(poisonguard.Answered)
	x.leaveBackend(outcomeGood)
	x.step(&dispatch.Event{Kind: dispatch.Completed, Answer: &wire.Answer{Status: http.StatusOK,
		ContentType: eventStreamType, Body: x.stream.collected}})
}

// Close implements io.Closer: the caller's connection is done with the body, or broken.
func (x *exchange) Close() error {
	if !x.answered {
		x.events = nil
		x.feed(dispatch.Event{Kind: dispatch.CallerGone})
		x.drive()
		if !x.answered {
			x.runOn()
			return nil
		}
	}
	x.drainUpstream()
	x.finishExchange()
	return nil
}

// runOn lets a non-repeatable request go on without its caller, so that a resend finds the answer.
func (x *exchange) runOn() {
	go func() {
		for !x.answered && !x.ended {
			x.stream.out, x.stream.sent = x.stream.out[:0], 0
			x.pump()
		}
		x.drainUpstream()
		x.finishExchange()
	}()
}

// drainUpstream reads the end of the body behind the end mark, so that the connection can be used again. A
// connection on which anything else stands behind the end mark is closed.
func (x *exchange) drainUpstream() {
	up := x.takeUpstream()
	if up == nil {
		return
	}
	if !x.stream.finished || x.outcome.Failed() || len(x.stream.in) > 0 {
		up.close()
		return
	}
	_ = up.conn.SetReadDeadline(time.Now().Add(drainPatience))
	n, err := up.response.BodyStream().Read(x.stream.readBuf)
	if n != 0 || err != io.EOF || up.response.ConnectionClose() {
		up.close()
		return
	}
	_ = up.response.CloseBodyStream()
	x.server.transport.release(up)
}

// appendErrorEvent ends a stream in an error that no client takes for a finished answer.
func appendErrorEvent(out []byte, outcome *dispatch.Outcome) []byte {
	body, err := json.Marshal(errorBodyOf(outcome))
	if err != nil {
		return out
	}
	out = append(out, "data: "...)
	out = append(out, body...)
	return append(out, eventEnd...)
}
