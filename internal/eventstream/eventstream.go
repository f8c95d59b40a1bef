// Package eventstream parses server-sent events (text/event-stream) that arrive in pieces.
//
// The package does no input or output. Beside the standard fields data and id it supports one field that is specific to a
// site and carries a version, which applies from the event that contains it.
package eventstream

import (
	"bytes"
	"errors"
	"strconv"
)

// MaximumEventBytes bounds the data of one event and its unfinished line.
const MaximumEventBytes = 1 << 20

// Errors of an invalid stream.
var (
	ErrTooLarge  = errors.New("eventstream: an event is too large")
	ErrMalformed = errors.New("eventstream: a number can't be read") // an id or a version
)

// NoID is the ID of an event that has no id field.
const NoID = int64(-1)

// Event is one complete event.
type Event struct {
	ID      int64  // NoID if the event has none
	Version uint64 // 0 if the event has none
	Data    []byte // data lines joined by line feeds; valid during the call only
}

// Parser splits a stream into events. The zero value is ready for use, without a version field.
type Parser struct {
	// VersionField is the name, in lower case, of the field that carries a version. It may be empty.
	VersionField string

	line        []byte // unfinished line
	data        []byte
	id          int64
	version     uint64
	lineCount   int  // number of lines of the unfinished event, without comments
	dataMissing bool // the unfinished event has no data line
}

// Pending reports whether the bytes so far end within an event.
func (p *Parser) Pending() bool { return p.lineCount > 0 || len(p.line) > 0 }

// Feed parses the next bytes of the stream and calls handle for every event that they complete. It stops at the first
// error, which is ErrTooLarge, ErrMalformed or an error of handle. The parser must not be used after an error.
func (p *Parser) Feed(chunk []byte, handle func(Event) error) error {
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
		if err := p.parseLine(bytes.TrimSuffix(line, []byte("\r")), handle); err != nil {
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

func (p *Parser) parseLine(line []byte, handle func(Event) error) error {
	if len(line) == 0 {
		return p.dispatch(handle)
	}
	if line[0] == ':' {
		return nil // a comment
	}
	if p.lineCount == 0 {
		p.id, p.version, p.data, p.dataMissing = NoID, 0, p.data[:0], true
	}
	p.lineCount++
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch {
	case string(name) == "data":
		if !p.dataMissing {
			p.data = append(p.data, '\n')
		}
		p.data, p.dataMissing = append(p.data, value...), false
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

// dispatch completes an event and passes it to handle. Lines without data, id and version form no event.
func (p *Parser) dispatch(handle func(Event) error) error {
	if p.lineCount == 0 {
		return nil
	}
	p.lineCount = 0
	if p.dataMissing && p.id == NoID && p.version == 0 {
		return nil
	}
	return handle(Event{ID: p.id, Version: p.version, Data: p.data})
}
