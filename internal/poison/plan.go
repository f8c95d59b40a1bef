package poison

import (
	"slices"
	"strconv"
	"strings"

	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// Step is a kind of change to the record of one suspect.
type Step uint8

// The kinds of steps.
const (
	Report Step = iota // a back end crashed under the request
	Claim              // a run is about to begin; it counts as a crash until it is returned or the suspect is cleared
	Return             // a claimed run has ended, or was never sent, without a crash and without a complete answer
	Clear              // the request was answered completely, so it need not have caused the crashes
	Forget             // its retention on record has ended
)

// String returns the name of a step in logs.
func (s Step) String() string {
	return [...]string{Report: "report", Claim: "claim", Return: "return", Clear: "clear", Forget: "forget"}[s]
}

// StepRequest is one step that a process wants to take on the record of a suspect.
type StepRequest struct {
	Step     Step
	Digest   Digest
	Instance string // for Report: the back end that crashed
	Subject  string // for Report: human-readable description of the request, see Identity.Subject
	Trial    bool   // for Report: the run was a trial, so that its crash speaks against the request
	Claim    string // for Claim and Return: name of the claimed run. For Report: the same, if the run was claimed
	Basis    Basis  // for Claim: what the claim assumes to be on record
	Crashes  uint32 // for Forget: the number of crashes on record that the step assumes
}

// Basis is what a process knew of the record of a suspect when it judged the request. A claim is conditional on it, so
// that it fails after a crash or a claim that the process did not know of.
type Basis struct {
	Crashes uint32   // number of crashes on record, without the claims that the record names
	Claims  []string // names of all claims that the process knows of, whether they are on record or not
}

// holdsFor reports whether the record of a suspect shows nothing that the process did not know of.
func (b *Basis) holdsFor(crashes uint32, claims []string) bool {
	unknown := slices.ContainsFunc(claims, func(claim string) bool { return !slices.Contains(b.Claims, claim) })
	return !unknown && withoutClaims(crashes, claims) == b.Crashes
}

// withoutClaims returns the number of crashes on record without the claims that the record names.
func withoutClaims(crashes uint32, claims []string) uint32 {
	return crashes - min(uint32(len(claims)), crashes)
}

// entry returns the back end of a report as the table's list holds it.
func (r *StepRequest) entry() string {
	if r.Trial {
		return trialMark + r.Instance
	}
	return r.Instance
}

// Outcome is the result of a step.
type Outcome struct {
	Done    bool   // the record is as wanted, or will be with the planned change
	Changed bool   // the planned change includes cells or rows for this step
	Crashes uint32 // number of crashes on record afterwards; 0 if the suspect is not on record
}

// maximumCrashed bounds the back ends that the record names for a suspect. They are named so that a crash that two
// processes observed counts once.
const maximumCrashed = 6

// maximumSubject bounds a subject, in bytes.
const maximumSubject = 200

// Subject returns a human-readable description of the request: tenant, method, host and path in printable ASCII, at
// most maximumSubject bytes.
func (i *Identity) Subject() string {
	text := i.Method + " " + i.Host + i.Path
	if i.Tenant != "" {
		text = i.Tenant + ": " + text
	}
	text = replaceUnprintable(text)
	return strings.TrimSpace(text[:min(len(text), maximumSubject)])
}

// replaceUnprintable replaces characters that a cell of the table cannot hold by underscores.
func replaceUnprintable(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return '_'
		}
		return r
	}, text)
}

// RowName returns the name of a suspect's row in the table.
func RowName(digest Digest) string { return table.SuspectPrefix + digest.String() }

// Records returns the record of suspects in a view of the table.
func Records(view *table.View) []Record {
	rows := view.Suspects()
	records := make([]Record, 0, len(rows))
	for _, row := range rows {
		digest, err := strconv.ParseUint(strings.TrimPrefix(row.Name, table.SuspectPrefix), 16, 64)
		if err != nil {
			continue // cannot happen: the table rejects such a row name
		}
		record := Record{Digest: Digest(digest), Crashes: row.Crashes}
		parsed := parseEntries(listOf(row))
		record.Crashed, record.Trials, record.Claims = parsed.crashed, parsed.trials, parsed.claims
		records = append(records, record)
	}
	return records
}

// Planned is one change of the table that performs several steps.
type Planned struct {
	Change   *wire.TableChange // without id and operator; without cells and rows if there is nothing to change
	Outcomes []Outcome         // outcomes of the steps, in the order of the steps
}

// Plan returns the change that performs the steps on a view of the table. No two steps may be for the same suspect.
func Plan(view *table.View, requests []StepRequest, settings Settings) Planned {
	p := &planner{view: view, freeRows: settings.WithDefaults().Maximum - len(view.Suspects()),
		planned: Planned{Change: &wire.TableChange{BaseVersion: view.Version(), Note: table.ForceNote}}}
	touched := make(map[string]bool, len(requests))
	for _, request := range requests {
		touched[RowName(request.Digest)] = true
	}
	p.evictable = listEvictable(view, touched)
	for _, request := range requests {
		before := p.size()
		outcome := p.step(request)
		outcome.Changed = p.size() > before
		p.planned.Outcomes = append(p.planned.Outcomes, outcome)
	}
	return p.planned
}

