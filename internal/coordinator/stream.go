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
	RequestID     string  `json:"-"` // the request's id at its engine
}

// Byte patterns of a chunk in its common form. Quotation marks inside a JSON string are escaped, so a pattern that
// starts with an unescaped one can match only a key.
var (
	dataPrefix     = []byte("data:")
	doneData       = []byte("[DONE]")
	idMark         = []byte(`"id":"`)
	choicesEnd     = []byte(`}]`)
	choicesMark    = []byte(`"choices":[{`)
	textMark       = []byte(`"text":"`)
	noFinishReason = []byte(`"finish_reason":null`)
	versionMark    = []byte(`"weight_version":"`)
	numberMark     = []byte(`"version_number":`)
	offsetMark     = []byte(`"token_offset":`)
	countMark      = []byte(`"token_count":`)
	replicaMark    = []byte(`"replica":"`)
	separatorMark  = []byte(`},{`)
)

// readStream reads a streamed answer up to its end marker and appends its tokens to the run. It returns an error if the
// stream is truncated or inconsistent.
func (s *Server) readStream(r *run, response *http.Response) error {
	defaultReplica := response.Header.Get("Tamarindring-Backend")
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
			return verifyChecksum(r, checksum)
		}
		if !choice.scan(data) {
			if err := choice.decode(data); err != nil {
				return err
			}
		}
		if choice.Replica == "" {
			choice.Replica = defaultReplica
		}
		if err := s.addChunk(r, &choice); err != nil {
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

// scan parses a chunk in the common form, at a fifth of the cost of decode. It returns false for any other form and
// then leaves the choice in an unspecified state.
func (c *chunkChoice) scan(data []byte) bool {
	at := bytes.Index(data, choicesMark)
	if at < 0 || bytes.Contains(data, separatorMark) || !bytes.Contains(data, noFinishReason) {
		return false
	}
	requestID, plain := chunkID(data, at)
	if !plain {
		return false
	}
	data = data[at+len(choicesMark):]
	content, hasText := textAfter(data, textMark)
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
	c.Text, c.FinishReason, c.Checksum = string(content), nil, ""
	c.VersionNumber, c.TokenOffset, c.TokenCount = number, int(offset), int(count)
	setText(&c.WeightVersion, version)
	setText(&c.Replica, replica)
	setText(&c.RequestID, requestID)
	return true
}

// chunkID returns the id of a chunk whose choices start at the given offset, or an empty id if it has none. It returns
// false if the id cannot be distinguished from the id of a nested object.
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

// setText assigns value to held, and allocates a new string only if the text differs.
func setText(held *string, value []byte) {
	if *held != string(value) {
		*held = string(value)
	}
}

// textAfter returns the string value that follows a pattern. It returns false if there is none or if the string
// contains escapes.
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

// numberAfter returns the number that follows a pattern. It returns false if there is none or if it has more than
// maxDigits digits.
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

// decode parses a chunk of any form.
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

// verifyChecksum compares the run's text with the checksum that the engine sent, if any.
func verifyChecksum(r *run, checksum string) error {
	request := text.Request{Prompt: r.slot.prompt.GetText(), Seed: uint64(r.id.Index), MaxTokens: int(r.slot.prompt.GetMaxTokens())}
	if checksum != "" && checksum != request.Checksum(r.partial.text.String()) {
		return errChecksumMismatch
	}
	return nil
}

// addChunk appends a chunk's tokens to the run. It returns an error if the chunk does not continue at the run's last
// token, and context.Canceled if the run no longer counts.
func (s *Server) addChunk(r *run, choice *chunkChoice) error {
	if choice.TokenCount == 0 {
		return nil
	}
	if choice.TokenOffset != r.partial.tokens {
		return trace.BadParameter("a chunk begins at token %d, not %d", choice.TokenOffset, r.partial.tokens)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !r.isCurrent() {
		return context.Canceled
	}
	r.replica, r.requestID = choice.Replica, choice.RequestID
	segments := len(r.partial.segments)
	r.partial.add(choice.Text, choice.TokenCount, choice.WeightVersion, choice.VersionNumber, choice.Replica)
	if r.partial.tokens >= r.reportedTokens+progressTokens || len(r.partial.segments) > segments {
		s.reportProgress(r, s.now())
	}
	return nil
}
