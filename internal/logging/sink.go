package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines and maxQueuedBytes bound the lines that wait to be written.
	maxQueuedLines = 8192
	maxQueuedBytes = 1 << 20
	// maxBatchBytes is the approximate size up to which lines are combined into one write.
	maxBatchBytes = 32 << 10
	// closeTimeout bounds how long Close waits until the queued lines are written.
	closeTimeout = 500 * time.Millisecond
)

// Sink writes lines to an output from its own goroutine, so that callers never wait for the reader of the output. A line is
// dropped and counted if the queue is full.
type Sink struct {
	output      io.Writer
	lines       chan []byte
	queuedBytes atomic.Int64 // total size of the queued lines
	dropped     atomic.Uint64
	closing     chan struct{}
	closed      chan struct{}
	closeOnce   sync.Once
	finalLine   func() []byte // returns the last line to write; nil if there is none
}

// NewSink returns a sink for an output and starts its goroutine, which runs until Close.
func NewSink(output io.Writer) *Sink {
	sink := &Sink{output: output, lines: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), closed: make(chan struct{})}
	go sink.run()
	return sink
}

// Write implements io.Writer for complete lines. It keeps the slice, which the caller must not change afterwards. It returns
// no error for a dropped line.
func (s *Sink) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil
	}
	if s.queuedBytes.Add(int64(len(line))) > maxQueuedBytes {
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
	s.queuedBytes.Add(-int64(len(line)))
	s.dropped.Add(1)
}

// Dropped returns the number of lines that were dropped because the queue was full.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// setFinalLine sets the function that returns the last line, which is written when the sink is closed.
func (s *Sink) setFinalLine(finalLine func() []byte) { s.finalLine = finalLine }

// Close waits until the queued lines are written, for at most closeTimeout. Lines written after Close are lost.
func (s *Sink) Close() error {
	s.closeOnce.Do(func() { close(s.closing) })
	timer := time.NewTimer(closeTimeout)
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
			s.writeBatch(line)
		case <-s.closing:
			s.flush()
			return
		}
	}
}

// writeBatch writes a line together with further queued lines, up to about maxBatchBytes.
func (s *Sink) writeBatch(first []byte) {
	batch := first
	size := int64(len(first))
	for len(batch) < maxBatchBytes {
		select {
		case line := <-s.lines:
			batch = append(batch, line...)
			size += int64(len(line))
			continue
		default:
		}
		break
	}
	s.queuedBytes.Add(-size)
	_, _ = s.output.Write(batch) // an error of the log output can't be logged
}

// flush writes the queued lines and the final line.
func (s *Sink) flush() {
	for {
		select {
		case line := <-s.lines:
			s.writeBatch(line)
			continue
		default:
		}
		break
	}
	if s.finalLine == nil {
		return
	}
	if line := s.finalLine(); len(line) > 0 {
		_, _ = s.output.Write(line)
	}
}
