package linear_test

import (
	"fmt"
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/tamarindring/tamarindring/internal/claim"
	"github.com/tamarindring/tamarindring/internal/state"
	"github.com/tamarindring/tamarindring/internal/state/linear"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// claimsRun applies random claim operations to a Machine and records the history. Operations overlap as over a network,
// and each takes effect at some time between its call and its return.
type claimsRun struct {
	machine  *state.Machine
	index    uint64
	clock    int64
	tickets  map[string]uint64
	history  []porcupine.Operation
	executed map[string]map[string]bool // by key, attempts that were granted and not released
}

func newClaimsRun(unsafe claim.Unsafe) *claimsRun {
	return &claimsRun{
		machine: state.NewUnsafe(state.Unsafe{Claim: unsafe}),
		tickets: map[string]uint64{}, executed: map[string]map[string]bool{},
	}
}

func drawClaim(t *rapid.T) linear.ClaimInput {
	input := linear.ClaimInput{
		Action:  linear.ClaimAction(rapid.IntRange(1, 5).Draw(t, "action")),
		Key:     rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key"),
		Body:    rapid.SampledFrom([]string{"body", "body", "body", "other"}).Draw(t, "body"),
		Attempt: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "attempt"),
	}
	input.Owner = "owner-" + input.Attempt
	input.Outcome = wire.ClaimState_CLAIM_STATE_DONE
	if rapid.Bool().Draw(t, "unknown outcome") {
		input.Outcome = wire.ClaimState_CLAIM_STATE_UNKNOWN_OUTCOME
	}
	input.Answer = "answer-" + input.Attempt
	return input
}

func (r *claimsRun) command(input linear.ClaimInput) *wire.Command {
	switch input.Action {
	case linear.BeginClaim:
		return &wire.Command{Kind: &wire.Command_ClaimBegin{ClaimBegin: &wire.ClaimBegin{
			Key: input.Key, BodyHash: []byte(input.Body), Owner: input.Owner, Attempt: input.Attempt, Ticket: input.Ticket}}}
	case linear.FinishClaim:
		return &wire.Command{Kind: &wire.Command_ClaimFinish{ClaimFinish: &wire.ClaimFinish{
			Key: input.Key, Attempt: input.Attempt, Outcome: input.Outcome, Answer: &wire.Answer{Body: []byte(input.Answer)}}}}
	case linear.ReleaseClaim:
		return &wire.Command{Kind: &wire.Command_ClaimRelease{ClaimRelease: &wire.ClaimRelease{Key: input.Key, Attempt: input.Attempt}}}
	case linear.RefuseClaim:
		return &wire.Command{Kind: &wire.Command_ClaimRefuse{ClaimRefuse: &wire.ClaimRefuse{
			Key: input.Key, BodyHash: []byte(input.Body), Attempt: input.Attempt}}}
	default:
		return &wire.Command{Kind: &wire.Command_ClaimOrphan{ClaimOrphan: &wire.ClaimOrphan{Owner: input.Owner}}}
	}
}

// do applies and records one drawn operation. An attempt's ticket is the index at its first operation.
func (r *claimsRun) do(t *rapid.T) {
	input := drawClaim(t)
	attempt := input.Key + input.Attempt
	if _, known := r.tickets[attempt]; !known {
		r.tickets[attempt] = r.index
	}
	input.Ticket = r.tickets[attempt]
	call := r.clock - int64(rapid.IntRange(0, 3).Draw(t, "called before"))
	r.index++
	result := r.machine.Apply(r.index, r.command(input)).GetClaim()
	output := linear.ClaimOutput{
		State: result.GetState(), Index: result.GetIndex(), Answer: string(result.GetAnswer().GetBody()),
		Lost: rapid.IntRange(0, 5).Draw(t, "lost") == 0,
	}
	r.clock += 2
	returned := r.clock + int64(rapid.IntRange(0, 3).Draw(t, "returned after"))
	if output.Lost {
		returned = 1 << 40
	}
	inputs := []linear.ClaimInput{input}
	if input.Action == linear.OrphanClaim {
		other := input
		other.Key = map[string]string{"k1": "k2", "k2": "k1"}[input.Key]
		inputs = append(inputs, other)
	}
	for _, recorded := range inputs {
		r.history = append(r.history, porcupine.Operation{
			ClientId: len(r.history), Input: recorded, Output: output, Call: call, Return: returned,
		})
	}
}

// checkClaims records a random history of claims and reports whether it is linearizable.
func checkClaims(t *rapid.T, unsafe claim.Unsafe) bool {
	run := newClaimsRun(unsafe)
	for range rapid.IntRange(1, 24).Draw(t, "operations") {
		run.do(t)
	}
	return porcupine.CheckOperations(linear.ClaimModel(), run.history)
}

func TestClaimsAreLinearizable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if !checkClaims(t, claim.Unsafe{}) {
			t.Fatal("history is not linearizable")
		}
	})
}

