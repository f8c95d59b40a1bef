package control

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/consensus"
	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// unreadable is a node's groups whose applied table can't be read for a while, as when the loop is not answered in time.
type unreadable struct {
	Replicas
	rejections atomic.Int64 // reads of the table that are still to fail
	holds      atomic.Bool  // reads of the table get no answer
}

// LocalQuery implements Replicas.
func (u *unreadable) LocalQuery(ctx context.Context, group uint32, query *wire.Query) (*wire.View, error) {
	if query.GetTable() == nil {
		return u.Replicas.LocalQuery(ctx, group, query)
	}
	if u.rejections.Load() > 0 && u.rejections.Add(-1) >= 0 {
		return nil, consensus.ErrOverloaded
	}
	if u.holds.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return u.Replicas.LocalQuery(ctx, group, query)
}

// manyRefusals outlast any test.
const manyRefusals = 1 << 40

// startUnreadableCluster is a cluster whose nodes' tables can be made unreadable, by position.
func startUnreadableCluster(t *testing.T) (*cluster, []*unreadable) {
	t.Helper()
	nodes := make([]*unreadable, clusterNodes)
	c := startWrappedCluster(t, func(position int, replicas Replicas) Replicas {
		nodes[position] = &unreadable{Replicas: replicas}
		return nodes[position]
	})
	return c, nodes
}

// TestFailedReadOfTheTableHoldsUpNoChange: the leader's read of its table fails once, right after a change was committed. The change
// came into force nowhere until something else changed.
func TestFailedReadOfTheTableHoldsUpNoChange(t *testing.T) {
	c, nodes := startUnreadableCluster(t)
	leader := c.leader()
	client, session := c.client(controlclient.Config{}), c.session("gateway", nil)
	base, _ := mustAccept(t, client, poolChange("base", 0, "1"), true)
	nodes[leader].rejections.Store(1)
	version, _ := mustAccept(t, client, weightChange("next", base, "2"), false)
	eventually(t, "the change in force", func() bool {
		admitted, ok := session.Admit()
		return ok && admitted == version
	})
	if left := nodes[leader].rejections.Load(); left > 0 {
		t.Fatalf("no read failed; %d were to", left)
	}
}

// TestNoLeaseOutlivesAChangeThatTheLeaderCannotRead: as long as the leader can't read the changed table, nobody is granted a lease on the one
// before beyond the grace.
func TestNoLeaseOutlivesAChangeThatTheLeaderCannotRead(t *testing.T) {
	c, nodes := startUnreadableCluster(t)
	leader := c.leader()
	client, session := c.client(controlclient.Config{}), c.session("gateway", nil)
	base, _ := mustAccept(t, client, poolChange("base", 0, "1"), true)
	nodes[leader].holds.Store(true)
	version, _ := mustAccept(t, client, weightChange("next", base, "2"), false)
	eventually(t, "the end of the lease on the table before", func() bool {
		admitted, ok := session.Admit()
		return !ok || admitted == version
	})
	nodes[leader].holds.Store(false)
	eventually(t, "a lease on the new table", func() bool {
		admitted, ok := session.Admit()
		return ok && admitted == version
	})
}

// TestNewLeaderGrantsNothingBeforeItHasReadItsTable: a node that leads after it could not read its table knows an earlier version, or
// none. It granted leases by that, and took the group for a new one.
func TestNewLeaderGrantsNothingBeforeItHasReadItsTable(t *testing.T) {
	c, nodes := startUnreadableCluster(t)
	first := c.leader()
	client := c.client(controlclient.Config{})
	base, _ := mustAccept(t, client, poolChange("base", 0, "1"), true)
	for position := range nodes {
		eventually(t, "the first table at each node", func() bool { return c.servers[position].publisher.table.version() == base })
		if position != first {
			nodes[position].rejections.Store(manyRefusals)
		}
	}
	version, _ := mustAccept(t, client, weightChange("next", base, "2"), true)
	c.kill(first)
	c.leader()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	late := c.client(controlclient.Config{Member: gatewayMember("late")})
	if session, err := late.StartSession(ctx); err == nil {
		if admitted, ok := session.Admit(); ok && admitted < version {
			t.Errorf("a lease was granted on version %d, after %d was in force", admitted, version)
		}
		session.Close()
	}
	for _, one := range nodes {
		one.rejections.Store(0)
	}
	session := c.session("later", nil)
	eventually(t, "a lease on the newest table", func() bool {
		admitted, ok := session.Admit()
		return ok && admitted == version
	})
}

// TestLeaderThatHasReadNothingGrantsNothing: nodes that start again can't read their state at first. The leader among them took the
// group for one without a table, which raises the level at once, and granted leases.
func TestLeaderThatHasReadNothingGrantsNothing(t *testing.T) {
	c, nodes := startUnreadableCluster(t)
	c.leader()
	client := c.client(controlclient.Config{})
	base, _ := mustAccept(t, client, poolChange("base", 0, "1"), true)
	for position := range nodes {
		c.kill(position)
	}
	for position := range nodes {
		c.startWith(position, func() { nodes[position].rejections.Store(manyRefusals) })
	}
	leader := c.leader()
	eventually(t, "some reads of the new leader", func() bool { return manyRefusals-nodes[leader].rejections.Load() > 5 })
	if version, grants := c.servers[leader].leases.grantedVersion(); grants {
		t.Errorf("the leader grants leases by version %d, and has read nothing", version)
	}
	for _, one := range nodes {
		one.rejections.Store(0)
	}
	session := c.session("gateway", nil)
	eventually(t, "a lease on the newest table", func() bool {
		admitted, ok := session.Admit()
		return ok && admitted == base
	})
}
