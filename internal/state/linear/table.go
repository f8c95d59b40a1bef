package linear

import (
	"fmt"
	"maps"

	"github.com/anishathalye/porcupine"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// Cell names one cell of the table.
type Cell struct {
	Row    string
	Column string
}

// TableInput is one operation on the table: a change when ChangeID is set, else a read of the whole table.
// The model knows versions and values only: give it changes whose values are valid and canonical, of rows
// that exist from the start and are never removed.
type TableInput struct {
	ChangeID    string
	BaseVersion uint64
	Set         map[Cell]string
}

// TableOutput is the answer. For a change, Outcome and Version count; for a read, Version and Cells, which
// holds every cell of interest that has a value.
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

// tableState is never changed in place.
type tableState struct {
	version uint64
	cells   map[Cell]tableCell
	answers map[string]tableAnswer
}

// TableModel returns the model of a table that holds the given cells at a version when the history begins.
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
		expected, next = current.change(operation)
	}
	matches := answer.Outcome == expected.outcome && answer.Version == expected.version
	return answer.Lost || matches, next
}

func (s tableState) matches(answer TableOutput) bool {
	if answer.Version != s.version {
		return false
	}
	held := 0
	for cell, known := range s.cells {
		if known.value == "" {
			continue
		}
		held++
		if answer.Cells[cell] != known.value {
			return false
		}
	}
	return held == len(answer.Cells)
}

// change judges a change that is not known yet.
func (s tableState) change(operation TableInput) (tableAnswer, tableState) {
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
