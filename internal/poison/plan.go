package poison

import (
	"slices"
	"strconv"
	"strings"

	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// Step is what a process wants the record to say of one suspect.
type Step uint8

// The steps.
const (
	Report Step = iota // a back end crashed under the request
	Claim              // one run of it is about to begin, and counts as a crash until it is given back or cleared
	Return             // a claimed run has ended without a crash and without a whole answer
	Clear              // it was answered whole: whatever crashed, this request need not have done it
	Forget             // its time on record is over
)

// String names a step in logs.
func (s Step) String() string {
	return [...]string{Report: "report", Claim: "claim", Return: "return", Clear: "clear", Forget: "forget"}[s]
}

// Want is one step of one process.
type Want struct {
	Step     Step
	Digest   Digest
	Instance string // of Report: the back end that crashed
	Subject  string // of Report: the request for people, see Identity.Subject
	Counted  bool   // of Report: its run was claimed, and is counted already
	Crashes  uint32 // of Claim, Return and Forget: the number of crashes that the step goes out from
}

// Outcome is what became of a step.
type Outcome struct {
	Done    bool   // the record says what was wanted, or will with the change
	Changed bool   // the change does something for it
	Crashes uint32 // that the record then holds; 0: it holds none
}

// crashedKept bounds the back ends that the record names of a suspect: a crash that two processes saw is counted once.
const crashedKept = 6

// maximumSubject bounds a subject, in bytes.
const maximumSubject = 200

// Subject is the request for people.
func (i *Identity) Subject() string {
	text := i.Method + " " + i.Host + i.Path
	if i.Tenant != "" {
		text = i.Tenant + ": " + text
	}
	text = printable(text)
	return strings.TrimSpace(text[:min(len(text), maximumSubject)])
}

// printable replaces what a cell of the table can't hold.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return '_'
		}
		return r
	}, text)
}

// RowName is the name of a suspect's row of the table.
func RowName(digest Digest) string { return table.SuspectPrefix + digest.String() }

// Records reads the record from a view of the table.
func Records(view *table.View) []Record {
	rows := view.Suspects()
	records := make([]Record, 0, len(rows))
	for _, row := range rows {
		digest, err := strconv.ParseUint(strings.TrimPrefix(row.Name, table.SuspectPrefix), 16, 64)
		if err != nil {
			continue // no row of such a name passes the table's check
		}
		records = append(records, Record{Digest: Digest(digest), Crashes: row.Crashes, Crashed: crashedOf(row)})
	}
	return records
}

func crashedOf(row *table.Row) []string {
	if row == nil || row.CrashedBackEnds == "" {
		return nil
	}
	return strings.Split(row.CrashedBackEnds, ",")
}

// Planned is one change of the table for some steps; no step is wanted of a suspect twice.
type Planned struct {
	Change   *wire.TableChange // without id and operator; no cells and rows: nothing is to be changed
	Outcomes []Outcome         // of the steps, in their order
}

// Plan makes the change that does what is wanted on a view of the table.
func Plan(view *table.View, wants []Want, settings Settings) Planned {
	p := &planner{view: view, room: settings.WithDefaults().Maximum - len(view.Suspects()),
		planned: Planned{Change: &wire.TableChange{BaseVersion: view.Version(), Note: table.ForceNote}}}
	touched := make(map[string]bool, len(wants))
	for _, want := range wants {
		touched[RowName(want.Digest)] = true
	}
	p.weakest = weakest(view, touched)
	for _, want := range wants {
		before := p.size()
		outcome := p.step(want)
		outcome.Changed = p.size() > before
		p.planned.Outcomes = append(p.planned.Outcomes, outcome)
	}
	return p.planned
}

// weakest are the suspects with one crash, which make room for others.
func weakest(view *table.View, touched map[string]bool) []string {
	var names []string
	for _, row := range view.Suspects() {
		if row.Crashes < TrialCrashes && !touched[row.Name] {
			names = append(names, row.Name)
		}
	}
	return names
}

type planner struct {
	view    *table.View
	room    int
	weakest []string
	planned Planned
}

// size is how much the change does so far.
func (p *planner) size() int { return len(p.planned.Change.Cells) + len(p.planned.Change.RemoveRows) }

func (p *planner) step(want Want) Outcome {
	name := RowName(want.Digest)
	row := p.view.Row(name)
	if want.Step == Report {
		return p.report(name, row, want)
	}
	if row == nil { // somebody cleared or forgot it: the request is free
		return Outcome{Done: true}
	}
	switch {
	case want.Step == Clear || want.Step == Forget && row.Crashes == want.Crashes:
		p.planned.Change.RemoveRows = append(p.planned.Change.RemoveRows, name)
		return Outcome{Done: true}
	case want.Step == Claim && row.Crashes == want.Crashes:
		p.set(name, table.ColumnCrashes, count(row.Crashes+1))
		return Outcome{Done: true, Crashes: row.Crashes + 1}
	case want.Step == Return && row.Crashes == want.Crashes && row.Crashes > 1:
		p.set(name, table.ColumnCrashes, count(row.Crashes-1))
		return Outcome{Done: true, Crashes: row.Crashes - 1}
	}
	return Outcome{Crashes: row.Crashes} // another process was faster
}

// report counts a crash, once for each back end.
func (p *planner) report(name string, row *table.Row, want Want) Outcome {
	if row == nil {
		return p.add(name, want)
	}
	crashed := crashedOf(row)
	if slices.Contains(crashed, want.Instance) {
		return Outcome{Done: true, Crashes: row.Crashes}
	}
	crashed = append(crashed, want.Instance)
	p.set(name, table.ColumnCrashed, joined(crashed))
	if want.Counted {
		return Outcome{Done: true, Crashes: row.Crashes}
	}
	p.set(name, table.ColumnCrashes, count(row.Crashes+1))
	return Outcome{Done: true, Crashes: row.Crashes + 1}
}

// add puts a new suspect on record. Where the record is full one with a single crash makes room: under a burst of many such requests
// those that crashed twice are the ones to remember.
func (p *planner) add(name string, want Want) Outcome {
	if p.room <= 0 {
		if len(p.weakest) == 0 {
			return Outcome{}
		}
		p.planned.Change.RemoveRows = append(p.planned.Change.RemoveRows, p.weakest[0])
		p.weakest = p.weakest[1:]
		p.room++
	}
	p.room--
	p.set(name, table.ColumnKind, string(table.Suspect))
	p.set(name, table.ColumnCrashes, count(1))
	p.set(name, table.ColumnCrashed, joined([]string{want.Instance}))
	p.set(name, table.ColumnSubject, want.Subject)
	return Outcome{Done: true, Crashes: 1}
}

func (p *planner) set(row, column, value string) {
	p.planned.Change.Cells = append(p.planned.Change.Cells, &wire.CellChange{Row: row, Column: column, Value: value})
}

func count(crashes uint32) string { return strconv.FormatUint(uint64(crashes), 10) }

// joined are the last of the back ends that crashed, as a cell holds them.
func joined(crashed []string) string {
	crashed = crashed[max(len(crashed)-crashedKept, 0):]
	text := strings.Join(crashed, ",")
	for len(text) > table.MaximumHeaderValueBytes && len(crashed) > 1 {
		crashed = crashed[1:]
		text = strings.Join(crashed, ",")
	}
	return text[:min(len(text), table.MaximumHeaderValueBytes)]
}
