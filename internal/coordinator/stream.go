package coordinator

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/engine/text"
)

// chunk is one event of a streamed answer.
type chunk struct {
	ID      string        `json:"id"`
	Choices []chunkChoice `json:"choices"`
	Error   *struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

type chunkChoice struct {
	Text          string  `json:"text"`
	FinishReason  *string `json:"finish_reason"`
	WeightVersion string  `json:"weight_version"`
	VersionNumber uint64  `json:"version_number"`
	TokenOffset   int     `json:"token_offset"`
	TokenCount    int     `json:"token_count"`
	Replica       string  `json:"replica"`
	Checksum      string  `json:"checksum"`
	RequestID     string  `json:"-"` // the request's name at its engine
}

// The marks of the common form of a chunk. Inside a JSON string a quotation mark is escaped, so that these
// bytes, which begin with a bare one, are only ever keys.
var (
	dataPrefix    = []byte("data:")
	doneData      = []byte("[DONE]")
	idMark        = []byte(`"id":"`)
	choicesEnd    = []byte(`}]`)
	choicesMark   = []byte(`"choices":[{`)
	textMark      = []byte(`"text":"`)
	unfinished    = []byte(`"finish_reason":null`)
	versionMark   = []byte(`"weight_version":"`)
	numberMark    = []byte(`"version_number":`)
	offsetMark    = []byte(`"token_offset":`)
	countMark     = []byte(`"token_count":`)
	replicaMark   = []byte(`"replica":"`)
	separatorMark = []byte(`},{`)
)

// readStream reads a streamed answer to its end mark.
func (s *Server) readStream(one *run, response *http.Response) error {
	first := response.Header.Get("Tamarindring-Backend")
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	finished, checksum := false, ""
	var choice chunkChoice
	for scanner.Scan() {
		data, found := bytes.CutPrefix(scanner.Bytes(), dataPrefix)
		data = bytes.TrimSpace(data)
		if !found {
			continue
		}
		if bytes.Equal(data, doneData) {
			if !finished {
				return trace.BadParameter("the stream ended without a finish reason")
			}
			return verify(one, checksum)
		}
		if !choice.scan(data) {
			if err := choice.decode(data); err != nil {
				return err
			}
		}
		if choice.Replica == "" {
			choice.Replica = first
		}
		if err := s.addChunk(one, &choice); err != nil {
			return err
		}
		if choice.FinishReason != nil {
			finished, checksum = true, choice.Checksum
		}
	}
	if err := scanner.Err(); err != nil {
		return trace.Wrap(err)
	}
	return io.ErrUnexpectedEOF
}

// scan reads a chunk in the common form, at a fifth of the cost of decoding it; it is false for any other,
// and then leaves the choice in no particular state.
func (c *chunkChoice) scan(data []byte) bool {
	at := bytes.Index(data, choicesMark)
	if at < 0 || bytes.Contains(data, separatorMark) || !bytes.Contains(data, unfinished) {
		return false
	}
	requestID, plain := chunkID(data, at)
	if !plain {
		return false
	}
	data = data[at+len(choicesMark):]
	words, hasText := textAfter(data, textMark)
	version, hasVersion := textAfter(data, versionMark)
	number, hasNumber := numberAfter(data, numberMark)
	offset, hasOffset := numberAfter(data, offsetMark)
	count, hasCount := numberAfter(data, countMark)
	if !hasText || !hasVersion || !hasNumber || !hasOffset || !hasCount {
		return false
	}
	replica, _ := textAfter(data, replicaMark)
	if bytes.Contains(data, replicaMark) && len(replica) == 0 {
		return false
	}
	c.Text, c.FinishReason, c.Checksum = string(words), nil, ""
	c.VersionNumber, c.TokenOffset, c.TokenCount = number, int(offset), int(count)
	setText(&c.WeightVersion, version)
	setText(&c.Replica, replica)
	setText(&c.RequestID, requestID)
	return true
}

// chunkID returns the identity of a chunk whose choices begin at a position, empty when it has none; false when that
// cannot be told apart from an identity of something else in it.
func chunkID(data []byte, choices int) (id []byte, plain bool) {
	first := bytes.Index(data, idMark)
	if first < 0 {
		return nil, true
	}
	inChoices := first > choices && first < bytes.LastIndex(data, choicesEnd)
	if inChoices || bytes.LastIndex(data, idMark) != first {
		return nil, false
	}
	return textAfter(data, idMark)
}

// setText makes a new string only when the text is another one.
func setText(held *string, value []byte) {
	if *held != string(value) {
		*held = string(value)
	}
}

// textAfter returns the string value behind a mark; false when there is none, or one with escapes.
func textAfter(data, mark []byte) ([]byte, bool) {
	at := bytes.Index(data, mark)
	if at < 0 {
		return nil, false
	}
	data = data[at+len(mark):]
	end := bytes.IndexByte(data, '"')
	if end < 0 || bytes.IndexByte(data[:end], '\\') >= 0 {
		return nil, false
	}
	return data[:end], true
}

const maxDigits = 18

// numberAfter returns the number behind a mark; false when there is none.
func numberAfter(data, mark []byte) (uint64, bool) {
	at := bytes.Index(data, mark)
	if at < 0 {
		return 0, false
	}
	value, digits := uint64(0), 0
	for _, b := range data[at+len(mark):] {
		if b < '0' || b > '9' {
			break
		}
		value = value*10 + uint64(b-'0')
		digits++
	}
	return value, digits > 0 && digits <= maxDigits
}

// decode reads a chunk of any form.
func (c *chunkChoice) decode(data []byte) error {
	var event chunk
	if err := json.Unmarshal(data, &event); err != nil {
		return trace.Wrap(err)
	}
	if event.Error != nil {
		return trace.ConnectionProblem(nil, "%s: %s", event.Error.Code, event.Error.Message)
	}
	if len(event.Choices) != 1 {
		return trace.BadParameter("a chunk has %d choices", len(event.Choices))
	}
	*c = event.Choices[0]
	c.RequestID = event.ID
	return nil
}

// verify compares an answer with the checksum that its engine stated.
func verify(one *run, checksum string) error {
	asked := text.Request{Prompt: one.slot.prompt.GetText(), Seed: uint64(one.id.Index), MaxTokens: int(one.slot.prompt.GetMaxTokens())}
	if checksum != "" && checksum != asked.Checksum(one.partial.text.String()) {
		return errWrongAnswer
	}
	return nil
}

// addChunk appends a chunk's tokens to the run.
func (s *Server) addChunk(one *run, choice *chunkChoice) error {
	if choice.TokenCount == 0 {
		return nil
	}
	if choice.TokenOffset != one.partial.tokens {
		return trace.BadParameter("a chunk begins at token %d, not %d", choice.TokenOffset, one.partial.tokens)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !one.current() {
		return context.Canceled
	}
	one.replica, one.requestID = choice.Replica, choice.RequestID
	segments := len(one.partial.segments)
	one.partial.add(choice.Text, choice.TokenCount, choice.WeightVersion, choice.VersionNumber, choice.Replica)
	if one.partial.tokens >= one.told+progressTokens || len(one.partial.segments) > segments {
		s.tellProgress(one, s.now())
	}
	return nil
}
