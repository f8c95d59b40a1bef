package caller

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/tamarindring/tamarindring/internal/verdict"
)

// maxEventLineBytes limits the length of a line of an event stream.
const maxEventLineBytes = 4 << 20

// streamEvent is a server-sent event of a streamed completion.
type streamEvent struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
		Checksum     string  `json:"checksum"`
		TokenOffset  *int    `json:"token_offset"`
		TokenCount   int     `json:"token_count"`
	} `json:"choices"`
	Error *errorDetail `json:"error"`
}

// streamReader assembles a streamed answer.
type streamReader struct {
	content    strings.Builder
	checksum   string
	finished   bool
	nextToken  int // offset of the next expected token
	firstToken time.Time
}

var (
	dataPrefix = []byte("data:")
	doneMark   = []byte("[DONE]")
)

// readStream reads a streamed answer. The answer counts as complete only if it has a finish reason and the end mark.
func readStream(prepared *preparedCall, body io.Reader) result {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventLineBytes)
	var reader streamReader
	for scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneMark) {
			return reader.finish(prepared)
		}
		if ended := reader.readEvent(data); ended != nil {
			return *ended
		}
	}
	err := scanner.Err()
	if err == nil {
		err = errNoEnd
	}
	return result{kind: resultLost, detail: err.Error(), firstToken: reader.firstToken}
}

// readEvent processes one event. It returns a result if the event ends the stream with an error, or nil otherwise.
func (r *streamReader) readEvent(data []byte) *result {
	var event streamEvent
	if err := json.Unmarshal(data, &event); err != nil {
		return &result{kind: resultWrong, detail: "an event is no JSON: " + err.Error()}
	}
	if event.Error != nil {
		ended := event.Error.result()
		ended.firstToken = r.firstToken
		return &ended
	}
	for _, choice := range event.Choices {
		if choice.TokenCount > 0 && choice.TokenOffset != nil {
			if *choice.TokenOffset != r.nextToken {
				return &result{kind: resultWrong, detail: fmt.Sprintf("token %d came after %d", *choice.TokenOffset, r.nextToken)}
			}
			r.nextToken += choice.TokenCount
		}
		content := choice.Text + choice.Delta.Content
		if content != "" && r.firstToken.IsZero() {
			r.firstToken = time.Now()
		}
		r.content.WriteString(content)
		if choice.FinishReason != nil {
			r.finished, r.checksum = true, choice.Checksum
		}
	}
	return nil
}

func (r *streamReader) finish(prepared *preparedCall) result {
	if !r.finished {
		return result{kind: resultWrong, verdict: verdict.Ran, detail: "the end mark came without a finish reason", firstToken: r.firstToken}
	}
	checked := checkText(prepared, r.content.String(), r.checksum)
	checked.firstToken = r.firstToken
	return checked
}
