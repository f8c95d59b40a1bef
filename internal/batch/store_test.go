package batch

import (
	"bytes"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/tamarindring/tamarindring/internal/wire"
)

func exampleJob(id string, items int) *wire.JobSubmit {
	submit := &wire.JobSubmit{Id: id, Route: "r", Pools: []string{"p"}, SentUnixMillis: 1000}
	for number := range items {
		submit.Items = append(submit.Items, &wire.JobItem{Id: fmt.Sprint("i", number), Body: []byte{byte(number), 255}, Group: "g"})
	}
	submit.Digest = Digest(submit)
	return submit
}

func completed(item, text string) *wire.JobResult {
	return &wire.JobResult{Item: item, State: wire.JobItemState_JOB_ITEM_STATE_COMPLETED, Text: []byte(text), Versions: []uint64{3}}
}

func stored(job string, results ...*wire.JobResult) *wire.JobStore {
	return &wire.JobStore{Jobs: []*wire.JobResults{{Job: job, Results: results}}}
}

// partial returns a partial text that continues before. Each event of both texts has one byte.
func partial(item, before, data string) *wire.JobPartial {
	earlier := uint64(len(before)+1) / 2
	events := earlier + uint64(len(data)+1)/2
	return &wire.JobPartial{Item: item, Length: uint64(len(before)), LastId: int64(earlier) - 1, Data: []byte(data),
		Events: events, NextLastId: int64(events) - 1, Dense: true, Versions: []uint64{3}, Follows: TextSum([]byte(before))}
}

