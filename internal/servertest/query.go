package servertest

import (
	"testing"

	"github.com/tamarindring/tamarindring/internal/state"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// MustQuery answers a query of a state machine, and fails the test if the answer can't be read.
func MustQuery(t testing.TB, machine *state.Machine, query *wire.Query) *wire.View {
	t.Helper()
	view, err := machine.Query(query)
	if err != nil {
		t.Fatal(err)
	}
	return view
}
