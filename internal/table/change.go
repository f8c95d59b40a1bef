package table

import (
	"sort"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// malformedReason returns why a change is malformed, or an empty string if it is well-formed. The result of a malformed
// change is not kept for resends.
func malformedReason(change *wire.TableChange) string {
	switch {
	case change.GetChangeId() == "":
		return "change id is missing"
	case len(change.GetChangeId()) > MaximumIDBytes, len(change.GetOperator()) > MaximumIDBytes:
		return "change id or operator is too long"
	case len(change.GetNote()) > MaximumNoteBytes:
		return "note is too long"
	case len(change.GetCells())+len(change.GetRemoveRows()) == 0:
		return "change is empty"
	case len(change.GetCells())+len(change.GetRemoveRows()) > MaximumChangeCells:
		return "change has too many cells"
	case !hasValidText(change):
		return "change holds a text that is too long or not valid UTF-8"
	}
	return ""
}

// hasValidText reports whether all texts of a change are valid UTF-8 and within their bounds.
func hasValidText(change *wire.TableChange) bool {
	for _, text := range []string{change.GetChangeId(), change.GetOperator(), change.GetNote()} {
		if !utf8.ValidString(text) {
			return false
		}
	}
	for _, cell := range change.GetCells() {
		if !isBoundedText(cell.GetRow()) || !isBoundedText(cell.GetColumn()) || !isBoundedValue(cell) {
			return false
		}
	}
	for _, name := range change.GetRemoveRows() {
		if !isBoundedText(name) {
			return false
		}
	}
	return true
}

func isBoundedText(text string) bool { return len(text) <= MaximumValueBytes && utf8.ValidString(text) }

func isBoundedValue(cell *wire.CellChange) bool {
	if column := columnIndex[cell.GetColumn()]; column != nil && column.Type == Text {
		return len(cell.GetValue()) <= MaximumTextBytes && utf8.ValidString(cell.GetValue())
	}
	return isBoundedText(cell.GetValue())
}

// refuseWholeChange returns a refusal that names no cell.
func refuseWholeChange(reason string) []*wire.CellRefusal {
	return []*wire.CellRefusal{{Reason: reason}}
}

// changeDigest returns a digest of a change's content. It excludes the operator's timestamp, because a tool may set a
// new one when it resends the change.
func changeDigest(change *wire.TableChange) uint64 {
	digest := xxhash.New()
	write := func(text string) {
		var size [4]byte
		size[0], size[1], size[2], size[3] = byte(len(text)), byte(len(text)>>8), byte(len(text)>>16), byte(len(text)>>24)
		_, _ = digest.Write(size[:])
		_, _ = digest.WriteString(text)
	}
	for shift := 0; shift < 64; shift += 8 {
		_, _ = digest.Write([]byte{byte(change.GetBaseVersion() >> shift)})
	}
	write(change.GetOperator())
	write(change.GetNote())
	for _, cell := range change.GetCells() {
		write(cell.GetRow())
		write(cell.GetColumn())
		write(cell.GetValue())
	}
	write("")
	for _, name := range change.GetRemoveRows() {
		write(name)
	}
	return digest.Sum64()
}

// draft holds the rows as a change would leave them, before they are checked together.
type draft struct {
	rows    map[string]map[string]string // canonical own cells of the changed rows; nil for a removed row
	cells   []*wire.CellChange           // canonical, in the change's order
	removed []string
}

// buildDraft applies the change to copies of its rows and refuses cells that are invalid on their own.
func (t *Table) buildDraft(change *wire.TableChange) (*draft, []*wire.CellRefusal) {
	d := &draft{rows: map[string]map[string]string{}}
	var refusals []*wire.CellRefusal
	refuse := func(row, column, reason string) {
		refusals = append(refusals, &wire.CellRefusal{Row: row, Column: column, Reason: reason})
	}
	for _, name := range change.GetRemoveRows() {
		if _, duplicate := d.rows[name]; duplicate {
			refuse(name, "", "row is removed twice")
		} else if t.rows[name] == nil {
			refuse(name, "", "row does not exist")
		}
		d.rows[name] = nil
		d.removed = append(d.removed, name)
	}
	type cellKey struct{ row, column string }
	seen := map[cellKey]bool{}
	for _, cell := range orderedCells(change) {
		key := cellKey{cell.GetRow(), cell.GetColumn()}
		if seen[key] {
			refuse(key.row, key.column, "cell stands twice in the change")
			continue
		}
		seen[key] = true
		if reason := t.addToDraft(d, cell); reason != "" {
			refuse(key.row, key.column, reason)
		}
	}
	return d, refusals
}

// orderedCells returns the change's cells with those that set a row's kind first, because the kind determines which
// other columns the row may have.
func orderedCells(change *wire.TableChange) []*wire.CellChange {
	ordered := append([]*wire.CellChange(nil), change.GetCells()...)
	sort.SliceStable(ordered, func(i, j int) bool {
		return ordered[i].GetColumn() == ColumnKind && ordered[j].GetColumn() != ColumnKind
	})
	return ordered
}

// addToDraft sets one cell in the draft, or returns why it is refused.
func (t *Table) addToDraft(d *draft, cell *wire.CellChange) string {
	column, ok := columnIndex[cell.GetColumn()]
	if !ok {
		return "unknown column"
	}
	if reason := t.levelReason(column); reason != "" {
		return reason
	}
	own, drafted := d.rows[cell.GetRow()]
	if drafted && own == nil {
		return "row is removed by the same change"
	}
	if !drafted {
		own = t.copyCells(cell.GetRow())
		if len(own) == 0 {
			if reason := newRowReason(cell); reason != "" {
				return reason
			}
		}
		d.rows[cell.GetRow()] = own
	}
	return setDraftCell(d, own, column, cell)
}

// setDraftCell sets one cell in the row's drafted cells, or returns why it is refused.
func setDraftCell(d *draft, own map[string]string, column *Column, cell *wire.CellChange) string {
	canonical := ""
	if cell.GetValue() != "" {
		value, err := column.Canonical(cell.GetValue())
		if err != nil {
			return err.Error()
		}
		canonical = value
	}
	if kind := own[ColumnKind]; column.Name == ColumnKind && kind != "" && canonical != kind {
		return "kind of an existing row is fixed; remove the row and make it anew"
	}
	if column.Name != ColumnKind && canonical != "" && !column.AppliesTo(RowKind(own[ColumnKind])) {
		return "column does not apply to a row of kind " + own[ColumnKind]
	}
	if canonical == "" {
		delete(own, column.Name)
	} else {
		own[column.Name] = canonical
	}
	d.cells = append(d.cells, &wire.CellChange{Row: cell.GetRow(), Column: column.Name, Value: canonical})
	return ""
}

// newRowReason returns why a cell cannot create its row, or an empty string.
func newRowReason(cell *wire.CellChange) string {
	if cell.GetColumn() != ColumnKind || cell.GetValue() == "" {
		return "row does not exist; set its kind to make it"
	}
	if _, err := canonicalName(cell.GetRow()); err != nil {
		return err.Error()
	}
	return ""
}

// copyCells returns the values of a row's own cells without cleared ones. It is empty for a row that does not exist.
func (t *Table) copyCells(name string) map[string]string {
	own := map[string]string{}
	if stored := t.rows[name]; stored != nil {
		for column, cell := range stored.cells {
			if cell.value != "" {
				own[column] = cell.value
			}
		}
	}
	return own
}
