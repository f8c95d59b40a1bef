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
	changeTimeout         = 5 * time.Second
	changeAttempts        = 4
	lateResendProbability = 0.3
	maxLateResendDelay    = 60 * time.Second
)

// operator repeatedly reads the table and changes one cell. It resends a change whose answer was lost, and some
// changes again much later.
type operator struct {
	*process
	fleet        *fleet
	client       *client
	meanInterval time.Duration // between changes
	lastChange   int
}

func (f *fleet) newOperator(number int, zone string, mean time.Duration) *operator {
	o := &operator{process: f.world.newProcess(fmt.Sprintf("operator-%d", number), zone), fleet: f, meanInterval: mean}
	f.operators = append(f.operators, o)
	return o
}

func (o *operator) launch() {
	o.start()
	o.client = o.fleet.newClient(o.process)
	o.schedule()
}

func (o *operator) schedule() {
	o.after(o.world.exponentialDuration(o.meanInterval), func() {
		if o.world.now < o.fleet.loadEnd {
			o.editCell()
			o.schedule()
		}
	})
}

// editCell reads the table and changes one cell, based on the version that it read.
func (o *operator) editCell() {
	o.client = o.fleet.newClient(o.process) // each edit is a new run of the command-line tool
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
		if o.world.randomBool(0.3) {
			cell.Column, cell.Value = table.ColumnMaxInFlight, strconv.Itoa(20+o.world.random.Intn(200))
		}
		if o.world.randomBool(0.2) {
			cell.Row, cell.Column, cell.Value = modelPool, table.ColumnStalenessBound, strconv.Itoa(o.world.random.Intn(initialStalenessBound+2))
		}
		o.lastChange++
		change := &wire.TableChange{ChangeId: fmt.Sprintf("%s/%d", o.name, o.lastChange), BaseVersion: view.Version(),
			Cells: []*wire.CellChange{cell}, Operator: o.name, AtUnixMillis: o.world.unixMillis()}
		o.sendChange(change, changeAttempts)
		if o.world.randomBool(lateResendProbability) {
			o.after(o.world.randomDuration(changeTimeout, maxLateResendDelay), func() { o.sendChange(change, 1) })
		}
	})
}

// readTable reads the whole table; done gets nil when that failed.
func (o *operator) readTable(done func(*table.View)) {
	floor, called := o.world.truth.answeredVersion, o.world.now
	request := &wire.ExecuteRequest{Query: &wire.Query{Kind: &wire.Query_Table{Table: &wire.TableQuery{}}}, Group: state.ControlGroup}
	o.client.execute(request, changeTimeout, func(reply *wire.ExecuteReply) {
		if reply == nil {
			done(nil)
			return
		}
		view, err := table.NewView().Apply(reply.GetView().GetTable())
		if err != nil {
			o.world.truth.reportFailure("%s cannot read the table: %v", o.name, err)
			return
		}
		o.world.truth.checkTableRead(o.name, view, floor)
		o.world.history.recordRead(called, view)
		done(view)
	})
}

// sendChange sends a change until it is answered, up to the given number of times.
func (o *operator) sendChange(change *wire.TableChange, attempts int) {
	request := &wire.ExecuteRequest{Group: state.ControlGroup, WaitInForce: true,
		Command: &wire.Command{Kind: &wire.Command_TableChange{TableChange: change}}}
	called := o.world.now
	o.client.execute(request, changeTimeout, func(reply *wire.ExecuteReply) {
		result := reply.GetResult().GetTable()
		if change.ChangeId != setupChange {
			o.world.history.recordChange(called, change, result)
		}
		if result != nil {
			o.tracef("change %s: %v, version %d, in force %d", change.ChangeId, result.Outcome, result.Version, reply.InForceVersion)
			o.world.truth.recordChangeAnswer(change, result)
			return
		}
		if attempts > 1 {
			o.sendChange(change, attempts-1)
		}
	})
}
