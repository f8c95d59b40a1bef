package claim

import (
	"sort"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// Bounds of one claim, in bytes unless said otherwise.
const (
	MaximumKeyBytes      = 256
	MaximumBodyHashBytes = 32
	MaximumIDBytes       = 128 // of an attempt and of an owner
	// MaximumAnswerBytes bounds the body of a stored answer. Of a larger one the status, size and digest
	// are kept: a retry learns that the request ran and how it ended, not the body.
	MaximumAnswerBytes = 64 << 10
	// MaximumReleased bounds the released attempts remembered per key (a count). When one more comes, all
	// attempts that arrived so far are refused instead, as after a refusal.
	MaximumReleased = 8
	// MaximumExpired bounds the records that one ClaimExpire moves (a count), so that no single command
	// holds up the log; the next one goes on.
	MaximumExpired = 10_000
)

// Unsafe switches safety steps off. Only tests set it, to show that the checks find the fault.
type Unsafe struct {
	GrantTwice         bool // grant a key that another attempt holds
	IgnoreTickets      bool // grant attempts that arrived before a refusal or below the floor
	ForgetReleases     bool // grant an attempt that was released
	RefuseBelowFloor   bool // call a key not run that may have run and been dropped
	ReuseExpiredClaims bool // grant a key that ran, once its answer has been dropped
}

// Store holds the claims of one ledger group.
type Store struct {
	unsafe  Unsafe
	records map[string]*record
	running map[string]map[string]*record // by owner, then key
	young   retentionList                 // not running, answers kept
	aged    retentionList                 // answers dropped
	floor   uint64                        // attempts with a lower ticket are refused
	floorAt int64                         // every attempt that arrived before this is below the floor
	clock   int64                         // highest proposer's clock so far, Unix milliseconds
	marks   []mark                        // oldest first
}

// record is what is known of one key.
type record struct {
	key          string
	bodyHash     string // empty: not known yet
	state        wire.ClaimState
	aged         bool
	owner        string // while running
	attempt      string // the attempt that runs or ran
	answer       *wire.Answer
	refusedIndex uint64 // attempts with a lower ticket are refused
	lastIndex    uint64 // of the last command that changed the record
	at           int64  // Store.clock then
	released     []string
	previous     *record // in a retentionList
	next         *record
}

// The states of a record. An idle one has been refused or released and may be granted.
const (
	idle    = wire.ClaimState_CLAIM_STATE_UNSPECIFIED
	running = wire.ClaimState_CLAIM_STATE_GRANTED
)

// New returns an empty Store.
func New() *Store { return NewUnsafe(Unsafe{}) }

// NewUnsafe returns an empty Store with safety steps switched off.
func NewUnsafe(unsafe Unsafe) *Store {
	return &Store{unsafe: unsafe, records: map[string]*record{}, running: map[string]map[string]*record{}}
}

// Len returns the number of keys that are remembered.
func (s *Store) Len() int { return len(s.records) }

// Floor returns the lowest ticket that may still be granted.
func (s *Store) Floor() uint64 { return s.floor }

// Owners returns the owners of running claims, sorted. A leader orphans those that are gone for good.
func (s *Store) Owners() []string {
	owners := make([]string, 0, len(s.running))
	for owner := range s.running {
		owners = append(owners, owner)
	}
	sort.Strings(owners)
	return owners
}

// Get returns what is known of a key; state UNSPECIFIED if it may be granted.
func (s *Store) Get(key string) *wire.ClaimResult {
	known := s.records[key]
	if known == nil {
		return &wire.ClaimResult{}
	}
	return known.result(0)
}

// result tells a record's state to somebody who does not hold it.
func (r *record) result(index uint64) *wire.ClaimResult {
	result := &wire.ClaimResult{State: r.state, Index: index}
	switch r.state {
	case running:
		result.State, result.Owner = wire.ClaimState_CLAIM_STATE_RUNNING, r.owner
	case wire.ClaimState_CLAIM_STATE_DONE:
		result.Answer = proto.CloneOf(r.answer)
	}
	return result
}

func answerOnly(state wire.ClaimState, index uint64) *wire.ClaimResult {
	return &wire.ClaimResult{State: state, Index: index}
}

// ensure returns the record of a key, made idle if there is none.
func (s *Store) ensure(key string) *record {
	known := s.records[key]
	if known == nil {
		known = &record{key: key}
		s.records[key] = known
		s.young.push(known)
	}
	return known
}

// touch notes a change of a record that is not running: its retention starts over.
func (s *Store) touch(r *record, index uint64) {
	r.lastIndex, r.at = index, s.clock
	s.listOf(r).remove(r)
	r.aged = false
	s.young.push(r)
}

func (s *Store) listOf(r *record) *retentionList {
	if r.aged {
		return &s.aged
	}
	return &s.young
}

// tick takes a proposer's clock, which only ever moves the store's clock forward.
func (s *Store) tick(index uint64, nowUnixMillis int64) {
	s.clock = max(s.clock, nowUnixMillis)
	s.addMark(index)
}

// boundAnswer returns a copy of an answer that is small enough to keep.
func boundAnswer(answer *wire.Answer) *wire.Answer {
	if answer == nil {
		return &wire.Answer{}
	}
	kept := &wire.Answer{Status: answer.GetStatus(), ContentType: answer.GetContentType()}
	if len(kept.ContentType) > MaximumIDBytes {
		kept.ContentType = ""
	}
	if len(answer.GetBody()) <= MaximumAnswerBytes {
		kept.Body = append([]byte(nil), answer.GetBody()...)
		return kept
	}
	kept.BodyDropped = true
	kept.BodySize = uint64(len(answer.GetBody()))
	kept.BodyDigest = xxhash.Sum64(answer.GetBody())
	return kept
}
