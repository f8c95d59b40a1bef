package batch

import (
	"bytes"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// endedJob fills a store with an ended job whose retention is counted.
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

// TestSealedJobsAnswerAsBefore compares a sealed job with the same one as messages, in all that can be asked.
func TestSealedJobsAnswerAsBefore(t *testing.T) {
	sealed, plain := New(), NewUnsafe(Unsafe{ListAfterEnd: true}) // which keeps messages
	endedJob(t, sealed)
	endedJob(t, plain)
	if sealed.jobs["a"].sealed == nil || plain.jobs["a"].sealed != nil {
		t.Fatal("the wrong job is sealed")
	}
	if !proto.Equal(sealed.Snapshot(), plain.Snapshot()) || sealed.HeldBytes() != plain.HeldBytes() {
		t.Errorf("snapshots differ: %v, %v", sealed.Snapshot(), plain.Snapshot())
	}
	for since := range uint64(6) {
		for _, query := range []*wire.JobResultsQuery{{Job: "a", Since: since}, {Job: "a", Since: since, MaxBytes: 30}, {Job: "a", Since: since, CountOnly: true}, {Job: "a", Tenant: "other"}} {
			if got, want := sealed.Results(query), plain.Results(query); !proto.Equal(got, want) {
				t.Errorf("%v: %v, want %v", query, got, want)
			}
		}
	}
	for _, item := range []string{"i0", "i4", "none"} {
		query := &wire.JobItemQuery{Job: "a", Item: item}
		if got, want := sealed.Item(query), plain.Item(query); !proto.Equal(got, want) {
			t.Errorf("%v: %v, want %v", query, got, want)
		}
	}
	if got, want := sealed.Work(&wire.JobWorkQuery{}), plain.Work(&wire.JobWorkQuery{}); !proto.Equal(got, want) {
		t.Errorf("work %v, want %v", got, want)
	}
	other := exampleJob("a", 6)
	reply, err := sealed.Submit(other)
	wantOutcome(t, reply, err, wire.JobOutcome_JOB_OUTCOME_OTHER_CONTENT)
}

// TestSealedJobsAreTheSamePartInEachSnapshot, also after a snapshot was restored.
func TestSealedJobsAreTheSamePartInEachSnapshot(t *testing.T) {
	store := New()
	endedJob(t, store)
	reply, err := store.Submit(exampleJob("b", 1))
	wantOutcome(t, reply, err, wire.JobOutcome_JOB_OUTCOME_ACCEPTED)
	parts, err := store.Capture().Parts()
	if err != nil || len(parts) != 2 {
		t.Fatalf("%d parts, %v", len(parts), err)
	}
	record := store.jobs["a"].sealed.Record
	restored := New()
	rest, err := frame(store.jobs["b"].record())
	if err != nil {
		t.Fatal(err)
	}
	if err := restored.RestoreRecords(store.Capture().Head(), []Record{record, {Encoded: rest.Encoded}}); err != nil {
		t.Fatal(err)
	}
	again, err := restored.Capture().Parts()
	if err != nil || len(again) != 2 || &again[0][0] != &parts[0][0] || !bytes.Equal(again[1], parts[1]) {
		t.Fatalf("%d parts after it was restored, %v", len(again), err)
	}
	if restored.HeldBytes() != store.HeldBytes() || !proto.Equal(restored.Snapshot(), store.Snapshot()) {
		t.Error("the restored state is another one")
	}
}
