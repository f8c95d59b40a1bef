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
	head      []byte // of every chunk, up to the choice's text
	buffer    []byte
	words     []byte
	from      int
	sent      int
	faults    streamFaults
}

func newStreamWriter(running *stream, writer *bufio.Writer, from int, faults streamFaults) *streamWriter {
	made := &streamWriter{
		stream: running, writer: writer, generator: running.generator(from), checksum: text.NewChecksum(running.request),
		head: chunkHead(running), from: from, sent: from, faults: faults,
	}
	made.checksum.Write(running.generated)
	before := running.generator(running.prefix)
	made.checksum.WriteBytes(before.Append(nil, from-running.prefix))
	return made
}

// run writes until the answer's end and reports whether it was written properly.
func (w *streamWriter) run() bool {
	for {
		progress := w.stream.await(w.sent)
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

// writeTokens writes one chunk of tokens before end that share a version.
func (w *streamWriter) writeTokens(end int) bool {
	if limit := w.faults.cutAfter; limit > 0 {
		if w.sent-w.from >= limit {
			return false
		}
		end = min(end, w.from+limit)
	}
	if limit := w.faults.stall; limit > 0 {
		if w.sent-w.from >= limit && !w.awaitLifted() {
			return false
		}
		if w.faults.stall > 0 {
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

// awaitLifted waits until the stall is lifted; it is false when the stand-in ends first.
func (w *streamWriter) awaitLifted() bool {
	select {
	case <-w.faults.lifted:
		w.faults.stall = 0
		return true
	case <-w.faults.ended:
		return false
	}
}

// writeLast writes the chunk with the finish reason and the checksum, and the end mark.
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

// writeError says in the stream why it ends early; there is neither a finish reason nor the end mark.
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

func chunkHead(running *stream) []byte {
	object := "text_completion"
	if running.chat {
		object = "chat.completion.chunk"
	}
	head := append([]byte(`data: {"id":`), quoted(running.requestID)...)
	head = append(head, `,"object":"`+object+`","created":`...)
	head = strconv.AppendInt(head, running.arrived.Unix(), 10)
	head = append(head, `,"model":`...)
	head = append(head, quoted(running.model)...)
	return append(head, `,"choices":[{"index":0,`...)
}

func finishReason(running *stream) string {
	if running.cut {
		return "length"
	}
	return "stop"
}

func quoted(value string) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		return []byte(`""`)
	}
	return encoded
}

// appendString appends a JSON string; version names need no escapes in the common case.
func appendString(line []byte, value string) []byte {
	for index := 0; index < len(value); index++ {
		if value[index] < ' ' || value[index] == '"' || value[index] == '\\' || value[index] > '~' {
			return append(line, quoted(value)...)
		}
	}
	line = append(line, '"')
	line = append(line, value...)
	return append(line, '"')
}

// completionAnswer is the whole answer to a request that is not streamed.
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
	WeightVersion string        `json:"weight_version"` // of the last token
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

// wholeAnswer encodes the tokens after the prefix; the checksum covers the prefix too.
func wholeAnswer(running *stream, tokens int) []byte {
	generator := running.generator(running.prefix)
	content := string(generator.Append(nil, tokens-running.prefix))
	checksum := text.NewChecksum(running.request)
	checksum.Write(running.generated)
	checksum.Write(content)
	choice := answerChoice{
		FinishReason: finishReason(running), TokenOffset: running.prefix, TokenCount: tokens - running.prefix,
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
	prompt := text.Count(running.request.Prompt)
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
