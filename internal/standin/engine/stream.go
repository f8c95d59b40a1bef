package engine

import (
	"sync"
	"time"

	"github.com/tamarindring/tamarindring/internal/engine/text"
)

// stream tracks one request: the number of tokens generated, under which versions, and the outcome. The text itself is
// not stored, each reader generates it.
type stream struct {
	requestID      string
	idempotencyKey string
	handle         uint64 // request id in the emulator
	model          string
	chat           bool
	request        text.Request
	continuation   string // continuation that came with the prompt
	prefixTokens   int    // tokens of that continuation
	totalTokens    int    // tokens of the whole answer
	truncated      bool   // the token limit ends the answer
	arrived        time.Time
	afterLeave     time.Duration // time between the leave mark and the arrival; 0 if it arrived before the mark

	done        chan struct{} // closed at the end
	mutex       sync.Mutex    // guards the fields below
	changed     sync.Cond     // signals more tokens, or the end
	tokens      int           // generated so far, including the prefix
	segments    []Segment
	outcome     Outcome
	ended       time.Time
	readers     int
	unreadSince time.Time
	preemptions int
}

// streamProgress is a stream's progress at one moment.
type streamProgress struct {
	tokens  int
	outcome Outcome
}

// appendTokens records count tokens generated under a version and wakes the readers.
func (s *stream) appendTokens(count int, number uint64, version string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	last := len(s.segments) - 1
	if last >= 0 && s.segments[last].VersionNumber == number {
		s.segments[last].Count += count
	} else {
		s.segments = append(s.segments, Segment{Version: version, VersionNumber: number, From: s.tokens, Count: count})
	}
	s.tokens += count
	s.changed.Broadcast()
}

func (s *stream) countPreemption() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.preemptions++
}

// end sets the outcome unless the stream has ended, and reports whether it did. It calls record with the execution
// before readers learn of the end, so that a client that has read a whole answer finds it in the log.
func (s *stream) end(outcome Outcome, now time.Time, record func(Execution)) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.outcome != OutcomeRunning {
		return false
	}
	s.outcome, s.ended = outcome, now
	record(s.executionLocked())
	close(s.done)
	s.changed.Broadcast()
	return true
}

func (s *stream) endedAt() time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.ended
}

// attach registers a reader.
func (s *stream) attach() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.readers++
}

// detach unregisters a reader.
func (s *stream) detach() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.readers--
	s.unreadSince = time.Now()
}

// isAbandoned reports whether the stream has had no reader for longer than grace.
func (s *stream) isAbandoned(now time.Time, grace time.Duration) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.readers == 0 && now.Sub(s.unreadSince) > grace
}

// awaitProgress blocks until more than from tokens exist or the stream has ended.
func (s *stream) awaitProgress(from int) streamProgress {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for s.tokens <= from && s.outcome == OutcomeRunning {
		s.changed.Wait()
	}
	return streamProgress{tokens: s.tokens, outcome: s.outcome}
}

// awaitEnd blocks until the stream has ended.
func (s *stream) awaitEnd() streamProgress {
	<-s.done
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return streamProgress{tokens: s.tokens, outcome: s.outcome}
}

// segmentAt returns the tokens of [token, end) that were generated under the same version as token, up to the first of
// another version.
func (s *stream) segmentAt(token, end int) Segment {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, segment := range s.segments {
		if token < segment.From+segment.Count {
			stop := min(segment.From+segment.Count, end)
			return Segment{Version: segment.Version, VersionNumber: segment.VersionNumber, From: token, Count: stop - token}
		}
	}
	return Segment{From: token, Count: end - token}
}

func (s *stream) copySegments() []Segment {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]Segment(nil), s.segments...)
}

// generator returns a generator whose next token is the given one.
func (s *stream) generator(token int) text.Generator {
	generator := s.request.Start()
	generator.Skip(s.continuation)
	generator.Append(nil, max(token-s.prefixTokens, 0))
	return generator
}

// execution returns the stream's log entry in its current state.
func (s *stream) execution() Execution {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.executionLocked()
}

// executionLocked is execution for callers that hold the mutex.
func (s *stream) executionLocked() Execution {
	return Execution{
		RequestID: s.requestID, IdempotencyKey: s.idempotencyKey, Prompt: s.request.Prompt, Seed: s.request.Seed,
		MaxTokens: s.request.MaxTokens, Arrived: s.arrived, Ended: s.ended,
		AfterLeave: s.afterLeave, Outcome: s.outcome, PrefixTokens: s.prefixTokens, Tokens: s.tokens,
		Segments: append([]Segment(nil), s.segments...), Preemptions: s.preemptions,
	}
}
