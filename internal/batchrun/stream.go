package batchrun

import (
	"errors"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/tamarindring/tamarindring/internal/batchrun/schedule"
	"github.com/tamarindring/tamarindring/internal/eventstream"
	"github.com/tamarindring/tamarindring/internal/loadreport"
	"github.com/tamarindring/tamarindring/internal/monotonic"
	"github.com/tamarindring/tamarindring/internal/replica"
)

// The reasons to drop an answer.
var (
	errNoStream     = errors.New("batchrun: the answer is no series of events")
	errOutOfOrder   = errors.New("batchrun: an event is missing, doubled or without an id")
	errNoVersion    = errors.New("batchrun: the answer names no weight version")
	errOldVersion   = errors.New("batchrun: the weights are older than the job allows")
	errMixedVersion = errors.New("batchrun: the weights changed in an answer that must have one version")
	errTooLong      = errors.New("batchrun: the answer is too long")
)

// text is what is held of an item's answer: whole events only.
type text struct {
	data     []byte
	events   int
	lastID   int64    // eventstream.NoID before the first event
	dense    bool     // every id so far was one above the one before
	versions []uint64 // that made an event, ascending
	whole    bool

	committed   int   // bytes of data that were handed over to be committed
	committedID int64 // of the last event in them

	growing       bool          // the first event has come since the text was begun or taken over
	checkpointDue time.Duration // when the next part is to be committed
}

func newText() *text { return &text{lastID: eventstream.NoID, dense: true} }

// fits reports whether the text may be used for a job with these bounds.
func (t *text) fits(minVersion uint64, singleVersion bool) bool {
	if minVersion > 0 && t.events > 0 && (len(t.versions) == 0 || t.versions[0] < minVersion) {
		return false
	}
	return !singleVersion || len(t.versions) <= 1
}

// add appends an event that the weights of a version made.
func (t *text) add(event eventstream.Event, version uint64) error {
	if event.ID == eventstream.NoID || event.ID <= t.lastID {
		return errOutOfOrder
	}
	if next := event.ID == t.lastID+1; t.events > 0 && !next {
		if t.dense && t.events > 1 {
			return errOutOfOrder
		}
		t.dense = false
	}
	if len(t.data)+len(event.Data)+1 > maximumTextBytes {
		return errTooLong
	}
	if t.events > 0 {
		t.data = append(t.data, '\n')
	}
	t.data = append(t.data, event.Data...)
	t.events++
	t.lastID = event.ID
	if position, known := slices.BinarySearch(t.versions, version); !known && version > 0 {
		t.versions = slices.Insert(t.versions, position, version)
	}
	return nil
}

// stream takes one answer into an item's text. It implements replica.Sink.
type stream struct {
	parser     eventstream.Parser
	clock      monotonic.Clock
	minVersion uint64
	single     bool
	text       *text
	item       string
	checkpoints
	status  int
	version uint64
	fault   error
	came    time.Duration // of what is fed now, where it came to another process before; 0: it comes now
	// next is the id of the first event that is new. A run that is taken over repeats those before, which only tell their version.
	next int64

	// What the runner's loop reads while the answer comes.
	events  atomic.Int64
	last    atomic.Int64 // Clock of the last event
	current atomic.Uint64
	report  atomic.Pointer[loadreport.Observation] // of the replica on itself, as the answer began
}

// Head implements replica.Sink.
func (s *stream) Head(head replica.Head) error {
	s.status = head.Status
	s.reported(head.Load, loadreport.FromAnswer)
	if head.Status != http.StatusOK || !head.Stream {
		return s.fail(errNoStream)
	}
	s.version = head.Versions
	return s.fail(s.checkVersion())
}

// Came implements executorclient.Sink.
func (s *stream) Came(at time.Duration) { s.came = at }

// Body implements replica.Sink.
func (s *stream) Body(chunk []byte) error {
	return s.fail(s.parser.Feed(chunk, s.event))
}

// reported keeps what the replica says of itself, until the runner's loop takes it.
func (s *stream) reported(report *loadreport.Report, source loadreport.Source) {
	if report != nil {
		s.report.Store(&loadreport.Observation{Report: *report, Seen: s.now(), Source: source})
	}
}

func (s *stream) event(event eventstream.Event) error {
	if event.Version > 0 {
		s.version = event.Version
	}
	if err := s.checkVersion(); err != nil {
		return err
	}
	if event.ID == eventstream.NoID && len(event.Data) == 0 || event.ID != eventstream.NoID && event.ID < s.next {
		return nil // names a version only, or is held
	}
	if s.minVersion > 0 && s.version == 0 {
		return errNoVersion
	}
	if err := s.text.add(event, s.version); err != nil {
		return err
	}
	now := s.now()
	s.checkpoints.reached(now, s.item, s.text)
	s.current.Store(s.version)
	s.last.Store(int64(now))
	s.events.Add(1)
	return nil
}

// now is when what is fed now came: to this process, or to the one that drives the run.
func (s *stream) now() time.Duration {
	if s.came > 0 {
		return s.came
	}
	return s.clock()
}

// checkVersion refuses weights that must not make the next event; those that are not named are judged with it.
func (s *stream) checkVersion() error {
	switch {
	case s.version == 0:
		return nil
	case s.version < s.minVersion:
		return errOldVersion
	case s.single && len(s.text.versions) > 0 && s.text.versions[0] != s.version:
		return errMixedVersion
	}
	return nil
}

func (s *stream) fail(err error) error {
	if s.fault == nil {
		s.fault = err
	}
	return err
}

// ending says how a call ended whose context the runner has not ended. expected: other weights than the call
// asked for may be why it was misdirected.
func (s *stream) ending(outcome replica.Outcome, expected bool) schedule.Ending {
	switch outcome.Refused {
	case replica.RefusedFull:
		return schedule.Full
	case replica.RefusedUnreachable:
		return schedule.Unreachable
	case replica.RefusedWrongTarget:
		if expected {
			return schedule.Changed
		}
		return schedule.Misdirected
	}
	switch {
	case errors.Is(s.fault, errOldVersion):
		return schedule.OldVersion
	case errors.Is(s.fault, errMixedVersion):
		return schedule.Changed
	case s.status == http.StatusInternalServerError:
		return schedule.Failed
	case s.status == http.StatusUnprocessableEntity:
		return schedule.Impossible
	case s.fault == nil && outcome.Whole && s.status == http.StatusOK && !s.parser.Pending() && s.text.events > 0:
		return schedule.Completed
	}
	return schedule.Broken
}

func (s *stream) progress() (events int, last time.Duration, version uint64) {
	return int(s.events.Load()), time.Duration(s.last.Load()), s.current.Load()
}
