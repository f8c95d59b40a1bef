package engine

import (
	"math/rand"
	"sync"
	"time"
)

// Faults are misbehaviours that a test switches on. Probabilities are per streamed answer.
type Faults struct {
	// RefuseAll answers every new request 503 did-not-run.
	RefuseAll bool `json:"refuse_all"`
	// CutAfterTokens cuts the connection of each streamed answer after that many tokens; 0 never.
	CutAfterTokens int `json:"cut_after_tokens"`
	// CutProbability cuts a streamed answer at a random token.
	CutProbability float64 `json:"cut_probability"`
	// CutCleanly ends a cut answer's body properly, without its last chunk and without [DONE].
	CutCleanly bool `json:"cut_cleanly"`
	// StallAfterTokens stops each streamed answer after that many tokens until the faults change; 0 never. The
	// engine goes on making tokens, as it does for a reader that is slow.
	StallAfterTokens int `json:"stall_after_tokens"`
	// ChunkDelay delays every chunk.
	ChunkDelay time.Duration `json:"chunk_delay_nanos"`
	// DuplicateProbability sends a chunk of a streamed answer twice.
	DuplicateProbability float64 `json:"duplicate_probability"`
}

type faultSwitches struct {
	mutex   sync.Mutex
	random  *rand.Rand
	faults  Faults
	changed chan struct{} // closed when other faults are set
}

// streamFaults is what was drawn for one streamed answer.
type streamFaults struct {
	cutAfter  int             // tokens sent by this answer; 0 never
	stall     int             // the same
	lifted    <-chan struct{} // ends the stall
	ended     <-chan struct{} // closed when the stand-in ends
	cleanly   bool
	delay     time.Duration
	duplicate bool
}

func (f *faultSwitches) seed(seed uint64) {
	f.random, f.changed = rand.New(rand.NewSource(int64(seed))), make(chan struct{})
}

func (f *faultSwitches) set(faults Faults) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.faults = faults
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *faultSwitches) refuses() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.faults.RefuseAll
}

func (f *faultSwitches) draw(tokens int) streamFaults {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	drawn := streamFaults{cutAfter: f.faults.CutAfterTokens, cleanly: f.faults.CutCleanly, delay: f.faults.ChunkDelay,
		stall: f.faults.StallAfterTokens, lifted: f.changed}
	if f.random.Float64() < f.faults.CutProbability {
		drawn.cutAfter = 1 + f.random.Intn(max(tokens, 1))
	}
	drawn.duplicate = f.random.Float64() < f.faults.DuplicateProbability
	return drawn
}
