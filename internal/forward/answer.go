package forward

import (
	"net/http"
	"sync/atomic"

	"github.com/tamarindring/tamarindring/internal/replica"
)

// answer receives the answer of one attempt as a replica.Sink. It buffers an answer until it is whole or exceeds the
// buffer, and then forwards data as it arrives. Event streams are not buffered, but a resumable stream is forwarded only
// up to its last whole event. Nothing is forwarded while another attempt's answer is being forwarded.
//
// finish releases the buffer of a whole answer. The code that discards an attempt releases the buffer otherwise.
type answer struct {
	owner       *atomic.Pointer[answer] // the answer being forwarded to the caller; nil: none yet
	reply       Reply
	replaceable bool // another attempt may run concurrently, or replace the answer before its first byte
	resuming    bool // continues a stream that another attempt left incomplete
	resumable   bool // a stream can be continued by another attempt
	runsOnce    bool // the request must not run again once it may have run
	// mayReplace asks for permission to send a replacement when no other attempt runs concurrently. nil: always
	// permitted.
	mayReplace           func() bool
	hedged               atomic.Bool // another attempt runs concurrently
	replacementPermitted bool        // mayReplace permitted a replacement
	headReceived         atomic.Bool
	// usable is set once the head of an event stream was received, or other data is being forwarded. Until then a second
	// attempt may still give the caller a whole answer sooner.
	usable      atomic.Bool
	onHead      func(stream bool)
	head        replica.Head
	buffer      answerBuffer
	forwarding  bool // data is forwarded as it arrives
	splitter    *eventSplitter
	lastEventID int64 // of the last event forwarded; -1: none
}

// Head implements replica.Sink.
func (a *answer) Head(head replica.Head) error {
	a.headReceived.Store(true)
	a.head = head
	stream := head.Stream && head.Status == http.StatusOK
	a.usable.Store(stream)
	if a.onHead != nil {
		a.onHead(stream)
	}
	switch {
	case a.runsOnce && promisesNotRun(head.Status):
		return unprovenRefusal{status: head.Status}
	case a.resuming && !stream:
		return errNotResumed
	case a.resuming:
		if !a.owner.CompareAndSwap(nil, a) {
			return errOtherAttemptWon
		}
		a.forwarding = true
	case a.replaceable && head.Status >= http.StatusInternalServerError && a.replace():
		return errReplaced
	}
	if stream && a.resumable {
		a.splitter = &eventSplitter{}
	}
	return nil
}

// replace reports whether another attempt replaces this failed one. Otherwise the failure becomes the caller's answer.
func (a *answer) replace() bool {
	if a.mayReplace == nil || a.hedged.Load() {
		return true
	}
	a.replacementPermitted = a.mayReplace()
	return a.replacementPermitted
}

// Body implements replica.Sink.
func (a *answer) Body(chunk []byte) error {
	switch {
	case a.splitter != nil:
		events, err := a.splitter.feed(chunk)
		if err != nil || len(events) == 0 {
			return err
		}
		if err := a.pass(events); err != nil {
			return err
		}
		if id := a.splitter.lastID; id >= 0 {
			a.lastEventID = id
		}
		return nil
	case a.forwarding || a.head.Stream:
		return a.pass(chunk)
	}
	if a.buffer.add(chunk, a.head.Length) {
		return nil
	}
	if err := a.pass(a.buffer.bytes); err != nil {
		return err
	}
	a.buffer.release()
	return a.pass(chunk)
}

// pass forwards data to the caller, preceded by the head if that was not sent yet.
func (a *answer) pass(data []byte) error {
	if !a.forwarding {
		if !a.owner.CompareAndSwap(nil, a) {
			return errOtherAttemptWon
		}
		a.forwarding = true
		a.usable.Store(true)
		if err := a.reply.Head(a.head); err != nil {
			return errCallerGone
		}
	}
	if len(data) == 0 {
		return nil
	}
	if err := a.reply.Body(data); err != nil {
		return errCallerGone
	}
	return nil
}

// finish forwards the buffered rest of a whole answer.
func (a *answer) finish() error {
	defer a.buffer.release()
	if a.splitter != nil {
		return a.pass(a.splitter.rest())
	}
	if !a.forwarding && a.head.Length < 0 {
		a.head.Length = int64(len(a.buffer.bytes))
	}
	return a.pass(a.buffer.bytes)
}
