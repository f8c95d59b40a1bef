package batchrun

import (
	"github.com/tamarindring/tamarindring/internal/batchrun/schedule"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/tenant"
)

// applyTable updates the scheduler's routes, tenant weights and replicas from a new table. It terminates items whose
// route the table no longer has, and stops runs at replicas that have restarted.
func (t *termRunner) applyTable(view *table.View) {
	t.view = view
	t.tenants = tenant.NewIndex(view, t.tenants)
	pools := map[string]bool{}
	for id, openJob := range t.jobs {
		t.updateWeight(id, openJob)
		for name, entry := range openJob.items {
			if !entry.open {
				continue
			}
			key := schedule.Key{Job: id, Item: name}
			if t.rewardCalls[key] != nil {
				continue // its text is complete; only its reward call still needs a route
			}
			route, found := t.config.Route(view, entry.wire.GetHost(), entry.wire.GetPath())
			switch {
			case view.Version() < openJob.submit.GetTableVersion():
				t.scheduler.Route(key, nil) // the job was submitted under a newer table, which may have its route
				continue
			case !found:
				t.terminateUnrouted(key)
				continue
			}
			t.scheduler.Route(key, route.Pools)
			for _, share := range route.Pools {
				pools[share.Pool] = true
			}
		}
	}
	t.stopRunsOfEndedStarts(view)
	t.applyReplicas(view, pools)
}

// applyReplicas updates the scheduler with the replicas of the pools whose rows have changed since the last call.
func (t *termRunner) applyReplicas(view *table.View, pools map[string]bool) {
	rows := make(map[string][]*table.Row, len(pools))
	for pool := range pools {
		rows[pool] = view.Backends(pool)
	}
	var changed []schedule.Replica
	var removed []string
	for _, pool := range table.PoolsOf(t.replicaRows, rows) {
		gone, added := table.DiffRows(t.replicaRows[pool], rows[pool])
		for _, row := range gone {
			removed = append(removed, row.Instance)
		}
		changed = append(changed, replicasOf(pool, added)...)
	}
	t.replicaRows = rows
	t.setServedOf(t.scheduler.ChangeReplicas(changed, removed))
	t.runner.replicaRows.Store(&rows)
}

// updateWeight passes the weight of a job's tenant to the scheduler. 0 stands for the default weight, for a tenant that
// the table does not contain.
func (t *termRunner) updateWeight(id string, openJob *job) {
	weight := uint32(0)
	if owner := t.tenants.Find(openJob.submit.GetTenant()); owner != nil {
		weight = owner.Weight
	}
	t.scheduler.SetWeight(id, weight)
}

// stopRunsOfEndedStarts stops the runs at replicas that have restarted according to the table. Behind a network
// partition no connection breaks to show it. The items resume at other replicas.
func (t *termRunner) stopRunsOfEndedStarts(view *table.View) {
	for _, running := range t.calls {
		if view.HasRestarted(running.Instance) {
			running.stopReason = stopRestarted
			running.cancel()
		}
	}
}

// terminateUnrouted terminates an item whose route the table no longer has.
func (t *termRunner) terminateUnrouted(key schedule.Key) {
	if t.scheduler.Terminate(key) {
		t.stopCall(key)
		t.terminate(key, whyNoRoute)
	}
}

// replicasOf returns the replicas among the rows of a pool that can take new items.
func replicasOf(pool string, rows []*table.Row) []schedule.Replica {
	var replicas []schedule.Replica
	for _, row := range rows {
		if slots := slotsOf(row); row.Serving() && slots > 0 {
			replicas = append(replicas, schedule.Replica{Instance: row.Instance, Address: row.Address, Pool: pool, Slots: slots, Memory: row.KVCapacity})
		}
	}
	return replicas
}

// slotsOf returns how many items may run at a back end at a time. It is limited by the share of the slots for batch
// work, and by the slots that are reserved for live requests.
func slotsOf(row *table.Row) int {
	share := uint64(row.MaxInFlight) * uint64(row.RolloutShare) / 100
	left := uint64(row.MaxInFlight) - min(uint64(row.MaxInFlight), uint64(row.LiveReserve))
	return int(min(share, left))
}
