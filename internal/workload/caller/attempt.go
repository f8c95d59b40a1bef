package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tamarindring/tamarindring/internal/engine/text"
	"github.com/tamarindring/tamarindring/internal/standin/application"
	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/workload"
)

// maxAnswerBytes limits the size of an answer that is not streamed.
const maxAnswerBytes = 64 << 20

// resultKind classifies the outcome of an attempt.
type resultKind uint8

const (
	resultAnswered resultKind = iota + 1 // a complete and correct answer
	resultRejected                       // an error response
	resultLost                           // no complete response because the connection failed; the outcome is unknown
	resultWrong                          // a response that is presented as complete but is incorrect
)

// result is the outcome of an attempt. The result of the last attempt is the outcome of the call.
type result struct {
	kind              resultKind
	verdict           verdict.Verdict
	status            int
	detail            string // reason for a rejected, lost or wrong result
	code              string // error code of a rejection
	retryAfter        time.Duration
	notConnected      bool // the connection could not be established
	attempts          int
	brokenConnections int       // attempts of the call so far whose established connection broke, including this one
	trail             []Attempt // all attempts of a non-repeatable call
	firstToken        time.Time
	backend           string
	tokens            int
}

// preparedCall is a call with its request content, which is the same for all attempts.
type preparedCall struct {
	source       *workload.Source
	path         string
	body         []byte
	key          string // idempotency key of a non-repeatable call; empty for a repeatable one
	streamed     bool
	chat         bool
	prompt       string // prompt as the engine receives it, with the chat template applied
	expectedText string
}

type completionBody struct {
	Model    string         `json:"model"`
	Prompt   string         `json:"prompt,omitempty"`
	Messages []text.Message `json:"messages,omitempty"`
	Stream   bool           `json:"stream,omitempty"`
	Tokens   int            `json:"max_tokens"`
}

func prepareCall(source *workload.Source, call workload.Call, runName string) *preparedCall {
	if source.Service == workload.ServiceApplication {
		return prepareInvocation(source, call, runName)
	}
	content := source.PromptText(call, runName)
	prepared := &preparedCall{source: source, streamed: call.Streamed, chat: call.Chat, path: "/v1/completions", prompt: content}
	body := completionBody{Model: source.Pool, Prompt: content, Stream: call.Streamed, Tokens: max(call.OutputTokens, 1)}
	if call.Chat {
		prepared.path = "/v1/chat/completions"
		body.Prompt, body.Messages = "", []text.Message{{Role: "user", Content: content}}
		prepared.prompt, _ = text.RenderChat(body.Messages, false)
	}
	prepared.body, _ = json.Marshal(body)
	prepared.expectedText = text.ExpectedText(prepared.prompt, body.Tokens)
	return prepared
}

func prepareInvocation(source *workload.Source, call workload.Call, runName string) *preparedCall {
	key := fmt.Sprintf("%s-%s-%d", runName, source.Name, call.Number)
	filling := strings.Repeat("x", source.BodyBytes)
	return &preparedCall{
		source: source, key: key, path: "/v1/pools/" + source.Pool + "/" + source.Operation,
		body: []byte(`{"call":"` + key + `","filling":"` + filling + `"}`),
	}
}

// sendAttempt sends the call once to one gateway and reads the complete response.
func (c *Caller) sendAttempt(ctx context.Context, prepared *preparedCall, gateway string) result {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gateway+prepared.path, bytes.NewReader(prepared.body))
	if err != nil {
		return result{kind: resultLost, detail: err.Error()}
	}
	// With GetBody set, the client would silently resend a call with an idempotency key when a kept-alive connection closes,
	// and that attempt would not be counted.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Tamarindring-Class", prepared.source.Class)
	if deadline, ok := ctx.Deadline(); ok {
		request.Header.Set("Tamarindring-Deadline", max(time.Until(deadline), time.Millisecond).String())
	}
	if prepared.key != "" {
		request.Header.Set("Idempotency-Key", prepared.key)
	}
	if c.config.Authorization != "" {
		request.Header.Set("Authorization", c.config.Authorization)
	}
	response, err := c.client.Do(request)
	if err != nil {
		var failed *net.OpError
		return result{kind: resultLost, detail: err.Error(), notConnected: errors.As(err, &failed) && failed.Op == "dial"}
	}
	defer response.Body.Close()
	read := c.readAnswer(prepared, response)
	read.status = response.StatusCode
	read.backend = response.Header.Get("Tamarindring-Backend")
	return read
}

