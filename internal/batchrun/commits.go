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
	// commitDelay is how long a result waits for others, so that they are committed in one command.
	commitDelay = 10 * time.Millisecond
	// commitRetryPause is the pause after a failed attempt to commit.
	commitRetryPause = 50 * time.Millisecond
	// maximumAttemptTimeout bounds the timeout of one attempt to commit, which doubles from commitTimeout with each
	// attempt. A command may still be applied after its attempt has timed out. With a fixed timeout, a disk that takes
	// longer than commitTimeout would get the same results appended to the log again and again.
	maximumAttemptTimeout = 16 * time.Second
	// maximumCommandBytes bounds the size of the entries in one command. A single larger entry is committed alone.
	maximumCommandBytes = 256 << 10
	// maximumResubmits bounds how often an unmatched entry is committed again. Once is enough for a result or an
	// unscored text, because it is then committed with its complete text. A score is queued directly behind its text
	// and needs no more.
	maximumResubmits = 3
)

// committer commits results, partial texts and scores to the group, batching them into commands. It retries until they
// are applied or the term ends. Results that are not committed by then are generated again by the next leader.
type committer struct {
	config  *Config
	metrics *runnerMetrics
	wake    chan struct{} // signals pending entries; capacity 1

	mutex   sync.Mutex
	pending []pendingEntry
}

// pendingEntry is a message to commit for a job. Exactly one of result, partial, unscored and score is set.
type pendingEntry struct {
	// wholeResult returns the result or unscored text with its complete text, for the case that the group does not hold
	// the checkpoint that the message refers to. nil: the message refers to none.
	wholeResult func() *wire.JobResult
	resubmits   int // times that the entry was committed again because it was unmatched

	job      string
	result   *wire.JobResult
	partial  *wire.JobPartial
	unscored *wire.JobResult // a complete text that waits for its score
	score    *wire.JobScore
}

// message returns the one message that is set.
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

// itemID returns the id of the entry's item.
func (p *pendingEntry) itemID() string {
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

// addTo appends the entry's message to its job's part of a command.
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

func newCommitter(config *Config, metrics *runnerMetrics) *committer {
	return &committer{config: config, metrics: metrics, wake: make(chan struct{}, 1)}
}

// add queues entries to be committed, in order. The entries of one call go into the same command if they fit.
func (c *committer) add(entries ...pendingEntry) {
	c.mutex.Lock()
	c.pending = append(c.pending, entries...)
	c.mutex.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// run commits queued entries until ctx ends.
func (c *committer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		sleep(ctx, commitDelay)
		for command, entries := c.next(); command != nil && c.commit(ctx, command, entries); command, entries = c.next() {
		}
	}
}

// next removes the next entries from the queue and returns a command with them. command is nil if the queue is empty.
func (c *committer) next() (command *wire.JobStore, entries []pendingEntry) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.pending) == 0 {
		return nil, nil
	}
	command = &wire.JobStore{}
	byJob := map[string]*wire.JobResults{}
	size, taken := 0, 0
	for _, entry := range c.pending {
		if size += proto.Size(entry.message()); size > maximumCommandBytes && taken > 0 {
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

// commit proposes a command until it is applied, which is safe because applying it twice has no further effect. It
// returns false if ctx ends first.
func (c *committer) commit(ctx context.Context, command *wire.JobStore, entries []pendingEntry) bool {
	began := c.config.Clock()
	for tries := 1; ctx.Err() == nil; tries++ {
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout(tries))
		result, err := c.config.Group.Propose(attempt, &wire.Command{Kind: &wire.Command_JobStore{JobStore: command}})
		cancel()
		if err == nil {
			c.logCommitted(command, tries, result, c.config.Clock()-began)
			c.resubmit(entries, result.GetJob().GetUnmatched())
			return true
		}
		c.config.Log.WithError(err).Debug("failed to commit results of batch jobs; trying again")
		sleep(ctx, commitRetryPause)
	}
	return false
}

// attemptTimeout returns the timeout of an attempt to commit. The first attempt has number 1.
func attemptTimeout(tries int) time.Duration {
	const maximumDoublings = 8
	return min(commitTimeout<<min(tries-1, maximumDoublings), maximumAttemptTimeout)
}

// resubmit queues the entries of unmatched items again. The group skipped them because it does not hold the checkpoint
// that they refer to, so results and unscored texts are queued with their complete text. A score stays behind its text.
func (c *committer) resubmit(entries []pendingEntry, unmatched []*wire.JobItemRef) {
	items := make(map[schedule.Key]bool, len(unmatched))
	for _, reference := range unmatched {
		items[schedule.Key{Job: reference.GetJob(), Item: reference.GetItem()}] = true
	}
	for _, entry := range entries {
		if !items[schedule.Key{Job: entry.job, Item: entry.itemID()}] {
			continue
		}
		if entry.resubmits >= maximumResubmits {
			c.config.Log.Errorf("the result of item %s of batch job %s was not committed: the group skipped it as unmatched, also after %d resubmissions",
				entry.itemID(), entry.job, entry.resubmits)
			continue
		}
		switch {
		case entry.score != nil:
			c.add(pendingEntry{job: entry.job, score: entry.score, resubmits: entry.resubmits + 1})
		case entry.result != nil && entry.wholeResult != nil:
			c.add(pendingEntry{job: entry.job, result: entry.wholeResult(), resubmits: entry.resubmits + 1})
		case entry.unscored != nil && entry.wholeResult != nil:
			c.add(pendingEntry{job: entry.job, unscored: entry.wholeResult(), resubmits: entry.resubmits + 1})
		}
	}
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
