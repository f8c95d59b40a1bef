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
	markInterval = int64(1000) // milliseconds between two marks
	maximumMarks = 7200
)

// Retention is how long claims are remembered, counted from the last change of a key.
type Retention struct {
	// Answers is how long a retry gets the stored answer. Default DefaultAnswers.
	Answers time.Duration
	// Keys is how long a retry that reaches a gateway is certain not to run again. Default DefaultKeys.
	// It is what memory is sized by; callers must not retry a key after it.
	Keys time.Duration
	// Attempts is the greatest age of an attempt: one whose request reached its gateway longer ago is
	// refused as not run. It must be above every deadline. Default DefaultAttempts.
	Attempts time.Duration
}

// WithDefaults fills unset fields.
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

// Validate reports settings that cannot work.
func (r Retention) Validate() error {
	switch {
	case r.Answers <= 0 || r.Keys <= 0 || r.Attempts <= 0:
		return trace.BadParameter("retention times must be above 0")
	case r.Keys < r.Answers:
		return trace.BadParameter("keys (%v) must be kept at least as long as answers (%v)", r.Keys, r.Answers)
	}
	return nil
}

// Command returns the ClaimExpire for a proposer's clock. A key is held for Keys and Attempts together:
// an attempt that arrived within Keys is then either judged against the key or too old to be granted.
func (r Retention) Command(nowUnixMillis int64) *wire.ClaimExpire {
	return &wire.ClaimExpire{
		NowUnixMillis:            nowUnixMillis,
		AnswersBeforeUnixMillis:  nowUnixMillis - r.Answers.Milliseconds(),
		AttemptsBeforeUnixMillis: nowUnixMillis - r.Attempts.Milliseconds(),
		KeysBeforeUnixMillis:     nowUnixMillis - (r.Keys + r.Attempts).Milliseconds(),
	}
}

// mark notes the first command at or after a time: an attempt that arrived before has a lower ticket.
type mark struct {
	at    int64
	index uint64
}

func (s *Store) addMark(index uint64) {
	if count := len(s.marks); count > 0 && s.clock-s.marks[count-1].at < markInterval {
		return
	}
	if len(s.marks) >= maximumMarks {
		s.marks = append([]mark(nil), s.marks[maximumMarks/2:]...)
	}
	s.marks = append(s.marks, mark{at: s.clock, index: index})
}

// Expire advances retention by at most MaximumExpired records. A key that ran is dropped only once every
// attempt that arrived within its retention is below the floor; where no commands come, the floor stands
// still and the keys stay. Running claims never expire. Errors: malformed command, nothing changed.
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
		s.age(s.young.first)
		budget--
	}
	return answerOnly(idle, index), nil
}

// raiseFloor refuses every attempt that arrived before the last mark that is older than attemptsBefore.
func (s *Store) raiseFloor(attemptsBefore int64) {
	passed := sort.Search(len(s.marks), func(i int) bool { return s.marks[i].at >= attemptsBefore })
	if passed == 0 {
		return
	}
	s.floor = max(s.floor, s.marks[passed-1].index)
	s.floorAt = s.marks[passed-1].at
	s.marks = append([]mark(nil), s.marks[passed:]...)
}

// age drops a record's answer; a record that never ran goes altogether.
func (s *Store) age(r *record) {
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

func (s *Store) drop(r *record) {
	s.listOf(r).remove(r)
	delete(s.records, r.key)
	s.floor = max(s.floor, r.lastIndex)
}

// retentionList is a list of records in the order of their last change.
type retentionList struct{ first, last *record }

func (l *retentionList) expired(before int64) bool { return l.first != nil && l.first.at < before }

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
