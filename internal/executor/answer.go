package executor

import (
	"slices"
	"sync"
	"time"

	"github.com/tamarindring/tamarindring/internal/loadreport"
	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// answer buffers the answer of one run. The run's goroutine fills it through the replica.Sink methods while leader
// streams read it concurrently.
type answer struct {
	maxBytes   int                  // limit of the body
	minVersion uint64               // oldest weight version that may produce the answer; 0: any
	clock      func() time.Duration // monotonic

	mutex      sync.Mutex // guards the fields below
	head       *wire.RunHead
	load       *loadreport.Report // load report received with the head; nil: none
	headAt     time.Duration      // time of receipt of the head, by clock
	body       []byte
	lastByteAt time.Duration    // time of receipt of the newest byte of the body, by clock
	outcome    *replica.Outcome // nil while the run is in progress
}

// Head implements replica.Sink. It returns errOldVersion for an answer from weights older than minVersion.
func (a *answer) Head(head replica.Head) error {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.head = &wire.RunHead{Status: uint32(head.Status), Stream: head.Stream, Version: head.Version}
	a.load, a.headAt = head.Load, a.clock()
	if head.Version > 0 && head.Version < a.minVersion {
		return errOldVersion // reject now what the leader would stop only after the next report
	}
	return nil
}

// Body implements replica.Sink. It returns errTooLong for a body that exceeds maxBytes.
func (a *answer) Body(chunk []byte) error {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if len(a.body)+len(chunk) > a.maxBytes {
		return errTooLong
	}
	a.body = append(a.body, chunk...)
	a.lastByteAt = a.clock()
	return nil
}

// setOutcome records how the run ended.
func (a *answer) setOutcome(outcome replica.Outcome) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.outcome = &outcome
}

// received returns the number of bytes of the body received so far, and the outcome of the run; nil while it is in
// progress.
func (a *answer) received() (bytes uint64, outcome *replica.Outcome) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return uint64(len(a.body)), a.outcome
}

// progressSince returns the bytes of the body from position on, and the head unless headSent is set. progress is nil
// when there is neither. Its Key and Order are left to the caller. outcome is nil while the run is in progress.
func (a *answer) progressSince(position uint64, headSent bool) (progress *wire.RunProgress, outcome *replica.Outcome) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var head *wire.RunHead
	if a.head != nil && !headSent {
		head = &wire.RunHead{
			Status: a.head.GetStatus(), Stream: a.head.GetStream(), Version: a.head.GetVersion(), Load: wireLoad(a.load, a.clock()-a.headAt),
		}
	}
	if head == nil && position >= uint64(len(a.body)) {
		return nil, a.outcome
	}
	return &wire.RunProgress{
		Head: head, Offset: position, Data: slices.Clone(a.body[min(position, uint64(len(a.body))):]),
		AgeMicros: ageMicros(a.clock() - a.lastByteAt),
	}, a.outcome
}

// maxAge is the upper limit of the ages in a report.
const maxAge = time.Hour
