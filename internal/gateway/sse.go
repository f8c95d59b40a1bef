package gateway

import (
	"bytes"
	"strconv"
)

// Byte patterns of the chunk format. Quotation marks inside JSON strings are escaped, so the patterns that begin
// with an unescaped one can only match keys.
var (
	dataPrefix       = []byte("data:")
	doneData         = []byte("[DONE]")
	idMark           = []byte(`{"id":"`)
	offsetMark       = []byte(`"token_offset":`)
	countMark        = []byte(`"token_count":`)
	textMark         = []byte(`"text":"`)
	contentMark      = []byte(`"content":"`)
	finishMark       = []byte(`"finish_reason":`)
	choiceMark       = []byte(`"choices":[{`)
	exportedMark     = []byte(`"code":"exported"`)
	eventEnd         = []byte("\n\n")
	eventEndCarriage = []byte("\r\n\r\n")
	doneEvent        = []byte("data: [DONE]\n\n")
)

// chunkFacts holds the fields of one stream event that the gateway uses.
type chunkFacts struct {
	id             []byte // still escaped; set if the chunk begins with it; aliases the event
	offset         uint64
	count          uint64
	hasTokenFields bool // the chunk states offset and count
	finished       bool // the chunk has a finish reason
	done           bool // the event is the end mark
	failed         bool // the event is an error
	exported       bool // the error says that the engine has exported the request's KV cache
}

// nextEvent splits the first complete event off buffer. ok is false if there is none.
func nextEvent(buffer []byte) (event, rest []byte, ok bool) {
	end := bytes.Index(buffer, eventEnd)
	length := len(eventEnd)
	if carriage := bytes.Index(buffer, eventEndCarriage); carriage >= 0 && (end < 0 || carriage < end) {
		end, length = carriage, len(eventEndCarriage)
	}
	if end < 0 {
		return nil, buffer, false
	}
	return buffer[:end+length], buffer[end+length:], true
}

// parseChunk extracts the fields of one event.
func parseChunk(event []byte) chunkFacts {
	data, found := bytes.CutPrefix(event, dataPrefix)
	if !found {
		return chunkFacts{}
	}
	data = bytes.TrimSpace(data)
	if bytes.Equal(data, doneData) {
		return chunkFacts{done: true}
	}
	if bytes.HasPrefix(data, []byte(`{"error"`)) {
		return chunkFacts{failed: true, exported: bytes.Contains(data, exportedMark)}
	}
	facts := chunkFacts{id: parseLeadingID(data)}
	var hasOffset, hasCount bool
	facts.offset, hasOffset = parseNumberAfter(data, offsetMark)
	facts.count, hasCount = parseNumberAfter(data, countMark)
	facts.hasTokenFields = hasOffset && hasCount
	if at := bytes.Index(data, finishMark); at >= 0 {
		value := bytes.TrimLeft(data[at+len(finishMark):], " ")
		facts.finished = len(value) > 0 && value[0] == '"'
	}
	return facts
}

// parseLeadingID returns the ID at the beginning of a chunk, or nil.
func parseLeadingID(data []byte) []byte {
	rest, found := bytes.CutPrefix(data, idMark)
	if !found {
		return nil
	}
	if end := bytes.IndexByte(rest, '"'); end > 0 {
		return rest[:end]
	}
	return nil
}

// namesOtherRequest reports whether a chunk's ID contains an ID of this gateway other than own. All IDs of this
// gateway begin with prefix. Engines add text such as "cmpl-" before the ID and "-0" after it.
func namesOtherRequest(id []byte, prefix, own string) bool {
	at := bytes.Index(id, []byte(prefix))
	if at < 0 {
		return false
	}
	behind, found := bytes.CutPrefix(id[at:], []byte(own))
	return !found || (len(behind) > 0 && behind[0] != '-')
}

// parseNumberAfter returns the number that follows mark. Only its first 18 digits are read.
func parseNumberAfter(data, mark []byte) (uint64, bool) {
	at := bytes.Index(data, mark)
	if at < 0 {
		return 0, false
	}
	value, digits := uint64(0), 0
	for _, b := range bytes.TrimLeft(data[at+len(mark):], " ") {
		if b < '0' || b > '9' || digits == 18 {
			break
		}
		value = value*10 + uint64(b-'0')
		digits++
	}
	return value, digits > 0
}

// findText returns the range of the chunk's text within the event, still escaped. ok is false if the chunk has no
// text.
func findText(event []byte) (from, to int, ok bool) {
	from = bytes.Index(event, textMark)
	mark := textMark
	if from < 0 {
		from, mark = bytes.Index(event, contentMark), contentMark
	}
	if from < 0 {
		return 0, 0, false
	}
	from += len(mark)
	for to = from; to < len(event); to++ {
		switch event[to] {
		case '\\':
			to++
		case '"':
			return from, to, true
		}
	}
	return 0, 0, false
}

// trimTokens appends the event without its first skip tokens to target. A token is a word that ends in a space. It
// returns false if the event has fewer tokens.
func trimTokens(target, event []byte, facts chunkFacts, skip uint64) ([]byte, bool) {
	from, to, ok := findText(event)
	if !ok || skip >= facts.count {
		return target, false
	}
	text := event[from:to]
	for range skip {
		space := bytes.IndexByte(text, ' ')
		if space < 0 {
			return target, false
		}
		text = text[space+1:]
	}
	start := len(target)
	target = append(target, event[:from]...)
	target = append(target, text...)
	target = append(target, event[to:]...)
	trimmed := replaceNumber(target[start:], offsetMark, facts.offset+skip)
	trimmed = replaceNumber(trimmed, countMark, facts.count-skip)
	return append(target[:start], trimmed...), true
}

// replaceNumber returns data with the number after mark replaced by value.
func replaceNumber(data, mark []byte, value uint64) []byte {
	at := bytes.Index(data, mark)
	if at < 0 {
		return data
	}
	start := at + len(mark)
	end := start
	for end < len(data) && (data[end] == ' ' || (data[end] >= '0' && data[end] <= '9')) {
		end++
	}
	replaced := append([]byte(nil), data[:start]...)
	replaced = strconv.AppendUint(replaced, value, 10)
	return append(replaced, data[end:]...)
}

// appendWithReplica appends an event to which it adds the name of the back end that produced it. The answer's
// header names only the first back end of the stream.
func appendWithReplica(target, event []byte, replica string) []byte {
	at := bytes.Index(event, choiceMark)
	if at < 0 {
		return append(target, event...)
	}
	at += len(choiceMark)
	target = append(target, event[:at]...)
	target = append(target, `"replica":`...)
	target = strconv.AppendQuote(target, replica)
	if at < len(event) && event[at] != '}' {
		target = append(target, ',')
	}
	return append(target, event[at:]...)
}
