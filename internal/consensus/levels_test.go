package consensus

import (
	"errors"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/tamarindring/tamarindring/internal/compat"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// TestNodeOfAnOlderBuildIsRefused: once a level is in force, a node that does not support it must stop with an error
// that says so, and the other nodes must continue.
func TestNodeOfAnOlderBuildIsRefused(t *testing.T) {
	var agreed atomic.Uint32
	newer := func(config *Config) {
		config.SupportedLevel = compat.Shares
		config.LevelInForce = func() compat.Level { return compat.Level(agreed.Load()) }
	}
	c := newCluster(t, 3, newer)
	c.commit(0, "first")
	for _, node := range c.nodes {
		for other := range c.nodes {
			c.wait("the nodes know what they speak", func() bool {
				level, known := node.host.PeerLevel(other)
				return known && level == compat.Shares
			})
		}
	}
	agreed.Store(uint32(compat.Shares))
	late := c.nodes[3]
	late.kill()
	late.change = nil
	late.start()
	err := <-late.finished
	var refused *ErrRefused
	if !errors.As(err, &refused) || !strings.Contains(err.Error(), "it needs a newer build") {
		t.Errorf("the node ended with %v, want *ErrRefused that asks for a newer build", err)
	}
	late.close()
	c.commit(0, "second")
}

// unreadableEntryJournal is a journal that cannot read one command.
type unreadableEntryJournal struct {
	journal
	unknown string
}

func (j *unreadableEntryJournal) CheckReadable(command *wire.Command) error {
	if command.RequestId == j.unknown {
		return errors.New("written by a newer build")
	}
	return nil
}

// TestUnreadableEntryStopsNode guards against a node that skips an entry that it cannot read: its state would then
// differ from that of the other nodes.
func TestUnreadableEntryStopsNode(t *testing.T) {
	c := newCluster(t, 3, func(config *Config) {
		if config.NodeID == 3 {
			config.NewStateMachine = func(uint32) StateMachine { return &unreadableEntryJournal{unknown: "newer"} }
		}
	})
	c.commit(0, "known")
	older := c.nodes[3]
	rest := []*testNode{c.nodes[1], c.nodes[2]}
	c.wait("the newer command is committed", func() bool {
		_, _, err := c.waitForLeaderAmong(0, c.running()...).host.Propose(t.Context(), 0, newCommand("newer"))
		return err == nil
	})
	if err := <-older.finished; err == nil || !strings.Contains(err.Error(), "written by a newer build") {
		t.Errorf("the node ended with %v, want an error about a newer build", err)
	}
	older.close()
	c.waitForLeaderAmong(0, rest...)
	c.commit(0, "last")
}
