package batch

import (
	"cmp"
	"maps"
	"slices"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// An item with a reward call is listed as completed only when its text has a score. Until then its whole text is stored
// here, so that the next leader has to request only the score.

// MaximumScoreBytes limits the length of a score in bytes.
const MaximumScoreBytes = 4096

// checkScore checks the length of a score.
func checkScore(score *wire.JobScore) error {
	if score.GetScore() == "" || len(score.GetScore()) > MaximumScoreBytes {
		return trace.BadParameter("the score of item %q must have 1 to %d bytes", score.GetItem(), MaximumScoreBytes)
	}
	return nil
}

// checkUnscored checks a whole text that waits for its score.
func checkUnscored(text *wire.JobResult) error {
	if text.GetState() != wire.JobItemState_JOB_ITEM_STATE_COMPLETED || text.GetScore() != "" {
		return trace.BadParameter("the text of item %q waits for a score and is not just completed", text.GetItem())
	}
	return trace.Wrap(checkResult(text))
}

// checkScored rejects completed results that lack the score which their item needs, or that have one which their item
// can't have.
func (s *Store) checkScored(results *wire.JobResults) error {
	held := s.jobs[results.GetJob()]
	if held == nil || held.ended || s.unsafe.ListUnscored {
		return nil
	}
	for _, result := range results.GetResults() {
		entry := held.items[result.GetItem()]
		completed := result.GetState() == wire.JobItemState_JOB_ITEM_STATE_COMPLETED
		if entry != nil && completed && (entry.GetReward() != nil) != (result.GetScore() != "") {
			return trace.BadParameter("the result of item %q has no score though its item needs one, or one though it doesn't", result.GetItem())
		}
	}
	return nil
}

// holdUnscored stores the whole text of an item until its score arrives. The first text wins, and a score of the text
// of another run is accepted for it. It returns false if the text continues a partial text that is not stored.
func (s *Store) holdUnscored(j *job, text *wire.JobResult) bool {
	id := text.GetItem()
	if j.items[id].GetReward() == nil || j.listed[id] || j.unscored[id] != nil && !s.unsafe.ReplaceText {
		return true
	}
	text, matched := s.withPartialText(j, text)
	if !matched {
		return false
	}
	s.dropPartial(j, id)
	s.dropUnscored(j, id)
	j.unscored[id] = text
	s.addBytes(j, proto.Size(text))
	return true
}

// listScored lists the stored text of an item with its score. It returns false if there is no such text.
func (s *Store) listScored(j *job, score *wire.JobScore) bool {
	text := j.unscored[score.GetItem()]
	if text == nil {
		return false
	}
	s.listResult(j, &wire.JobResult{
		Item: text.GetItem(), State: text.GetState(), Text: text.GetText(), Versions: text.GetVersions(),
		DeflatedFrom: text.GetDeflatedFrom(), Pieces: text.GetPieces(), Score: score.GetScore(),
	})
	return true
}

// dropUnscored removes the text of an item that waits for its score.
func (s *Store) dropUnscored(j *job, item string) {
	if held := j.unscored[item]; held != nil {
		s.addBytes(j, -proto.Size(held))
		delete(j.unscored, item)
	}
}

// sortedUnscored returns the texts that wait for their score, ordered by item id.
func (j *job) sortedUnscored() []*wire.JobResult {
	return slices.SortedFunc(maps.Values(j.unscored), func(a, b *wire.JobResult) int { return cmp.Compare(a.GetItem(), b.GetItem()) })
}

// restoreUnscored adds the unscored texts of a snapshot to a job. It returns an error for a text that the job can't
// have.
func (s *Store) restoreUnscored(held *job, texts []*wire.JobResult) error {
	for _, text := range texts {
		if err := checkUnscored(text); err != nil {
			return trace.Wrap(err, "snapshot has a malformed text without score")
		}
		id := text.GetItem()
		if held.ended || held.items[id].GetReward() == nil || held.listed[id] || held.unscored[id] != nil || held.partials[id] != nil || text.GetFollowsLength() > 0 {
			return trace.BadParameter("snapshot has a text without score that no open item can have: %q", id)
		}
		if !s.holdUnscored(held, text) {
			return trace.BadParameter("snapshot has a text without score that follows none: %q", id)
		}
	}
	return nil
}
