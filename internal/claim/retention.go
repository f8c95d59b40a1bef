package claim

import (
	"sort"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// Defaults of Retention.
const (
	DefaultAnswers  = 10 * time.Minute
	DefaultKeys     = 2 * time.Hour
	DefaultAttempts = 10 * time.Minute
)

const (
	markInterval = int64(1000) // minimum milliseconds between two marks
	maximumMarks = 7200        // beyond it the older half is dropped
)

// Retention says how long claims are stored, counted from the last change of a key.
type Retention struct {
	// Answers is how long a retry gets the stored answer. Default DefaultAnswers.
	Answers time.Duration
	// Keys is how long a retry that reaches a gateway is guaranteed not to run again. Callers must not retry a key
	// after this time. It determines how much memory the store needs. Default DefaultKeys, or Answers if that is
	// longer.
	Keys time.Duration
	// Attempts is the maximum age of an attempt. An attempt whose request reached its gateway earlier is refused as not
	// run. It must exceed every deadline. Default DefaultAttempts.
	Attempts time.Duration
}

// WithDefaults returns a copy in which unset fields have their default values.
func (r Retention) WithDefaults() Retention {
	if r.Answers == 0 {
		r.Answers = DefaultAnswers
	}
	if r.Keys == 0 {
		r.Keys = max(DefaultKeys, r.Answers)
	}
	if r.Attempts == 0 {
		r.Attempts = DefaultAttempts
	}
	return r
}

// Validate returns an error if a time is not positive, or if keys are stored for a shorter time than answers.
func (r Retention) Validate() error {
	switch {
	case r.Answers <= 0 || r.Keys <= 0 || r.Attempts <= 0:
		return trace.BadParameter("retention times must be above 0")
	case r.Keys < r.Answers:
		return trace.BadParameter("keys (%v) must be kept at least as long as answers (%v)", r.Keys, r.Answers)
	}
	return nil
}

// Command returns the ClaimExpire command for a proposer's clock in Unix milliseconds. A key is stored for Keys plus
// Attempts: an attempt that arrived within Keys is then either checked against the stored key or too old to be granted.
func (r Retention) Command(nowUnixMillis int64) *wire.ClaimExpire {
	return &wire.ClaimExpire{
		NowUnixMillis:            nowUnixMillis,
		AnswersBeforeUnixMillis:  nowUnixMillis - r.Answers.Milliseconds(),
		AttemptsBeforeUnixMillis: nowUnixMillis - r.Attempts.Milliseconds(),
		KeysBeforeUnixMillis:     nowUnixMillis - (r.Keys + r.Attempts).Milliseconds(),
	}
}

// mark records the index of the first command at or after a time. An attempt that arrived before that time has a lower
// ticket.
type mark struct {
	at    int64 // Store.clock, in Unix milliseconds
	index uint64
}

// addMark adds a mark for a command unless the last mark is less than markInterval old.
func (s *Store) addMark(index uint64) {
	if count := len(s.marks); count > 0 && s.clock-s.marks[count-1].at < markInterval {
		return
	}
	if len(s.marks) >= maximumMarks {
		s.marks = append([]mark(nil), s.marks[maximumMarks/2:]...)
	}
	s.marks = append(s.marks, mark{at: s.clock, index: index})
}

// Expire drops answers and keys whose retention has ended, at most MaximumExpired records. A key that ran is dropped
// only once every attempt that arrived within its retention is below the floor. While no other commands are applied,
// the floor does not rise and the keys stay. Running claims never expire. Expire returns an error if the command is
// malformed; the store is then unchanged.
func (s *Store) Expire(index uint64, command *wire.ClaimExpire) (*wire.ClaimResult, error) {
	answersBefore, keysBefore := command.GetAnswersBeforeUnixMillis(), command.GetKeysBeforeUnixMillis()
	attemptsBefore := command.GetAttemptsBeforeUnixMillis()
	if keysBefore > answersBefore || keysBefore > attemptsBefore {
		return nil, trace.BadParameter("keys must be kept at least as long as answers and attempts")
	}
	behind := max(0, command.GetNowUnixMillis()-s.clock)
	s.raiseFloor(attemptsBefore - behind)
	retention := attemptsBefore - keysBefore
	budget := MaximumExpired
	for budget > 0 && s.aged.expired(min(keysBefore-behind, s.floorAt-retention)) {
		s.drop(s.aged.first)
		budget--
	}
	for budget > 0 && s.young.expired(answersBefore-behind) {
		s.expireAnswer(s.young.first)
		budget--
	}
	return resultWithState(idle, index), nil
}

// raiseFloor raises the floor to the last mark before attemptsBefore, in Unix milliseconds. Attempts that arrived
// before that mark are not granted afterwards.
func (s *Store) raiseFloor(attemptsBefore int64) {
	passed := sort.Search(len(s.marks), func(i int) bool { return s.marks[i].at >= attemptsBefore })
	if passed == 0 {
		return
	}
	s.floor = max(s.floor, s.marks[passed-1].index)
	s.floorAt = s.marks[passed-1].at
	s.marks = append([]mark(nil), s.marks[passed:]...)
}

// expireAnswer drops a record's answer. A record whose key never ran is dropped as a whole.
func (s *Store) expireAnswer(r *record) {
	if r.state == idle {
		s.drop(r)
		return
	}
	if r.state == wire.ClaimState_CLAIM_STATE_DONE {
		r.state, r.answer = wire.ClaimState_CLAIM_STATE_ANSWER_EXPIRED, nil
	}
	s.young.remove(r)
	r.aged = true
	s.aged.push(r)
}

// drop removes a record that is not running. The floor rises to its last change, so that no earlier attempt is granted.
func (s *Store) drop(r *record) {
	s.listOf(r).remove(r)
	delete(s.records, r.key)
	s.floor = max(s.floor, r.lastIndex)
}

// retentionList is a doubly linked list of records in the order of their last change.
type retentionList struct{ first, last *record }

// expired reports whether the last change of the first record is before limit, in Unix milliseconds.
func (l *retentionList) expired(limit int64) bool { return l.first != nil && l.first.changedAt < limit }

func (l *retentionList) push(r *record) {
	r.previous, r.next = l.last, nil
	if l.last == nil {
		l.first = r
	} else {
		l.last.next = r
	}
	l.last = r
}

func (l *retentionList) remove(r *record) {
	if r.previous == nil {
		l.first = r.next
	} else {
		r.previous.next = r.next
	}
	if r.next == nil {
		l.last = r.previous
	} else {
		r.next.previous = r.previous
	}
	r.previous, r.next = nil, nil
}

func sortedKeys(records map[string]*record) []string {
	keys := make([]string, 0, len(records))
	for key := range records {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
