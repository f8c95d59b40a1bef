package sim

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/tamarindring/tamarindring/internal/dispatch"
	"github.com/tamarindring/tamarindring/internal/state/linear"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// history records operations on the table and on claims as their clients saw them, as input for the models of package
// linear. Operations are recorded in traced runs only.
type history struct {
	world  *world
	table  []porcupine.Operation
	claims []porcupine.Operation
}

// returnTimeUnknown is the return time of an operation whose answer was lost, because the operation may still take
// effect later.
const returnTimeUnknown = math.MaxInt64

func (h *history) recordTableOperation(called time.Duration, input linear.TableInput, output linear.TableOutput) {
	if h.world.tracing {
		h.table = append(h.table, h.newOperation(len(h.table), called, input, output, output.Lost))
	}
}

func (h *history) newOperation(client int, called time.Duration, input, output any, lost bool) porcupine.Operation {
	returned := int64(h.world.now)
	if lost {
		returned = returnTimeUnknown
	}
	return porcupine.Operation{ClientId: client, Input: input, Output: output, Call: int64(called), Return: returned}
}

// recordChange records a change of the table; result is nil when the answer was lost.
func (h *history) recordChange(called time.Duration, change *wire.TableChange, result *wire.TableResult) {
	input := linear.TableInput{ChangeID: change.ChangeId, BaseVersion: change.BaseVersion, Set: map[linear.Cell]string{}}
	for _, cell := range change.Cells {
		input.Set[linear.Cell{Row: cell.Row, Column: cell.Column}] = cell.Value
	}
	h.recordTableOperation(called, input, linear.TableOutput{Lost: result == nil, Outcome: result.GetOutcome(), Version: result.GetVersion()})
}

// recordRead records a read of the whole table.
func (h *history) recordRead(called time.Duration, view *table.View) {
	h.recordTableOperation(called, linear.TableInput{}, linear.TableOutput{Version: view.Version(), Cells: explicitCells(view)})
}

func explicitCells(view *table.View) map[linear.Cell]string {
	cells := map[linear.Cell]string{}
	for _, row := range view.Rows() {
		for _, column := range table.Schema() {
			if value, ok := row.Explicit(column.Name); ok {
				cells[linear.Cell{Row: row.Name, Column: column.Name}] = value
			}
		}
	}
	return cells
}

// recordClaim records a ledger command of a request when it is sent, because a gateway that dies never receives the
// answer. The returned function records the answer, which is nil when it was lost.
func (h *history) recordClaim(request *dispatch.Request, action *dispatch.ClaimAction) func(*wire.ClaimResult) {
	actions := map[dispatch.ClaimKind]linear.ClaimAction{dispatch.ClaimBegin: linear.BeginClaim, dispatch.ClaimFinish: linear.FinishClaim,
		dispatch.ClaimRelease: linear.ReleaseClaim, dispatch.ClaimRefuse: linear.RefuseClaim}
	kind, known := actions[action.Kind]
	if !known || !h.world.tracing {
		return func(*wire.ClaimResult) {}
	}
	input := linear.ClaimInput{Action: kind, Key: request.Key, Body: string(request.BodyHash), Owner: request.Owner, Attempt: action.Attempt,
		Ticket: request.Ticket, Outcome: action.Outcome, Answer: string(action.Answer.GetBody())}
	client, called := len(h.claims), h.world.now
	h.claims = append(h.claims, h.newOperation(client, called, input, linear.ClaimOutput{Lost: true}, true))
	return func(result *wire.ClaimResult) {
		if result != nil {
			output := linear.ClaimOutput{State: result.GetState(), Index: result.GetIndex(), Answer: string(result.GetAnswer().GetBody())}
			h.claims[client] = h.newOperation(client, called, input, output, false)
		}
	}
}
