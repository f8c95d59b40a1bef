package consensus

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/raft"
)

// slowClusterTimeout limits the wait for a leader. Groups without a leader after that time had none after twice the
// time either.
const slowClusterTimeout = 60 * time.Second

// waitForLeader polls the local status of the nodes, because a confirmed read would itself need several syncs.
func (c *testCluster) waitForLeader(group uint32) {
	c.t.Helper()
	deadline := time.Now().Add(slowClusterTimeout)
	for time.Now().Before(deadline) {
		for _, node := range c.running() {
			if status, err := node.host.Status(c.t.Context(), group); err == nil && status.Role == raft.Leader {
				return
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	for _, node := range c.running() {
		if status, err := node.host.Status(c.t.Context(), group); err == nil {
			c.t.Logf("node %d: %s in term %d", node.id, status.Role, status.Term)
		}
	}
	c.t.Fatalf("group %d has no leader", group)
}

// TestSlowDisksElectALeader guards against elections that never end on slow disks, because each campaign is overtaken
// by the next one before its votes are on the disks. With each commit of the store delayed by 100 ms, five nodes that
// were restarted together had no leader within 30 s and reached term 147; with 450 ms they reached term 33.
func TestSlowDisksElectALeader(t *testing.T) {
	for _, delay := range []time.Duration{100 * time.Millisecond, 450 * time.Millisecond} {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			t.Parallel()
			var commitDelay atomic.Int64
			c := newCluster(t, 5, func(config *Config) { config.Tick = DefaultTick })
			c.commit(0, "before")
			for _, node := range c.running() {
				node.kill()
				node.hooks.BeforeCommit = func() error {
					time.Sleep(time.Duration(commitDelay.Load()))
					return nil
				}
			}
			commitDelay.Store(int64(delay))
			for _, peer := range c.peers {
				c.nodes[peer.ID].start()
			}
			for _, group := range c.groups {
				c.waitForLeader(group)
			}
		})
	}
}
