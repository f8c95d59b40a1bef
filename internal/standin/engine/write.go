package engine

import (
	"bufio"
	"encoding/json"
	"strconv"
	"time"

	"github.com/tamarindring/tamarindring/internal/engine/text"
	"github.com/tamarindring/tamarindring/internal/standin/endpoint"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

const doneEvent = "data: [DONE]\n\n"

// streamWriter writes one answer as server-sent events.
type streamWriter struct {
	stream    *stream
	writer    *bufio.Writer
	generator text.Generator
	checksum  text.ChecksumWriter
	head      []byte // beginning of every chunk, up to the text of its choice
	buffer    []byte
	words     []byte
	from      int // first token of this HTTP answer
	sent      int // token after the last one written
	faults    streamFaults
}

func newStreamWriter(running *stream, writer *bufio.Writer, from int, faults streamFaults) *streamWriter {
	made := &streamWriter{
		stream: running, writer: writer, generator: running.generator(from), checksum: text.NewChecksum(running.request),
		head: encodeChunkHead(running), from: from, sent: from, faults: faults,
	}
	made.checksum.Write(running.continuation)
	before := running.generator(running.prefixTokens)
	made.checksum.WriteBytes(before.Append(nil, from-running.prefixTokens))
	return made
}

// run writes until the end of the answer. It returns false if the connection must be cut: after an injected cut, a
// crash or a write error.
func (w *streamWriter) run() bool {
	for {
		progress := w.stream.awaitProgress(w.sent)
		for w.sent < progress.tokens {
			if !w.writeTokens(progress.tokens) {
				return false
			}
		}
		if progress.outcome == OutcomeRunning {
			continue
		}
		switch progress.outcome {
		case OutcomeFinished:
			return w.writeLast() == nil
		case OutcomeCrashed:
			return false
		default:
			return w.writeError(progress.outcome) == nil
		}
	}
}

// writeTokens writes one chunk: the next tokens before end that share a version. It returns false if the answer is cut.
func (w *streamWriter) writeTokens(end int) bool {
	if limit := w.faults.cutAfter; limit > 0 {
		if w.sent-w.from >= limit {
			return false
		}
		end = min(end, w.from+limit)
	}
	if limit := w.faults.stallAfter; limit > 0 {
		if w.sent-w.from >= limit && !w.awaitStallEnd() {
			return false
		}
		if w.faults.stallAfter > 0 {
			end = min(end, w.from+limit)
		}
	}
	if w.faults.delay > 0 {
		time.Sleep(w.faults.delay)
	}
	segment := w.stream.segmentAt(w.sent, end)
	w.words = w.generator.Append(w.words[:0], segment.Count)
	w.checksum.WriteBytes(w.words)
	w.buffer = w.appendChunk(w.buffer[:0], segment)
	if w.faults.duplicate {
		w.faults.duplicate = false
		_, _ = w.writer.Write(w.buffer)
	}
	if _, err := w.writer.Write(w.buffer); err != nil {
		return false
	}
	w.sent += segment.Count
	return w.writer.Flush() == nil
}

// awaitStallEnd waits until the faults change, which ends the stall. It returns false if the stand-in stops first.
func (w *streamWriter) awaitStallEnd() bool {
	select {
	case <-w.faults.faultsChanged:
		w.faults.stallAfter = 0
		return true
	case <-w.faults.serverClosed:
		return false
	}
}

// writeLast writes the last chunk, with the finish reason and the checksum, and the [DONE] event.
func (w *streamWriter) writeLast() error {
	line := append(w.buffer[:0], w.head...)
	if w.stream.chat {
		line = append(line, `"delta":{}`...)
	} else {
		line = append(line, `"text":""`...)
	}
	line = append(line, `,"finish_reason":"`...)
	line = append(line, finishReason(w.stream)...)
	line = append(line, `","token_offset":`...)
	line = strconv.AppendInt(line, int64(w.sent), 10)
	line = append(line, `,"token_count":0,"checksum":"`...)
	line = append(line, w.checksum.Sum()...)
	line = append(line, "\"}]}\n\n"...)
	line = append(line, doneEvent...)
	if _, err := w.writer.Write(line); err != nil {
		return err
	}
	return w.writer.Flush()
}

// writeError writes an error event with the reason of an early end. Neither a finish reason nor [DONE] follows.
func (w *streamWriter) writeError(outcome Outcome) error {
	body, err := json.Marshal(endpoint.ErrorBody{Error: endpoint.ErrorDetail{
		Message: "the request was " + string(outcome), Type: "server_error", Code: string(outcome), Verdict: verdict.MayHaveRun.String(),
	}})
	if err != nil {
		return err
	}
	if _, err := w.writer.WriteString("data: " + string(body) + "\n\n"); err != nil {
		return err
	}
	return w.writer.Flush()
}

// appendChunk appends the event with the text in w.words and its segment.
func (w *streamWriter) appendChunk(line []byte, segment Segment) []byte {
	line = append(line, w.head...)
	if w.stream.chat {
		line = append(line, `"delta":{"role":"assistant","content":"`...)
		line = append(line, w.words...)
		line = append(line, `"}`...)
	} else {
		line = append(line, `"text":"`...)
		line = append(line, w.words...)
		line = append(line, '"')
	}
	line = append(line, `,"finish_reason":null,"weight_version":`...)
	line = appendString(line, segment.Version)
	line = append(line, `,"version_number":`...)
	line = strconv.AppendUint(line, segment.VersionNumber, 10)
	line = append(line, `,"token_offset":`...)
	line = strconv.AppendInt(line, int64(segment.From), 10)
	line = append(line, `,"token_count":`...)
	line = strconv.AppendInt(line, int64(segment.Count), 10)
	return append(line, "}]}\n\n"...)
}

// encodeChunkHead returns the part that all chunks of a stream begin with.
func encodeChunkHead(running *stream) []byte {
	object := "text_completion"
	if running.chat {
		object = "chat.completion.chunk"
	}
	head := append([]byte(`data: {"id":`), encodeString(running.requestID)...)
	head = append(head, `,"object":"`+object+`","created":`...)
	head = strconv.AppendInt(head, running.arrived.Unix(), 10)
	head = append(head, `,"model":`...)
	head = append(head, encodeString(running.model)...)
	return append(head, `,"choices":[{"index":0,`...)
}

func finishReason(running *stream) string {
	if running.truncated {
		return "length"
	}
	return "stop"
}

// encodeString returns value as a JSON string.
func encodeString(value string) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		return []byte(`""`)
	}
	return encoded
}

