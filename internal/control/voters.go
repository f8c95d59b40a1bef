package control

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/tamarindring/tamarindring/internal/member"
	"github.com/tamarindring/tamarindring/internal/pause"
)

const (
	// votersInterval is how often a group's leader checks the nodes of the group.
	votersInterval = 200 * time.Millisecond
	// maximumCountedGap limits how much of the time between two checks counts as silence. On a shared processor checks
	// are late by up to a second, and a node that was paused itself must not consider all others lost.
	maximumCountedGap = time.Second
	// candidateLifetime is how long a request to join the groups stays valid. Requests are repeated every 0.3 s, or
	// every 1.8 s where a loop runs a second late and has to wait for the slowest node's answer. One lost request must
	// not end the candidacy.
	candidateLifetime = 4 * time.Second
	// voterSilenceLimit is how long a voter can be silent before a node at another address replaces it.
	voterSilenceLimit = 2 * time.Second
	// leavingLifetime is how long a node counts as leaving after it announced a stop. It may be restarting.
	leavingLifetime = 3 * time.Second
	// voterChangeTimeout bounds one membership change of a group.
	voterChangeTimeout = 2 * time.Second
)

// candidate is a node that asks to join the groups.
type candidate struct {
	address string
	askedAt time.Duration
}

// voters holds what the group leaders on this node know about other nodes in addition to raft: which nodes ask to join
// the groups, and which nodes are stopping.
type voters struct {
	server *Server

	mutex      sync.Mutex
	candidates map[uint64]candidate
	leaving    map[uint64]time.Duration // time at which a node announced that it stops
	silent     *silentVoters
}

func newVoters(server *Server) *voters {
	return &voters{server: server, silent: newSilentVoters(server), candidates: make(map[uint64]candidate), leaving: make(map[uint64]time.Duration)}
}

// recordRequest records that a node asks to join the groups. An earlier candidate at the same address is dropped: its
// disk was lost.
func (v *voters) recordRequest(node uint64, address string) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	delete(v.leaving, node)
	maps.DeleteFunc(v.candidates, func(_ uint64, earlier candidate) bool { return earlier.address == address })
	v.candidates[node] = candidate{address: address, askedAt: v.server.config.Clock()}
}

// recordLeaving records that a node is stopping as planned.
func (v *voters) recordLeaving(node uint64) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	delete(v.candidates, node)
	v.leaving[node] = v.server.config.Clock()
}

// isLeaving reports whether a node announced within leavingLifetime that it stops.
func (v *voters) isLeaving(node uint64, now time.Duration) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	saidAt, said := v.leaving[node]
	if said && now-saidAt > leavingLifetime {
		delete(v.leaving, node)
		return false
	}
	return said
}

// recentCandidates lists the nodes whose request to join is still valid, and drops expired requests. Nodes at the
// addresses of retiring members are left out.
func (v *voters) recentCandidates(now time.Duration) []member.GroupNode {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	var nodes []member.GroupNode
	retiring := v.server.retiring()
	for id, asked := range v.candidates {
		if now-asked.askedAt > candidateLifetime {
			delete(v.candidates, id)
			continue
		}
		if !retiring[asked.address] {
			nodes = append(nodes, member.GroupNode{ID: id, Address: asked.address, Standby: isStandby(id)})
		}
	}
	return nodes
}

// run maintains the voters of all groups until ctx ends. The groups run independently, so no group waits for another
// one's change.
func (v *voters) run(ctx context.Context) {
	if v.server.config.Voters == 0 {
		return
	}
	var groups sync.WaitGroup
	for _, group := range v.server.groups() {
		keeper := &groupKeeper{voters: v, server: v.server, group: group}
		groups.Go(func() { pause.Every(ctx, votersInterval, keeper.reconcile) })
	}
	groups.Wait()
}
