package batch

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/statepart"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// endedJob adds an ended job to a store and starts its retention.
func endedJob(t *testing.T, store *Store) {
	t.Helper()
	reply, err := store.Submit(exampleJob("a", 5))
	wantOutcome(t, reply, err, wire.JobOutcome_JOB_OUTCOME_ACCEPTED)
	for number := range 4 {
		if _, err := store.Store(stored("a", completed(fmt.Sprint("i", number), fmt.Sprint("text ", number)))); err != nil {
			t.Fatal(err)
		}
	}
	reply, err = store.End(&wire.JobEnd{Job: "a"})
	wantOutcome(t, reply, err, wire.JobOutcome_JOB_OUTCOME_ACCEPTED)
	if _, err := store.Expire(&wire.JobExpire{RetentionMillis: 60_000, ElapsedMillis: 4000}); err != nil {
		t.Fatal(err)
	}
}

// TestSealedJobsAnswerAsUnsealed: all queries must give the same answers for a sealed job as for the same job in
// unsealed form.
func TestSealedJobsAnswerAsUnsealed(t *testing.T) {
	sealed, plain := New(), NewUnsafe(Unsafe{ListAfterEnd: true}) // ListAfterEnd disables sealing
	endedJob(t, sealed)
	endedJob(t, plain)
	if sealed.jobs["a"].sealed == nil || plain.jobs["a"].sealed != nil {
		t.Fatal("want the job sealed in the first store only")
	}
	if !proto.Equal(mustSnapshot(t, sealed), mustSnapshot(t, plain)) || sealed.HeldBytes() != plain.HeldBytes() {
		t.Errorf("snapshot of the sealed job: %v, want %v", mustSnapshot(t, sealed), mustSnapshot(t, plain))
	}
	for since := range uint64(6) {
		for _, query := range []*wire.JobResultsQuery{{Job: "a", Since: since}, {Job: "a", Since: since, MaxBytes: 30}, {Job: "a", Since: since, CountOnly: true}, {Job: "a", Tenant: "other"}} {
			if got, want := readNow(t, sealed.Results(query)), readNow(t, plain.Results(query)); !proto.Equal(got, want) {
				t.Errorf("query %v: %v, want %v", query, got, want)
			}
		}
	}
	for _, item := range []string{"i0", "i4", "none"} {
		query := &wire.JobItemQuery{Job: "a", Item: item}
		if got, want := readNow(t, sealed.Item(query)), readNow(t, plain.Item(query)); !proto.Equal(got, want) {
			t.Errorf("query %v: %v, want %v", query, got, want)
		}
	}
	if got, want := sealed.Work(&wire.JobWorkQuery{}), plain.Work(&wire.JobWorkQuery{}); !proto.Equal(got, want) {
		t.Errorf("work %v, want %v", got, want)
	}
	other := exampleJob("a", 6)
	reply, err := sealed.Submit(other)
	wantOutcome(t, reply, err, wire.JobOutcome_JOB_OUTCOME_OTHER_CONTENT)
}

// TestSealedJobsShareTheirPart: a sealed job must use the same part in every snapshot, also after a restore, so that
// its texts are in memory once.
func TestSealedJobsShareTheirPart(t *testing.T) {
	store := New()
	endedJob(t, store)
	reply, err := store.Submit(exampleJob("b", 1))
	wantOutcome(t, reply, err, wire.JobOutcome_JOB_OUTCOME_ACCEPTED)
	parts, err := store.Capture().Parts()
	if err != nil || len(parts) != 2 {
		t.Fatalf("%d parts (%v), want 2", len(parts), err)
	}
	restored := New()
	rest, err := proto.Marshal(store.jobs["b"].record())
	if err != nil {
		t.Fatal(err)
	}
	if err := restored.RestoreRecords(store.Capture().Head(), []Record{{Part: store.jobs["a"].sealed.part}, {Encoded: rest}}); err != nil {
		t.Fatal(err)
	}
	again, err := restored.Capture().Parts()
	if err != nil || len(again) != 2 || again[0] != parts[0] || !bytes.Equal(mustContent(t, again[1]), mustContent(t, parts[1])) {
		t.Fatalf("%d parts after the restore (%v), want the same 2", len(again), err)
	}
	if restored.HeldBytes() != store.HeldBytes() || !proto.Equal(mustSnapshot(t, restored), mustSnapshot(t, store)) {
		t.Error("the restored state differs from the original")
	}
}

func mustContent(t *testing.T, part *statepart.Part) []byte {
	t.Helper()
	content, err := part.Content()
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// lostSource is a source whose content is gone.
type lostSource struct{}

func (lostSource) Content() ([]byte, error) { return nil, errLost }

func (s lostSource) Section(int, int, uint64) statepart.Source { return s }

var errLost = errors.New("the file is gone")

// TestResultsThatCannotBeReadAreAnError: an ended job whose part can't be read must give an error. Without one its caller
// would take the job for one without results.
func TestResultsThatCannotBeReadAreAnError(t *testing.T) {
	store := New()
	endedJob(t, store)
	store.jobs["a"].sealed.part.MoveTo(lostSource{})
	if view, err := store.Results(&wire.JobResultsQuery{Job: "a"}).Now(); !errors.Is(err, errLost) {
		t.Errorf("results %v and error %v, want the error of the part", view, err)
	}
	if view, err := store.Item(&wire.JobItemQuery{Job: "a", Item: "i0"}).Now(); !errors.Is(err, errLost) {
		t.Errorf("item %v and error %v, want the error of the part", view, err)
	}
	if _, err := store.Snapshot(); !errors.Is(err, errLost) {
		t.Errorf("snapshot with error %v, want the error of the part", err)
	}
	count, err := store.Results(&wire.JobResultsQuery{Job: "a", CountOnly: true}).Now()
	if err != nil || count.GetListed() != 4 {
		t.Errorf("count %v (%v), want 4 results without reading the part", count, err)
	}
}
