package operator

import (
	"bytes"
	"strings"
	"testing"

	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// FuzzReadFile takes any bytes as a table in CSV: it is refused, or planned against a sheet without a panic,
// and every planned cell has a value that the table's column takes.
func FuzzReadFile(f *testing.F) {
	f.Add([]byte(sheetFile))
	f.Add([]byte("row\n"))
	f.Add([]byte("row,weight\n\"copy\",\" 7\"\n"))
	sheet := NewSheet(&wire.TableUpdate{})
	f.Fuzz(func(t *testing.T, data []byte) {
		file, err := ReadFile(bytes.NewReader(data))
		if err != nil {
			return
		}
		plan := PlanFile(sheet, file, true)
		for _, edit := range plan.Edits {
			column, known := table.Lookup(edit.Column)
			if !known || edit.To == "" {
				t.Fatalf("edit of an unknown column or to nothing: %+v", edit)
			}
			if canonical, err := column.Canonical(edit.To); err != nil || canonical != edit.To {
				t.Fatalf("%+v is not canonical: %q, %v", edit, canonical, err)
			}
		}
		var out strings.Builder
		if err := plan.Write(&out); err != nil {
			t.Fatal(err)
		}
	})
}