func partialText(t *testing.T, held *wire.JobPartial) []byte {
	t.Helper()
	text, err := PartialText(held)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func storedPartial(job string, partials ...*wire.JobPartial) *wire.JobStore {
	return &wire.JobStore{Jobs: []*wire.JobResults{{Job: job, Partials: partials}}}
}

// TestPartialTextsContinueOnlyTheStoredText: a partial text must be stored only if it starts anew or continues exactly
// the stored text. Repeated, late and missing parts and those of other runs must not be mixed in.
func TestPartialTextsContinueOnlyTheStoredText(t *testing.T) {
	store := New()
	reply, err := store.Submit(exampleJob("a", 2))
	wantOutcome(t, reply, err, wire.JobOutcome_JOB_OUTCOME_ACCEPTED)
	held := store.heldBytes
	for _, step := range []struct {
		stored *wire.JobStore
		want   string
	}{
		{storedPartial("a", partial("i0", "a", "\nb")), ""}, // nothing is stored that it could continue
		{storedPartial("a", partial("i0", "", "a")), "a"},
		{storedPartial("a", partial("i0", "a", "\nb")), "a\nb"},
		{storedPartial("a", partial("i0", "a", "\nb")), "a\nb"},       // repeated
		{storedPartial("a", partial("i0", "a\nb\nc", "\nd")), "a\nb"}, // the part before it is missing
		{storedPartial("a", partial("i0", "", "c")), "c"},             // a new run
		{storedPartial("a", partial("i0", "a", "\nb")), "c"},          // the run of an earlier leader, of the same length so far
		{storedPartial("x", partial("i0", "", "d")), "c"},
		{stored("a", completed("i0", "c\nd")), ""},
		{storedPartial("a", partial("i0", "", "d")), ""}, // after the result
	} {
		if _, err := store.Store(step.stored); err != nil {
			t.Fatal(err)
		}
		got := ""
		for _, held := range store.Work(&wire.JobWorkQuery{}).GetJobs()[0].GetPartials() {
			got += string(partialText(t, held))
		}
		if got != step.want {
			t.Fatalf("stored text after %v: %q, want %q", step.stored, got, step.want)
		}
	}
	if want := held + proto.Size(completed("i0", "c\nd")); store.heldBytes != want {
		t.Fatalf("%d bytes are stored, want %d", store.heldBytes, want)
	}
	if _, err := store.Store(storedPartial("a", partial("i1", "", ""))); err == nil {
		t.Fatal("an empty text was accepted")
	}
}

func wantOutcome(t *testing.T, reply *wire.JobReply, err error, outcome wire.JobOutcome) {
	t.Helper()
	if err != nil || reply.GetOutcome() != outcome {
		t.Fatalf("got %v (%v), want %v", reply, err, outcome)
	}
}

// TestJobIsStoredOnce: a resend must change nothing, also after the end of the job, and other content under the same id
// must be rejected.
func TestJobIsStoredOnce(t *testing.T) {
	store := New()
	for range 2 {
		reply, err := store.Submit(exampleJob("a", 3))
		wantOutcome(t, reply, err, wire.JobOutcome_JOB_OUTCOME_ACCEPTED)
	}
	reply, err := store.Submit(exampleJob("a", 2))
	wantOutcome(t, reply, err, wire.JobOutcome_JOB_OUTCOME_OTHER_CONTENT)
	if store.Len() != 1 || store.Revision() != 1 {
		t.Fatalf("%d jobs, revision %d, want 1 of each", store.Len(), store.Revision())
	}
	reply, err = store.End(&wire.JobEnd{Job: "a"})
	wantOutcome(t, reply, err, wire.JobOutcome_JOB_OUTCOME_ACCEPTED)
	reply, err = store.Submit(exampleJob("a", 3))
	wantOutcome(t, reply, err, wire.JobOutcome_JOB_OUTCOME_ACCEPTED)
	if work := store.Work(&wire.JobWorkQuery{}); len(work.GetOpen()) != 0 || !work.GetKept() {
		t.Fatalf("a resend reopened an ended job: %v", work)
	}
	reply, err = store.End(&wire.JobEnd{Job: "b"})
	wantOutcome(t, reply, err, wire.JobOutcome_JOB_OUTCOME_UNKNOWN_JOB)
}

func TestDigestCoversWhatTheCallerSent(t *testing.T) {
	first, second := exampleJob("a", 2), exampleJob("a", 2)
	second.SentUnixMillis, second.Route, second.DeadlineMillis = 9, "other", 7
	if !bytes.Equal(Digest(first), Digest(second)) {
		t.Fatal("the digest depends on fields that the caller did not send")
	}
	second.Items[1].Body = []byte("x")
	if bytes.Equal(Digest(first), Digest(second)) {
		t.Fatal("two different contents have the same digest")
	}
}

// TestResultsKeepTheirPosition: readers continue from a position, so that a result must not move, and a second one of
// the same item must be ignored.
func TestResultsKeepTheirPosition(t *testing.T) {
	store := New()
	if _, err := store.Submit(exampleJob("a", 3)); err != nil {
		t.Fatal(err)
	}
	reply, err := store.Store(stored("a", completed("i1", "one"), completed("i1", "again"), completed("none", "x")))
	if err != nil || reply.GetStored() != 1 {
		t.Fatalf("%v (%v), want 1 result stored", reply, err)
	}
	if _, err := store.Store(stored("a", &wire.JobResult{Item: "i0", State: wire.JobItemState_JOB_ITEM_STATE_TERMINATED}, completed("i1", "z"))); err != nil {
		t.Fatal(err)
	}
	view := readNow(t, store.Results(&wire.JobResultsQuery{Job: "a", MaxBytes: 1}))
	if !view.GetKnown() || view.GetTotal() != 3 || view.GetNext() != 1 || string(view.GetResults()[0].GetText()) != "one" {
		t.Fatalf("results for a limit of 1 byte: %v, want 1 of 3", view)
	}
	view = readNow(t, store.Results(&wire.JobResultsQuery{Job: "a", Since: 1}))
	if view.GetNext() != 2 || view.GetResults()[0].GetItem() != "i0" {
		t.Fatalf("results from position 1: %v, want item i0", view)
	}
	if view = readNow(t, store.Results(&wire.JobResultsQuery{Job: "a", Since: 9})); view.GetNext() != 9 || len(view.GetResults()) != 0 {
		t.Fatalf("results after the end of the list: %v, want none", view)
	}
	if readNow(t, store.Results(&wire.JobResultsQuery{Job: "b"})).GetKnown() {
		t.Fatal("an unknown job is reported as known")
	}
	item := readNow(t, store.Item(&wire.JobItemQuery{Job: "a", Item: "i2"}))
	if !item.GetHeld() || item.GetListed() || !bytes.Equal(item.GetBody(), []byte{2, 255}) {
		t.Fatalf("unfinished item: %v, want its body", item)
	}
	work := store.Work(&wire.JobWorkQuery{})
	if len(work.GetJobs()) != 1 || len(work.GetJobs()[0].GetFinished()) != 2 || len(store.Work(&wire.JobWorkQuery{AfterRevision: 1}).GetJobs()) != 0 {
		t.Fatalf("work: %v, want 1 job with 2 finished items", work)
	}
}

func TestExpiryWaitsForEndAndRetention(t *testing.T) {
	store := New()
	for _, id := range []string{"a", "b"} {
		if _, err := store.Submit(exampleJob(id, 1)); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := store.End(&wire.JobEnd{Job: "a"}); err != nil {
		t.Fatal(err)
	}
	for _, step := range []struct{ elapsed, retention, left int }{
		{elapsed: 1 << 40, retention: 3000, left: 2}, // began to pass before the jobs were stored
		{elapsed: 3000, retention: 3000, left: 2},
		{elapsed: 1, retention: 3000, left: 1},
	} {
		if _, err := store.Expire(&wire.JobExpire{ElapsedMillis: uint64(step.elapsed), RetentionMillis: uint64(step.retention)}); err != nil {
			t.Fatal(err)
		}
		if store.Len() != step.left {
			t.Fatalf("after %v: %d jobs", step, store.Len())
		}
	}
}

func TestFullStoreRejectsJobs(t *testing.T) {
	store := New()
	store.heldBytes = MaximumHeldBytes
	reply, err := store.Submit(exampleJob("a", 1))
	wantOutcome(t, reply, err, wire.JobOutcome_JOB_OUTCOME_FULL)
	for _, malformed := range []*wire.JobSubmit{{}, {Id: "a"}, {Id: "a", Digest: []byte{1}},
		{Id: "a", Digest: []byte{1}, Items: []*wire.JobItem{{Id: "x"}, {Id: "x"}}}} {
		if _, err := store.Submit(malformed); err == nil {
			t.Fatalf("malformed job %v was accepted", malformed)
		}
	}
}

// checkedStore is a store together with what its readers have seen. Nothing that was read may change.
type checkedStore struct {
	store *Store
	read  map[string][]*wire.JobResult
	ended map[string]bool
}

func (c *checkedStore) apply(t *rapid.T, step int) {
	id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "job")
	item := fmt.Sprint("i", rapid.IntRange(0, 3).Draw(t, "item"))
	var err error
	switch rapid.IntRange(0, 4).Draw(t, "command") {
	case 0:
		_, err = c.store.Submit(exampleJob(id, 3))
	case 1, 2:
		_, err = c.store.Store(stored(id, completed(item, fmt.Sprint(step))))
	case 3:
		_, err = c.store.End(&wire.JobEnd{Job: id})
	case 4:
		_, err = c.store.Store(storedPartial(id, partial(item, rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "before"), "x")))
	}
	if err != nil {
		t.Fatal(err)
	}
}

