package weights

import (
	"maps"
	"slices"

	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wave"
)

// reviewReplicas brings the planners and the serving state up to date with the replicas whose rows or reports have changed
// since the last call, and reports whether it created a planner. Its cost is that of the changes.
func (d *Driver) reviewReplicas(view *table.View) (added bool) {
	d.findChangedRows(view)
	for instance := range d.takeMarked() {
		added = d.reviewReplica(view, instance) || added
	}
	d.loadSlots = d.loadSlotsFor(len(d.placed))
	for _, planner := range d.planners {
		planner.SetMaxConcurrentSwaps(d.loadSlots)
	}
	return added
}

// findChangedRows marks the replicas for review whose rows differ from those at the last call.
func (d *Driver) findChangedRows(view *table.View) {
	seen := make(map[string][]*table.Row, len(d.seenRows))
	for _, pool := range view.Pools() {
		seen[pool.Name] = view.Backends(pool.Name)
	}
	var changed []string
	for _, pool := range table.PoolsOf(d.seenRows, seen) {
		removed, added := table.DiffRows(d.seenRows[pool], seen[pool])
		for _, row := range slices.Concat(removed, added) {
			changed = append(changed, row.Instance)
		}
	}
	d.seenRows = seen
	d.markForReview(changed...)
}

// markForReview makes the next reviewReplicas look at replicas.
func (d *Driver) markForReview(instances ...string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, instance := range instances {
		d.toReview[instance] = true
	}
}

// takeMarked returns the replicas that are marked for review, and unmarks them.
func (d *Driver) takeMarked() map[string]bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	changed := d.toReview
	d.toReview = map[string]bool{}
	return changed
}

// reviewReplica brings the planners and the serving state up to date with one replica. It forgets an instance that was
// removed or has restarted, and reports whether it created a planner.
func (d *Driver) reviewReplica(view *table.View, instance string) (added bool) {
	row := view.Backend(instance)
	if view.HasRestarted(instance) || row != nil && row.State == table.Removed {
		d.forget(instance)
	}
	served := d.reportedBy(instance)
	if row == nil || row.State != table.Active {
		d.withdraw(instance, nil)
	}
	if row == nil || len(served) == 0 {
		return false
	}
	d.modelPools[row.Pool] = true
	for model := range served {
		added = d.ensurePlanner(model) || added
	}
	if row.State == table.Active {
		d.place(instance, served)
	}
	return added
}

// reportedBy returns the versions that an instance has last reported, by model.
func (d *Driver) reportedBy(instance string) map[string]uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	models := d.reportedVersions[instance]
	served := make(map[string]uint64, len(models))
	for _, one := range models {
		served[one.Model] = one.Number
	}
	return served
}

// ensurePlanner creates the planner of a model if there is none, and reports whether it did.
func (d *Driver) ensurePlanner(model string) (added bool) {
	if d.planners[model] != nil {
		return false
	}
	d.planners[model] = wave.New(wave.Config{MaxConcurrentSwaps: d.loadSlots, Unstaged: true, OldestFirst: true})
	return true
}

// place makes an active replica available for the orders of the models that it serves.
func (d *Driver) place(instance string, served map[string]uint64) {
	d.withdraw(instance, served)
	d.placed[instance] = slices.Collect(maps.Keys(served))
	now := d.config.Clock()
	for model, number := range served {
		number = max(number, d.loadedVersions[replicaModel{instance, model}])
		d.served.setVersion(model, instance, number)
		d.served.setLoading(model, instance, d.loadingModels[instance] == model)
		d.planners[model].AddReplica(instance)
		if !d.planners[model].Report(now, instance, wave.Report{Version: wave.Version{Number: number}}) {
			d.markForReview(instance) // the report may count once the order in progress has ended
		}
	}
}

// withdraw takes a replica out of the orders of all models but the remaining ones.
func (d *Driver) withdraw(instance string, remaining map[string]uint64) {
	for _, model := range d.placed[instance] {
		if _, remains := remaining[model]; remains {
			continue
		}
		d.planners[model].RemoveReplica(instance)
		d.served.setVersion(model, instance, 0)
	}
	delete(d.placed, instance)
}
