package gateway

import (
	"bytes"
	"strconv"
)

// The marks of the published chunk form. Inside a JSON string a quotation mark is escaped, so that these
// byte sequences, which begin with a bare one, are only ever keys.
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

// chunkFacts is what the gateway needs to know of one chunk.
type chunkFacts struct {
	id       []byte // of the answer, still escaped, where the chunk begins with it; part of the event
	offset   uint64
	count    uint64
	measured bool // the chunk states offset and count
	finished bool // it carries a finish reason
	done     bool // it is the end mark
	failed   bool // it is an error event
	exported bool // an error event: the engine has given the request's KV cache away
}

// nextEvent cuts the first whole event off buffer; ok is false when there is none.
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

// inspect reads the facts of one event.
func inspect(event []byte) chunkFacts {
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
	facts := chunkFacts{id: leadingID(data)}
	var hasOffset, hasCount bool
	facts.offset, hasOffset = numberAfter(data, offsetMark)
	facts.count, hasCount = numberAfter(data, countMark)
	facts.measured = hasOffset && hasCount
	if at := bytes.Index(data, finishMark); at >= 0 {
		value := bytes.TrimLeft(data[at+len(finishMark):], " ")
		facts.finished = len(value) > 0 && value[0] == '"'
	}
	return facts
}

// leadingID returns the identity that a chunk begins with, or nil.
func leadingID(data []byte) []byte {
	rest, found := bytes.CutPrefix(data, idMark)
	if !found {
		return nil
	}
	if end := bytes.IndexByte(rest, '"'); end > 0 {
		return rest[:end]
	}
	return nil
}

// namesOther tells whether a chunk's identity holds one that begins with prefix, as all of this gateway's
// do, but is not own. Engines put text such as "cmpl-" in front and "-0" behind.
func namesOther(id []byte, prefix, own string) bool {
	at := bytes.Index(id, []byte(prefix))
	if at < 0 {
		return false
	}
	behind, found := bytes.CutPrefix(id[at:], []byte(own))
	return !found || (len(behind) > 0 && behind[0] != '-')
}

func numberAfter(data, mark []byte) (uint64, bool) {
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

// textSpan returns where the chunk's text stands in the event, still escaped; ok is false without text.
func textSpan(event []byte) (from, to int, ok bool) {
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

// trim appends to target the event without its first skip tokens; a token is one word that ends in a
// space. It fails when the event has fewer tokens.
func trim(target, event []byte, facts chunkFacts, skip uint64) ([]byte, bool) {
	from, to, ok := textSpan(event)
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

// replaceNumber returns data with another number behind mark.
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

// appendWithReplica appends an event with the name of the back end that produced it, which the header can
// no longer tell once a stream has moved.
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
