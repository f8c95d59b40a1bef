package operator

import (
	"bufio"
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// Edit is the change of one cell.
type Edit struct {
	Row    string `json:"row"`
	Column string `json:"column"`
	From   string `json:"from"` // empty: not set
	To     string `json:"to"`   // empty: cleared
}

// String returns the edit as a line for people.
func (e Edit) String() string {
	return fmt.Sprintf("%s %s: %s -> %s", e.Row, e.Column, displayValue(e.From), displayValue(e.To))
}

func displayValue(value string) string {
	if value == "" {
		return "(not set)"
	}
	return value
}

// Plan lists the edits of a change before it is sent.
type Plan struct {
	Base       uint64   `json:"base_version"` // table version that the plan is made against
	Edits      []Edit   `json:"edits"`
	RemoveRows []string `json:"remove_rows,omitempty"`
}

// Empty reports whether the plan changes nothing.
func (p *Plan) Empty() bool { return len(p.Edits) == 0 && len(p.RemoveRows) == 0 }

// Write prints the plan, one line for each edited cell and each removed row.
func (p *Plan) Write(out io.Writer) error {
	for _, edit := range p.Edits {
		if _, err := fmt.Fprintln(out, edit); err != nil {
			return trace.Wrap(err)
		}
	}
	for _, row := range p.RemoveRows {
		if _, err := fmt.Fprintf(out, "%s: removed\n", row); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// cellChanges returns the plan's edits as the control nodes' message has them.
func (p *Plan) cellChanges() []*wire.CellChange {
	cells := make([]*wire.CellChange, 0, len(p.Edits))
	for _, edit := range p.Edits {
		cells = append(cells, &wire.CellChange{Row: edit.Row, Column: edit.Column, Value: edit.To})
	}
	return cells
}

// PlanSet plans to set one cell; an empty value clears it. The error is trace.BadParameter if the column does not
// exist or does not take the value.
func PlanSet(sheet *Sheet, row, column, value string) (*Plan, error) {
	canonical, err := canonicalValue(column, value)
	if err != nil {
		return nil, trace.BadParameter("%s %s: %v", row, column, err)
	}
	plan := &Plan{Base: sheet.Version}
	existing, _ := sheet.Row(row)
	plan.addEdit(existing, row, column, canonical)
	return plan, nil
}

// canonicalValue returns a column's value in the form that the table stores; empty for blank text.
func canonicalValue(column, value string) (string, error) {
	found, ok := table.Lookup(column)
	if !ok {
		return "", trace.BadParameter("there is no such column; the columns are %s", strings.Join(columnNames(), ", "))
	}
	if strings.TrimSpace(value) == "" {
		return "", nil
	}
	return found.Canonical(value)
}

func columnNames() []string {
	var names []string
	for _, column := range table.Schema() {
		names = append(names, column.Name)
	}
	return names
}

// addEdit adds the edit of a cell unless the cell has the value already. existing is the row as the sheet has it,
// empty for a new row.
func (p *Plan) addEdit(existing Row, row, column, value string) {
	current := existing.Cells[column].Value
	if current != value {
		p.Edits = append(p.Edits, Edit{Row: row, Column: column, From: current, To: value})
	}
}

// File is a sheet as an operator edited it.
type File struct {
	Base    uint64 // table version that the file was exported at; 0 if the file names none
	Columns []string
	Rows    []FileRow
}

// FileRow is one row of a File.
type FileRow struct {
	Name   string
	Values []string // in the order of File.Columns, canonical
	Line   int      // line in the file, from 1
}

// ReadFile reads a CSV file in the form that FormatCSV writes. Columns may be left out and reordered. Errors are
// trace.BadParameter and name the line.
func ReadFile(input io.Reader) (*File, error) {
	buffered := bufio.NewReader(input)
	file := &File{}
	line, _ := buffered.Peek(len(versionPrefix))
	if string(line) == versionPrefix {
		text, _ := buffered.ReadString('\n')
		text = strings.TrimRight(strings.TrimPrefix(text, versionPrefix), ", \t\r\n")
		version, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return nil, trace.BadParameter("line 1: %q is not a table version", text)
		}
		file.Base = version
	}
	reader := csv.NewReader(buffered)
	reader.TrimLeadingSpace = true
	heading, err := reader.Read()
	if err != nil {
		return nil, trace.BadParameter("the file has no heading line: %v", err)
	}
	if err := file.readHeading(heading); err != nil {
		return nil, err
	}
	return file, file.readRows(reader)
}

func (f *File) readHeading(heading []string) error {
	if strings.TrimSpace(heading[0]) != rowNameHeading {
		return trace.BadParameter("the first column is %q: want %q", heading[0], rowNameHeading)
	}
	seen := make(map[string]bool)
	for _, name := range heading[1:] {
		name = strings.TrimSpace(name)
		if _, ok := table.Lookup(name); !ok {
			return trace.BadParameter("there is no column %q; the columns are %s", name, strings.Join(columnNames(), ", "))
		}
		if seen[name] {
			return trace.BadParameter("column %q stands twice in the heading", name)
		}
		seen[name] = true
		f.Columns = append(f.Columns, name)
	}
	return nil
}

func (f *File) readRows(reader *csv.Reader) error {
	seen := make(map[string]int)
	for {
		record, err := reader.Read()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return trace.BadParameter("%v", err)
		}
		line, _ := reader.FieldPos(0)
		row := FileRow{Name: strings.TrimSpace(record[0]), Line: line}
		if earlier, twice := seen[row.Name]; twice || row.Name == "" {
			return trace.BadParameter("line %d: row %q has no name or stands in line %d already", line, row.Name, earlier)
		}
		seen[row.Name] = line
		for position, text := range record[1:] {
			value, err := canonicalValue(f.Columns[position], text)
			if err != nil {
				return trace.BadParameter("line %d, row %s, column %s: %v", line, row.Name, f.Columns[position], err)
			}
			row.Values = append(row.Values, value)
		}
		f.Rows = append(f.Rows, row)
	}
}

// PlanFile plans to set the cells in which file differs from sheet. Rows that the file lacks stay, unless
// removeMissing is set. The control group refuses a cell that was changed after the file's version as a conflict.
func PlanFile(sheet *Sheet, file *File, removeMissing bool) *Plan {
	plan := &Plan{Base: sheet.Version}
	if file.Base != 0 {
		plan.Base = file.Base
	}
	listed := make(map[string]bool)
	for _, row := range file.Rows {
		listed[row.Name] = true
		existing, _ := sheet.Row(row.Name)
		for position, column := range file.Columns {
			plan.addEdit(existing, row.Name, column, row.Values[position])
		}
	}
	for _, row := range sheet.Rows {
		if removeMissing && !listed[row.Name] {
			plan.RemoveRows = append(plan.RemoveRows, row.Name)
		}
	}
	return plan
}

// dropEditsOfRemovedRows deletes edits of rows that the plan removes as a whole.
func (p *Plan) dropEditsOfRemovedRows() {
	p.Edits = slices.DeleteFunc(p.Edits, func(edit Edit) bool { return slices.Contains(p.RemoveRows, edit.Row) })
}

// PlanRevert plans to undo one accepted version: every cell that it set gets its former value back, and rows that it
// created are removed. The control group refuses cells that were changed again since as conflicts. The error is
// trace.NotFound if nothing is left to undo.
func PlanRevert(history []*wire.HistoryEntry, sheet *Sheet, version uint64) (*Plan, error) {
	plan := &Plan{Base: version}
	for _, entry := range history {
		if entry.Version != version {
			continue
		}
		existing, exists := sheet.Row(entry.Row)
		if entry.Column == table.ColumnKind && entry.From == "" && exists {
			plan.RemoveRows = append(plan.RemoveRows, entry.Row) // the version created the row
			continue
		}
		plan.addEdit(existing, entry.Row, entry.Column, entry.From)
	}
	plan.dropEditsOfRemovedRows()
	if plan.Empty() {
		return nil, trace.NotFound("the history holds nothing that version %d changed and that still differs", version)
	}
	return plan, nil
}
