package table

import (
	"container/list"
	"sort"

	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/compat"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// Bounds of a Table. They are counts unless a unit is given.
const (
	// MaximumRows bounds the rows of the table.
	MaximumRows = 20_000
	// MaximumChangeCells bounds the cells and removed rows of one change.
	MaximumChangeCells = 65_536
	// MaximumIDBytes bounds a change id and an operator's name, in bytes.
	MaximumIDBytes = 128
	// MaximumNoteBytes bounds a note, in bytes.
	MaximumNoteBytes = 1024
	// MaximumHistory bounds the history entries. The oldest are dropped first.
	MaximumHistory = 10_000
	// MaximumRemoved bounds the removals that are kept to detect conflicts and to compute deltas.
	MaximumRemoved = 10_000
	// MaximumChangeIDs bounds the change ids whose results are kept for resends. The oldest are dropped first.
	MaximumChangeIDs = 100_000
	// MaximumChangeBytes bounds the memory of those results, in bytes.
	MaximumChangeBytes = 16 << 20
	// MaximumRefusals bounds the refusals listed in one result.
	MaximumRefusals = 64
)

// ForceNote is a word that, in the note of a change, permits the change to leave a pool without a serving back end.
const ForceNote = "force"

// Unsafe disables safety checks. Only tests set it, to show that they detect the resulting fault.
type Unsafe struct {
	ForgetChangeIDs bool // evaluate a resent change again instead of returning its earlier result
	IgnoreConflicts bool // accept changes whose cells were changed after the base version
}

// Table is the authoritative copy of the table. The zero value is not usable; use New.
type Table struct {
	unsafe       Unsafe
	version      uint64
	rows         map[string]*storedRow
	recency      recency               // the rows in order of their last change
	removed      []removedRow          // in order of version; rows that were created again are not listed
	removals     map[string]removedRow // the same by name
	removalFloor uint64                // removals at or below this version are no longer listed
	history      []*wire.HistoryEntry
	changes      changeMemory
	level        compat.Level   // in force for the group
	optional     map[string]int // number of rows with a cell of each optional column, including cleared cells
	view         *View          // typed rows
	forwarding   *forwarding
}

// storedRow holds a row's cells with the change that set each. A cleared cell is kept with an empty value, so that a
// change based on a version before the clearing conflicts.
type storedRow struct {
	name    string
	version uint64 // version of the last change of the row
	cells   map[string]storedCell
	place   *list.Element // its place in Table.recency
}

type storedCell struct {
	value    string
	version  uint64
	operator string
}

type removedRow struct {
	name     string
	version  uint64
	operator string
}

// New returns an empty table at version 0 and at the newest level that this build supports.
func New() *Table { return NewUnsafe(Unsafe{}) }

// NewUnsafe is New with safety checks disabled.
func NewUnsafe(unsafe Unsafe) *Table {
	empty := NewView()
	return &Table{unsafe: unsafe, rows: map[string]*storedRow{}, recency: newRecency(nil), removals: map[string]removedRow{}, changes: newChangeMemory(),
		level: compat.Newest, optional: map[string]int{}, view: empty, forwarding: newForwarding(empty)}
}

// Version returns the version of the last accepted change.
func (t *Table) Version() uint64 { return t.version }

// Apply validates a change and, if it is accepted, commits it. A change whose id is known gets the result of the first
// one, or INVALID if its content differs. The caller owns the result.
func (t *Table) Apply(change *wire.TableChange) *wire.TableResult {
	if refusal := malformedReason(change); refusal != "" {
		return t.invalidResult(change, refuseWholeChange(refusal))
	}
	digest := changeDigest(change)
	if known, ok := t.changes.get(change.GetChangeId()); ok && !t.unsafe.ForgetChangeIDs {
		if known.digest != digest {
			return t.invalidResult(change, refuseWholeChange("change id was used before with other content"))
		}
		return proto.CloneOf(known.result)
	}
	result := t.evaluate(change)
	t.changes.put(digest, result)
	return proto.CloneOf(result)
}

// evaluate decides on a change that is well-formed and not a resend, and commits it if it is accepted.
func (t *Table) evaluate(change *wire.TableChange) *wire.TableResult {
	if change.GetBaseVersion() > t.version {
		return t.invalidResult(change, refuseWholeChange("base version is above the table's"))
	}
	if conflicts := t.findConflicts(change); len(conflicts) > 0 && !t.unsafe.IgnoreConflicts {
		return t.newResult(change, wire.TableOutcome_TABLE_OUTCOME_CONFLICT, conflicts)
	}
	draft, refusals := t.buildDraft(change)
	if len(refusals) > 0 {
		return t.invalidResult(change, refusals)
	}
	after := t.view.withRows(t.version+1, draft.rows)
	if refusals = t.check(draft, after, change); len(refusals) > 0 {
		return t.invalidResult(change, refusals)
	}
	part := t.forwarding.after(draft.rows, t.view, after)
	t.commit(draft, change)
	t.view, t.forwarding = after, part
	return t.newResult(change, wire.TableOutcome_TABLE_OUTCOME_ACCEPTED, nil)
}

func (t *Table) invalidResult(change *wire.TableChange, refusals []*wire.CellRefusal) *wire.TableResult {
	return t.newResult(change, wire.TableOutcome_TABLE_OUTCOME_INVALID, refusals)
}

func (t *Table) newResult(change *wire.TableChange, outcome wire.TableOutcome, refusals []*wire.CellRefusal) *wire.TableResult {
	if len(refusals) > MaximumRefusals {
		refusals = refusals[:MaximumRefusals]
	}
	return &wire.TableResult{
		Outcome:  outcome,
		Version:  t.version,
		Refusals: refusals,
		ChangeId: change.GetChangeId(),
	}
}

// findConflicts lists every touched cell that was set after the change's base version.
func (t *Table) findConflicts(change *wire.TableChange) []*wire.CellRefusal {
	var found []*wire.CellRefusal
	for _, cell := range change.GetCells() {
		if conflict := t.findCellConflict(cell.GetRow(), cell.GetColumn(), change.GetBaseVersion()); conflict != nil {
			found = append(found, conflict)
		}
	}
	for _, name := range change.GetRemoveRows() {
		found = append(found, t.findRowConflicts(name, change.GetBaseVersion())...)
	}
	return found
}

func (t *Table) findCellConflict(row, column string, base uint64) *wire.CellRefusal {
	stored := t.rows[row]
	if stored == nil {
		return t.findRemovalConflict(row, column, base)
	}
	cell, ok := stored.cells[column]
	if !ok || cell.version <= base {
		return nil
	}
	return &wire.CellRefusal{
		Row: row, Column: column, Reason: "cell was changed after the base version",
		CurrentValue: DisplayValue(column, cell.value), ChangedVersion: cell.version, ChangedBy: cell.operator,
	}
}

// findRemovalConflict reports a conflict for a row that was removed after the base version. It also does so for a row
// that does not exist when the base version is so old that the row's removal may no longer be listed.
func (t *Table) findRemovalConflict(row, column string, base uint64) *wire.CellRefusal {
	if removal, ok := t.removals[row]; ok && removal.version > base {
		return &wire.CellRefusal{
			Row: row, Column: column, Reason: "row was removed after the base version",
			ChangedVersion: removal.version, ChangedBy: removal.operator,
		}
	}
	if base < t.removalFloor {
		return &wire.CellRefusal{
			Row: row, Column: column, Reason: "base version is too old to tell whether the row was removed since",
			ChangedVersion: t.removalFloor,
		}
	}
	return nil
}

func (t *Table) findRowConflicts(name string, base uint64) []*wire.CellRefusal {
	stored := t.rows[name]
	if stored == nil {
		if conflict := t.findRemovalConflict(name, "", base); conflict != nil {
			return []*wire.CellRefusal{conflict}
		}
		return nil
	}
	var found []*wire.CellRefusal
	for _, column := range sortedColumns(stored.cells) {
		if conflict := t.findCellConflict(name, column, base); conflict != nil {
			found = append(found, conflict)
		}
	}
	return found
}

func sortedColumns(cells map[string]storedCell) []string {
	names := make([]string, 0, len(cells))
	for name := range cells {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (t *Table) sortedRows() []string {
	names := make([]string, 0, len(t.rows))
	for name := range t.rows {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