// listEvictable returns the rows of suspects with a single crash that no step is for. New suspects may replace them.
func listEvictable(view *table.View, touched map[string]bool) []string {
	var names []string
	for _, row := range view.Suspects() {
		if row.Crashes < TrialCrashes && !touched[row.Name] {
			names = append(names, row.Name)
		}
	}
	return names
}

// planner collects the change for several steps.
type planner struct {
	view      *table.View
	freeRows  int      // number of suspects that can be added; negative if the record exceeds its maximum
	evictable []string // rows that may be removed for new suspects
	planned   Planned
}

// size returns the number of cells and rows in the change so far.
func (p *planner) size() int { return len(p.planned.Change.Cells) + len(p.planned.Change.RemoveRows) }

func (p *planner) step(request StepRequest) Outcome {
	name := RowName(request.Digest)
	row := p.view.Row(name)
	if request.Step == Report {
		return p.report(name, row, request)
	}
	if row == nil { // the suspect was cleared or forgotten: the request is free
		return Outcome{Done: true}
	}
	switch request.Step {
	case Claim:
		return p.claim(name, row, request)
	case Return:
		return p.returnClaim(name, row, request)
	}
	if request.Step == Forget && row.Crashes != request.Crashes {
		return Outcome{Crashes: row.Crashes} // another process has changed the number of crashes
	}
	p.planned.Change.RemoveRows = append(p.planned.Change.RemoveRows, name)
	return Outcome{Done: true}
}

// claim counts a run that is about to begin. It fails if the record shows a crash or a claim that the process did not
// know of. An earlier claim that it knew of has rested out, so that its process is lost; the new one takes its place.
func (p *planner) claim(name string, row *table.Row, request StepRequest) Outcome {
	list, entry := listOf(row), claimMark+request.Claim
	claims := parseEntries(list).claims
	switch {
	case slices.Contains(list, entry):
		return Outcome{Done: true, Crashes: row.Crashes}
	case !request.Basis.holdsFor(row.Crashes, claims):
		return Outcome{Crashes: row.Crashes}
	}
	crashes := withoutClaims(row.Crashes, claims) + 1
	p.set(name, table.ColumnCrashed, formatCrashed(append(withoutMarked(list, claimMark), entry)))
	p.set(name, table.ColumnCrashes, formatCount(crashes))
	return Outcome{Done: true, Crashes: crashes}
}

// returnClaim takes back a claim, if it is on record.
func (p *planner) returnClaim(name string, row *table.Row, request StepRequest) Outcome {
	list := listOf(row)
	position := slices.Index(list, claimMark+request.Claim)
	if position < 0 {
		return Outcome{Crashes: row.Crashes}
	}
	crashes := max(row.Crashes-1, 1)
	p.set(name, table.ColumnCrashed, formatCrashed(slices.Delete(list, position, position+1)))
	p.set(name, table.ColumnCrashes, formatCount(crashes))
	return Outcome{Done: true, Crashes: crashes}
}

// report counts a crash, unless the record names the back end already. The claim of the run, which counts already,
// gives its place to the back end.
func (p *planner) report(name string, row *table.Row, request StepRequest) Outcome {
	if row == nil {
		return p.add(name, request)
	}
	list, crashes := listOf(row), row.Crashes
	named := slices.Contains(parseEntries(list).crashed, request.Instance)
	claim := slices.Index(list, claimMark+request.Claim)
	if claim >= 0 {
		list = slices.Delete(list, claim, claim+1)
	}
	switch {
	case named && claim < 0:
		return Outcome{Done: true, Crashes: crashes}
	case !named:
		list = append(list, request.entry())
	}
	if claim < 0 {
		crashes++
		p.set(name, table.ColumnCrashes, formatCount(crashes))
	}
	p.set(name, table.ColumnCrashed, formatCrashed(list))
	return Outcome{Done: true, Crashes: crashes}
}

// add puts a new suspect on record. If the record is full, the new suspect replaces one with a single crash: during a
// burst of many suspects, those with two or more crashes are the ones to keep.
func (p *planner) add(name string, request StepRequest) Outcome {
	if p.freeRows <= 0 {
		if len(p.evictable) == 0 {
			return Outcome{}
		}
		p.planned.Change.RemoveRows = append(p.planned.Change.RemoveRows, p.evictable[0])
		p.evictable = p.evictable[1:]
		p.freeRows++
	}
	p.freeRows--
	p.set(name, table.ColumnKind, string(table.Suspect))
	p.set(name, table.ColumnCrashes, formatCount(1))
	p.set(name, table.ColumnCrashed, formatCrashed([]string{request.entry()}))
	p.set(name, table.ColumnSubject, request.Subject)
	return Outcome{Done: true, Crashes: 1}
}

func (p *planner) set(row, column, value string) {
	p.planned.Change.Cells = append(p.planned.Change.Cells, &wire.CellChange{Row: row, Column: column, Value: value})
}

func formatCount(crashes uint32) string { return strconv.FormatUint(uint64(crashes), 10) }

// formatCrashed returns the cell that names the crashed back ends and the claims: the most recent ones that fit into it.
func formatCrashed(crashed []string) string {
	crashed = crashed[max(len(crashed)-maximumCrashed, 0):]
	text := strings.Join(crashed, ",")
	for len(text) > table.MaximumHeaderValueBytes && len(crashed) > 1 {
		crashed = crashed[1:]
		text = strings.Join(crashed, ",")
	}
	return text[:min(len(text), table.MaximumHeaderValueBytes)]
}
