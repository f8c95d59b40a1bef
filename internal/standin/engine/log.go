package engine

import (
	"sync"
	"time"
)

// Outcome is how a request ended at the engine.
type Outcome string

// The outcomes.
const (
	OutcomeRunning   Outcome = "running"
	OutcomeFinished  Outcome = "finished"
	OutcomeCancelled Outcome = "cancelled"
	OutcomeFailed    Outcome = "failed"   // lost to a failed weight swap
	OutcomeCrashed   Outcome = "crashed"  // lost to a crash
	OutcomeExported  Outcome = "exported" // its KV cache left for another engine
	OutcomeRefused   Outcome = "refused"  // never ran
)

// Segment is a run of tokens that one version of the weights generated. From counts from the beginning of
// the whole answer, a continuation's prefix included.
type Segment struct {
	Version       string `json:"version"`
	VersionNumber uint64 `json:"version_number"`
	From          int    `json:"from"`
	Count         int    `json:"count"`
}

// Execution is one entry of the log: a request that was refused or has ended.
type Execution struct {
	Sequence       uint64        `json:"sequence"`
	RequestID      string        `json:"request_id"`
	IdempotencyKey string        `json:"idempotency_key,omitempty"`
	Prompt         string        `json:"prompt"` // the original one, without a continuation
	Seed           uint64        `json:"seed"`
	MaxTokens      int           `json:"max_tokens"`
	Arrived        time.Time     `json:"arrived"`
	Ended          time.Time     `json:"ended"`
	AfterLeave     time.Duration `json:"after_leave_nanos,omitempty"` // how long after the leave mark it arrived; 0 when before
	Outcome        Outcome       `json:"outcome"`
	PrefixTokens   int           `json:"prefix_tokens"` // came with the prompt
	Tokens         int           `json:"tokens"`        // of the whole answer, prefix included
	Segments       []Segment     `json:"segments"`      // of the tokens generated here
	Preemptions    int           `json:"preemptions"`
}

// logLimit bounds the entries that are kept; older ones are dropped.
const logLimit = 200000

type executionLog struct {
	mutex    sync.Mutex
	entries  []*Execution
	byPrompt map[string][]*Execution
	last     uint64
}

func (l *executionLog) finish(entry Execution) {
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
	kept := l.entries[count:]
	l.entries, l.byPrompt = nil, nil
	for _, entry := range kept {
		l.add(entry)
	}
}

// after returns copies of the entries above a sequence number.
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
