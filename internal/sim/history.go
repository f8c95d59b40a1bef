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

// history records operations on the table and on claims as their clients saw them, for package linear. It is
// kept in traced runs only.
type history struct {
	world  *world
	table  []porcupine.Operation
	claims []porcupine.Operation
}

// forEver is the return time of an operation whose answer was lost: it may still take effect later.
const forEver = math.MaxInt64

func (h *history) tableOperation(called time.Duration, input linear.TableInput, output linear.TableOutput) {
	if h.world.tracing {
		h.table = append(h.table, h.operation(len(h.table), called, input, output, output.Lost))
	}
}

func (h *history) operation(client int, called time.Duration, input, output any, lost bool) porcupine.Operation {
	returned := int64(h.world.now)
	if lost {
		returned = forEver
	}
	return porcupine.Operation{ClientId: client, Input: input, Output: output, Call: int64(called), Return: returned}
}

// changed records a change of the table; result is nil when the answer was lost.
func (h *history) changed(called time.Duration, change *wire.TableChange, result *wire.TableResult) {
	input := linear.TableInput{ChangeID: change.ChangeId, BaseVersion: change.BaseVersion, Set: map[linear.Cell]string{}}
	for _, cell := range change.Cells {
		input.Set[linear.Cell{Row: cell.Row, Column: cell.Column}] = cell.Value
	}
	h.tableOperation(called, input, linear.TableOutput{Lost: result == nil, Outcome: result.GetOutcome(), Version: result.GetVersion()})
}

// read records a read of the whole table.
func (h *history) read(called time.Duration, view *table.View) {
	h.tableOperation(called, linear.TableInput{}, linear.TableOutput{Version: view.Version(), Cells: cellsOf(view)})
}

func cellsOf(view *table.View) map[linear.Cell]string {
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

// claiming records a ledger command of a request when it is sent: a gateway that dies never hears the answer.
// The returned function takes the answer, nil when it was lost.
func (h *history) claiming(request *dispatch.Request, action *dispatch.ClaimAction) func(*wire.ClaimResult) {
	actions := map[dispatch.ClaimKind]linear.ClaimAction{dispatch.ClaimBegin: linear.BeginClaim, dispatch.ClaimFinish: linear.FinishClaim,
		dispatch.ClaimRelease: linear.ReleaseClaim, dispatch.ClaimRefuse: linear.RefuseClaim}
	kind, known := actions[action.Kind]
	if !known || !h.world.tracing {
		return func(*wire.ClaimResult) {}
	}
	input := linear.ClaimInput{Action: kind, Key: request.Key, Body: string(request.BodyHash), Owner: request.Owner, Attempt: action.Attempt,
		Ticket: request.Ticket, Outcome: action.Outcome, Answer: string(action.Answer.GetBody())}
	client, called := len(h.claims), h.world.now
	h.claims = append(h.claims, h.operation(client, called, input, linear.ClaimOutput{Lost: true}, true))
	return func(result *wire.ClaimResult) {
		if result != nil {
			output := linear.ClaimOutput{State: result.GetState(), Index: result.GetIndex(), Answer: string(result.GetAnswer().GetBody())}
			h.claims[client] = h.operation(client, called, input, output, false)
		}
	}
}
