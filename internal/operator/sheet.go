// Package operator implements the operators' commands on the table and the members. It shows and exports the table,
// computes which cells an edited file changes, sends changes so that their outcome can be learnt even after a lost
// answer, and reads the health of the deployment. The command line and the page in the browser are built on it.
package operator

import (
	"context"
	"encoding/csv"
	"encoding/json"
	"io"
	"sort"
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/state"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// controlGroup is the consensus group that holds the table and the members.
const controlGroup = state.ControlGroup

// rowNameHeading is the heading of the row names, in every format.
const rowNameHeading = "row"

// versionPrefix begins the first line of an exported file. The table version that the file shows follows it.
const versionPrefix = "# version "

// Control is the client of the control nodes that this package needs.
type Control interface {
	Query(ctx context.Context, group uint32, query *wire.Query) (*wire.View, error)
	ChangeTable(ctx context.Context, change *wire.TableChange, wait bool) (*wire.TableResult, uint64, error)
}

// Cell is a cell of a sheet that was set explicitly.
type Cell struct {
	Value    string `json:"value"`
	Version  uint64 `json:"version"`  // table version that set the cell
	Operator string `json:"operator"` // operator who set the cell
}

// Row is one row of a sheet.
type Row struct {
	Name  string          `json:"name"`
	Cells map[string]Cell `json:"cells"` // by column; explicitly set cells only
}

// Sheet is the content of the table at one version.
type Sheet struct {
	Version uint64 `json:"version"`
	Rows    []Row  `json:"rows"` // by name
}

// ReadSheet returns the current table. Errors carry a verdict.
func ReadSheet(ctx context.Context, control Control) (*Sheet, error) {
	view, err := control.Query(ctx, controlGroup, &wire.Query{Kind: &wire.Query_Table{Table: &wire.TableQuery{}}})
	if err != nil {
		return nil, err
	}
	update := view.GetTable()
	if update == nil {
		return nil, verdict.New(verdict.DidNotRun, "the control group answered without a table; are its nodes older than this program?")
	}
	return NewSheet(update), nil
}

// NewSheet returns the sheet of an update that holds the whole table.
func NewSheet(update *wire.TableUpdate) *Sheet {
	sheet := &Sheet{Version: update.GetToVersion()}
	for _, row := range update.GetRows() {
		cells := make(map[string]Cell, len(row.Cells))
		for _, cell := range row.Cells {
			if cell.Value != "" {
				cells[cell.Column] = Cell{Value: cell.Value, Version: cell.Version, Operator: cell.Operator}
			}
		}
		sheet.Rows = append(sheet.Rows, Row{Name: row.Name, Cells: cells})
	}
	sort.Slice(sheet.Rows, func(i, j int) bool { return sheet.Rows[i].Name < sheet.Rows[j].Name })
	return sheet
}

// Row returns the row with a name, and whether it exists.
func (s *Sheet) Row(name string) (Row, bool) {
	position := sort.Search(len(s.Rows), func(i int) bool { return s.Rows[i].Name >= name })
	if position < len(s.Rows) && s.Rows[position].Name == name {
		return s.Rows[position], true
	}
	return Row{}, false
}

// columns returns the columns that at least one row sets, or every column if all is set, in the order of the table's
// schema.
func (s *Sheet) columns(all bool) []string {
	var names []string
	for _, column := range table.Schema() {
		used := all
		for _, row := range s.Rows {
			_, set := row.Cells[column.Name]
			used = used || set
		}
		if used {
			names = append(names, column.Name)
		}
	}
	return names
}

// records returns the sheet as rows of text, the heading first.
func (s *Sheet) records(all bool) [][]string {
	columns := s.columns(all)
	records := [][]string{append([]string{rowNameHeading}, columns...)}
	for _, row := range s.Rows {
		record := []string{row.Name}
		for _, column := range columns {
			record = append(record, row.Cells[column].Value)
		}
		records = append(records, record)
	}
	return records
}

// shortenValues replaces, in place, values that are too long for one line. The first record is the heading.
func (s *Sheet) shortenValues(records [][]string) [][]string {
	for _, record := range records[1:] {
		for position, text := range record {
			record[position] = table.DisplayValue(records[0][position], text)
		}
	}
	return records
}

// Format is an output format.
type Format string

// Formats of sheets. Status and history know FormatTable and FormatJSON only.
const (
	FormatTable Format = "table" // aligned columns
	FormatCSV   Format = "csv"   // for spreadsheets; an edited file can be applied
	FormatJSON  Format = "json"  // with the version and operator of each cell
)

// Write prints the sheet. Columns that no row sets are left out unless all is set. The error is trace.BadParameter
// for an unknown format.
func (s *Sheet) Write(out io.Writer, format Format, all bool) error {
	switch format {
	case FormatTable:
		if err := writeAligned(out, s.shortenValues(s.records(all))); err != nil {
			return trace.Wrap(err)
		}
		_, err := io.WriteString(out, "version "+strconv.FormatUint(s.Version, 10)+"\n")
		return trace.Wrap(err)
	case FormatCSV:
		if _, err := io.WriteString(out, versionPrefix+strconv.FormatUint(s.Version, 10)+"\n"); err != nil {
			return trace.Wrap(err)
		}
		return trace.Wrap(csv.NewWriter(out).WriteAll(s.records(all)))
	case FormatJSON:
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return trace.Wrap(encoder.Encode(s))
	default:
		return trace.BadParameter("format %q: want table, csv or json", format)
	}
}

// writeAligned prints records with each column padded to its widest text, and a dash for empty text.
func writeAligned(out io.Writer, records [][]string) error {
	var widths []int
	for _, record := range records {
		for position, text := range record {
			if position == len(widths) {
				widths = append(widths, 0)
			}
			widths[position] = max(widths[position], len([]rune(text)))
		}
	}
	var lines strings.Builder
	for _, record := range records {
		var line strings.Builder
		for position, text := range record {
			if text == "" {
				text = "-"
			}
			line.WriteString(text)
			line.WriteString(strings.Repeat(" ", max(0, widths[position]-len([]rune(text)))+2))
		}
		lines.WriteString(strings.TrimRight(line.String(), " "))
		lines.WriteByte('\n')
	}
	_, err := io.WriteString(out, lines.String())
	return err
}
