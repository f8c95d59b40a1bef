// Package eventstream reads server-sent events (text/event-stream) as they arrive in pieces.
//
// The package is pure. Beside the standard fields it knows one of a site's own: the field that names a
// version from the event on that carries it.
package eventstream

import (
	"bytes"
	"errors"
	"strconv"
)

// MaximumEventBytes bounds one event.
const MaximumEventBytes = 1 << 20

// The errors of a stream that is not what it should be.
var (
	ErrTooLarge  = errors.New("eventstream: an event is too large")
	ErrMalformed = errors.New("eventstream: a number can't be read")
)

// NoID is the ID of an event without one.
const NoID = int64(-1)

// Event is one event that ended with its empty line.
type Event struct {
	ID      int64  // NoID if it has none
	Version uint64 // 0 if it names none
	Data    []byte // data lines joined by line feeds; valid during the call only
}

// Parser splits a stream into events. The zero value works without a version field.
type Parser struct {
	// VersionField is the name, in lower case, of the field that carries a version; may be empty.
	VersionField string

	line    []byte // of the unfinished line
	data    []byte
	id      int64
	version uint64
	fields  int // lines of the unfinished event
	noData  bool
}

// Pending reports whether the stream has ended in the middle of an event.
func (p *Parser) Pending() bool { return p.fields > 0 || len(p.line) > 0 }

// Feed takes the next bytes and calls take for every event that they end. It stops at the first error, which
// is take's or one of this package; the parser is of no use afterwards.
func (p *Parser) Feed(chunk []byte, take func(Event) error) error {
	for len(chunk) > 0 {
		end := bytes.IndexByte(chunk, '\n')
		if end < 0 {
			p.line = append(p.line, chunk...)
			return p.checkSize()
		}
		line := chunk[:end]
		if len(p.line) > 0 {
			p.line = append(p.line, line...)
			line = p.line
		}
		chunk = chunk[end+1:]
		if err := p.takeLine(bytes.TrimSuffix(line, []byte("\r")), take); err != nil {
			return err
		}
		p.line = p.line[:0]
		if err := p.checkSize(); err != nil {
			return err
		}
	}
	return nil
}

func (p *Parser) checkSize() error {
	if len(p.line)+len(p.data) > MaximumEventBytes {
		return ErrTooLarge
	}
	return nil
}

func (p *Parser) takeLine(line []byte, take func(Event) error) error {
	if len(line) == 0 {
		return p.dispatch(take)
	}
	if line[0] == ':' {
		return nil // a comment
	}
	if p.fields == 0 {
		p.id, p.version, p.data, p.noData = NoID, 0, p.data[:0], true
	}
	p.fields++
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch {
	case string(name) == "data":
		if !p.noData {
			p.data = append(p.data, '\n')
		}
		p.data, p.noData = append(p.data, value...), false
	case string(name) == "id":
		id, err := strconv.ParseInt(string(value), 10, 64)
		if err != nil || id < 0 {
			return ErrMalformed
		}
		p.id = id
	case p.VersionField != "" && string(name) == p.VersionField:
		version, err := strconv.ParseUint(string(value), 10, 64)
		if err != nil {
			return ErrMalformed
		}
		p.version = version
	}
	return nil
}

// dispatch ends an event; lines without data and id are none.
func (p *Parser) dispatch(take func(Event) error) error {
	if p.fields == 0 {
		return nil
	}
	p.fields = 0
	if p.noData && p.id == NoID && p.version == 0 {
		return nil
	}
	return take(Event{ID: p.id, Version: p.version, Data: p.data})
}
