package engine

import (
	"math/rand"
	"sync"
	"time"
)

// Faults configures the faults that a test injects. Probabilities are per streamed answer.
type Faults struct {
	// RefuseAll rejects every new request with 503 and the verdict did-not-run.
	RefuseAll bool `json:"refuse_all"`
	// CutAfterTokens resets the connection of each streamed answer after that many tokens; 0 means never.
	CutAfterTokens int `json:"cut_after_tokens"`
	// CutProbability is the probability that a streamed answer is cut at a random token.
	CutProbability float64 `json:"cut_probability"`
	// CutCleanly makes a cut answer end as a complete HTTP body instead of a reset, without the last chunk and [DONE].
	CutCleanly bool `json:"cut_cleanly"`
	// StallAfterTokens stops each streamed answer after that many tokens until the faults change; 0 means never. The
	// engine keeps generating tokens, as it does for a slow reader.
	StallAfterTokens int `json:"stall_after_tokens"`
	// ChunkDelay is the delay before each chunk.
	ChunkDelay time.Duration `json:"chunk_delay_nanos"`
	// DuplicateProbability is the probability that a streamed answer repeats its first chunk.
	DuplicateProbability float64 `json:"duplicate_probability"`
}

// faultInjector holds the injected faults and draws those of each streamed answer.
type faultInjector struct {
	mutex   sync.Mutex
	random  *rand.Rand
	faults  Faults
	changed chan struct{} // closed and replaced when other faults are set
}

// streamFaults holds the faults drawn for one streamed answer.
type streamFaults struct {
	cutAfter      int             // tokens sent before the cut; 0 means no cut
	stallAfter    int             // tokens sent before the stall; 0 means no stall
	faultsChanged <-chan struct{} // closed when the faults change, which ends the stall
	serverClosed  <-chan struct{} // closed when the stand-in stops
	cutCleanly    bool
	delay         time.Duration
	duplicate     bool
}

func (f *faultInjector) seed(seed uint64) {
	f.random, f.changed = rand.New(rand.NewSource(int64(seed))), make(chan struct{})
}

// set replaces the faults and ends stalls.
func (f *faultInjector) set(faults Faults) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.faults = faults
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *faultInjector) refusesAll() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.faults.RefuseAll
}

// draw selects, partly at random, the faults of a streamed answer of that many tokens.
func (f *faultInjector) draw(tokens int) streamFaults {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	drawn := streamFaults{cutAfter: f.faults.CutAfterTokens, cutCleanly: f.faults.CutCleanly, delay: f.faults.ChunkDelay,
		stallAfter: f.faults.StallAfterTokens, faultsChanged: f.changed}
	if f.random.Float64() < f.faults.CutProbability {
		drawn.cutAfter = 1 + f.random.Intn(max(tokens, 1))
	}
	drawn.duplicate = f.random.Float64() < f.faults.DuplicateProbability
	return drawn
}
