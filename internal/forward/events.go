package forward

import (
	"bytes"
	"strconv"

	"github.com/tamarindring/tamarindring/internal/answercheck"
	"github.com/tamarindring/tamarindring/internal/eventstream"
)

// eventSplitter splits a stream of server-sent events after whole events and records the id of the last one.
type eventSplitter struct {
	pending     []byte // starts at the beginning of an event
	ready       []byte // result of feed, valid until its next call
	lastID      int64
	initialized bool
}

// feed appends a chunk and returns the events that are now whole. The result is valid until the next call. The error is
// answercheck.Endless if an event exceeds eventstream.MaximumEventBytes.
func (s *eventSplitter) feed(chunk []byte) ([]byte, error) {
	if !s.initialized {
		s.lastID, s.initialized = -1, true
	}
	s.pending = append(s.pending, chunk...)
	end := wholeEvents(s.pending)
	if len(s.pending)-end > eventstream.MaximumEventBytes {
		return nil, answercheck.Endless
	}
	if end == 0 {
		return nil, nil
	}
	if id, ok := lastEventID(s.pending[:end]); ok {
		s.lastID = id
	}
	s.ready = append(s.ready[:0], s.pending[:end]...)
	s.pending = append(s.pending[:0], s.pending[end:]...)
	return s.ready, nil
}

// rest returns the bytes after the last whole event.
func (s *eventSplitter) rest() []byte { return s.pending }

// wholeEvents returns the length of data up to and including the empty line that ends its last whole event.
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

// lastEventID returns the last numeric id in a sequence of whole events.
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
