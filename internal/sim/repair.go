package sim

import (
	"slices"
	"time"

	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const repairInterval = 200 * time.Millisecond

// repair replaces a lost machine by a new one, group by group, in the order of `member replace`: add a learner,
// promote it, remove the old node.
type repair struct {
	fleet       *fleet
	old         *host
	replacement *host
	client      *client
	loseAnother bool // another machine is killed during the repair
}

// replaceMachine removes a machine for good and begins to replace it. It returns false if another repair is in
// progress or the machine has already been replaced.
func (f *fleet) replaceMachine(h *host, loseAnother bool) bool {
	if f.repairing || h.replaced {
		return false
	}
	f.repairing = true
	h.die()
	h.replaced = true
	f.lastHostID++
	replacement := f.newHost(f.lastHostID, h.zone, raft.Configuration{})
	replacement.launch()
	r := &repair{fleet: f, old: h, replacement: replacement, client: f.newClient(f.repairProcess), loseAnother: loseAnother}
	f.world.after(repairInterval, func() { r.step(0) })
	return true
}

// step makes the next membership change that a group needs, and goes on to the next group when it needs none.
func (r *repair) step(groupID uint32) {
	if groupID == groupCount {
		r.fleet.repairing = false
		r.fleet.world.tracef("repair", "node %d has taken node %d's place", r.replacement.id, r.old.id)
		return
	}
	continueLater := func() { r.client.after(repairInterval, func() { r.step(groupID) }) }
	configuration, ok := r.fleet.leaderConfiguration(groupID)
	if !ok {
		continueLater()
		return
	}
	if !r.replacement.up {
		r.replacement.launch()
	}
	kind, node := wire.GroupChangeKind_GROUP_CHANGE_KIND_REMOVE, r.old.id
	switch {
	case !configuration.IsLearner(r.replacement.id) && !configuration.IsVoter(r.replacement.id):
		kind, node = wire.GroupChangeKind_GROUP_CHANGE_KIND_ADD_LEARNER, r.replacement.id
	case configuration.IsLearner(r.replacement.id):
		kind, node = wire.GroupChangeKind_GROUP_CHANGE_KIND_PROMOTE, r.replacement.id
		r.killAnother()
	case !slices.Contains(configuration.Voters, r.old.id):
		r.step(groupID + 1)
		return
	}
	r.fleet.world.tracef("repair", "group %d: %v of node %d", groupID, kind, node)
	request := &wire.ExecuteRequest{Group: groupID, Change: &wire.GroupChange{Kind: kind, Node: node}}
	r.client.execute(request, time.Second, func(*wire.ExecuteReply) { continueLater() })
}

// killAnother kills another machine, once, while the new one is catching up or right after.
func (r *repair) killAnother() {
	if !r.loseAnother {
		return
	}
	r.loseAnother = false
	f := r.fleet
	f.world.after(f.world.randomDuration(0, time.Second), func() {
		for _, h := range f.hosts {
			if h != r.replacement && !h.replaced && h.up {
				f.kill(h.process)
				return
			}
		}
	})
}

// leaderConfiguration returns a group's membership as its leader has it; false when no running node leads the group.
func (f *fleet) leaderConfiguration(groupID uint32) (raft.Configuration, bool) {
	var best raft.Status
	for _, h := range f.hosts {
		if !h.up || h.paused {
			continue
		}
		if status := h.groups[groupID].node.Status(); status.Role == raft.Leader && status.Term > best.Term {
			best = status
		}
	}
	return best.Configuration, best.Term > 0
}