// TestClaimModelFindsFaults disables one safety check at a time and expects the model to reject some history.
func TestClaimModelFindsFaults(t *testing.T) {
	for name, unsafe := range map[string]claim.Unsafe{
		"grant twice": {GrantTwice: true}, "ignore tickets": {IgnoreTickets: true}, "forget releases": {ForgetReleases: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range 3000 {
				found := false
				rapid.Custom(func(t *rapid.T) bool { found = !checkClaims(t, unsafe); return found }).Example(seed)
				if found {
					return
				}
			}
			t.Fatal("no fault found in 3000 histories")
		})
	}
}

var tableCells = map[linear.Cell]string{{Row: "chat", Column: "weight"}: "1", {Row: "chat", Column: "live_room"}: "2"}

func startTable(t *rapid.T, unsafe table.Unsafe) *state.Machine {
	machine := state.NewUnsafe(state.Unsafe{Table: unsafe})
	change := &wire.TableChange{ChangeId: "start", Cells: []*wire.CellChange{{Row: "chat", Column: "kind", Value: "pool"}}}
	for cell, value := range tableCells {
		change.Cells = append(change.Cells, &wire.CellChange{Row: cell.Row, Column: cell.Column, Value: value})
	}
	result := machine.Apply(1, &wire.Command{Kind: &wire.Command_TableChange{TableChange: change}})
	if result.GetTable().GetVersion() != 1 {
		t.Fatalf("first change got %v, want table version 1", result)
	}
	return machine
}

func readTable(machine *state.Machine) linear.TableOutput {
	update := machine.TableUpdate(0)
	output := linear.TableOutput{Version: update.GetToVersion(), Cells: map[linear.Cell]string{}}
	for _, row := range update.GetRows() {
		for _, cell := range row.GetCells() {
			if cell.GetColumn() != "kind" {
				output.Cells[linear.Cell{Row: row.GetName(), Column: cell.GetColumn()}] = cell.GetValue()
			}
		}
	}
	return output
}

// checkTable records a random history of the table and reports whether it is linearizable.
func checkTable(t *rapid.T, unsafe table.Unsafe) bool {
	machine := startTable(t, unsafe)
	var sent []linear.TableInput
	var history []porcupine.Operation
	for step := range rapid.IntRange(1, 20).Draw(t, "operations") {
		input, output := linear.TableInput{}, linear.TableOutput{}
		switch action := rapid.IntRange(0, 3).Draw(t, "action"); {
		case action == 0:
			output = readTable(machine)
		case action == 1 && len(sent) > 0:
			input = rapid.SampledFrom(sent).Draw(t, "resent")
			output = applyTable(machine, uint64(step+2), input)
		default:
			input = drawChange(t, step, machine.TableVersion())
			sent = append(sent, input)
			output = applyTable(machine, uint64(step+2), input)
		}
		history = append(history, porcupine.Operation{ClientId: step, Input: input, Output: output, Call: int64(2 * step), Return: int64(2*step + rapid.IntRange(1, 4).Draw(t, "takes"))})
		if rapid.IntRange(0, 5).Draw(t, "lost") == 0 {
			history[step].Output, history[step].Return = linear.TableOutput{Lost: true}, 1<<40
		}
	}
	return porcupine.CheckOperations(linear.TableModel(1, tableCells), history)
}

func drawChange(t *rapid.T, step int, version uint64) linear.TableInput {
	input := linear.TableInput{ChangeID: fmt.Sprint("change-", step), Set: map[linear.Cell]string{}}
	input.BaseVersion = version + 1 - uint64(rapid.IntRange(0, 2).Draw(t, "behind"))
	for _, column := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"weight", "live_room"}), 1, 2, rapid.ID).Draw(t, "columns") {
		input.Set[linear.Cell{Row: "chat", Column: column}] = fmt.Sprint(rapid.IntRange(1, 60).Draw(t, "value"))
	}
	return input
}

func applyTable(machine *state.Machine, index uint64, input linear.TableInput) linear.TableOutput {
	change := &wire.TableChange{ChangeId: input.ChangeID, BaseVersion: input.BaseVersion}
	for _, column := range []string{"weight", "live_room"} {
		if value, ok := input.Set[linear.Cell{Row: "chat", Column: column}]; ok {
			change.Cells = append(change.Cells, &wire.CellChange{Row: "chat", Column: column, Value: value})
		}
	}
	result := machine.Apply(index, &wire.Command{Kind: &wire.Command_TableChange{TableChange: change}}).GetTable()
	return linear.TableOutput{Outcome: result.GetOutcome(), Version: result.GetVersion()}
}

func TestTableIsLinearizable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if !checkTable(t, table.Unsafe{}) {
			t.Fatal("history is not linearizable")
		}
	})
}

// TestTableModelFindsFaults disables one safety check at a time and expects the model to reject some history.
func TestTableModelFindsFaults(t *testing.T) {
	for name, unsafe := range map[string]table.Unsafe{"forget ids": {ForgetChangeIDs: true}, "ignore conflicts": {IgnoreConflicts: true}} {
		t.Run(name, func(t *testing.T) {
			for seed := range 3000 {
				found := false
				rapid.Custom(func(t *rapid.T) bool { found = !checkTable(t, unsafe); return found }).Example(seed)
				if found {
					return
				}
			}
			t.Fatal("no fault found in 3000 histories")
		})
	}
}
