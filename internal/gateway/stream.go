package gateway

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/tamarindring/tamarindring/internal/dispatch"
	"github.com/tamarindring/tamarindring/internal/poisonguard"
	"github.com/tamarindring/tamarindring/internal/recovery"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	maxEventBytes    = 1 << 20
	maxHeldTextBytes = 256 << 10 // bytes of escaped answer text that are held for a replay
	maxOutputBytes   = 32 << 10  // bytes gathered for one write to the caller
	streamReadSize   = 8 << 10
)

// streamState is the state of a streamed answer.
type streamState struct {
	opened         bool   // the answer's header was sent to the caller
	input          []byte // bytes from the back end that are not yet split into events
	readBuf        []byte
	chunkID        []byte     // ID that the back end's chunks carry; empty before the first chunk
	event          []byte     // the current event, without tokens that the caller already has
	trimmed        []byte     // reusable buffer for event
	facts          chunkFacts // parsed fields of the current event
	output         []byte     // bytes for the caller
	outputSent     int        // bytes of output already handed to the HTTP server
	heldText       []byte     // escaped text of the answer so far, for a replay
	textIncomplete bool       // heldText exceeded a memory limit and was dropped
	reservedBytes  int64      // taken from the memory budget for heldText
	nextOffset     uint64     // offset of the next token, for streams that state no offsets
	finished       bool       // a finish reason was passed on
	firstBackend   string     // back end named in the answer's header
	storedStream   []byte     // the stream as sent, if it is to be stored under an idempotency key
	deadlineSetAt  time.Time  // when the write deadline was last extended
}

// openStream prepares for the events of a stream whose header has arrived.
func (x *exchange) openStream(up *upstream, action *dispatch.Action) {
	x.stream.input = x.stream.input[:0]
	x.stream.chunkID = x.stream.chunkID[:0]
	x.stream.nextOffset = action.Offset
	if action.Kind == dispatch.Send {
		x.stream.nextOffset = x.machine.Request().FirstToken
	}
	if x.stream.firstBackend == "" {
		x.stream.firstBackend = x.chosen.name
	}
	if x.stream.readBuf == nil {
		x.stream.readBuf = make([]byte, streamReadSize)
	}
}

// isStreaming reports whether there are chunks to read from a back end.
func (x *exchange) isStreaming() bool { return x.upstream != nil && !x.answered }

// Read implements io.Reader for the body of a streamed answer. It reads from the back end until there are bytes for
// the caller.
func (x *exchange) Read(p []byte) (int, error) {
	s := &x.stream
	for s.outputSent == len(s.output) {
		s.output, s.outputSent = s.output[:0], 0
		if x.answered {
			return 0, io.EOF
		}
		if err := recovery.Do(x.server.config.Log, x.call.requestID, "stream", x.readUpstream); err != nil {
			return 0, err // closes the caller's connection, so that the stream does not look complete
		}
	}
	n := copy(p, s.output[s.outputSent:])
	s.outputSent += n
	x.extendWriteDeadline()
	return n, nil
}

// extendWriteDeadline extends the caller's write deadline by WriteTimeout, at most once a second. A caller that
// does not read is disconnected when it passes.
func (x *exchange) extendWriteDeadline() {
	now := time.Now()
	if now.Sub(x.stream.deadlineSetAt) > time.Second {
		x.stream.deadlineSetAt = now
		_ = x.caller.Conn().SetWriteDeadline(now.Add(x.server.config.WriteTimeout))
	}
}

// readUpstream reads from the back end and handles the events that have arrived, or drives the machine if it has
// pending events or no stream is open.
func (x *exchange) readUpstream() {
	if len(x.pendingEvents) > 0 || !x.isStreaming() {
		x.drive()
		return
	}
	for {
		up := x.upstream
		n, err := up.response.BodyStream().Read(x.stream.readBuf)
		x.stream.input = append(x.stream.input, x.stream.readBuf[:n]...)
		x.handleEvents()
		if x.upstream != up || x.answered || len(x.pendingEvents) > 0 {
			break
		}
		if err != nil {
			x.failStream(err)
			break
		}
		if up.reader.Buffered() == 0 || len(x.stream.output) > maxOutputBytes {
			break
		}
	}
	x.drive()
}

