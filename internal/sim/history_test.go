package sim

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/tamarindring/tamarindring/internal/state/linear"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// checkHistories runs one seed and checks the histories of its clients against the sequential models.
func checkHistories(t *testing.T, name string, seed int64) (tableHolds, claimsHold bool) {
	t.Helper()
	found := findScenario(t, name)
	found.Length, found.noExpiry = 40*time.Second, true
	w, _ := runWorld(found, seed, NoMutation, true)
	if len(w.history.table) < 10 || len(w.history.claims) < 100 {
		t.Fatalf("%s, seed %d: histories have %d table and %d claim operations, expected at least 10 and 100", name, seed, len(w.history.table), len(w.history.claims))
	}
	start := map[linear.Cell]string{}
	for _, cell := range w.fleet.firstTable().Cells {
		start[linear.Cell{Row: cell.Row, Column: cell.Column}] = cell.Value
	}
	tableHolds = porcupine.CheckOperations(linear.TableModel(1, start), boundLostResends(w.history.table))
	claimsHold = porcupine.CheckOperations(linear.ClaimModel(), w.history.claims)
	return tableHolds, claimsHold
}

// boundLostResends bounds the lost resends of answered changes, which make the search exponential. Whichever resend
// takes effect first determines the answer of all, so a lost one has the answer of the others too. Once one was
// answered, another one has no effect. A lost resend that was called before that answer takes effect by then, or may
// as well; one that was called later is left out. The orders that the models allow are the same with and without this
// reduction.
func boundLostResends(operations []porcupine.Operation) []porcupine.Operation {
	answered := map[string]porcupine.Operation{}
	for _, operation := range operations {
		id := operation.Input.(linear.TableInput).ChangeID
		first, known := answered[id]
		if id != "" && !operation.Output.(linear.TableOutput).Lost && (!known || operation.Return < first.Return) {
			answered[id] = operation
		}
	}
	var settled []porcupine.Operation
	for _, operation := range operations {
		first, known := answered[operation.Input.(linear.TableInput).ChangeID]
		if operation.Output.(linear.TableOutput).Lost && known {
			if operation.Call >= first.Return {
				continue
			}
			operation.Output, operation.Return = first.Output, first.Return
		}
		settled = append(settled, operation)
	}
	return settled
}

// TestHistoriesAreNotLinearizable guards against table and claim answers under faults that no sequential execution of
// the operations explains.
func TestHistoriesAreNotLinearizable(t *testing.T) {
	names := []string{"mixed", "operators-race", "leader-moves", "disk"}
	if testing.Short() {
		names = names[:1]
	}
	for _, name := range names {
		for seed := range int64(2) {
			if tableHolds, claimsHold := checkHistories(t, name, 500+seed); !tableHolds || !claimsHold {
				t.Errorf("%s, seed %d: table linearizable %v, claims linearizable %v, expected both", name, 500+seed, tableHolds, claimsHold)
			}
		}
	}
}

// TestModelsMissAWrongAnswer guards against models that accept any history: it falsifies one answer of a linearizable
// history, and the check must then fail.
func TestModelsMissAWrongAnswer(t *testing.T) {
	found := findScenario(t, "pause-beyond-lease")
	found.Length, found.noExpiry = 20*time.Second, true
	w, _ := runWorld(found, 500, NoMutation, true)
	for i, operation := range w.history.claims {
		output := operation.Output.(linear.ClaimOutput)
		if output.State == wire.ClaimState_CLAIM_STATE_GRANTED {
			output.State = wire.ClaimState_CLAIM_STATE_DONE
			w.history.claims[i].Output = output
			break
		}
	}
	if porcupine.CheckOperations(linear.ClaimModel(), w.history.claims) {
		t.Error("a history with a falsified claim answer was accepted, expected it not to be linearizable")
	}
}
