package operator

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/poison"
	"github.com/tamarindring/tamarindring/internal/table"
)

// suspectRow is the name of a suspect's row, given the digest that logs show.
func suspectRow(digest string) (string, error) {
	name := table.SuspectPrefix + strings.ToLower(digest)
	if !table.NamesSuspect(name) {
		return "", trace.BadParameter("%q is no digest of a request: want the 16 hexadecimal digits that logs show", digest)
	}
	return name, nil
}

// PlanSuspectRelease plans to take a request off the record of suspects: it is free at once.
func PlanSuspectRelease(sheet *Sheet, digest string) (*Plan, error) {
	name, err := suspectRow(digest)
	if err != nil {
		return nil, err
	}
	if _, known := sheet.Row(name); !known {
		return nil, trace.BadParameter("no request with the digest %q is suspected", digest)
	}
	return &Plan{Base: sheet.Version, RemoveRows: []string{name}}, nil
}

// PlanSuspectCondemn plans to have a request rest as after its third crash.
func PlanSuspectCondemn(sheet *Sheet, digest string) (*Plan, error) {
	name, err := suspectRow(digest)
	if err != nil {
		return nil, err
	}
	plan := &Plan{Base: sheet.Version}
	known, _ := sheet.Row(name)
	plan.edit(known, name, table.ColumnKind, string(table.Suspect))
	plan.edit(known, name, table.ColumnCrashes, fmt.Sprint(poison.CondemnedCrashes))
	return plan, nil
}

// WriteSuspects lists the requests under which back ends crashed.
func WriteSuspects(out io.Writer, sheet *Sheet) error {
	listed := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(listed, "digest\tcrashes\tpermitted\trequest\tback ends that crashed")
	for _, row := range sheet.Rows {
		if row.Cells[table.ColumnKind].Value != string(table.Suspect) {
			continue
		}
		crashes := row.Cells[table.ColumnCrashes].Value
		if crashes == "" {
			crashes = "1"
		}
		fmt.Fprintf(listed, "%s\t%s\t%s\t%s\t%s\n", strings.TrimPrefix(row.Name, table.SuspectPrefix), crashes, permitted(crashes),
			shownOr(row.Cells[table.ColumnSubject].Value), shownOr(row.Cells[table.ColumnCrashed].Value))
	}
	return trace.Wrap(listed.Flush())
}

// permitted says what a suspect may do after so many crashes.
func permitted(crashes string) string {
	switch crashes {
	case "1":
		return "runs apart"
	case "2":
		return "one run at a time"
	}
	return "rests"
}

func shownOr(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
