package batch

import (
	"testing"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// rewarded returns a job of two items, the first of which needs a score.
func rewarded(id string) *wire.JobSubmit {
	submit := exampleJob(id, 2)
	submit.Items[0].Reward = &wire.JobReward{Id: "c0", Host: "h", Path: "/score", Body: []byte{1}}
	submit.Digest = Digest(submit)
	return submit
}

func unscored(job string, texts ...*wire.JobResult) *wire.JobStore {
	return &wire.JobStore{Jobs: []*wire.JobResults{{Job: job, Unscored: texts}}}
}

func scored(job, item, score string) *wire.JobStore {
	return &wire.JobStore{Jobs: []*wire.JobResults{{Job: job, Scores: []*wire.JobScore{{Item: item, Score: score}}}}}
}

func mustStore(t *testing.T, store *Store, command *wire.JobStore, listed uint32) {
	t.Helper()
	reply, err := store.Store(command)
	if err != nil || reply.GetStored() != listed {
		t.Fatalf("%v: %v (%v), want %d results listed", command, reply, err, listed)
	}
}

// TestTextsAreListedWithTheirScore: an item that needs a score must not be listed before it, its first text must be
// available to the next leader, and neither may be replaced.
func TestTextsAreListedWithTheirScore(t *testing.T) {
	store := New()
	reply, err := store.Submit(rewarded("a"))
	wantOutcome(t, reply, err, wire.JobOutcome_JOB_OUTCOME_ACCEPTED)
	mustStore(t, store, scored("a", "i0", "s"), 0) // no text is stored yet
	mustStore(t, store, unscored("a", completed("i0", "text")), 0)
	mustStore(t, store, unscored("a", completed("i0", "another run's")), 0)
	mustStore(t, store, storedPartial("a", partial("i0", "", "x")), 0)
	work := store.Work(&wire.JobWorkQuery{}).GetJobs()[0]
	if len(work.GetUnscored()) != 1 || string(work.GetUnscored()[0].GetText()) != "text" || len(work.GetPartials()) != 0 || len(work.GetFinished()) != 0 {
		t.Fatalf("work for the next leader: %v, want only the first text, unscored", work)
	}
	if item := readNow(t, store.Item(&wire.JobItemQuery{Job: "a", Item: "i0"})); item.GetListed() || len(item.GetBody()) == 0 {
		t.Fatalf("item that waits for its score: %v, want it unlisted with its body", item)
	}
	restored := New()
	if err := restored.Restore(mustSnapshot(t, store)); err != nil {
		t.Fatal(err)
	}
	if restored.heldBytes != store.heldBytes {
		t.Fatalf("%d bytes are stored after a restore, want %d", restored.heldBytes, store.heldBytes)
	}
	mustStore(t, restored, scored("a", "i0", "s"), 1)
	mustStore(t, restored, scored("a", "i0", "s2"), 0)
	results := readNow(t, restored.Results(&wire.JobResultsQuery{Job: "a"})).GetResults()
	if len(results) != 1 || results[0].GetScore() != "s" || string(results[0].GetText()) != "text" || results[0].GetVersions()[0] != 3 {
		t.Fatalf("results %v, want the first text with the first score", results)
	}
}

func TestResultsHaveTheScoreThatTheirItemNeeds(t *testing.T) {
	store := New()
	reply, err := store.Submit(rewarded("a"))
	wantOutcome(t, reply, err, wire.JobOutcome_JOB_OUTCOME_ACCEPTED)
	withScore := completed("i1", "text")
	withScore.Score = "s"
	terminated := &wire.JobResult{Item: "i0", State: wire.JobItemState_JOB_ITEM_STATE_TERMINATED, Score: "s"}
	for name, command := range map[string]*wire.JobStore{
		"a result without its score":       stored("a", completed("i0", "text")),
		"a score that nobody asked for":    stored("a", withScore),
		"a score of a terminated item":     stored("a", terminated),
		"an empty score":                   scored("a", "i0", ""),
		"a text that waits with a score":   unscored("a", withScore),
		"a terminated item that waits":     unscored("a", &wire.JobResult{Item: "i0", State: wire.JobItemState_JOB_ITEM_STATE_TERMINATED}),
		"a text that waits, without state": unscored("a", &wire.JobResult{Item: "i0", Text: []byte("text")}),
	} {
		if _, err := store.Store(command); err == nil {
			t.Errorf("%s was accepted", name)
		}
	}
	// The second item needs no score, so that its text is not stored as waiting for one.
	mustStore(t, store, unscored("a", completed("i1", "text")), 0)
	if waiting := store.Work(&wire.JobWorkQuery{}).GetJobs()[0].GetUnscored(); len(waiting) != 0 {
		t.Errorf("%v waits for a score that its item does not need", waiting)
	}
	mustStore(t, store, stored("a", completed("i1", "text")), 1)
}

func TestEndedJobsDropTextsWithoutScore(t *testing.T) {
	store := New()
	reply, err := store.Submit(rewarded("a"))
	wantOutcome(t, reply, err, wire.JobOutcome_JOB_OUTCOME_ACCEPTED)
	mustStore(t, store, unscored("a", completed("i0", "text")), 0)
	if _, err := store.End(&wire.JobEnd{Job: "a"}); err != nil {
		t.Fatal(err)
	}
	mustStore(t, store, scored("a", "i0", "s"), 0)
	restored := New()
	if err := restored.Restore(mustSnapshot(t, store)); err != nil || restored.heldBytes != store.heldBytes {
		t.Fatalf("restore: %v; %d bytes are stored, want %d", err, restored.heldBytes, store.heldBytes)
	}
}

func TestInvalidRewardCallsAreRejected(t *testing.T) {
	for name, reward := range map[string]*wire.JobReward{
		"no id": {Host: "h", Path: "/"}, "no host": {Id: "c", Path: "/"}, "no path": {Id: "c", Host: "h"},
	} {
		submit := rewarded("a")
		submit.Items[0].Reward = reward
		submit.Digest = Digest(submit)
		if _, err := New().Submit(submit); err == nil {
			t.Errorf("a reward call with %s was accepted", name)
		}
	}
	other := rewarded("a")
	other.Items[0].Reward.Body = []byte{2}
	if string(Digest(other)) == string(Digest(rewarded("a"))) {
		t.Error("jobs with different reward calls have the same digest")
	}
}
