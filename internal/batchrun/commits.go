package batchrun

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/batchrun/schedule"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	// commitLinger is how long a result waits for others to be committed together; commitPause is the wait
	// after a commit that failed.
	commitLinger = 10 * time.Millisecond
	commitPause  = 50 * time.Millisecond
	// maximumCommitTime bounds one attempt to commit. An attempt whose time is over may still be applied, so on a disk that takes
	// longer than commitTimeout each one that follows at once adds the same results to the log again: the time doubles.
	maximumCommitTime = 16 * time.Second
	// commitBytes bounds the results of one command unless a single one is longer.
	commitBytes = 256 << 10
	// maximumAgain bounds how often an entry is committed again that was passed over: once is enough for a text, and a
	// score comes right after its text.
	maximumAgain = 3
)

// commits writes results and partial texts to the group, many in one command, until they are there or the tenure
// ends: a result that is not committed then is made anew by the next leader.
type commits struct {
	config *Config
	counts *counts
	wake   chan struct{} // capacity 1

	mutex   sync.Mutex
	pending []pendingEntry
}

// pendingEntry is one thing to commit for a job: exactly one of its messages is set.
type pendingEntry struct {
	// whole makes the result or the unscored text anew with its whole text, should the text that it follows not be
	// held. nil: it follows none.
	whole func() *wire.JobResult
	again int // times that it was committed and passed over

	job      string
	result   *wire.JobResult
	partial  *wire.JobPartial
	unscored *wire.JobResult
	score    *wire.JobScore
}

func (p *pendingEntry) message() proto.Message {
	switch {
	case p.result != nil:
		return p.result
	case p.partial != nil:
		return p.partial
	case p.unscored != nil:
		return p.unscored
	}
	return p.score
}

// item is the id of the entry's item.
func (p *pendingEntry) item() string {
	switch {
	case p.result != nil:
		return p.result.GetItem()
	case p.partial != nil:
		return p.partial.GetItem()
	case p.unscored != nil:
		return p.unscored.GetItem()
	}
	return p.score.GetItem()
}

// addTo adds the entry to its job's part of a command.
func (p *pendingEntry) addTo(results *wire.JobResults) {
	switch {
	case p.result != nil:
		results.Results = append(results.Results, p.result)
	case p.partial != nil:
		results.Partials = append(results.Partials, p.partial)
	case p.unscored != nil:
		results.Unscored = append(results.Unscored, p.unscored)
	default:
		results.Scores = append(results.Scores, p.score)
	}
}

func newCommits(config *Config, counts *counts) *commits {
	return &commits{config: config, counts: counts, wake: make(chan struct{}, 1)}
}

// add takes what is to be committed. Entries are committed in their order, those of one call in one command if it holds them.
func (c *commits) add(entries ...pendingEntry) {
	c.mutex.Lock()
	c.pending = append(c.pending, entries...)
	c.mutex.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// run commits until ctx ends.
func (c *commits) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		pause(ctx, commitLinger)
		for command, entries := c.next(); command != nil && c.commit(ctx, command, entries); command, entries = c.next() {
		}
	}
}

// next takes the next command with its entries; nil if there are none.
func (c *commits) next() (command *wire.JobStore, entries []pendingEntry) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.pending) == 0 {
		return nil, nil
	}
	command = &wire.JobStore{}
	byJob := map[string]*wire.JobResults{}
	size, taken := 0, 0
	for _, entry := range c.pending {
		if size += proto.Size(entry.message()); size > commitBytes && taken > 0 {
			break
		}
		taken++
		if byJob[entry.job] == nil {
			byJob[entry.job] = &wire.JobResults{Job: entry.job}
			command.Jobs = append(command.Jobs, byJob[entry.job])
		}
		entry.addTo(byJob[entry.job])
	}
	entries = c.pending[:taken]
	c.pending = append([]pendingEntry(nil), c.pending[taken:]...)
	return command, entries
}

// commit repeats a command, which is safe, until it is applied; false when ctx has ended.
func (c *commits) commit(ctx context.Context, command *wire.JobStore, entries []pendingEntry) bool {
	began := c.config.Clock()
	for tries := 1; ctx.Err() == nil; tries++ {
		attempt, cancel := context.WithTimeout(ctx, commitTime(tries))
		result, err := c.config.Group.Propose(attempt, &wire.Command{Kind: &wire.Command_JobStore{JobStore: command}})
		cancel()
		if err == nil {
			c.logCommitted(command, tries, result, c.config.Clock()-began)
			c.addAgain(entries, result.GetJob().GetUnmatched())
			return true
		}
		c.config.Log.WithError(err).Debug("results of batch jobs are not committed yet")
		pause(ctx, commitPause)
	}
	return false
}

// commitTime is how long an attempt may take.
func commitTime(tries int) time.Duration {
	const maximumDoublings = 8
	return min(commitTimeout<<min(tries-1, maximumDoublings), maximumCommitTime)
}

// addAgain adds the entries of items that were passed over again, with their whole text: the one that they follow is not
// held. A score comes after its text.
func (c *commits) addAgain(entries []pendingEntry, passedOver []*wire.JobItemRef) {
	items := make(map[schedule.Key]bool, len(passedOver))
	for _, reference := range passedOver {
		items[schedule.Key{Job: reference.GetJob(), Item: reference.GetItem()}] = true
	}
	for _, entry := range entries {
		if !items[schedule.Key{Job: entry.job, Item: entry.item()}] {
			continue
		}
		if entry.again >= maximumAgain {
			c.config.Log.Errorf("item %s of batch job %s stays without its result: the group passed it over %d times", entry.item(), entry.job, entry.again)
			continue
		}
		switch {
		case entry.score != nil:
			c.add(pendingEntry{job: entry.job, score: entry.score, again: entry.again + 1})
		case entry.result != nil && entry.whole != nil:
			c.add(pendingEntry{job: entry.job, result: entry.whole(), again: entry.again + 1})
		case entry.unscored != nil && entry.whole != nil:
			c.add(pendingEntry{job: entry.job, unscored: entry.whole(), again: entry.again + 1})
		}
	}
}

func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
