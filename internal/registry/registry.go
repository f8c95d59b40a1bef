// Package registry keeps the operators' table up to date with replicas that register themselves. A heartbeat with new
// information becomes a change of the replica's row. One without new information is answered from memory. A replica
// whose heartbeats stop is removed from service until its next heartbeat.
//
// Classify, PlanDeregistration and Tracker do no I/O and read no clock; times are monotonic durations since an
// arbitrary start. Service runs them with a client of the control nodes.
package registry

import (
	"strconv"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/configure"
	"github.com/tamarindring/tamarindring/internal/incarnation"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// LastSequence is the sequence in the row of a replica that was deregistered. It is higher than that of any heartbeat.
const LastSequence = table.MaximumSequence

// Registration is the content of a replica's heartbeat.
type Registration struct {
	Instance string // name of the replica's row; it stays the same over restarts
	Start    uint64 // start time of the replica in Unix milliseconds; 0 if not known
	Pool     string
	Address  string // IP:port
	Zone     string // may be empty
	Slots    uint64 // requests that it can process at the same time
	Draining bool
	Sequence uint64 // rises with each heartbeat of a start, from 1
	Models   []ModelVersion
}

// Incarnation returns the instance and start of the replica that sent the heartbeat.
func (r *Registration) Incarnation() incarnation.Incarnation {
	return incarnation.Incarnation{ID: r.Instance, Start: r.Start}
}

// ModelVersion is a model that a replica serves and the number of its weight version.
type ModelVersion struct {
	Model  string
	Number uint64
}

// Check returns a trace.BadParameter error if a registration cannot be accepted.
func (r *Registration) Check() error {
	switch {
	case r.Instance == "" || r.Pool == "":
		return trace.BadParameter("a registration needs an instance and a pool")
	case configure.RowName(r.Instance) != r.Instance:
		return trace.BadParameter("instance %q can't name a row", r.Instance)
	case r.Sequence >= LastSequence:
		return trace.BadParameter("sequence %d is too high", r.Sequence)
	}
	// The table would reject a change with an invalid cell, including the other registrations in the same change.
	for name, value := range r.rowCells() {
		column, _ := table.Lookup(name)
		if _, err := column.Canonical(value); err != nil {
			return trace.BadParameter("%s: %v", name, err)
		}
	}
	return nil
}

// Effect is the effect of a heartbeat on the table.
type Effect uint8

// The effects.
const (
	Unchanged Effect = iota + 1 // the row holds the same values already
	Outdated                    // a later heartbeat, a later start or the deregistration was recorded before
	Changed                     // the row must be changed before the heartbeat is acknowledged
)

// Classify compares a heartbeat with the replica's row, which is nil if there is none.
func Classify(row *table.Row, heartbeat *Registration) Effect {
	switch {
	case row == nil:
		return Changed
	case row.Kind != table.Backend:
		return Outdated // the row with this name is no back end
	}
	switch heartbeat.Incarnation().Compare(row.Incarnation()) {
	case incarnation.Newer:
		return Changed // the sequence of a new start begins at 1 again
	case incarnation.Older:
		return Outdated
	}
	switch {
	case heartbeat.Sequence < row.Sequence:
		return Outdated
	case len(diffCells(row, heartbeat)) == 0:
		return Unchanged
	case heartbeat.Sequence == row.Sequence && row.Sequence > 0:
		return Outdated // this heartbeat was recorded; since then silence or an operator has changed the row
	}
	return Changed
}

// rowCells returns the values of the row for a registration by column, without the sequence.
func (r *Registration) rowCells() map[string]string {
	state := table.Active
	if r.Draining {
		state = table.Draining
	}
	cells := map[string]string{
		table.ColumnKind: string(table.Backend), table.ColumnPool: configure.RowName(r.Pool),
		table.ColumnAddress: r.Address, table.ColumnState: string(state),
		table.ColumnMaxInFlight: strconv.FormatUint(min(max(r.Slots, 1), maximumSlots), 10),
	}
	if r.Zone != "" {
		cells[table.ColumnZone] = configure.RowName(r.Zone)
	}
	if r.Start > 0 {
		cells[table.ColumnStart] = strconv.FormatUint(r.Start, 10)
	}
	return cells
}

// maximumSlots bounds the number of slots that is recorded for a replica.
const maximumSlots = 100_000

// columnOrder is the order of a registration's cells in a change.
var columnOrder = []string{
	table.ColumnKind, table.ColumnPool, table.ColumnAddress, table.ColumnZone, table.ColumnState, table.ColumnMaxInFlight,
	table.ColumnStart,
}

// diffCells returns the cells of a heartbeat that differ from the replica's row. For a later start it returns all
// cells, including equal ones. A concurrent change for the former start, for example because of its silence, then
// conflicts.
func diffCells(row *table.Row, heartbeat *Registration) []*wire.CellChange {
	var cells []*wire.CellChange
	desired := heartbeat.rowCells()
	if row != nil && heartbeat.Incarnation().Compare(row.Incarnation()) == incarnation.Newer {
		row = nil
	}
	for _, column := range columnOrder {
		value, present := desired[column]
		if !present {
			continue
		}
		current := ""
		if row != nil {
			current, _ = row.Explicit(column)
		}
		if current != value {
			cells = append(cells, &wire.CellChange{Row: heartbeat.Instance, Column: column, Value: value})
		}
	}
	return cells
}

// planRegistration returns the change that records a heartbeat in the table, without id and operator. The change
// creates the pool if there is none. It deregisters every other replica at the same address, because that replica must
// have ended.
func planRegistration(view *table.View, heartbeat *Registration) *wire.TableChange {
	change := &wire.TableChange{BaseVersion: view.Version(), Note: table.ForceNote}
	set := func(row, column, value string) {
		change.Cells = append(change.Cells, &wire.CellChange{Row: row, Column: column, Value: value})
	}
	if pool := configure.RowName(heartbeat.Pool); view.Pool(pool) == nil {
		set(pool, table.ColumnKind, string(table.Pool))
	}
	change.Cells = append(change.Cells, diffCells(view.Row(heartbeat.Instance), heartbeat)...)
	set(heartbeat.Instance, table.ColumnSequence, strconv.FormatUint(heartbeat.Sequence, 10))
	for _, row := range holders(view, heartbeat.Address) {
		if row.Name != heartbeat.Instance {
			change.Cells = append(change.Cells, deregistrationCells(row)...)
		}
	}
	return change
}

// holders returns the registered replicas at an address, without deregistered ones.
func holders(view *table.View, address string) []*table.Row {
	var found []*table.Row
	for _, row := range view.AtAddress(address) {
		if row.IsRegistered() && row.Sequence != LastSequence {
			found = append(found, row)
		}
	}
	return found
}

// PlanDeregistration returns the change that removes one start of a replica permanently, without id and operator. It
// returns nil if there is nothing to change. A replica without a start stands for the start that is registered.
func PlanDeregistration(view *table.View, replica incarnation.Incarnation) *wire.TableChange {
	row := view.Row(replica.ID)
	if row == nil || row.Kind != table.Backend {
		return nil
	}
	if replica.Start == 0 {
		replica.Start = row.Start
	}
	relation := replica.Compare(row.Incarnation())
	if relation == incarnation.Older || relation == incarnation.Same && row.Sequence == LastSequence {
		return nil
	}
	change := &wire.TableChange{BaseVersion: view.Version(), Note: table.ForceNote, Cells: deregistrationCells(row)}
	if relation == incarnation.Newer {
		change.Cells = append(change.Cells, &wire.CellChange{Row: row.Name, Column: table.ColumnStart,
			Value: strconv.FormatUint(replica.Start, 10)})
	}
	return change
}

// deregistrationCells returns the cells that mark a row as removed and make all its later heartbeats outdated.
func deregistrationCells(row *table.Row) []*wire.CellChange {
	cells := []*wire.CellChange{{Row: row.Name, Column: table.ColumnSequence, Value: strconv.FormatUint(LastSequence, 10)}}
	if own, _ := row.Explicit(table.ColumnState); own != string(table.Removed) {
		cells = append(cells, &wire.CellChange{Row: row.Name, Column: table.ColumnState, Value: string(table.Removed)})
	}
	return cells
}