// appendString appends value as a JSON string. Values without characters to escape, as most version names are, are
// copied without an encoder.
func appendString(line []byte, value string) []byte {
	for index := 0; index < len(value); index++ {
		if value[index] < ' ' || value[index] == '"' || value[index] == '\\' || value[index] > '~' {
			return append(line, encodeString(value)...)
		}
	}
	line = append(line, '"')
	line = append(line, value...)
	return append(line, '"')
}

// completionAnswer is the answer to a request without streaming.
type completionAnswer struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   string         `json:"model"`
	Choices []answerChoice `json:"choices"`
	Usage   answerUsage    `json:"usage"`
}

type answerChoice struct {
	Index         int           `json:"index"`
	Text          *string       `json:"text,omitempty"`
	Message       *text.Message `json:"message,omitempty"`
	FinishReason  string        `json:"finish_reason"`
	WeightVersion string        `json:"weight_version"` // version of the last token
	VersionNumber uint64        `json:"version_number"`
	TokenOffset   int           `json:"token_offset"`
	TokenCount    int           `json:"token_count"`
	Segments      []Segment     `json:"segments"`
	Checksum      string        `json:"checksum"`
}

type answerUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// encodeWholeAnswer encodes the answer without streaming: the tokens after the prefix, and a checksum that covers the
// prefix too.
func encodeWholeAnswer(running *stream, tokens int) []byte {
	generator := running.generator(running.prefixTokens)
	content := string(generator.Append(nil, tokens-running.prefixTokens))
	checksum := text.NewChecksum(running.request)
	checksum.Write(running.continuation)
	checksum.Write(content)
	choice := answerChoice{
		FinishReason: finishReason(running), TokenOffset: running.prefixTokens, TokenCount: tokens - running.prefixTokens,
		Segments: running.copySegments(), Checksum: checksum.Sum(),
	}
	if last := len(choice.Segments) - 1; last >= 0 {
		choice.WeightVersion, choice.VersionNumber = choice.Segments[last].Version, choice.Segments[last].VersionNumber
	}
	object := "text_completion"
	if running.chat {
		object = "chat.completion"
		choice.Message = &text.Message{Role: "assistant", Content: content}
	} else {
		choice.Text = &content
	}
	prompt := text.CountTokens(running.request.Prompt)
	encoded, err := json.Marshal(completionAnswer{
		ID: running.requestID, Object: object, Created: running.arrived.Unix(), Model: running.model,
		Choices: []answerChoice{choice},
		Usage:   answerUsage{PromptTokens: prompt, CompletionTokens: choice.TokenCount, TotalTokens: prompt + choice.TokenCount},
	})
	if err != nil {
		return []byte(`{}`)
	}
	return encoded
}
