package linear

import (
	"fmt"
	"maps"

	"github.com/anishathalye/porcupine"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// Cell identifies one cell of the table.
type Cell struct {
	Row    string
	Column string
}

// TableInput is one operation on the table. It is a change if ChangeID is set, and a read of the whole table otherwise.
// The model covers versions and values only. Record only changes with valid, canonical values of rows that exist from
// the start and are never removed.
type TableInput struct {
	ChangeID    string
	BaseVersion uint64
	Set         map[Cell]string
}

// TableOutput is the result of an operation. Lost is set if it was lost. For a change, the model checks Outcome and
// Version. For a read, it checks Version and Cells, which must hold every modelled cell that has a value.
type TableOutput struct {
	Lost    bool
	Outcome wire.TableOutcome
	Version uint64
	Cells   map[Cell]string
}

type tableCell struct {
	value   string
	version uint64
}

type tableAnswer struct {
	outcome wire.TableOutcome
	version uint64
}

// tableState is the modelled state of the table. It is immutable.
type tableState struct {
	version uint64
	cells   map[Cell]tableCell
	answers map[string]tableAnswer // by change id
}

// TableModel returns the model of a table that has the given version and cells when the history begins.
func TableModel(version uint64, cells map[Cell]string) porcupine.Model {
	start := tableState{version: version, cells: map[Cell]tableCell{}, answers: map[string]tableAnswer{}}
	for cell, value := range cells {
		start.cells[cell] = tableCell{value: value, version: version}
	}
	return porcupine.Model{
		Init:  func() any { return start },
		Step:  stepTable,
		Equal: func(a, b any) bool { return equalTables(a.(tableState), b.(tableState)) },
		DescribeOperation: func(input, output any) string {
			return fmt.Sprintf("%+v -> %+v", input, output)
		},
	}
}

func equalTables(a, b tableState) bool {
	return a.version == b.version && maps.Equal(a.cells, b.cells) && maps.Equal(a.answers, b.answers)
}

func stepTable(state, input, output any) (bool, any) {
	current, operation, answer := state.(tableState), input.(TableInput), output.(TableOutput)
	if operation.ChangeID == "" {
		return answer.Lost || current.matches(answer), current
	}
	expected, known := current.answers[operation.ChangeID]
	next := current
	if !known {
		expected, next = current.applyChange(operation)
	}
	matches := answer.Outcome == expected.outcome && answer.Version == expected.version
	return answer.Lost || matches, next
}

// matches reports whether the result of a read is correct.
func (s tableState) matches(answer TableOutput) bool {
	if answer.Version != s.version {
		return false
	}
	present := 0
	for cell, known := range s.cells {
		if known.value == "" {
			continue
		}
		present++
		if answer.Cells[cell] != known.value {
			return false
		}
	}
	return present == len(answer.Cells)
}

// applyChange returns the result of a change whose id is not known yet, and the state after it.
func (s tableState) applyChange(operation TableInput) (tableAnswer, tableState) {
	answer := tableAnswer{outcome: wire.TableOutcome_TABLE_OUTCOME_ACCEPTED, version: s.version + 1}
	if operation.BaseVersion > s.version {
		answer = tableAnswer{outcome: wire.TableOutcome_TABLE_OUTCOME_INVALID, version: s.version}
	}
	for cell := range operation.Set {
		if s.cells[cell].version > operation.BaseVersion {
			answer = tableAnswer{outcome: wire.TableOutcome_TABLE_OUTCOME_CONFLICT, version: s.version}
		}
	}
	next := tableState{version: answer.version, cells: s.cells, answers: maps.Clone(s.answers)}
	next.answers[operation.ChangeID] = answer
	if answer.outcome == wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
		next.cells = maps.Clone(s.cells)
		for cell, value := range operation.Set {
			next.cells[cell] = tableCell{value: value, version: next.version}
		}
	}
	return answer, next
}
