package claim

import (
	"slices"
	"sort"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// Captured is a copy of a store's state at one time. Later commands do not change it.
type Captured struct {
	floor   uint64
	floorAt int64
	clock   int64
	// records holds the running records by key, then the aged, then the young ones. Their answers are shared with the
	// store, which never modifies an answer.
	records []record
	marks   []mark
}

// Capture copies the whole state. It takes a small fraction of the time that Message and the encoding of the message
// take.
func (s *Store) Capture() *Captured {
	captured := &Captured{floor: s.floor, floorAt: s.floorAt, clock: s.clock,
		records: make([]record, 0, len(s.records)), marks: slices.Clone(s.marks)}
	for _, held := range s.runningByKey() {
		captured.add(held)
	}
	for _, list := range []*retentionList{&s.aged, &s.young} {
		for r := list.first; r != nil; r = r.next {
			captured.add(r)
		}
	}
	return captured
}

func (c *Captured) add(r *record) {
	c.records = append(c.records, *r)
	last := &c.records[len(c.records)-1]
	last.previous, last.next = nil, nil
	last.released = slices.Clone(r.released)
}

// Message returns the captured state as a message. Stores in equal states return equal messages.
func (c *Captured) Message() *wire.ClaimSnapshot {
	snapshot := &wire.ClaimSnapshot{
		Floor: c.floor, FloorUnixMillis: c.floorAt, ClockUnixMillis: c.clock,
		Records: make([]*wire.ClaimRecord, 0, len(c.records)),
	}
	for position := range c.records {
		snapshot.Records = append(snapshot.Records, c.records[position].message())
	}
	for _, mark := range c.marks {
		snapshot.Marks = append(snapshot.Marks, &wire.ClaimMark{AtUnixMillis: mark.at, Index: mark.index})
	}
	return snapshot
}

// Snapshot returns the whole state as a message. The message shares answers with the store.
func (s *Store) Snapshot() *wire.ClaimSnapshot { return s.Capture().Message() }

// runningByKey returns the running records sorted by key.
func (s *Store) runningByKey() []*record {
	var held []*record
	for _, ofOwner := range s.running {
		for _, r := range ofOwner {
			held = append(held, r)
		}
	}
	sort.Slice(held, func(i, j int) bool { return held[i].key < held[j].key })
	return held
}

func (r *record) message() *wire.ClaimRecord {
	return &wire.ClaimRecord{
		Key: r.key, BodyHash: []byte(r.bodyHash), State: r.state, Owner: r.owner, Attempt: r.attempt,
		Answer: r.answer, RefusedIndex: r.refusedIndex, LastIndex: r.lastIndex, AtUnixMillis: r.changedAt,
		Released: r.released, Aged: r.aged,
	}
}

// Restore replaces the state by a snapshot. On an error the store is unchanged. The store takes over the snapshot's
// answers without copying them.
func (s *Store) Restore(snapshot *wire.ClaimSnapshot) error {
	restored := NewUnsafe(s.unsafe)
	restored.floor, restored.floorAt = snapshot.GetFloor(), snapshot.GetFloorUnixMillis()
	restored.clock = snapshot.GetClockUnixMillis()
	for _, message := range snapshot.GetRecords() {
		if err := restored.restoreRecord(message); err != nil {
			return trace.Wrap(err)
		}
	}
	for _, message := range snapshot.GetMarks() {
		restored.marks = append(restored.marks, mark{at: message.GetAtUnixMillis(), index: message.GetIndex()})
	}
	*s = *restored
	return nil
}

func (s *Store) restoreRecord(message *wire.ClaimRecord) error {
	if message.GetKey() == "" || s.records[message.GetKey()] != nil {
		return trace.BadParameter("snapshot has a claim without a key or twice: %q", message.GetKey())
	}
	r := &record{
		key: message.GetKey(), bodyHash: string(message.GetBodyHash()), state: message.GetState(),
		owner: message.GetOwner(), attempt: message.GetAttempt(), answer: message.GetAnswer(),
		refusedIndex: message.GetRefusedIndex(), lastIndex: message.GetLastIndex(),
		changedAt: message.GetAtUnixMillis(), released: message.GetReleased(), aged: message.GetAged(),
	}
	switch r.state {
	case running:
		if r.aged {
			return trace.BadParameter("snapshot has a running claim past retention: %q", r.key)
		}
		s.startRunning(r)
	case idle, wire.ClaimState_CLAIM_STATE_DONE, wire.ClaimState_CLAIM_STATE_ANSWER_EXPIRED,
		wire.ClaimState_CLAIM_STATE_UNKNOWN_OUTCOME:
		s.listOf(r).push(r)
	default:
		return trace.BadParameter("snapshot has a claim in no storable state: %q", r.key)
	}
	s.records[r.key] = r
	return nil
}
