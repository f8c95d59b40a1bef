package fleet

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/tamarindring/tamarindring/internal/invariant"
	"github.com/tamarindring/tamarindring/internal/operator"
	"github.com/tamarindring/tamarindring/internal/standin/trainer"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
	"github.com/tamarindring/tamarindring/internal/workload/caller"
)

const historyLimit = 15 * time.Second

// examineAnswers records every complete answer that callers got, and a violation for each one with wrong content.
func (f *fleet) examineAnswers(stats caller.Stats) {
	for range stats.Total.Answered {
		f.registry.Examine(invariant.WholeAnswer, true, "")
	}
	for index := range stats.Total.Wrong {
		detail := "see the callers' account"
		if index < len(stats.WrongExamples) {
			detail = stats.WrongExamples[index]
		}
		f.registry.Examine(invariant.WholeAnswer, false, "%s", detail)
	}
}

// runs returns how often a key ran at the application replicas, which keep their execution records when they crash.
func (f *fleet) runs(key string) int {
	total := 0
	for _, part := range f.applications {
		total += part.current.Executions(key)
	}
	return total
}

// examineVerdicts compares what callers were told about each key with the number of its runs.
func (f *fleet) examineVerdicts(calls []caller.Call, runs func(key string) int) {
	for _, call := range calls {
		count := runs(call.Key)
		f.registry.Examine(invariant.RunAtMostOnce, count <= 1, "%s %s ran %d times: %v", call.Operation, call.Key, count, call.Trail)
		if call.Verdict == verdict.DidNotRun {
			f.registry.Examine(invariant.NotRunIsFinal, count == 0, "%s %s was refused as not run and ran: %v", call.Operation, call.Key, call.Trail)
		}
	}
}

// examineAnsweredKeys checks that every answered call ran exactly once.
func (f *fleet) examineAnsweredKeys(calls []caller.Call) {
	for _, call := range calls {
		if call.Answered {
			f.registry.Examine(invariant.WholeAnswer, f.runs(call.Key) == 1, "%s %s was answered and ran %d times", call.Operation, call.Key, f.runs(call.Key))
		}
	}
}

// examineLateArrivals checks that leaving back ends received no request later than leaveBound after they left.
func (f *fleet) examineLateArrivals() {
	for _, part := range f.applications {
		late := part.current.LateArrivals()
		f.registry.Examine(invariant.LeavingBackend, late.Last <= leaveBound, "%s got a call %s after it left", part.name, late.Last)
	}
	for _, part := range f.engines {
		for _, execution := range part.current.Log() {
			if execution.AfterLeave > 0 {
				f.registry.Examine(invariant.LeavingBackend, execution.AfterLeave <= leaveBound,
					"%s got request %s %s after it left", part.name, execution.RequestID, execution.AfterLeave)
			}
		}
	}
}

// examineTrainer records what a trainer found in its samples.
func (f *fleet) examineTrainer(stats trainer.Stats) {
	violated := map[invariant.Name]int{}
	for _, violation := range stats.Violations {
		name := invariant.SampleOnce
		switch violation.Kind {
		case trainer.ViolationSegments:
			name = invariant.SampleVersions
		case trainer.ViolationStale:
			name = invariant.StalenessBound
		}
		violated[name]++
		f.registry.Examine(name, false, "%s: %s sample %s: %s", stats.Name, violation.Kind, violation.SampleID, violation.Detail)
	}
	for range stats.Outstanding {
		violated[invariant.SampleOnce]++
		f.registry.Examine(invariant.SampleOnce, false, "%s: a sample of an open step was never delivered", stats.Name)
	}
	held := map[invariant.Name]int{invariant.SampleVersions: stats.SegmentsExamined, invariant.StalenessBound: stats.StalenessExamined,
		invariant.SampleOnce: stats.Samples}
	for name, examined := range held {
		for range max(examined-violated[name], 0) {
			f.registry.Examine(name, true, "")
		}
	}
}

// examineHistory reads the table and its history and compares both with the answers that the operators got.
func (f *fleet) examineHistory(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, historyLimit)
	defer cancel()
	entries, err := operator.ReadHistory(ctx, f.client, operator.HistoryFilter{})
	if err != nil {
		return fmt.Errorf("cannot read the history of the table: %w", err)
	}
	sheet, err := operator.ReadSheet(ctx, f.client)
	if err != nil {
		return fmt.Errorf("cannot read the table: %w", err)
	}
	f.compareHistory(entries)
	f.compareSheet(sheet)
	return nil
}

type historyKey struct {
	version     uint64
	row, column string
}

// compareHistory checks that the history has every accepted change and no rejected one. Gateways may only change the
// rows of requests under which back ends crashed.
func (f *fleet) compareHistory(entries []*wire.HistoryEntry) {
	byCell := make(map[historyKey]*wire.HistoryEntry, len(entries))
	known := map[string]bool{}
	for _, entry := range entries {
		byCell[historyKey{entry.Version, entry.Row, entry.Column}] = entry
	}
	for _, change := range f.evidence.table.changes() {
		known[change.id] = true
		for _, cell := range change.cells {
			entry := byCell[historyKey{change.version, cell.Row, cell.Column}]
			held := entry != nil && entry.ChangeId == change.id && entry.To == cell.Value
			f.registry.Examine(invariant.TableNoReversal, held, "accepted version %d of %s %s is not in the history", change.version, cell.Row, cell.Column)
		}
	}
	for _, entry := range entries {
		if strings.HasPrefix(entry.Row, table.SuspectPrefix) {
			byGateway := strings.HasPrefix(entry.Operator, gatewayPrefix) && !known[entry.ChangeId]
			f.registry.Examine(invariant.TableNoReversal, byGateway, "version %d of %s %s was made by %s, which keeps no record of suspects", entry.Version, entry.Row, entry.Column, entry.Operator)
			continue
		}
		legitimate := known[entry.ChangeId] || f.evidence.table.mayBeApplied(entry.ChangeId)
		f.registry.Examine(invariant.TableNoReversal, legitimate, "version %d of %s %s was made by a refused change", entry.Version, entry.Row, entry.Column)
	}
}

// compareSheet checks that every cell has the value that was accepted last.
func (f *fleet) compareSheet(sheet *operator.Sheet) {
	type cellKey struct{ row, column string }
	last := map[cellKey]*wire.CellChange{}
	versions := map[cellKey]uint64{}
	for _, change := range f.evidence.table.changes() {
		for _, cell := range change.cells {
			key := cellKey{cell.Row, cell.Column}
			last[key], versions[key] = cell, change.version
		}
	}
	for key, cell := range last {
		row, _ := sheet.Row(key.row)
		current := row.Cells[key.column]
		f.registry.Examine(invariant.TableNoReversal, current.Value == cell.Value || current.Version > versions[key],
			"%s %s is %q of version %d, though version %d made it %q", key.row, key.column, current.Value, current.Version, versions[key], cell.Value)
	}
}
