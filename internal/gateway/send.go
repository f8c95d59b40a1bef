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

	"github.com/tamarindring/tamarindring/internal/dispatch"
	"github.com/tamarindring/tamarindring/internal/poisonguard"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// errForeignAnswer means that a back end answered another request than the one that was sent.
var errForeignAnswer = errors.New("the back end's answer names another request")

// errUnframed means that an answer's end cannot be told from a cut connection.
var errUnframed = errors.New("the back end's answer states no length")

// errAnswerTooLarge means that an answer that is not streamed is larger than the limit.
var errAnswerTooLarge = errors.New("the back end's answer is larger than the limit")

// send makes one dispatch. The lease is checked at the last moment before the first byte, against the very
// table version that the choice was made on.
func (x *exchange) send(action *dispatch.Action) {
	x.dropUpstream()
	payload, err := x.payload(action)
	if err != nil || (action.Kind == dispatch.Resume && x.abandoned.Load()) {
		x.endRun(poisonguard.NotRun)
		x.feed(dispatch.Event{Kind: dispatch.SendFailed})
		return
	}
	began := x.server.now()
	up, err := x.server.transport.acquire(x.chosen.address, x.wallLimit)
	x.stages.add(stageConnect, x.server.now()-began)
	if err != nil {
		x.endRun(poisonguard.NotRun)
		x.leaveBackend(outcomeBad)
		x.feed(dispatch.Event{Kind: dispatch.SendFailed})
		return
	}
	version, leased := x.server.config.Control.Admit()
	if !leased && !action.Unchecked {
		x.server.transport.release(up)
		x.endRun(poisonguard.NotRun)
		x.feed(dispatch.Event{Kind: dispatch.LeaseLapsed})
		return
	}
	if version != x.chosen.version && action.Kind != dispatch.Resume && leased {
		x.server.transport.release(up)
		x.putOff()
		x.feed(dispatch.Event{Kind: dispatch.TableMoved})
		return
	}
	x.sends++
	x.server.log.add(x, action, version)
	x.server.counts.countDispatch(x, action.Kind)
	x.exchangeWith(up, payload, action)
}

// payload is what one dispatch sends.
type payload struct {
	path   string
	body   []byte
	rest   io.Reader
	length int64
}

func (x *exchange) payload(action *dispatch.Action) (payload, error) {
	c := x.call
	if action.Kind == dispatch.Resume {
		return payload{path: "/v1/streams/" + x.streamID + "/resume?from=" + strconv.FormatUint(action.Offset, 10)}, nil
	}
	x.streamID = x.server.streamPrefix + strconv.FormatUint(x.id, 10)
	if x.sends > 0 {
		x.streamID += "." + strconv.Itoa(x.sends)
	}
	var body []byte
	var err error
	if action.Kind == dispatch.Replay {
		if x.stream.overflow {
			return payload{}, errAnswerTooLarge
		}
		body, err = c.rewritten(x.streamID, x.priority, x.stream.text, action.Offset)
	} else {
		body, err = c.outgoing(x.streamID, x.priority)
	}
	length := int64(len(body))
	if !c.whole() {
		length = -1
		if c.bodyLength >= 0 {
			length = c.bodyLength + int64(len(body)-len(c.body))
		}
	}
	return payload{path: c.path, body: body, rest: c.rest, length: length}, err
}

// exchangeWith writes the request and reads the answer, or its header when it is streamed.
func (x *exchange) exchangeWith(up *upstream, out payload, action *dispatch.Action) {
	began := x.server.now()
	_ = up.conn.SetDeadline(x.wallLimit)
	if !x.holdUpstream(up) {
		x.server.transport.release(x.takeUpstream())
		x.feed(dispatch.Event{Kind: dispatch.Yield})
		x.feed(dispatch.Event{Kind: dispatch.SendFailed}) // ignored when the yield is obeyed
		return
	}
	if x.abandoned.Load() {
		x.failSend(false, os.ErrDeadlineExceeded)
		return
	}
	if err := x.write(up, out); err != nil {
		if paced := x.call.paced; paced != nil && paced.failure != nil {
			x.blameBody(paced.failure)
			return
		}
		x.failSend(up.counter.written > 0, err)
		return
	}
	up.response.Reset()
	up.response.StreamBody = true
	x.setHeaderLimit(up, action.Kind)
	err := up.response.ReadLimitBody(up.reader, 0)
	x.stages.add(stageBackend, x.server.now()-began)
	if err == nil && !x.answersThis(up) {
		err = errForeignAnswer
	}
	if err != nil {
		x.failSend(true, err)
		return
	}
	x.liftHeaderLimit(up, action.Kind)
	x.classify(up, action)
}

// answersThis tells whether the answer belongs to the request that was sent. An answer that names no request
// is accepted only as the first one of a connection, where no other request can have caused it.
func (x *exchange) answersThis(up *upstream) bool {
	echoed := up.response.Header.Peek(HeaderRequestID)
	if len(echoed) == 0 {
		return !up.named
	}
	up.named = true
	return string(echoed) == x.streamID
}

// holdUpstream makes the connection interruptible; it is false when a yield came first.
func (x *exchange) holdUpstream(up *upstream) bool {
	x.upMutex.Lock()
	defer x.upMutex.Unlock()
	x.up = up
	return !x.yield.Load() || !x.machine.Preemptible()
}

