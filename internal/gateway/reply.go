package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/tamarindring/tamarindring/internal/dispatch"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

// Error codes of the gateway, in addition to those of package dispatch.
const (
	CodeOverloaded  = "overloaded"
	CodeDraining    = "draining"
	CodeUnknownPool = "unknown_pool"
	CodeMalformed   = "malformed_request"
	CodeCallerGone  = "caller_gone"
	CodeInternal    = "internal"
)

// ErrorBody is an error in the format of the OpenAI API.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error: its cause, whether the request ran, and when to retry.
type ErrorDetail struct {
	Message           string  `json:"message"`
	Type              string  `json:"type"`
	Code              string  `json:"code"`
	Verdict           string  `json:"verdict"`
	RetryAfterSeconds float64 `json:"retry_after_seconds,omitempty"`
}

func errorBodyOf(outcome *dispatch.Outcome) ErrorBody {
	kind := "server_error"
	if outcome.Status < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	return ErrorBody{Error: ErrorDetail{Message: outcome.Reason, Type: kind, Code: outcome.Code,
		Verdict: outcome.Verdict.String(), RetryAfterSeconds: outcome.RetryAfter.Seconds()}}
}

// reply records the final answer. An error after the stream was opened is appended to it as an event. Any other
// answer is written when the handler returns.
func (x *exchange) reply(outcome dispatch.Outcome) {
	x.outcome, x.answered = outcome, true
	if x.stream.opened && outcome.Failed() {
		x.stream.output = appendErrorEvent(x.stream.output, &outcome)
	}
}

// writeOutcome writes an answer that is not streamed, or an error.
func (x *exchange) writeOutcome() {
	ctx, outcome := x.caller, &x.outcome
	x.writeHeaders()
	if outcome.RetryAfter > 0 {
		ctx.Response.Header.Set(HeaderRetryAfter, wholeSeconds(outcome.RetryAfter))
	}
	if outcome.Stored {
		ctx.Response.Header.Set(HeaderStored, "true")
	}
	if x.server.draining.Load() {
		ctx.SetConnectionClose()
	}
	ctx.SetStatusCode(outcome.Status)
	if outcome.Failed() || outcome.Answer == nil {
		writeJSON(ctx, errorBodyOf(outcome))
		return
	}
	ctx.SetContentType(outcome.Answer.ContentType)
	ctx.Response.SetBodyRaw(outcome.Answer.Body)
}

// writeHeaders sets the headers that are known before the answer's body.
func (x *exchange) writeHeaders() {
	header := &x.caller.Response.Header
	if x.call.requestID != "" {
		header.Set(HeaderRequestID, x.call.requestID)
	}
	if x.answered {
		header.Set(verdict.Header, x.outcome.Verdict.String())
	}
	if x.sendCount > 0 {
		header.Set(HeaderBackend, x.chosen.name)
		header.Set(HeaderTableVersion, strconv.FormatUint(x.chosen.version, 10))
	}
	header.Set(HeaderServerTiming, x.stages.header(x.server.now()-x.arrived))
}

// wholeSeconds rounds up to whole seconds, the unit of Retry-After.
func wholeSeconds(duration time.Duration) string {
	return strconv.Itoa(int(math.Ceil(duration.Seconds())))
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.SetStatusCode(http.StatusInternalServerError)
		return
	}
	ctx.SetContentType(jsonType)
	ctx.Response.SetBodyRaw(body)
}

// writeRefusal answers a request for which no exchange was created, such as a malformed one.
func writeRefusal(ctx *fasthttp.RequestCtx, status int, code, reason string) {
	outcome := dispatch.Outcome{Status: status, Verdict: verdict.DidNotRun, Code: code, Reason: reason}
	ctx.Response.Header.Set(verdict.Header, outcome.Verdict.String())
	ctx.SetStatusCode(status)
	writeJSON(ctx, errorBodyOf(&outcome))
}