// failStream reports a stream that ended without its end mark.
func (x *exchange) failStream(cause error) {
	x.dropUpstream()
	if x.handleTimeout(cause) {
		x.endRun(poisonguard.Stopped)
		return
	}
	x.endBrokenRun(cause)
	x.pool.recordFailure(x.server.now(), x.chosen.name)
	x.queueEvent(dispatch.Event{Kind: dispatch.StreamCut})
}

// handleEvents handles the complete events in the input buffer.
func (x *exchange) handleEvents() {
	s := &x.stream
	up, rest := x.upstream, s.input
	for !x.answered && len(x.pendingEvents) == 0 {
		event, remaining, ok := nextEvent(rest)
		if !ok {
			break
		}
		rest = remaining
		x.handleEvent(event)
		if x.upstream != up {
			return // the stream continues on another connection, and openStream has reset the buffer
		}
	}
	s.input = append(s.input[:0], rest...)
	if len(s.input) > maxEventBytes {
		x.failStream(errAnswerTooLarge)
	}
}

// handleEvent validates one event, passes its new tokens to the machine, and detects the end of the stream.
func (x *exchange) handleEvent(event []byte) {
	s := &x.stream
	facts := parseChunk(event)
	switch {
	case facts.exported && x.call.repeatable:
		x.endExported(event)
		return
	case facts.failed:
		x.failStream(io.ErrUnexpectedEOF)
		return
	case facts.done && s.finished:
		x.completeStream()
		return
	case facts.done:
		x.failStream(io.ErrUnexpectedEOF)
		return
	case !x.isOwnChunk(facts.id):
		x.failStream(errForeignChunk)
		return
	}
	if !facts.hasTokenFields {
		facts.offset, facts.count = s.nextOffset, estimateTokenCount(event)
	}
	s.nextOffset = facts.offset + facts.count
	if !s.trimOverlap(event, facts, x.machine.Tokens()) {
		x.failStream(io.ErrUnexpectedEOF)
		return
	}
	x.step(&dispatch.Event{Kind: dispatch.Chunk, Offset: facts.offset, Count: facts.count})
	if facts.finished && facts.count == 0 && len(x.pendingEvents) == 0 && facts.offset <= x.machine.Tokens() && !s.finished {
		x.writeEvent(event)
	}
	s.finished = s.finished || (facts.finished && len(x.pendingEvents) == 0)
	s.event = nil
}

// endExported ends the answer with the engine's own error. The client that had the request's KV cache exported
// continues the request at another replica, so nothing is replayed here.
func (x *exchange) endExported(event []byte) {
	x.stream.output = append(x.stream.output, event...)
	x.dropUpstream()
	x.queueEvent(dispatch.Event{Kind: dispatch.CallerGone})
}

// isOwnChunk reports whether a chunk has the same ID as the chunks before it and does not name another request. A chunk
// without an ID is accepted.
func (x *exchange) isOwnChunk(id []byte) bool {
	s := &x.stream
	switch {
	case len(id) == 0:
		return true
	case len(s.chunkID) > 0:
		return bytes.Equal(id, s.chunkID)
	}
	s.chunkID = append(s.chunkID, id...)
	return !namesOtherRequest(id, x.server.streamPrefix, x.streamID)
}

// trimOverlap prepares the event that forward passes on by removing the tokens that the caller already has. It
// returns false if the chunk's text does not match its token count.
func (s *streamState) trimOverlap(event []byte, facts chunkFacts, delivered uint64) bool {
	s.event, s.facts = event, facts
	if facts.offset >= delivered || facts.offset+facts.count <= delivered {
		return true
	}
	trimmed, ok := trimTokens(s.trimmed[:0], event, facts, delivered-facts.offset)
	s.event, s.trimmed = trimmed, trimmed
	return ok
}

// estimateTokenCount counts a chunk as one token if it has text. It is used for engines that state no token counts.
func estimateTokenCount(event []byte) uint64 {
	if from, to, ok := findText(event); ok && to > from {
		return 1
	}
	return 0
}

// forward passes the current chunk to the caller.
func (x *exchange) forward() {
	s := &x.stream
	if s.facts.count == 0 && s.facts.finished {
		return // handleEvent passes it on
	}
	x.holdText(s.event)
	x.writeEvent(s.event)
}

