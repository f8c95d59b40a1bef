package batch

import (
	"testing"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// failer is implemented by testing.T and rapid.T.
type failer interface {
	Helper()
	Fatal(...any)
}

// readNow returns the answer to a query and fails the test if it can't be read.
func readNow[V any](t failer, reading Reading[V]) V {
	t.Helper()
	view, err := reading.Now()
	if err != nil {
		t.Fatal(err)
	}
	return view
}

// mustSnapshot returns the state of a store and fails the test if it can't be read.
func mustSnapshot(t failer, store *Store) *wire.JobSnapshot {
	t.Helper()
	snapshot, err := store.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

var _ failer = (*testing.T)(nil)
