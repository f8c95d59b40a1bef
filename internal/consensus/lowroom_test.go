package consensus

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/storage"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// TestGroupsServeWithLowDiskSpace guards against groups that stop serving when all disks fill up. The disks of all
// control nodes fill at the same time, since each holds the same batch jobs: all four logged "disk_changed full=true"
// within half a second. Below the headroom nodes dropped every entry of another node, including the first entry of a
// new leader, without which the leader confirms no read and grants no lease. The loss of one leader therefore left
// every group without service for good. The table, which needs almost no space, could not be changed either.
func TestGroupsServeWithLowDiskSpace(t *testing.T) {
	const reserved, ledger = 0, 1
	const headroom = 256 << 20 // package storage's default
	var free atomic.Uint64
	free.Store(2 * headroom)
	c := newCluster(t, 0, nil)
	for id := uint64(1); id <= 3; id++ {
		node := c.add(id, func(config *Config) { config.Reserved = func(group uint32) bool { return group == reserved } })
		node.hooks = storage.Hooks{FreeBytes: func() (uint64, error) { return free.Load(), nil }}
	}
	for _, peer := range c.peers {
		c.nodes[peer.ID].start()
	}
	c.commit(reserved, "before")
	c.commit(ledger, "before")
	isRejected := func(group uint32) func() bool {
		return func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second) // the node may no longer lead
			defer cancel()
			_, _, err := c.leader(group).host.Propose(ctx, group, newCommand("refused"))
			return errors.Is(err, ErrDiskFull)
		}
	}
	changeLeaders := func(name string) {
		c.leader(ledger).kill()
		for _, group := range []uint32{reserved, ledger} {
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			view, err := c.leader(group).host.Query(ctx, group, &wire.Query{})
			cancel()
			if err != nil || !slices.Contains(decodeList(t, view), "before") {
				t.Errorf("%s: group %d returned %v and error %v, want a list with the command before", name, group, view, err)
			}
		}
		for _, node := range c.nodes {
			if node.host == nil {
				node.start()
			}
		}
	}
	free.Store(headroom * 3 / 4)
	c.wait("new commands of the ledger group are rejected", isRejected(ledger))
	for range 2 {
		changeLeaders("below the headroom")
		c.commit(reserved, "a change of the table")
	}
	free.Store(headroom / 4)
	c.wait("changes of the table are rejected too", isRejected(reserved))
	changeLeaders("below half the headroom")
	free.Store(2 * headroom)
	c.commit(ledger, "after")
}

// TestHasNoCommands: with less than half the headroom a node accepts no commands, but still a new leader's first
// entry and changes of the voters, which are needed to keep all groups available.
func TestHasNoCommands(t *testing.T) {
	command := raft.Entry{Kind: raft.EntryCommand, Data: []byte("work")}
	first := raft.Entry{Kind: raft.EntryCommand}
	voters := raft.Entry{Kind: raft.EntryConfiguration, Data: []byte("voters")}
	for _, test := range []struct {
		name    string
		entries []raft.Entry
		want    bool
	}{
		{"none", nil, true},
		{"a leader's first entry and new voters", []raft.Entry{first, voters}, true},
		{"a command", []raft.Entry{first, command}, false},
	} {
		if got := hasNoCommands(test.entries); got != test.want {
			t.Errorf("%s: hasNoCommands returned %v, want the opposite", test.name, got)
		}
	}
}