func (c *Caller) readAnswer(prepared *preparedCall, response *http.Response) result {
	if response.StatusCode != http.StatusOK {
		return readRefusal(response)
	}
	if prepared.streamed {
		return readStream(prepared, response.Body)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return result{kind: resultLost, detail: err.Error()}
	}
	if prepared.key != "" {
		return checkInvocation(prepared, body)
	}
	return checkCompletion(prepared, body)
}

// errorBody is an error response in OpenAI format with the verdict added.
type errorBody struct {
	Error *errorDetail `json:"error"`
}

type errorDetail struct {
	Message           string  `json:"message"`
	Code              any     `json:"code"`
	Verdict           string  `json:"verdict"`
	RetryAfterSeconds float64 `json:"retry_after_seconds"`
}

func (d *errorDetail) result() result {
	known, err := verdict.Parse(d.Verdict)
	if err != nil {
		known = verdict.MayHaveRun
	}
	code, _ := d.Code.(string)
	return result{
		kind: resultRejected, verdict: known, detail: d.Message, code: code,
		retryAfter: time.Duration(d.RetryAfterSeconds * float64(time.Second)),
	}
}

func readRefusal(response *http.Response) result {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return result{kind: resultLost, detail: err.Error()}
	}
	read := result{kind: resultRejected, verdict: verdict.MayHaveRun, detail: string(body)}
	var parsed errorBody
	if json.Unmarshal(body, &parsed) == nil && parsed.Error != nil {
		read = parsed.Error.result()
	}
	if known, err := verdict.Parse(response.Header.Get(verdict.Header)); err == nil {
		read.verdict = known
	}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil && read.retryAfter == 0 {
		read.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return read
}

// checkInvocation checks that an application's answer has the checksum of this call.
func checkInvocation(prepared *preparedCall, body []byte) result {
	var answer application.Answer
	if err := json.Unmarshal(body, &answer); err != nil {
		return result{kind: resultWrong, verdict: verdict.Ran, detail: "the answer is no JSON: " + err.Error()}
	}
	hash := application.BodyHash(prepared.body)
	if answer.Checksum != application.Checksum(prepared.source.Operation, prepared.key, hash) {
		return result{kind: resultWrong, verdict: verdict.Ran, detail: fmt.Sprintf("the answer to %s is for key %s", prepared.key, answer.Key)}
	}
	return result{kind: resultAnswered, verdict: verdict.Ran}
}

// wholeCompletion holds the checked fields of a completion that is not streamed.
type wholeCompletion struct {
	Choices []struct {
		Text     string       `json:"text"`
		Message  text.Message `json:"message"`
		Checksum string       `json:"checksum"`
	} `json:"choices"`
}

func checkCompletion(prepared *preparedCall, body []byte) result {
	var answer wholeCompletion
	if err := json.Unmarshal(body, &answer); err != nil || len(answer.Choices) != 1 {
		return result{kind: resultWrong, verdict: verdict.Ran, detail: "the answer is no completion"}
	}
	choice := answer.Choices[0]
	return checkText(prepared, choice.Text+choice.Message.Content, choice.Checksum)
}

// checkText compares a text that was presented as complete, and its checksum, with the expected ones.
func checkText(prepared *preparedCall, content, checksum string) result {
	if content != prepared.expectedText {
		return result{kind: resultWrong, verdict: verdict.Ran, detail: fmt.Sprintf("the answer has %d of %d bytes, or other content", len(content), len(prepared.expectedText))}
	}
	if checksum != text.Checksum(prepared.prompt, content) {
		return result{kind: resultWrong, verdict: verdict.Ran, detail: "the checksum is wrong"}
	}
	return result{kind: resultAnswered, verdict: verdict.Ran, tokens: text.CountTokens(content)}
}

var errNoEnd = errors.New("the stream ended without its end mark")
