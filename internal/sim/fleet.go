package sim

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// applicationPool is the pool of non-repeatable work.
const applicationPool = "push"

const (
	hostCount        = 3
	gatewayCount     = 3
	backendCount     = 4
	callerCount      = 3
	operatorCount    = 2
	coordinatorCount = 2
	engineCount      = 3
	trainerCount     = 1
)

// fleet holds all processes of a run.
type fleet struct {
	world           *world
	zones           []string
	hosts           []*host
	gateways        []*gateway
	backends        []*backend
	callers         []*caller
	coordinators    []*coordinator
	engines         []*modelEngine
	trainers        []*trainer
	operators       []*operator
	repairProcess   *process
	founders        raft.Configuration
	lastHostID      uint64
	noExpiry        bool
	plannedOnly     bool // only planned stops are injected and no call may end as "may have run"
	repairing       bool
	slowRestartEnd  time.Duration // when the last slow restart ends
	slowSyncTime    time.Duration // longest extra time of a sync during it
	slowLeaderSeen  bool          // whether the control group had a leader during it
	loadEnd         time.Duration
	stepsAtRecovery []uint64 // the trainers' steps at the start of the recovery check
	recovered       []bool   // whether the table change was in force, then whether the call through each gateway ran
}

func newFleet(w *world, scenario *Scenario) *fleet {
	f := &fleet{world: w, zones: []string{"east-a", "east-b", "west-a"}, lastHostID: hostCount, loadEnd: scenario.Length, plannedOnly: scenario.plannedOnly, noExpiry: scenario.noExpiry}
	for id := uint64(1); id <= hostCount; id++ {
		f.founders.Voters = append(f.founders.Voters, id)
	}
	for i := range hostCount {
		f.newHost(uint64(i)+1, f.zones[i%len(f.zones)], f.founders)
	}
	for i := range gatewayCount {
		f.newGateway(i+1, f.zones[i%len(f.zones)])
	}
	for i := range backendCount {
		f.newBackend(i+1, f.zones[i%len(f.zones)])
	}
	for i := range callerCount {
		f.newCaller(i+1, f.zones[i%len(f.zones)])
	}
	for i := range operatorCount {
		f.newOperator(i+1, f.zones[i%len(f.zones)], scenario.meanChangeInterval())
	}
	for i := range coordinatorCount {
		f.newCoordinator(i+1, f.zones[i%len(f.zones)])
	}
	for i := range engineCount {
		f.newEngine(i+1, f.zones[i%len(f.zones)])
	}
	for i := range trainerCount {
		f.newTrainer(i+1, f.zones[i%len(f.zones)])
	}
	f.repairProcess = w.newProcess("repairer", f.zones[0])
	f.repairProcess.start()
	return f
}

// launchAll starts all processes. The first operator writes the initial table, then the load begins.
func (f *fleet) launchAll() {
	for _, h := range f.hosts {
		h.launch()
	}
	for _, b := range f.backends {
		b.launch()
	}
	for _, g := range f.gateways {
		g.launch()
	}
	for _, c := range f.coordinators {
		c.launch()
	}
	for _, e := range f.engines {
		e.launch()
	}
	f.operators[0].start()
	f.operators[0].client = f.newClient(f.operators[0].process)
	f.world.after(setupTime/2, func() { f.operators[0].sendChange(f.firstTable(), changeAttempts) })
	f.world.after(setupTime, func() {
		for _, o := range f.operators {
			o.launch()
		}
		for _, c := range f.callers {
			c.launch()
		}
		for _, t := range f.trainers {
			t.launch()
		}
	})
}

// setupTime is the time between the start of a fleet and the start of load and faults.
const setupTime = 4 * time.Second

const setupChange = "setup"

