package sim

import (
	"slices"
	"time"

	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const repairPause = 200 * time.Millisecond

// repair puts a new machine in the place of a lost one, group by group, as `member replace` does: add a
// learner, promote it, remove the old node.
type repair struct {
	fleet  *fleet
	old    *host
	fresh  *host
	client *client
	second bool // another machine is lost meanwhile
}

// replace loses a machine for good and begins to replace it.
func (f *fleet) replace(h *host, second bool) bool {
	if f.repairing || h.replaced {
		return false
	}
	f.repairing = true
	h.die()
	h.replaced = true
	f.nextHost++
	fresh := f.newHost(f.nextHost, h.zone, raft.Configuration{})
	fresh.launch()
	r := &repair{fleet: f, old: h, fresh: fresh, client: f.newClient(f.repairer), second: second}
	f.world.after(repairPause, func() { r.step(0) })
	return true
}

// step makes the next change that some group needs, until none does.
func (r *repair) step(groupID uint32) {
	if groupID == groupCount {
		r.fleet.repairing = false
		r.fleet.world.tracef("repair", "node %d has taken node %d's place", r.fresh.id, r.old.id)
		return
	}
	again := func() { r.client.after(repairPause, func() { r.step(groupID) }) }
	configuration, ok := r.fleet.leaderConfiguration(groupID)
	if !ok {
		again()
		return
	}
	if !r.fresh.up {
		r.fresh.launch()
	}
	kind, node := wire.GroupChangeKind_GROUP_CHANGE_KIND_REMOVE, r.old.id
	switch {
	case !configuration.IsLearner(r.fresh.id) && !configuration.IsVoter(r.fresh.id):
		kind, node = wire.GroupChangeKind_GROUP_CHANGE_KIND_ADD_LEARNER, r.fresh.id
	case configuration.IsLearner(r.fresh.id):
		kind, node = wire.GroupChangeKind_GROUP_CHANGE_KIND_PROMOTE, r.fresh.id
		r.loseSecond()
	case !slices.Contains(configuration.Voters, r.old.id):
		r.step(groupID + 1)
		return
	}
	r.fleet.world.tracef("repair", "group %d: %v of node %d", groupID, kind, node)
	request := &wire.ExecuteRequest{Group: groupID, Change: &wire.GroupChange{Kind: kind, Node: node}}
	r.client.execute(request, time.Second, func(*wire.ExecuteReply) { again() })
}

// loseSecond kills another machine, once, while the new one catches up or right after.
func (r *repair) loseSecond() {
	if !r.second {
		return
	}
	r.second = false
	f := r.fleet
	f.world.after(f.world.between(0, time.Second), func() {
		for _, h := range f.hosts {
			if h != r.fresh && !h.replaced && h.up {
				f.kill(h.process)
				return
			}
		}
	})
}

// leaderConfiguration is a group's membership as its leader has it.
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
