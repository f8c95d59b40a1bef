package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/tamarindring/tamarindring/internal/answercheck"
	"github.com/tamarindring/tamarindring/internal/dispatch"
	"github.com/tamarindring/tamarindring/internal/poisonguard"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// errForeignChunk means that a chunk of a stream cannot be attributed to the request that was sent.
var errForeignChunk = errors.New("chunk of the back end's answer does not name the request that was sent")

// errUnframed means that an answer has neither a length nor chunks, so that its end looks the same as a cut
// connection.
var errUnframed = errors.New("back end answer has neither a content length nor chunks")

// errAnswerTooLarge means that an answer, or the text of a stream, exceeds its size limit.
var errAnswerTooLarge = errors.New("back end answer exceeds the size limit")

// send performs one dispatch. The lease is checked immediately before the first byte is written, and the table must
// still have the version on which the back end was chosen.
func (x *exchange) send(action *dispatch.Action) {
	x.dropUpstream()
	out, err := x.buildPayload(action)
	if err != nil || (action.Kind == dispatch.Resume && x.abandoned.Load()) {
		x.endRun(poisonguard.NotRun)
		x.queueEvent(dispatch.Event{Kind: dispatch.SendFailed})
		return
	}
	began := x.server.now()
	up, err := x.server.transport.acquire(x.chosen.address, x.wallDeadline)
	x.stages.add(stageConnect, x.server.now()-began)
	if err != nil {
		x.endRun(poisonguard.NotRun)
		x.releaseBackend(outcomeBad)
		x.queueEvent(dispatch.Event{Kind: dispatch.SendFailed})
		return
	}
	version, leased := x.server.config.Control.Admit()
	if !leased && !action.Unchecked {
		x.server.transport.release(up)
		x.endRun(poisonguard.NotRun)
		x.queueEvent(dispatch.Event{Kind: dispatch.LeaseLapsed})
		return
	}
	if version != x.chosen.version && action.Kind != dispatch.Resume && leased {
		x.server.transport.release(up)
		x.postponeRun()
		x.queueEvent(dispatch.Event{Kind: dispatch.TableChanged})
		return
	}
	x.sendCount++
	x.server.dispatchLog.add(x, action, version)
	x.server.metrics.recordDispatch(x, action.Kind)
	x.roundTrip(up, out, action)
}

// payload is the path and the body of one dispatch.
type payload struct {
	path      string
	body      []byte
	remainder io.Reader // unbuffered part of the body, after body; may be nil
	length    int64     // of the whole body; -1 when unknown
}

// buildPayload returns what a dispatch sends, and assigns the stream ID unless the dispatch resumes a stream.
func (x *exchange) buildPayload(action *dispatch.Action) (payload, error) {
	c := x.call
	if action.Kind == dispatch.Resume {
		return payload{path: "/v1/streams/" + x.streamID + "/resume?from=" + strconv.FormatUint(action.Offset, 10)}, nil
	}
	x.streamID = x.server.streamPrefix + strconv.FormatUint(x.id, 10)
	if x.sendCount > 0 {
		x.streamID += "." + strconv.Itoa(x.sendCount)
	}
	var body []byte
	var err error
	if action.Kind == dispatch.Replay {
		if x.stream.textIncomplete {
			return payload{}, errAnswerTooLarge
		}
		body, err = c.rewriteBody(x.streamID, x.priority, x.stream.heldText, action.Offset)
	} else {
		body, err = c.buildBody(x.streamID, x.priority)
	}
	length := int64(len(body))
	if !c.isBuffered() {
		length = -1
		if c.bodyLength >= 0 {
			length = c.bodyLength + int64(len(body)-len(c.body))
		}
	}
	return payload{path: c.path, body: body, remainder: c.remainder, length: length}, err
}

// roundTrip writes the request and reads the answer. Of a streamed answer it reads only the header.
func (x *exchange) roundTrip(up *upstream, out payload, action *dispatch.Action) {
	began := x.server.now()
	_ = up.conn.SetDeadline(x.wallDeadline)
	if !x.setUpstream(up) {
		x.server.transport.release(x.takeUpstream())
		x.queueEvent(dispatch.Event{Kind: dispatch.Preempt})
		x.queueEvent(dispatch.Event{Kind: dispatch.SendFailed}) // ignored if the machine acts on the preemption
		return
	}
	if x.abandoned.Load() {
		x.failSend(false, os.ErrDeadlineExceeded)
		return
	}
	if err := x.write(up, out); err != nil {
		if paced := x.call.pacedRemainder; paced != nil && paced.failure != nil {
			x.failForCallerBody(paced.failure)
			return
		}
		x.failSend(up.counter.written > 0, err)
		return
	}
	x.setHeaderTimeout(up, action.Kind)
	err := up.readHead()
	x.stages.add(stageBackend, x.server.now()-began)
	if err == nil {
		err = x.checkAnswer(up)
	}
	if err != nil {
		x.failSend(true, err)
		return
	}
	x.clearHeaderTimeout(up, action.Kind)
	x.classify(up, action)
}

