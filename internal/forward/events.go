package forward

import (
	"bytes"
	"strconv"
)

// eventSplitter cuts a series of server-sent events after whole events and notes the last one's id.
type eventSplitter struct {
	pending []byte // begins at the start of an event
	ready   []byte // returned by feed, valid until the next call
	last    int64
	any     bool
}

// feed takes the next bytes and returns the events that are whole now; the result is valid until the next call.
func (s *eventSplitter) feed(chunk []byte) []byte {
	if !s.any {
		s.last, s.any = -1, true
	}
	s.pending = append(s.pending, chunk...)
	end := wholeEvents(s.pending)
	if end == 0 {
		return nil
	}
	if id, ok := lastEventID(s.pending[:end]); ok {
		s.last = id
	}
	s.ready = append(s.ready[:0], s.pending[:end]...)
	s.pending = append(s.pending[:0], s.pending[end:]...)
	return s.ready
}

// rest returns the bytes after the last whole event.
func (s *eventSplitter) rest() []byte { return s.pending }

// wholeEvents returns the length of data up to the end of its last whole event: an empty line.
func wholeEvents(data []byte) int {
	end := 0
	if at := bytes.LastIndex(data, []byte("\n\n")); at >= 0 {
		end = at + 2
	}
	if at := bytes.LastIndex(data, []byte("\n\r\n")); at >= 0 {
		end = max(end, at+3)
	}
	return end
}

// lastEventID returns the last numeric id among whole events.
func lastEventID(events []byte) (int64, bool) {
	last, found := int64(0), false
	for line := range bytes.Lines(events) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		if id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
			last, found = id, true
		}
	}
	return last, found
}
