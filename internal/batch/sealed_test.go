package batch

import (
	"bytes"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

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
	if !proto.Equal(sealed.Snapshot(), plain.Snapshot()) || sealed.HeldBytes() != plain.HeldBytes() {
		t.Errorf("snapshot of the sealed job: %v, want %v", sealed.Snapshot(), plain.Snapshot())
	}
	for since := range uint64(6) {
		for _, query := range []*wire.JobResultsQuery{{Job: "a", Since: since}, {Job: "a", Since: since, MaxBytes: 30}, {Job: "a", Since: since, CountOnly: true}, {Job: "a", Tenant: "other"}} {
			if got, want := sealed.Results(query), plain.Results(query); !proto.Equal(got, want) {
				t.Errorf("query %v: %v, want %v", query, got, want)
			}
		}
	}
	for _, item := range []string{"i0", "i4", "none"} {
		query := &wire.JobItemQuery{Job: "a", Item: item}
		if got, want := sealed.Item(query), plain.Item(query); !proto.Equal(got, want) {
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

// TestSealedJobsShareTheirPart: a sealed job must use the same bytes in every snapshot, also after a restore, so that
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
	record := store.jobs["a"].sealed.Record
	restored := New()
	rest, err := encodePart(store.jobs["b"].record())
	if err != nil {
		t.Fatal(err)
	}
	if err := restored.RestoreRecords(store.Capture().Head(), []Record{record, {Encoded: rest.Encoded}}); err != nil {
		t.Fatal(err)
	}
	again, err := restored.Capture().Parts()
	if err != nil || len(again) != 2 || &again[0][0] != &parts[0][0] || !bytes.Equal(again[1], parts[1]) {
		t.Fatalf("%d parts after the restore (%v), want the same 2", len(again), err)
	}
	if restored.HeldBytes() != store.HeldBytes() || !proto.Equal(restored.Snapshot(), store.Snapshot()) {
		t.Error("the restored state differs from the original")
	}
}