// checkAnswer returns nil if the answer belongs to the request that was sent, and otherwise an answercheck.Fault. An answer
// that names no request is accepted from back ends that have never named one, where it must be the first on its
// connection, so that no earlier request can have caused it.
func (x *exchange) checkAnswer(up *upstream) error {
	named := string(up.response.Header.Peek(HeaderRequestID))
	var expected answercheck.Expected
	if named != "" || x.server.transport.isNaming(up.address) {
		expected.RequestID = x.streamID
	}
	if err := expected.Check(answercheck.Head{Status: up.response.StatusCode(), RequestID: named}); err != nil {
		return err
	}
	if named != "" {
		up.namesRequests = true
		x.server.transport.noteNaming(up.address)
	}
	return nil
}

// setUpstream makes the connection visible to preempt and abandonBackend, which interrupt it. It returns false if
// the request was preempted before and the machine can still act on that.
func (x *exchange) setUpstream(up *upstream) bool {
	x.upstreamMutex.Lock()
	defer x.upstreamMutex.Unlock()
	x.upstream = up
	return !x.preempted.Load() || !x.machine.Preemptible()
}

// takeUpstream detaches the current connection, if there is one, and returns it.
func (x *exchange) takeUpstream() *upstream {
	x.upstreamMutex.Lock()
	defer x.upstreamMutex.Unlock()
	up := x.upstream
	x.upstream = nil
	return up
}

// dropUpstream closes the current connection, if there is one.
func (x *exchange) dropUpstream() {
	if up := x.takeUpstream(); up != nil {
		up.close()
	}
}

// write sends the request. An unbuffered body is streamed through in bounded memory.
func (x *exchange) write(up *upstream, out payload) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	header := &request.Header
	header.SetMethod(http.MethodPost)
	header.SetRequestURI(out.path)
	header.SetHost(up.address)
	header.SetNoDefaultContentType(true)
	header.SetUserAgent("tamarindring")
	if x.call.contentType != "" {
		header.SetContentType(x.call.contentType)
	}
	header.Set(HeaderRequestID, x.streamID)
	if x.call.key != "" {
		header.Set(HeaderKey, x.call.key)
	}
	header.Set(HeaderDeadline, strconv.FormatInt(max(int64((x.deadline-x.server.now())/time.Millisecond), 1), 10))
	if out.remainder == nil {
		header.SetContentLength(len(out.body))
		if err := header.Write(up.writer); err != nil {
			return err
		}
		if _, err := up.writer.Write(out.body); err != nil {
			return err
		}
		return up.writer.Flush()
	}
	request.SetBodyStream(io.MultiReader(bytes.NewReader(out.body), out.remainder), int(out.length))
	if err := request.Write(up.writer); err != nil {
		return err
	}
	return up.writer.Flush()
}

// failSend reports a send that ended without an answer. reached means that the back end may have received a part of
// the request.
func (x *exchange) failSend(reached bool, cause error) {
	x.dropUpstream()
	if x.handleTimeout(cause) {
		x.endRun(poisonguard.Stopped)
		x.releaseBackend(outcomeNeutral)
		return
	}
	if reached {
		x.endBrokenRun(cause)
	} else {
		x.endRun(poisonguard.NotRun)
	}
	x.releaseBackend(outcomeBad)
	if reached {
		x.queueEvent(dispatch.Event{Kind: dispatch.SendUnknown})
		return
	}
	x.queueEvent(dispatch.Event{Kind: dispatch.SendFailed})
}

// handleTimeout queues the event behind a read or write timeout: the request's deadline or a preemption. It returns
// false if the error has another cause.
func (x *exchange) handleTimeout(cause error) bool {
	if !errors.Is(cause, os.ErrDeadlineExceeded) {
		return false
	}
	if x.server.now() >= x.deadline {
		x.queueEvent(dispatch.Event{Kind: dispatch.DeadlinePassed})
		return true
	}
	if x.preempted.Load() && x.machine.Preemptible() {
		x.queueEvent(dispatch.Event{Kind: dispatch.Preempt})
		return true
	}
	return false
}