// writeEvent appends one event to the output for the caller. If the stream has moved to another back end, the event
// gets that back end's name.
func (x *exchange) writeEvent(event []byte) {
	s := &x.stream
	start := len(s.output)
	if x.chosen.name == s.firstBackend {
		s.output = append(s.output, event...)
	} else {
		s.output = appendWithReplica(s.output, event, x.chosen.name)
	}
	x.appendStored(s.output[start:])
}

// holdText holds the text of an event for a replay. When a limit is reached, the held text is dropped and the
// request can no longer be replayed.
func (x *exchange) holdText(event []byte) {
	s := &x.stream
	if s.textIncomplete || !x.call.repeatable {
		return
	}
	from, to, ok := findText(event)
	if !ok {
		return
	}
	if !x.reserveText(to - from) {
		s.textIncomplete, s.heldText = true, nil
		x.notReplayable.Store(true)
		return
	}
	s.heldText = append(s.heldText, event[from:to]...)
}

// reserveText reserves memory for more text. It returns false at the limit of the stream or of the memory budget.
func (x *exchange) reserveText(more int) bool {
	s := &x.stream
	if len(s.heldText)+more > maxHeldTextBytes {
		return false
	}
	for int64(len(s.heldText)+more) > s.reservedBytes {
		if !x.server.memory.reserve(memoryStep) {
			return false
		}
		s.reservedBytes += memoryStep
	}
	return true
}

// appendStored appends to the stream that is stored for resends of the idempotency key.
func (x *exchange) appendStored(part []byte) {
	if x.machine.Request().Key == "" || len(x.stream.storedStream) > x.server.config.StoredAnswerBytes {
		return
	}
	x.stream.storedStream = append(x.stream.storedStream, part...)
}

// completeStream reports a stream that ended with its end mark.
func (x *exchange) completeStream() {
	x.stream.output = append(x.stream.output, doneEvent...)
	x.appendStored(doneEvent)
	x.endRun(poisonguard.Answered)
	x.releaseBackend(outcomeGood)
	x.step(&dispatch.Event{Kind: dispatch.Completed, Answer: &wire.Answer{Status: http.StatusOK,
		ContentType: eventStreamType, Body: x.stream.storedStream}})
}

// Close implements io.Closer. The HTTP server calls it when the body was written or the caller's connection broke.
func (x *exchange) Close() error {
	if !x.answered {
		x.pendingEvents = nil
		x.queueEvent(dispatch.Event{Kind: dispatch.CallerGone})
		x.drive()
		if !x.answered {
			x.continueWithoutCaller()
			return nil
		}
	}
	x.drainUpstream()
	x.finishExchange()
	return nil
}

// continueWithoutCaller runs a non-repeatable request to its end without a caller, so that a resend finds the
// answer.
func (x *exchange) continueWithoutCaller() {
	go func() {
		defer x.finishExchange()
		_ = recovery.Do(x.server.config.Log, x.call.requestID, "stream without a caller", x.readToEnd)
	}()
}

// readToEnd reads the rest of the answer and passes it to nobody.
func (x *exchange) readToEnd() {
	for !x.answered && !x.machineFinished {
		x.stream.output, x.stream.outputSent = x.stream.output[:0], 0
		x.readUpstream()
	}
	x.drainUpstream()
}

// drainUpstream reads the end of the body after the end mark, so that the connection can be reused. If anything
// else follows the end mark, it closes the connection.
func (x *exchange) drainUpstream() {
	up := x.takeUpstream()
	if up == nil {
		return
	}
	if !x.stream.finished || x.outcome.Failed() || len(x.stream.input) > 0 {
		up.close()
		return
	}
	_ = up.conn.SetReadDeadline(time.Now().Add(drainTimeout))
	n, err := up.response.BodyStream().Read(x.stream.readBuf)
	if n != 0 || err != io.EOF || up.response.ConnectionClose() {
		up.close()
		return
	}
	_ = up.response.CloseBodyStream()
	x.server.transport.release(up)
}

// appendErrorEvent appends an error event, which clients do not mistake for the end of a complete answer.
func appendErrorEvent(out []byte, outcome *dispatch.Outcome) []byte {
	body, err := json.Marshal(errorBodyOf(outcome))
	if err != nil {
		return out
	}
	out = append(out, "data: "...)
	out = append(out, body...)
	return append(out, eventEnd...)
}
