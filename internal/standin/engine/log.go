package engine

import (
	"sync"
	"time"
)

// Outcome is the state in which a request ended at the engine, or OutcomeRunning.
type Outcome string

// The outcomes.
const (
	OutcomeRunning   Outcome = "running"
	OutcomeFinished  Outcome = "finished"
	OutcomeCancelled Outcome = "cancelled"
	OutcomeFailed    Outcome = "failed"   // ended by a failed weight swap
	OutcomeCrashed   Outcome = "crashed"  // ended by a crash or stop of the engine
	OutcomeExported  Outcome = "exported" // its KV cache was exported to another engine
	OutcomeRefused   Outcome = "refused"  // rejected, never ran
)

// Segment is a run of consecutive tokens generated under one weight version. From is the position of its first token in
// the whole answer, including a continuation's prefix.
type Segment struct {
	Version       string `json:"version"`
	VersionNumber uint64 `json:"version_number"`
	From          int    `json:"from"`
	Count         int    `json:"count"`
}

// Execution is a log entry of a request that was rejected or has ended.
type Execution struct {
	Sequence       uint64        `json:"sequence"`
	RequestID      string        `json:"request_id"`
	IdempotencyKey string        `json:"idempotency_key,omitempty"`
	Prompt         string        `json:"prompt"` // original prompt, without a continuation
	Seed           uint64        `json:"seed"`
	MaxTokens      int           `json:"max_tokens"`
	Arrived        time.Time     `json:"arrived"`
	Ended          time.Time     `json:"ended"`
	AfterLeave     time.Duration `json:"after_leave_nanos,omitempty"` // time between the leave mark and the arrival; 0 if it arrived before the mark
	Outcome        Outcome       `json:"outcome"`
	PrefixTokens   int           `json:"prefix_tokens"` // tokens of the continuation that came with the prompt
	Tokens         int           `json:"tokens"`        // of the whole answer, including the prefix
	Segments       []Segment     `json:"segments"`      // of the tokens that this engine generated
	Preemptions    int           `json:"preemptions"`
}

// logLimit is the maximum number of entries. The older half is dropped when it is reached.
const logLimit = 200000

// executionLog holds the executions that have ended, oldest first and by prompt.
type executionLog struct {
	mutex    sync.Mutex
	entries  []*Execution
	byPrompt map[string][]*Execution
	last     uint64 // last sequence number assigned
}

// record assigns the next sequence number to an entry and adds it.
func (l *executionLog) record(entry Execution) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.last++
	entry.Sequence = l.last
	if len(l.entries) >= logLimit {
		l.dropOldest(logLimit / 2)
	}
	l.add(&entry)
}

func (l *executionLog) add(entry *Execution) {
	if l.byPrompt == nil {
		l.byPrompt = make(map[string][]*Execution)
	}
	l.entries = append(l.entries, entry)
	l.byPrompt[entry.Prompt] = append(l.byPrompt[entry.Prompt], entry)
}

func (l *executionLog) dropOldest(count int) {
	remaining := l.entries[count:]
	l.entries, l.byPrompt = nil, nil
	for _, entry := range remaining {
		l.add(entry)
	}
}

// after returns copies of the entries with a higher sequence number.
func (l *executionLog) after(sequence uint64) []Execution {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var found []Execution
	for _, entry := range l.entries {
		if entry.Sequence > sequence {
			found = append(found, *entry)
		}
	}
	return found
}

// ofPrompt returns copies of the entries of one prompt.
func (l *executionLog) ofPrompt(prompt string) []Execution {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var found []Execution
	for _, entry := range l.byPrompt[prompt] {
		found = append(found, *entry)
	}
	return found
}
