package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines and queueBytes bound what waits to be written.
	queueLines = 8192
	queueBytes = 1 << 20
	// writeBytes is about the size up to which lines are written together.
	writeBytes = 32 << 10
	// flushTime bounds how long Close waits for the reader of the output.
	flushTime = 500 * time.Millisecond
)

// Sink passes lines on to a writer from a goroutine of its own. A line that finds the queue full is lost and counted:
// whoever logs never waits for whoever reads.
type Sink struct {
	output  io.Writer
	lines   chan []byte
	waiting atomic.Int64 // bytes in lines
	lost    atomic.Uint64
	closing chan struct{}
	closed  chan struct{}
	once    sync.Once
	last    func() []byte // makes the last line; nil: none
}

// NewSink returns a sink; Close ends it.
func NewSink(output io.Writer) *Sink {
	sink := &Sink{output: output, lines: make(chan []byte, queueLines), closing: make(chan struct{}), closed: make(chan struct{})}
	go sink.run()
	return sink
}

// Write implements io.Writer for whole lines. It takes the bytes over.
func (s *Sink) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil
	}
	if s.waiting.Add(int64(len(line))) > queueBytes {
		s.drop(line)
		return len(line), nil
	}
	select {
	case s.lines <- line:
	default:
		s.drop(line)
	}
	return len(line), nil
}

func (s *Sink) drop(line []byte) {
	s.waiting.Add(-int64(len(line)))
	s.lost.Add(1)
}

// Lost counts the lines that found the queue full.
func (s *Sink) Lost() uint64 { return s.lost.Load() }

func (s *Sink) onClose(last func() []byte) { s.last = last }

// Close writes what waits, for a bounded time. Lines that come later are lost.
func (s *Sink) Close() error {
	s.once.Do(func() { close(s.closing) })
	timer := time.NewTimer(flushTime)
	defer timer.Stop()
	select {
	case <-s.closed:
	case <-timer.C:
	}
	return nil
}

func (s *Sink) run() {
	defer close(s.closed)
	for {
		select {
		case line := <-s.lines:
			s.write(line)
		case <-s.closing:
			s.finish()
			return
		}
	}
}

// write writes a line and those that wait behind it, as long as they fit.
func (s *Sink) write(first []byte) {
	batch := first
	size := int64(len(first))
	for len(batch) < writeBytes {
		select {
		case line := <-s.lines:
			batch = append(batch, line...)
			size += int64(len(line))
			continue
		default:
		}
		break
	}
	s.waiting.Add(-size)
	_, _ = s.output.Write(batch) // nobody is left to tell
}

func (s *Sink) finish() {
	for {
		select {
		case line := <-s.lines:
			s.write(line)
			continue
		default:
		}
		break
	}
	if s.last == nil {
		return
	}
	if line := s.last(); len(line) > 0 {
		_, _ = s.output.Write(line)
	}
}