func (f *fleet) firstTable() *wire.TableChange {
	change := &wire.TableChange{ChangeId: setupChange, Operator: "setup"}
	set := func(row, column, value string) {
		change.Cells = append(change.Cells, &wire.CellChange{Row: row, Column: column, Value: value})
	}
	set(applicationPool, table.ColumnKind, string(table.Pool))
	set(applicationPool, table.ColumnService, string(table.Application))
	set(applicationPool, table.ColumnQueueLimit, "300")
	set(applicationPool, table.ColumnMaxInFlight, "100")
	for i, b := range f.backends {
		set(b.name, table.ColumnKind, string(table.Backend))
		set(b.name, table.ColumnPool, applicationPool)
		set(b.name, table.ColumnAddress, fmt.Sprintf("10.0.0.%d:80", i+1))
		set(b.name, table.ColumnZone, b.zone)
		set(b.name, table.ColumnMaxInFlight, strconv.Itoa(100))
	}
	set(modelPool, table.ColumnKind, string(table.Pool))
	set(modelPool, table.ColumnService, string(table.Engine))
	set(modelPool, table.ColumnStalenessBound, strconv.Itoa(initialStalenessBound))
	return change
}

// find returns the first element for which matches is true, or nil.
func find[T any](elements []*T, matches func(*T) bool) *T {
	if position := slices.IndexFunc(elements, matches); position >= 0 {
		return elements[position]
	}
	return nil
}

func (f *fleet) hostByID(id uint64) *host {
	return find(f.hosts, func(h *host) bool { return h.id == id })
}

func (f *fleet) hostByName(name string) *host {
	return find(f.hosts, func(h *host) bool { return h.name == name })
}

func (f *fleet) backendByName(name string) *backend {
	return find(f.backends, func(b *backend) bool { return b.name == name })
}

func (f *fleet) engineByName(name string) *modelEngine {
	return find(f.engines, func(e *modelEngine) bool { return e.name == name })
}

// processes returns all processes that faults can hit.
func (f *fleet) processes() []*process {
	var all []*process
	for _, h := range f.hosts {
		if !h.replaced {
			all = append(all, h.process)
		}
	}
	for _, g := range f.gateways {
		all = append(all, g.process)
	}
	for _, b := range f.backends {
		all = append(all, b.process)
	}
	for _, c := range f.coordinators {
		all = append(all, c.process)
	}
	for _, e := range f.engines {
		all = append(all, e.process)
	}
	for _, t := range f.trainers {
		all = append(all, t.process)
	}
	return all
}

func (f *fleet) processesIn(zone string) []*process {
	var inside []*process
	for _, p := range f.processes() {
		if p.zone == zone {
			inside = append(inside, p)
		}
	}
	return inside
}

func (f *fleet) randomProcess() *process {
	all := f.processes()
	return all[f.world.random.Intn(len(all))]
}

func (f *fleet) randomHost() *host {
	var present []*host
	for _, h := range f.hosts {
		if !h.replaced {
			present = append(present, h)
		}
	}
	return present[f.world.random.Intn(len(present))]
}

func (f *fleet) randomGateway() *gateway { return f.gateways[f.world.random.Intn(len(f.gateways))] }

func (f *fleet) randomEngine() *modelEngine { return f.engines[f.world.random.Intn(len(f.engines))] }

func (f *fleet) randomCoordinator() *coordinator {
	return f.coordinators[f.world.random.Intn(len(f.coordinators))]
}

func (f *fleet) randomTrainer() *trainer { return f.trainers[f.world.random.Intn(len(f.trainers))] }

func (f *fleet) randomBackend() *backend { return f.backends[f.world.random.Intn(len(f.backends))] }

// launch starts a process of any kind unless it is up.
func (f *fleet) launch(p *process) {
	for _, h := range f.hosts {
		if h.process == p && !h.identityRejected {
			h.launch()
		}
	}
	for _, g := range f.gateways {
		if g.process == p {
			g.launch()
		}
	}
	for _, b := range f.backends {
		if b.process == p {
			b.launch()
		}
	}
	f.launchRollouts(p)
}

func (f *fleet) launchRollouts(p *process) {
	for _, c := range f.coordinators {
		if c.process == p {
			c.launch()
		}
	}
	for _, e := range f.engines {
		if e.process == p {
			e.launch()
		}
	}
	for _, t := range f.trainers {
		if t.process == p {
			t.launch()
		}
	}
}

// heal ends all faults and starts the processes that are down.
func (f *fleet) heal() {
	f.world.tracef("fleet", "all faults end")
	f.world.network.heal()
	for _, h := range f.hosts {
		h.disk.full, h.disk.failNext, h.disk.tearNext, h.disk.extraSyncTime = false, false, false, 0
	}
	for _, p := range f.processes() {
		p.eventsUntilDeath = 0
		p.resume(p.epoch)
		f.launch(p)
	}
}