// refusalBody is the part of a back end's error body that the gateway reads.
type refusalBody struct {
	Error struct {
		Code string `json:"code"`
	} `json:"error"`
}

// codeLeaving is the error code of a back end that refuses work because it is leaving.
const codeLeaving = "leaving"

// classify opens the stream of a streamed answer, or reads any other answer whole and classifies it.
func (x *exchange) classify(up *upstream, action *dispatch.Action) {
	status := up.response.StatusCode()
	if status == http.StatusOK && x.call.fields.Stream &&
		bytes.HasPrefix(up.response.Header.ContentType(), []byte(eventStreamType)) {
		x.openStream(up, action)
		return
	}
	body, err := x.readFullBody(up)
	if err != nil {
		x.failSend(true, err)
		return
	}
	whole := &wire.Answer{Status: uint32(status), ContentType: string(up.response.Header.ContentType()), Body: body}
	backendVerdict, _ := verdict.Parse(string(up.response.Header.Peek(verdict.Header)))
	retryAfter := parseRetryAfter(&up.response.Header)
	x.releaseUpstream()
	x.classifyAnswer(action, whole, backendVerdict, retryAfter)
}

// classifyAnswer reports a whole answer to the machine and its outcome to routing and to the suspect guard.
func (x *exchange) classifyAnswer(action *dispatch.Action, whole *wire.Answer, backendVerdict verdict.Verdict, retryAfter time.Duration) {
	status := int(whole.Status)
	if backendVerdict == verdict.DidNotRun || action.Kind == dispatch.Resume {
		x.endRun(poisonguard.NotRun)
	} else {
		x.endRun(poisonguard.Answered)
	}
	switch {
	case action.Kind == dispatch.Resume:
		// The back end no longer holds the stream, so it has to be replayed at another one.
		x.releaseBackend(outcomeNeutral)
		x.queueEvent(dispatch.Event{Kind: dispatch.RefusedByBackend, RetryAfter: retryAfter})
	case backendVerdict == verdict.DidNotRun:
		result := outcomeNeutral
		var refusal refusalBody
		if json.Unmarshal(whole.Body, &refusal) == nil && refusal.Error.Code == codeLeaving {
			result = outcomeLeaving
		}
		x.releaseBackend(result)
		x.queueEvent(dispatch.Event{Kind: dispatch.RefusedByBackend, Status: status, RetryAfter: retryAfter, Answer: whole})
	case status >= http.StatusInternalServerError:
		x.releaseBackend(outcomeBad)
		x.queueEvent(dispatch.Event{Kind: dispatch.Completed, Answer: whole})
	default:
		x.releaseBackend(outcomeGood)
		x.queueEvent(dispatch.Event{Kind: dispatch.Completed, Answer: whole})
	}
}

// readFullBody reads the body of an answer that is not streamed, up to MaxAnswerBytes.
func (x *exchange) readFullBody(up *upstream) ([]byte, error) {
	length := up.response.Header.ContentLength()
	limit := x.server.config.MaxAnswerBytes
	switch {
	case length == -2:
		return nil, errUnframed
	case length > limit:
		return nil, errAnswerTooLarge
	case length >= 0:
		body := make([]byte, length)
		_, err := io.ReadFull(up.response.BodyStream(), body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(up.response.BodyStream(), int64(limit)+1))
	if err == nil && len(body) > limit {
		err = errAnswerTooLarge
	}
	return body, err
}

// releaseUpstream returns a connection to the idle pool after its answer was read to the end.
func (x *exchange) releaseUpstream() {
	up := x.takeUpstream()
	if up == nil {
		return
	}
	if up.response.ConnectionClose() {
		up.close()
		return
	}
	_ = up.response.CloseBodyStream()
	x.server.transport.release(up)
}

// parseRetryAfter returns the Retry-After of an answer, or 0 if it is missing, invalid or above
// maxRetryAfterSeconds.
func parseRetryAfter(header *fasthttp.ResponseHeader) time.Duration {
	seconds, err := strconv.ParseFloat(string(header.Peek(HeaderRetryAfter)), 64)
	if err != nil || seconds <= 0 || seconds > maxRetryAfterSeconds {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

const maxRetryAfterSeconds = 3600

// cancel stops the work at the back end. The connection is closed at once. An engine also gets a cancel call,
// because it keeps a disconnected stream for some time so that it can be resumed.
func (x *exchange) cancel() {
	x.dropUpstream()
	x.endRun(poisonguard.Stopped)
	x.releaseBackend(outcomeNeutral)
	if x.call.service == table.Engine && x.streamID != "" {
		x.server.cancelStream(x.chosen.address, x.streamID)
	}
}