func (x *exchange) takeUpstream() *upstream {
	x.upMutex.Lock()
	defer x.upMutex.Unlock()
	up := x.up
	x.up = nil
	return up
}

// dropUpstream closes the connection of a send that is over.
func (x *exchange) dropUpstream() {
	if up := x.takeUpstream(); up != nil {
		up.close()
	}
}

// write sends the request. A body that is not held is passed through in bounded memory.
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
	if out.rest == nil {
		header.SetContentLength(len(out.body))
		if err := header.Write(up.writer); err != nil {
			return err
		}
		if _, err := up.writer.Write(out.body); err != nil {
			return err
		}
		return up.writer.Flush()
	}
	request.SetBodyStream(io.MultiReader(bytes.NewReader(out.body), out.rest), int(out.length))
	if err := request.Write(up.writer); err != nil {
		return err
	}
	return up.writer.Flush()
}

// failSend reports a send that ended without an answer.
func (x *exchange) failSend(reached bool, cause error) {
	x.dropUpstream()
	if x.feedInterruption(cause) {
		x.endRun(poisonguard.Stopped)
		x.leaveBackend(outcomeNeutral)
		return
	}
	if reached {
		x.breakOff(cause)
	} else {
		x.endRun(poisonguard.NotRun)
	}
	x.leaveBackend(outcomeBad)
	if reached {
		x.feed(dispatch.Event{Kind: dispatch.SendUnknown})
		return
	}
	x.feed(dispatch.Event{Kind: dispatch.SendFailed})
}

// feedInterruption translates a timeout of the connection into what caused it.
func (x *exchange) feedInterruption(cause error) bool {
	if !errors.Is(cause, os.ErrDeadlineExceeded) {
		return false
	}
	if x.server.now() >= x.deadline {
		x.feed(dispatch.Event{Kind: dispatch.DeadlinePassed})
		return true
	}
	if x.yield.Load() && x.machine.Preemptible() {
		x.feed(dispatch.Event{Kind: dispatch.Yield})
		return true
	}
	return false
}

// refusalBody is the part of a back end's error that the gateway looks at.
type refusalBody struct {
	Error struct {
		Code string `json:"code"`
	} `json:"error"`
}

const codeLeaving = "leaving"

// classify decides what an answer's header means.
func (x *exchange) classify(up *upstream, action *dispatch.Action) {
	status := up.response.StatusCode()
	if status == http.StatusOK && x.call.fields.Stream &&
		bytes.HasPrefix(up.response.Header.ContentType(), []byte(eventStreamType)) {
		x.openStream(up, action)
		return
	}
	body, err := x.readWhole(up)
	if err != nil {
		x.failSend(true, err)
		return
	}
	answer := &wire.Answer{Status: uint32(status), ContentType: string(up.response.Header.ContentType()), Body: body}
	said, _ := verdict.Parse(string(up.response.Header.Peek(verdict.Header)))
	retryAfter := retryAfterOf(&up.response.Header)
	x.finishUpstream()
	x.classifyWhole(action, answer, said, retryAfter)
}

func (x *exchange) classifyWhole(action *dispatch.Action, answer *wire.Answer, said verdict.Verdict, retryAfter time.Duration) {
	status := int(answer.Status)
	if said == verdict.DidNotRun || action.Kind == dispatch.Resume {
		x.endRun(poisonguard.NotRun)
	} else {
		x.endRun(poisonguard.Answered)
	}
	switch {
	case action.Kind == dispatch.Resume:
		// Nothing of the stream is kept there; it has to be replayed elsewhere.
		x.leaveBackend(outcomeNeutral)
		x.feed(dispatch.Event{Kind: dispatch.RefusedByBackend, RetryAfter: retryAfter})
	case said == verdict.DidNotRun:
		how := outcomeNeutral
		var refusal refusalBody
		if json.Unmarshal(answer.Body, &refusal) == nil && refusal.Error.Code == codeLeaving {
			how = outcomeLeaving
		}
		x.leaveBackend(how)
		x.feed(dispatch.Event{Kind: dispatch.RefusedByBackend, Status: status, RetryAfter: retryAfter, Answer: answer})
	case status >= http.StatusInternalServerError:
		x.leaveBackend(outcomeBad)
		x.feed(dispatch.Event{Kind: dispatch.Completed, Answer: answer})
	default:
		x.leaveBackend(outcomeGood)
		x.feed(dispatch.Event{Kind: dispatch.Completed, Answer: answer})
	}
}

// readWhole reads an answer that is not streamed.
func (x *exchange) readWhole(up *upstream) ([]byte, error) {
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

// finishUpstream keeps a connection whose answer was read to its end.
func (x *exchange) finishUpstream() {
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

func retryAfterOf(header *fasthttp.ResponseHeader) time.Duration {
	seconds, err := strconv.ParseFloat(string(header.Peek(HeaderRetryAfter)), 64)
	if err != nil || seconds <= 0 || seconds > maxRetryAfterSeconds {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

const maxRetryAfterSeconds = 3600

// cancel stops the work at the back end. The connection is closed at once; an engine is also told, because
// it keeps a stream for a while so that it can be resumed.
func (x *exchange) cancel() {
	x.dropUpstream()
	x.endRun(poisonguard.Stopped)
	x.leaveBackend(outcomeNeutral)
	if x.call.service == table.Engine && x.streamID != "" {
		x.server.cancelStream(x.chosen.address, x.streamID)
	}
}
