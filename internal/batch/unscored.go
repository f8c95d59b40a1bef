package batch

import (
	"cmp"
	"maps"
	"slices"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// An item with a reward call is listed as completed once its text has a score. Until then its whole text is held
// here, so that whoever leads next asks for the score only.

// MaximumScoreBytes bounds a score.
const MaximumScoreBytes = 4096

func checkScore(score *wire.JobScore) error {
	if score.GetScore() == "" || len(score.GetScore()) > MaximumScoreBytes {
		return trace.BadParameter("the score of item %q must have 1 to %d bytes", score.GetItem(), MaximumScoreBytes)
	}
	return nil
}

func checkUnscored(text *wire.JobResult) error {
	if text.GetState() != wire.JobItemState_JOB_ITEM_STATE_COMPLETED || text.GetScore() != "" {
		return trace.BadParameter("the text of item %q waits for a score and is not just completed", text.GetItem())
	}
	return trace.Wrap(checkResult(text))
}

// checkScored refuses completed results that lack the score that their item needs, or have one that it can't have.
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

// awaitScore holds an item's whole text. The first one wins: the score of another run's text is as good for it. It
// reports false if the text follows one that is not held.
func (s *Store) awaitScore(j *job, text *wire.JobResult) bool {
	id := text.GetItem()
	if j.items[id].GetReward() == nil || j.listed[id] || j.unscored[id] != nil && !s.unsafe.ReplaceText {
		return true
	}
	text, matched := s.whole(j, text)
	if !matched {
		return false
	}
	s.drop(j, id)
	s.dropUnscored(j, id)
	j.unscored[id] = text
	s.count(j, proto.Size(text))
	return true
}

// score lists the text that is held of an item; it reports whether there was one.
func (s *Store) score(j *job, score *wire.JobScore) bool {
	text := j.unscored[score.GetItem()]
	if text == nil {
		return false
	}
	s.list(j, &wire.JobResult{
		Item: text.GetItem(), State: text.GetState(), Text: text.GetText(), Versions: text.GetVersions(),
		DeflatedFrom: text.GetDeflatedFrom(), Pieces: text.GetPieces(), Score: score.GetScore(),
	})
	return true
}

func (s *Store) dropUnscored(j *job, item string) {
	if held := j.unscored[item]; held != nil {
		s.count(j, -proto.Size(held))
		delete(j.unscored, item)
	}
}

// sortedUnscored returns the texts that wait for their score, in order of the items' ids.
func (j *job) sortedUnscored() []*wire.JobResult {
	return slices.SortedFunc(maps.Values(j.unscored), func(a, b *wire.JobResult) int { return cmp.Compare(a.GetItem(), b.GetItem()) })
}

func (s *Store) restoreUnscored(held *job, texts []*wire.JobResult) error {
	for _, text := range texts {
		if err := checkUnscored(text); err != nil {
			return trace.Wrap(err, "snapshot has a malformed text without score")
		}
		id := text.GetItem()
		if held.ended || held.items[id].GetReward() == nil || held.listed[id] || held.unscored[id] != nil || held.partials[id] != nil || text.GetFollowsLength() > 0 {
			return trace.BadParameter("snapshot has a text without score that no open item can have: %q", id)
		}
		if !s.awaitScore(held, text) {
			return trace.BadParameter("snapshot has a text without score that follows none: %q", id)
		}
	}
	return nil
}
