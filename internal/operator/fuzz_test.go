package operator

import (
	"bytes"
	"strings"
	"testing"

	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// FuzzReadFile reads arbitrary bytes as a table in CSV. They are refused, or planned against a sheet without a panic.
// Every planned cell has a canonical value of an existing column.
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
				t.Fatalf("got edit %+v, want a column of the schema and a value that is not empty", edit)
			}
			if canonical, err := column.Canonical(edit.To); err != nil || canonical != edit.To {
				t.Fatalf("edit %+v: got the canonical value %q, %v, want the edit's own value", edit, canonical, err)
			}
		}
		var out strings.Builder
		if err := plan.Write(&out); err != nil {
			t.Fatal(err)
		}
	})
}