func (c *checkedStore) check(t *rapid.T) {
	for _, id := range []string{"a", "b", "c"} {
		view := readNow(t, c.store.Results(&wire.JobResultsQuery{Job: id}))
		seen := map[string]bool{}
		for position, result := range view.GetResults() {
			if position < len(c.read[id]) && !proto.Equal(result, c.read[id][position]) {
				t.Fatalf("position %d of %s changed from %v to %v", position, id, c.read[id][position], result)
			}
			if seen[result.GetItem()] {
				t.Fatalf("item %s of %s has two results", result.GetItem(), id)
			}
			seen[result.GetItem()] = true
		}
		if len(view.GetResults()) < len(c.read[id]) || c.ended[id] && !view.GetEnded() {
			t.Fatalf("%s lost results or its end", id)
		}
		c.read[id], c.ended[id] = view.GetResults(), view.GetEnded()
	}
}

// TestReadersSeeOneHistory applies random commands with restores from snapshots in between. Results that were read must
// neither change nor disappear.
func TestReadersSeeOneHistory(t *testing.T) {
	rapid.Check(t, playHistory)
}

func playHistory(t *rapid.T) {
	checked := &checkedStore{store: New(), read: map[string][]*wire.JobResult{}, ended: map[string]bool{}}
	for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
		checked.apply(t, step)
		checked.check(t)
		if rapid.IntRange(0, 4).Draw(t, "restore") > 0 {
			continue
		}
		restored := New()
		if err := restored.Restore(mustSnapshot(t, checked.store)); err != nil {
			t.Fatal(err)
		}
		if !proto.Equal(mustSnapshot(t, restored), mustSnapshot(t, checked.store)) || restored.heldBytes != checked.store.heldBytes {
			t.Fatal("the restored store differs from the original")
		}
		checked.store = restored
	}
}

// FuzzStore restores a store from arbitrary bytes. Nothing may panic, a rejected snapshot must change nothing, and an
// accepted one must survive another restore.
func FuzzStore(f *testing.F) {
	store := New()
	if _, err := store.Submit(exampleJob("a", 2)); err != nil {
		f.Fatal(err)
	}
	if _, err := store.Store(stored("a", completed("i0", "x"))); err != nil {
		f.Fatal(err)
	}
	data, err := proto.Marshal(mustSnapshot(f, store))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		snapshot := &wire.JobSnapshot{}
		if proto.Unmarshal(data, snapshot) != nil {
			return
		}
		first, second := New(), New()
		if first.Restore(snapshot) != nil {
			if first.Len() != 0 {
				t.Fatal("a rejected snapshot changed the store")
			}
			return
		}
		for _, record := range snapshot.GetJobs() {
			if _, err := first.End(&wire.JobEnd{Job: record.GetSubmit().GetId()}); err != nil {
				t.Fatal(err)
			}
		}
		if err := second.Restore(mustSnapshot(t, first)); err != nil || !proto.Equal(mustSnapshot(t, first), mustSnapshot(t, second)) {
			t.Fatalf("the store differs after a second restore (%v)", err)
		}
	})
}
