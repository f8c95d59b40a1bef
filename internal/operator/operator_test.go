package operator

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// localControl applies changes to a table in memory and can lose changes or their answers.
type localControl struct {
	table      *table.Table
	loseAnswer bool // the change is made, but its answer is lost
	loseChange bool // the change is not made, and the error says so
}

func (c *localControl) Query(_ context.Context, _ uint32, query *wire.Query) (*wire.View, error) {
	if history := query.GetHistory(); history != nil {
		entries := c.table.History(history.Row, history.Column, int(history.Limit))
		return &wire.View{Kind: &wire.View_History{History: &wire.HistoryView{Entries: entries}}}, nil
	}
	return &wire.View{Kind: &wire.View_Table{Table: c.table.UpdateSince(query.GetTable().GetKnownVersion())}}, nil
}

func (c *localControl) ChangeTable(_ context.Context, change *wire.TableChange, _ bool) (*wire.TableResult, uint64, error) {
	if c.loseChange {
		return nil, 0, verdict.New(verdict.DidNotRun, "no leader")
	}
	result := c.table.Apply(change)
	if c.loseAnswer {
		return nil, 0, verdict.New(verdict.MayHaveRun, "the answer was lost")
	}
	return result, result.Version, nil
}

const sheetFile = `row,kind,pool,address,weight
copy,pool,,,70
engine-1,backend,copy,127.0.0.1:9001,
`

func newSubmitter(t *testing.T, control Control, folder string) *Submitter {
	t.Helper()
	pending, err := NewPendingStore(folder)
	if err != nil {
		t.Fatal(err)
	}
	return &Submitter{Control: control, Pending: pending}
}

func readSheet(t *testing.T, control Control) *Sheet {
	t.Helper()
	sheet, err := ReadSheet(context.Background(), control)
	if err != nil {
		t.Fatal(err)
	}
	return sheet
}

