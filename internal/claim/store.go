package claim

import (
	"sort"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// Limits of one claim, in bytes unless stated otherwise.
const (
	MaximumKeyBytes      = 256
	MaximumBodyHashBytes = 32
	MaximumIDBytes       = 128 // for the attempt and for the owner
	// MaximumAnswerBytes bounds the body of a stored answer. Of a larger body only the size and digest are stored, so a
	// retry learns that the request ran and its status, but does not get the body.
	MaximumAnswerBytes = 64 << 10
	// MaximumReleased bounds the number of released attempts stored per key. One more release replaces the list by a
	// refusal of all attempts that arrived so far.
	MaximumReleased = 8
	// MaximumExpired bounds the number of records that one ClaimExpire processes, so that a single command does not
	// delay the log. The next ClaimExpire continues.
	MaximumExpired = 10_000
)

// Unsafe disables safety checks. Only tests set it, to show that they detect the resulting fault.
type Unsafe struct {
	GrantTwice         bool // grant a key that another attempt holds
	IgnoreTickets      bool // grant attempts that arrived before a refusal, or whose ticket is below the floor
	ForgetReleases     bool // grant an attempt that was released
	RefuseBelowFloor   bool // confirm "did not run" for a key that may have run and been dropped
	ReuseExpiredClaims bool // grant a key that ran once its answer has been dropped
}

// Store holds the claims of one ledger group.
type Store struct {
	unsafe  Unsafe
	records map[string]*record
	running map[string]map[string]*record // by owner, then key
	young   retentionList                 // records that are not running and whose answers are still stored
	aged    retentionList                 // records whose answers have been dropped
	floor   uint64                        // attempts with a lower ticket are not granted
	floorAt int64                         // Unix milliseconds; attempts that arrived earlier have a ticket below floor
	clock   int64                         // highest proposer's clock so far, in Unix milliseconds
	marks   []mark                        // oldest first
}

// record is the state of one key.
type record struct {
	key          string
	bodyHash     string // empty if not known yet
	state        wire.ClaimState
	aged         bool   // the record is in Store.aged
	owner        string // set while the claim is running
	attempt      string // attempt that runs or ran
	answer       *wire.Answer
	refusedIndex uint64   // attempts with a lower ticket are not granted
	lastIndex    uint64   // index of the last command that changed the record
	changedAt    int64    // Store.clock when the record was last granted, released, refused or ended
	released     []string // attempts that must not be granted, at most MaximumReleased
	previous     *record  // neighbours in a retentionList
	next         *record
}

// Names for two states of a record; the other states are used under their names in package wire. In state idle the key
// was refused or released and may be granted again. In state running an attempt holds the key.
const (
	idle    = wire.ClaimState_CLAIM_STATE_UNSPECIFIED
	running = wire.ClaimState_CLAIM_STATE_GRANTED
)

// New returns an empty Store.
func New() *Store { return NewUnsafe(Unsafe{}) }

// NewUnsafe returns an empty Store with safety checks disabled, for tests.
func NewUnsafe(unsafe Unsafe) *Store {
	return &Store{unsafe: unsafe, records: map[string]*record{}, running: map[string]map[string]*record{}}
}

// Len returns the number of keys with a record.
func (s *Store) Len() int { return len(s.records) }

// Floor returns the lowest ticket that can still be granted.
func (s *Store) Floor() uint64 { return s.floor }

// Owners returns the owners of running claims, sorted. The leader uses it to orphan the claims of owners that have
// ended.
func (s *Store) Owners() []string {
	owners := make([]string, 0, len(s.running))
	for owner := range s.running {
		owners = append(owners, owner)
	}
	sort.Strings(owners)
	return owners
}

// Get returns the state of a key. UNSPECIFIED means that the key has no record, or may be granted again.
func (s *Store) Get(key string) *wire.ClaimResult {
	known := s.records[key]
	if known == nil {
		return &wire.ClaimResult{}
	}
	return known.result(0)
}

// result returns a record's state for a caller that does not hold the claim.
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

// resultWithState returns a result without owner and answer.
func resultWithState(state wire.ClaimState, index uint64) *wire.ClaimResult {
	return &wire.ClaimResult{State: state, Index: index}
}

// ensure returns the record of a key and creates an idle one if there is none.
func (s *Store) ensure(key string) *record {
	known := s.records[key]
	if known == nil {
		known = &record{key: key}
		s.records[key] = known
		s.young.push(known)
	}
	return known
}

// restartRetention notes a change of a record that is not running and restarts its retention.
func (s *Store) restartRetention(r *record, index uint64) {
	r.lastIndex, r.changedAt = index, s.clock
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

// advanceClock raises the store's clock to a proposer's clock. A lower value has no effect.
func (s *Store) advanceClock(index uint64, nowUnixMillis int64) {
	s.clock = max(s.clock, nowUnixMillis)
	s.addMark(index)
}

// trimAnswer returns a copy of an answer within the limits for storage: a content type that is too long is omitted, and
// a body that is too large is replaced by its size and digest.
func trimAnswer(answer *wire.Answer) *wire.Answer {
	if answer == nil {
		return &wire.Answer{}
	}
	stored := &wire.Answer{Status: answer.GetStatus(), ContentType: answer.GetContentType()}
	if len(stored.ContentType) > MaximumIDBytes {
		stored.ContentType = ""
	}
	if len(answer.GetBody()) <= MaximumAnswerBytes {
		stored.Body = append([]byte(nil), answer.GetBody()...)
		return stored
	}
	stored.BodyDropped = true
	stored.BodySize = uint64(len(answer.GetBody()))
	stored.BodyDigest = xxhash.Sum64(answer.GetBody())
	return stored
}
