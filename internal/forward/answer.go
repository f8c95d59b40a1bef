package forward

import (
	"net/http"
	"sync/atomic"

	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/table"
)

// answer is the sink of one attempt. It holds an answer back until it is whole, or too large to hold, or a
// series of events; from then on it passes on what comes.
type answer struct {
	exchange    *exchange
	replaceable bool // another attempt may replace the answer before its first byte
	began       atomic.Bool
	head        replica.Head
	held        []byte
	passing     bool // this attempt passes on what comes
	events      *eventSplitter
}

// Head implements replica.Sink.
func (a *answer) Head(head replica.Head) error {
	a.began.Store(true)
	a.head = head
	stream := head.Stream && head.Status == http.StatusOK
	if a.exchange.passing { // the answer goes on where another attempt broke off
		if !stream {
			return errNotResumed
		}
		a.passing = true
	} else if a.replaceable && head.Status >= http.StatusInternalServerError {
		return errReplaced
	}
	if stream && a.exchange.route.Resumable && a.exchange.route.Kind == table.Stream {
		a.events = &eventSplitter{}
	}
	return nil
}

// Body implements replica.Sink.
func (a *answer) Body(chunk []byte) error {
	switch {
	case a.events != nil:
		whole := a.events.feed(chunk)
		if len(whole) == 0 {
			return nil
		}
		if err := a.pass(whole); err != nil {
			return err
		}
		if id := a.events.last; id >= 0 {
			a.exchange.passed = id
		}
		return nil
	case a.passing || a.head.Stream:
		return a.pass(chunk)
	}
	a.held = append(a.held, chunk...)
	if len(a.held) <= a.exchange.forwarder.config.MaxBufferedAnswer {
		return nil
	}
	held := a.held
	a.held = nil
	return a.pass(held)
}

// pass passes bytes on to the caller, with the head before the first.
func (a *answer) pass(data []byte) error {
	if !a.passing {
		a.passing, a.exchange.passing = true, true
		if err := a.exchange.reply.Head(a.head); err != nil {
			return errPassedOn
		}
	}
	if len(data) == 0 {
		return nil
	}
	if err := a.exchange.reply.Body(data); err != nil {
		return errPassedOn
	}
	return nil
}

// finish passes on what was held back of an answer that is whole.
func (a *answer) finish() error {
	if a.events != nil {
		return a.pass(a.events.rest())
	}
	if !a.passing && a.head.Length < 0 {
		a.head.Length = int64(len(a.held))
	}
	return a.pass(a.held)
}

// resumable tells whether another back end can go on after the last event that was passed on.
func (a *answer) resumable() bool {
	return a.exchange.route.Resumable && a.exchange.passed >= 0
}