func readFile(t *testing.T, text string) *File {
	t.Helper()
	file, err := ReadFile(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return file
}

func submit(t *testing.T, control Control, plan *Plan) *Outcome {
	t.Helper()
	outcome, err := newSubmitter(t, control, t.TempDir()).Submit(context.Background(), "request", plan, Author{Operator: "ann"}, false)
	if err != nil {
		t.Fatal(err)
	}
	return outcome
}

// Applying an exported file to the unchanged table must change nothing, also when rows missing in the file are
// removed.
func TestExportedSheetAppliesAsNothing(t *testing.T) {
	control := &localControl{table: table.New()}
	if outcome := submit(t, control, PlanFile(readSheet(t, control), readFile(t, sheetFile), false)); !outcome.Accepted() {
		t.Fatalf("refused: %v", outcome.Result)
	}
	var exported strings.Builder
	sheet := readSheet(t, control)
	if err := sheet.Write(&exported, FormatCSV, false); err != nil {
		t.Fatal(err)
	}
	file := readFile(t, exported.String())
	if file.Base != sheet.Version {
		t.Errorf("the file names version %d, want %d", file.Base, sheet.Version)
	}
	if plan := PlanFile(sheet, file, true); !plan.Empty() {
		t.Errorf("applying an export would change %v and remove %v", plan.Edits, plan.RemoveRows)
	}
}

// A file exported at an older version conflicts in the cell that was changed since, and in no other cell.
func TestOldSheetConflictsOnlyWhereTheTableMovedOn(t *testing.T) {
	control := &localControl{table: table.New()}
	submit(t, control, PlanFile(readSheet(t, control), readFile(t, sheetFile), false))
	old := "# version 1\n" + strings.Replace(sheetFile, "70", "80", 1)
	plan, err := PlanSet(readSheet(t, control), "copy", "weight", "75")
	if err != nil {
		t.Fatal(err)
	}
	submit(t, control, plan)
	outcome := submit(t, control, PlanFile(readSheet(t, control), readFile(t, old), false))
	if outcome.Accepted() || len(outcome.Result.Refusals) != 1 || outcome.Result.Refusals[0].CurrentValue != "75" {
		t.Fatalf("got %v, want one conflict with the current value 75", outcome.Result)
	}
}

// Reverting a version restores the value that the cell had before it.
func TestRevertGivesFormerValuesBack(t *testing.T) {
	control := &localControl{table: table.New()}
	submit(t, control, PlanFile(readSheet(t, control), readFile(t, sheetFile), false))
	plan, _ := PlanSet(readSheet(t, control), "copy", "weight", "5")
	changed := submit(t, control, plan)
	revert := func(version uint64) *Outcome {
		plan, err := PlanRevert(control.table.History("", "", 0), readSheet(t, control), version)
		if err != nil {
			t.Fatal(err)
		}
		return submit(t, control, plan)
	}
	if outcome := revert(changed.Result.Version); !outcome.Accepted() {
		t.Fatalf("refused: %v", outcome.Result)
	}
	if row, _ := readSheet(t, control).Row("copy"); row.Cells["weight"].Value != "70" {
		t.Fatalf("weight is %q after the revert, want 70", row.Cells["weight"].Value)
	}
}

// TestLostAnswerIsSettled loses the answer to a change, then repeats the request from new processes. A resend that
// does not arrive must not be reported as "not made". One that arrives must return the original answer without making
// the change a second time.
func TestLostAnswerIsSettled(t *testing.T) {
	control := &localControl{table: table.New()}
	submit(t, control, PlanFile(readSheet(t, control), readFile(t, sheetFile), false))
	folder := t.TempDir()
	plan, _ := PlanSet(readSheet(t, control), "copy", "weight", "5")
	control.loseAnswer = true
	_, err := newSubmitter(t, control, folder).Submit(context.Background(), "set", plan, Author{Operator: "ann"}, false)
	if verdict.Of(err) != verdict.MayHaveRun {
		t.Fatalf("lost answer: got error %v, want the verdict that the change may have been made", err)
	}
	control.loseAnswer, control.loseChange = false, true
	if _, err := newSubmitter(t, control, folder).ResendPending(context.Background(), "set", false); verdict.Of(err) != verdict.MayHaveRun {
		t.Fatalf("lost resend: got error %v, want the verdict that the first sending may have been made", err)
	}
	control.loseChange = false
	before := control.table.Version()
	outcome, err := newSubmitter(t, control, folder).ResendPending(context.Background(), "set", false)
	if err != nil || !outcome.Accepted() || !outcome.Resent {
		t.Fatalf("resend: got %+v, error %v; want the answer of the accepted change", outcome, err)
	}
	if control.table.Version() != before {
		t.Fatal("the resend made the change a second time, want the table unchanged")
	}
	if again, err := newSubmitter(t, control, folder).ResendPending(context.Background(), "set", false); again != nil || err != nil {
		t.Fatalf("second resend: got %v, error %v; want nothing pending", again, err)
	}
}

// An invalid file is refused, and the error names the line, row or column at fault.
func TestBadFilesAreRefusedWithTheirPlace(t *testing.T) {
	cases := map[string]string{
		"kind,weight\n":                   "first column",
		"row,wait\n":                      "no column",
		"row,weight,weight\n":             "twice",
		"row,weight\ncopy,heavy\n":        "line 2, row copy, column weight",
		"row,weight\ncopy,1\ncopy,2\n":    "line 3",
		"# version x\nrow,weight\n":       "line 1",
		"row,weight\ncopy,1,2\n":          "wrong number of fields",
		"row,address\ncopy,example.com\n": "column address",
	}
	for text, want := range cases {
		if _, err := ReadFile(strings.NewReader(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("file %q: got error %v, want one that contains %q", text, err, want)
		}
	}
}

// Watch prints changes made after its start, and not the history before it.
func TestWatchPrintsLaterChangesOnly(t *testing.T) {
	control := &localControl{table: table.New()}
	submit(t, control, PlanFile(readSheet(t, control), readFile(t, sheetFile), false))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	out := &cancelAfterWrite{cancel: cancel}
	hook := &changeAfterQuery{localControl: control, change: func() {
		plan, _ := PlanSet(readSheet(t, control), "copy", "weight", "9")
		submit(t, control, plan)
	}}
	if err := Watch(ctx, hook, out, time.Millisecond, time.Second); err != nil {
		t.Fatal(err)
	}
	if want := "version 2 by ann: copy weight: 70 -> 9\n"; out.text.String() != want {
		t.Fatalf("got %q, want %q", out.text.String(), want)
	}
}

// changeAfterQuery makes one change after the first query.
type changeAfterQuery struct {
	*localControl
	change func()
}

func (c *changeAfterQuery) Query(ctx context.Context, group uint32, query *wire.Query) (*wire.View, error) {
	view, err := c.localControl.Query(ctx, group, query)
	if c.change != nil {
		c.change()
		c.change = nil
	}
	return view, err
}

// cancelAfterWrite ends the watch after its first output.
type cancelAfterWrite struct {
	text   strings.Builder
	cancel context.CancelFunc
}

func (w *cancelAfterWrite) Write(content []byte) (int, error) {
	defer w.cancel()
	if w.text.Len() > 1<<16 {
		return 0, errors.New("too much output")
	}
	return w.text.Write(content)
}
