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

// suspectRowName returns the name of the table row for a suspect request, given the digest that logs show.
func suspectRowName(digest string) (string, error) {
	name := table.SuspectPrefix + strings.ToLower(digest)
	if !table.IsSuspectName(name) {
		return "", trace.BadParameter("%q is no digest of a request: want the 16 hexadecimal digits that logs show", digest)
	}
	return name, nil
}

// PlanSuspectRelease plans to remove a request from the suspects, so that it may run without restriction at once. The
// error is trace.BadParameter if the digest is invalid or not suspected.
func PlanSuspectRelease(sheet *Sheet, digest string) (*Plan, error) {
	name, err := suspectRowName(digest)
	if err != nil {
		return nil, err
	}
	if _, suspected := sheet.Row(name); !suspected {
		return nil, trace.BadParameter("no request with the digest %q is suspected", digest)
	}
	return &Plan{Base: sheet.Version, RemoveRows: []string{name}}, nil
}

// PlanSuspectCondemn plans to condemn a request, as a crash under a trial would. The error is trace.BadParameter if the
// digest is invalid.
func PlanSuspectCondemn(sheet *Sheet, digest string) (*Plan, error) {
	name, err := suspectRowName(digest)
	if err != nil {
		return nil, err
	}
	plan := &Plan{Base: sheet.Version}
	existing, _ := sheet.Row(name)
	crashed := existing.Cells[table.ColumnCrashed].Value
	plan.addEdit(existing, name, table.ColumnKind, string(table.Suspect))
	plan.addEdit(existing, name, table.ColumnCrashes, fmt.Sprint(condemnedCrashes))
	plan.addEdit(existing, name, table.ColumnCrashed, poison.AddTrial(crashed, poison.OperatorTrial))
	return plan, nil
}

// WriteSuspects prints the requests during which back ends crashed.
func WriteSuspects(out io.Writer, sheet *Sheet) error {
	writer := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, "digest\tcrashes\tpermitted\trequest\tback ends that crashed")
	for _, row := range sheet.Rows {
		if row.Cells[table.ColumnKind].Value != string(table.Suspect) {
			continue
		}
		crashes := row.Cells[table.ColumnCrashes].Value
		if crashes == "" {
			crashes = "1"
		}
		fmt.Fprintf(writer, "%s\t%s\t%s\t%s\t%s\n", strings.TrimPrefix(row.Name, table.SuspectPrefix), crashes, describePermission(crashes, row.Cells[table.ColumnCrashed].Value),
			valueOrDash(row.Cells[table.ColumnSubject].Value), valueOrDash(poison.CrashedBackEnds(row.Cells[table.ColumnCrashed].Value)))
	}
	return trace.Wrap(writer.Flush())
}

// condemnedCrashes is the number of crashes of a request that an operator condemns.
const condemnedCrashes = poison.TrialCrashes + 1

// describePermission returns how a suspect request may run after a number of crashes of the given back ends.
func describePermission(crashes, crashed string) string {
	switch {
	case poison.HasTrial(crashed):
		return "rests"
	case crashes == "1":
		return "runs apart"
	}
	return "one run at a time"
}

func valueOrDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
