package batch

import (
	"bytes"
	"cmp"
	"crypto/sha256"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// Digest returns a hash of what the caller of a job sent, without what was added later, such as the settings of the
// route and the time of receipt. Two submits with the same id are the same job only if their digests are equal. It
// returns nil if the job can't be encoded.
func Digest(submit *wire.JobSubmit) []byte {
	content := &wire.JobSubmit{
		Id: submit.GetId(), Model: submit.GetModel(), Step: submit.GetStep(),
		MinVersion: submit.GetMinVersion(), Desired: submit.GetDesired(), Items: submit.GetItems(), Tenant: submit.GetTenant(),
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(content)
	if err != nil {
		return nil // a string is not valid UTF-8; Submit rejects a job without a digest
	}
	sum := sha256.Sum256(data)
	return sum[:]
}

// Submit stores a job. The outcome is ACCEPTED for a new job and for a resend of a stored one, which changes nothing;
// OTHER_CONTENT if a job with this id and another digest is stored; FULL if the job does not fit in the limit of bytes.
// It returns trace.BadParameter for a malformed command, which changes nothing.
func (s *Store) Submit(submit *wire.JobSubmit) (*wire.JobReply, error) {
	if err := checkSubmit(submit); err != nil {
		return nil, trace.Wrap(err)
	}
	if held := s.jobs[submit.GetId()]; held != nil && !s.unsafe.TakeTwice {
		if !bytes.Equal(held.submit.GetDigest(), submit.GetDigest()) && !s.unsafe.ForgetDigest {
			return reply(wire.JobOutcome_JOB_OUTCOME_OTHER_CONTENT), nil
		}
		return reply(wire.JobOutcome_JOB_OUTCOME_ACCEPTED), nil
	}
	if uint64(s.heldBytes+proto.Size(submit)) > cmp.Or(submit.GetMostHeldBytes(), MaximumHeldBytes) {
		return reply(wire.JobOutcome_JOB_OUTCOME_FULL), nil
	}
	s.revision++
	s.addJob(submit, s.revision)
	return reply(wire.JobOutcome_JOB_OUTCOME_ACCEPTED), nil
}

func reply(outcome wire.JobOutcome) *wire.JobReply { return &wire.JobReply{Outcome: outcome} }

// checkSubmit checks the form and the size limits of a job.
func checkSubmit(submit *wire.JobSubmit) error {
	switch {
	case submit.GetId() == "" || len(submit.GetId()) > MaximumIDBytes:
		return trace.BadParameter("a job's id must have 1 to %d bytes", MaximumIDBytes)
	case len(submit.GetDigest()) == 0 || len(submit.GetDigest()) > MaximumDigestBytes:
		return trace.BadParameter("a job's digest must have 1 to %d bytes", MaximumDigestBytes)
	case len(submit.GetItems()) == 0 || len(submit.GetItems()) > MaximumItems:
		return trace.BadParameter("a job must have 1 to %d items", MaximumItems)
	case proto.Size(submit) > MaximumJobBytes:
		return trace.BadParameter("a job must not be larger than %d bytes", MaximumJobBytes)
	}
	seen := make(map[string]bool, len(submit.GetItems()))
	for _, item := range submit.GetItems() {
		if item.GetId() == "" || len(item.GetId()) > MaximumIDBytes {
			return trace.BadParameter("an item's id must have 1 to %d bytes", MaximumIDBytes)
		}
		if seen[item.GetId()] {
			return trace.BadParameter("item %q stands twice in the job", item.GetId())
		}
		seen[item.GetId()] = true
		if err := checkReward(item); err != nil {
			return err
		}
	}
	return nil
}

// checkReward checks the reward call of an item, if it has one.
func checkReward(item *wire.JobItem) error {
	reward := item.GetReward()
	switch {
	case reward == nil:
		return nil
	case reward.GetId() == "" || len(reward.GetId()) > MaximumIDBytes:
		return trace.BadParameter("the id of item %q's reward call must have 1 to %d bytes", item.GetId(), MaximumIDBytes)
	case reward.GetHost() == "" || reward.GetPath() == "":
		return trace.BadParameter("the reward call of item %q has no host or no path", item.GetId())
	}
	return nil
}

// Store appends results to the lists of their jobs and returns how many were new. The first result of an item wins.
// Results of unknown items, unknown jobs and ended jobs are ignored, because they come only from a runner that does not
// know of the end yet. The reply names the items whose text continues one that is not stored, and those whose score
// arrives without a stored text. It returns trace.BadParameter for a malformed command, which changes nothing.
func (s *Store) Store(command *wire.JobStore) (*wire.JobReply, error) {
	for _, results := range command.GetJobs() {
		if err := s.checkResults(results); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	answer := reply(wire.JobOutcome_JOB_OUTCOME_ACCEPTED)
	for _, results := range command.GetJobs() {
		held := s.jobs[results.GetJob()]
		if held == nil || held.ended && !s.unsafe.ListAfterEnd {
			continue
		}
		answer.Unmatched = append(answer.Unmatched, s.storeTexts(held, results)...)
		for _, score := range results.GetScores() {
			switch id := score.GetItem(); {
			case s.listScored(held, score):
				answer.Stored++
			case held.items[id].GetReward() != nil && !held.listed[id]:
				answer.Unmatched = append(answer.Unmatched, &wire.JobItemRef{Job: results.GetJob(), Item: id})
			}
		}
		for _, result := range results.GetResults() {
			id := result.GetItem()
			if held.items[id] == nil || held.listed[id] && !s.unsafe.ListTwice {
				continue
			}
			whole, matched := s.withPartialText(held, result)
			if !matched {
				answer.Unmatched = append(answer.Unmatched, &wire.JobItemRef{Job: results.GetJob(), Item: id})
				continue
			}
			s.listResult(held, whole)
			answer.Stored++
		}
	}
	return answer, nil
}

// storeTexts stores the partial and unscored texts of items that have no result. It returns the items whose unscored
// text continues a partial text that is not stored.
func (s *Store) storeTexts(held *job, results *wire.JobResults) (unmatched []*wire.JobItemRef) {
	for _, partial := range results.GetPartials() {
		id := partial.GetItem()
		if held.items[id] != nil && !held.listed[id] && held.unscored[id] == nil {
			s.extendPartial(held, partial)
		}
	}
	for _, text := range results.GetUnscored() {
		if !s.holdUnscored(held, text) {
			unmatched = append(unmatched, &wire.JobItemRef{Job: results.GetJob(), Item: text.GetItem()})
		}
	}
	return unmatched
}

// checkResults checks all results, texts and scores of one job in a command.
func (s *Store) checkResults(results *wire.JobResults) error {
	for _, result := range results.GetResults() {
		if err := cmp.Or(checkResult(result), checkPieces(result.GetItem(), result.GetPieces())); err != nil {
			return err
		}
	}
	for _, partial := range results.GetPartials() {
		if err := cmp.Or(checkPartial(partial), checkPieces(partial.GetItem(), partial.GetPieces())); err != nil {
			return err
		}
	}
	for _, text := range results.GetUnscored() {
		if err := cmp.Or(checkUnscored(text), checkPieces(text.GetItem(), text.GetPieces())); err != nil {
			return err
		}
	}
	for _, score := range results.GetScores() {
		if err := checkScore(score); err != nil {
			return err
		}
	}
	return s.checkScored(results)
}

// checkPieces rejects a text that consists of several pieces. Only the store itself joins pieces; commands must not
// contain them.
func checkPieces(item string, pieces []*wire.JobText) error {
	if len(pieces) > 0 {
		return trace.BadParameter("the text of item %q comes in pieces", item)
	}
	return nil
}

// checkResult checks the form and the size limits of a result.
func checkResult(result *wire.JobResult) error {
	switch result.GetState() {
	case wire.JobItemState_JOB_ITEM_STATE_COMPLETED:
	case wire.JobItemState_JOB_ITEM_STATE_TERMINATED:
		if len(result.GetText()) > 0 || result.GetDeflatedFrom() > 0 || len(result.GetPieces()) > 0 || result.GetFollowsLength() > 0 || len(result.GetVersions()) > 0 || result.GetScore() != "" {
			return trace.BadParameter("item %q was terminated and has a text or a score", result.GetItem())
		}
	default:
		return trace.BadParameter("the result of item %q has no state", result.GetItem())
	}
	tooLong := result.GetFollowsLength() > MaximumResultBytes || textBytes(result)+int(result.GetFollowsLength()) > MaximumResultBytes
	if tooLong || storedBytes(result) > textBytes(result) {
		return trace.BadParameter("the text of item %q is longer than %d bytes", result.GetItem(), MaximumResultBytes)
	}
	if len(result.GetScore()) > MaximumScoreBytes {
		return trace.BadParameter("the score of item %q is longer than %d bytes", result.GetItem(), MaximumScoreBytes)
	}
	return nil
}

// End ends a job; a job that has ended already is not an error. The outcome is UNKNOWN_JOB if the tenant has no such
// job. It returns trace.BadParameter for a malformed command, which changes nothing.
func (s *Store) End(command *wire.JobEnd) (*wire.JobReply, error) {
	if command.GetJob() == "" {
		return nil, trace.BadParameter("a job's id is missing")
	}
	held := s.jobOfTenant(command.GetJob(), command.GetTenant())
	if held == nil {
		return reply(wire.JobOutcome_JOB_OUTCOME_UNKNOWN_JOB), nil
	}
	if !held.ended {
		held.ended = true
		s.dropContent(held)
		s.seal(held)
	}
	return reply(wire.JobOutcome_JOB_OUTCOME_ACCEPTED), nil
}

// Expire advances the clock by the elapsed time and removes ended jobs whose retention has passed. It returns
// trace.BadParameter for a malformed command, which changes nothing.
func (s *Store) Expire(command *wire.JobExpire) (*wire.JobReply, error) {
	const maximumMillis = 1 << 50
	retention, elapsed := command.GetRetentionMillis(), command.GetElapsedMillis()
	if retention == 0 || retention > maximumMillis || elapsed == 0 || elapsed > maximumMillis {
		return nil, trace.BadParameter("the retention of jobs and the time that has passed must be above 0 ms and at most %d ms", int64(maximumMillis))
	}
	before := s.clock
	s.clock += elapsed
	kept := make([]*job, 0, len(s.order))
	s.nextExpiryMillis = 0
	for _, held := range s.order {
		if held.countedFrom == 0 {
			held.countedFrom = s.clock
			if s.unsafe.CountEarly {
				held.countedFrom = max(before, 1)
			}
			s.seal(held)
		}
		expired := (held.ended || s.unsafe.ExpireOpen) && s.clock-held.countedFrom > retention
		if !expired {
			kept = append(kept, held)
			if left := retention - min(s.clock-held.countedFrom, retention); held.ended && (s.nextExpiryMillis == 0 || left < s.nextExpiryMillis) {
				s.nextExpiryMillis = max(left, 1)
			}
			continue
		}
		delete(s.jobs, held.submit.GetId())
		s.heldBytes -= held.bytes
	}
	s.order = kept
	return reply(wire.JobOutcome_JOB_OUTCOME_ACCEPTED), nil
}
