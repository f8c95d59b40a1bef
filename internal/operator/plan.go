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

// Edit is one cell that a change touches.
type Edit struct {
	Row    string `json:"row"`
	Column string `json:"column"`
	From   string `json:"from"` // empty: not set
	To     string `json:"to"`   // empty: cleared
}

// String is the edit as a line for people.
func (e Edit) String() string {
	return fmt.Sprintf("%s %s: %s -> %s", e.Row, e.Column, shown(e.From), shown(e.To))
}

func shown(value string) string {
	if value == "" {
		return "(not set)"
	}
	return value
}

// Plan is what a change would do.
type Plan struct {
	Base       uint64   `json:"base_version"` // table version that it is made against
	Edits      []Edit   `json:"edits"`
	RemoveRows []string `json:"remove_rows,omitempty"`
}

// Empty says that nothing would change.
func (p *Plan) Empty() bool { return len(p.Edits) == 0 && len(p.RemoveRows) == 0 }

// Write lists the plan, one line for each cell and removed row.
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

// cells are the plan's edits as the change carries them.
func (p *Plan) cells() []*wire.CellChange {
	cells := make([]*wire.CellChange, 0, len(p.Edits))
	for _, edit := range p.Edits {
		cells = append(cells, &wire.CellChange{Row: edit.Row, Column: edit.Column, Value: edit.To})
	}
	return cells
}

// PlanSet plans to set one cell; an empty value clears it.
func PlanSet(sheet *Sheet, row, column, value string) (*Plan, error) {
	canonical, err := canonical(column, value)
	if err != nil {
		return nil, trace.BadParameter("%s %s: %v", row, column, err)
	}
	plan := &Plan{Base: sheet.Version}
	known, _ := sheet.Row(row)
	plan.edit(known, row, column, canonical)
	return plan, nil
}

func canonical(column, value string) (string, error) {
	known, ok := table.Lookup(column)
	if !ok {
		return "", trace.BadParameter("there is no such column; the columns are %s", strings.Join(columnNames(), ", "))
	}
	if strings.TrimSpace(value) == "" {
		return "", nil
	}
	return known.Canonical(value)
}

func columnNames() []string {
	var names []string
	for _, column := range table.Schema() {
		names = append(names, column.Name)
	}
	return names
}

// edit adds a cell unless it has the value already.
func (p *Plan) edit(known Row, row, column, value string) {
	current := known.Cells[column].Value
	if current != value {
		p.Edits = append(p.Edits, Edit{Row: row, Column: column, From: current, To: value})
	}
}

// File is a sheet as an operator edited it.
type File struct {
	Base    uint64 // version that it was exported at; 0 if it does not say
	Columns []string
	Rows    []FileRow
}

// FileRow is one line of a File.
type FileRow struct {
	Name   string
	Values []string // by File.Columns, canonical
	Line   int
}

// ReadFile reads a CSV file as FormatCSV writes it. Columns may be left out and reordered.
func ReadFile(input io.Reader) (*File, error) {
	buffered := bufio.NewReader(input)
	file := &File{}
	line, _ := buffered.Peek(len(versionMark))
	if string(line) == versionMark {
		text, _ := buffered.ReadString('\n')
		text = strings.TrimRight(strings.TrimPrefix(text, versionMark), ", \t\r\n")
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
	if strings.TrimSpace(heading[0]) != rowColumn {
		return trace.BadParameter("the first column is %q: want %q", heading[0], rowColumn)
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
			value, err := canonical(f.Columns[position], text)
			if err != nil {
				return trace.BadParameter("line %d, row %s, column %s: %v", line, row.Name, f.Columns[position], err)
			}
			row.Values = append(row.Values, value)
		}
		f.Rows = append(f.Rows, row)
	}
}

// PlanFile plans the cells in which file differs from sheet. Rows that the file lacks stay, unless
// removeMissing is set. A cell that was changed since the file's version will be refused as a conflict.
func PlanFile(sheet *Sheet, file *File, removeMissing bool) *Plan {
	plan := &Plan{Base: sheet.Version}
	if file.Base != 0 {
		plan.Base = file.Base
	}
	listed := make(map[string]bool)
	for _, row := range file.Rows {
		listed[row.Name] = true
		known, _ := sheet.Row(row.Name)
		for position, column := range file.Columns {
			plan.edit(known, row.Name, column, row.Values[position])
		}
	}
	for _, row := range sheet.Rows {
		if removeMissing && !listed[row.Name] {
			plan.RemoveRows = append(plan.RemoveRows, row.Name)
		}
	}
	return plan
}

func (p *Plan) dropEditsOfRemovedRows() {
	p.Edits = slices.DeleteFunc(p.Edits, func(edit Edit) bool { return slices.Contains(p.RemoveRows, edit.Row) })
}

// PlanRevert plans to undo one accepted version: every cell that it set gets its former value back.
// Cells that were changed again since are refused as conflicts.
func PlanRevert(history []*wire.HistoryEntry, sheet *Sheet, version uint64) (*Plan, error) {
	plan := &Plan{Base: version}
	for _, entry := range history {
		if entry.Version != version {
			continue
		}
		known, exists := sheet.Row(entry.Row)
		if entry.Column == table.ColumnKind && entry.From == "" && exists {
			plan.RemoveRows = append(plan.RemoveRows, entry.Row) // the version made the row
			continue
		}
		plan.edit(known, entry.Row, entry.Column, entry.From)
	}
	plan.dropEditsOfRemovedRows()
	if plan.Empty() {
		return nil, trace.NotFound("the history holds nothing that version %d changed and that still differs", version)
	}
	return plan, nil
}
