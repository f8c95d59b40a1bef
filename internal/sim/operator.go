package sim

import (
	"fmt"
	"strconv"
	"time"

	"github.com/tamarindring/tamarindring/internal/state"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	changeLimit    = 5 * time.Second
	changeResends  = 4
	lateResendPart = 0.3
	lateResend     = 60 * time.Second
)

// operator reads the table and changes a cell, again and again, and sends a change again when its answer
// was lost, or much later.
type operator struct {
	*process
	fleet  *fleet
	client *client
	mean   time.Duration // between changes
	next   int
}

func (f *fleet) newOperator(number int, zone string, mean time.Duration) *operator {
	o := &operator{process: f.world.newProcess(fmt.Sprintf("operator-%d", number), zone), fleet: f, mean: mean}
	f.operators = append(f.operators, o)
	return o
}

func (o *operator) launch() {
	o.start()
	o.client = o.fleet.newClient(o.process)
	o.schedule()
}

func (o *operator) schedule() {
	o.after(o.world.exponential(o.mean), func() {
		if o.world.now < o.fleet.loadEnds {
			o.edit()
			o.schedule()
		}
	})
}

// edit reads the table and changes one cell against the version it read.
func (o *operator) edit() {
	o.client = o.fleet.newClient(o.process) // the tool starts anew each time
	o.readTable(func(view *table.View) {
		if view == nil {
			return
		}
		backends := view.Backends(applicationPool)
		if len(backends) == 0 {
			return
		}
		row := backends[o.world.random.Intn(min(len(backends), 2))].Name
		cell := &wire.CellChange{Row: row, Column: table.ColumnWeight, Value: strconv.Itoa(50 + o.world.random.Intn(200))}
		if o.world.chance(0.3) {
			cell.Column, cell.Value = table.ColumnMaxInFlight, strconv.Itoa(20+o.world.random.Intn(200))
		}
		if o.world.chance(0.2) {
			cell.Row, cell.Column, cell.Value = modelPool, table.ColumnStalenessBound, strconv.Itoa(o.world.random.Intn(modelBound+2))
		}
		o.next++
		change := &wire.TableChange{ChangeId: fmt.Sprintf("%s/%d", o.name, o.next), BaseVersion: view.Version(),
			Cells: []*wire.CellChange{cell}, Operator: o.name, AtUnixMillis: o.world.unixMillis()}
		o.change(change, changeResends)
		if o.world.chance(lateResendPart) {
			o.after(o.world.between(changeLimit, lateResend), func() { o.change(change, 1) })
		}
	})
}

// readTable reads the whole table; nil when that failed.
func (o *operator) readTable(done func(*table.View)) {
	floor, called := o.world.truth.answeredVersion, o.world.now
	request := &wire.ExecuteRequest{Query: &wire.Query{Kind: &wire.Query_Table{Table: &wire.TableQuery{}}}, Group: state.ControlGroup}
	o.client.execute(request, changeLimit, func(reply *wire.ExecuteReply) {
		if reply == nil {
			done(nil)
			return
		}
		view, err := table.NewView().Apply(reply.GetView().GetTable())
		if err != nil {
			o.world.truth.broken("%s cannot read the table: %v", o.name, err)
			return
		}
		o.world.truth.tableRead(o.name, view, floor)
		o.world.history.read(called, view)
		done(view)
	})
}

// change sends a change until it is answered.
func (o *operator) change(change *wire.TableChange, resends int) {
	request := &wire.ExecuteRequest{Group: state.ControlGroup, WaitInForce: true,
		Command: &wire.Command{Kind: &wire.Command_TableChange{TableChange: change}}}
	called := o.world.now
	o.client.execute(request, changeLimit, func(reply *wire.ExecuteReply) {
		result := reply.GetResult().GetTable()
		if change.ChangeId != setupChange {
			o.world.history.changed(called, change, result)
		}
		if result != nil {
			o.tracef("change %s: %v, version %d, in force %d", change.ChangeId, result.Outcome, result.Version, reply.InForceVersion)
			o.world.truth.changeAnswered(change, result)
			return
		}
		if resends > 1 {
			o.change(change, resends-1)
		}
	})
}
