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

// unreadable wraps a node's groups and makes reads of the applied table fail or block, as when the host's loop does not
// answer in time.
type unreadable struct {
	Replicas
	rejections atomic.Int64 // number of table reads that are still to fail
	blocked    atomic.Bool  // whether table reads get no answer
}

// LocalQuery implements Replicas.
func (u *unreadable) LocalQuery(ctx context.Context, group uint32, query *wire.Query) (*wire.View, error) {
	if query.GetTable() == nil {
		return u.Replicas.LocalQuery(ctx, group, query)
	}
	if u.rejections.Load() > 0 && u.rejections.Add(-1) >= 0 {
		return nil, consensus.ErrOverloaded
	}
	if u.blocked.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return u.Replicas.LocalQuery(ctx, group, query)
}

// manyRejections is more than the number of reads in any test.
const manyRejections = 1 << 40

// startUnreadableCluster starts a cluster and returns the wrappers of its nodes' groups, by position.
func startUnreadableCluster(t *testing.T) (*cluster, []*unreadable) {
	t.Helper()
	nodes := make([]*unreadable, clusterNodes)
	c := startWrappedCluster(t, func(position int, replicas Replicas) Replicas {
		nodes[position] = &unreadable{Replicas: replicas}
		return nodes[position]
	})
	return c, nodes
}

// TestFailedTableReadDelaysNoChange fails the leader's table read once, right after a change was committed. Without a
// retry the change came into force nowhere until something else changed.
func TestFailedTableReadDelaysNoChange(t *testing.T) {
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
		t.Fatalf("no read failed, %d failures were left", left)
	}
}

// TestLeaderThatCannotReadChangeRenewsNoOldLease blocks the leader's table reads after a change. While the leader
// cannot read the changed table, it must not renew leases on the previous version beyond the grace period.
func TestLeaderThatCannotReadChangeRenewsNoOldLease(t *testing.T) {
	c, nodes := startUnreadableCluster(t)
	leader := c.leader()
	client, session := c.client(controlclient.Config{}), c.session("gateway", nil)
	base, _ := mustAccept(t, client, poolChange("base", 0, "1"), true)
	nodes[leader].blocked.Store(true)
	version, _ := mustAccept(t, client, weightChange("next", base, "2"), false)
	eventually(t, "the lease on the previous table to end", func() bool {
		admitted, ok := session.Admit()
		return !ok || admitted == version
	})
	nodes[leader].blocked.Store(false)
	eventually(t, "a lease on the new table", func() bool {
		admitted, ok := session.Admit()
		return ok && admitted == version
	})
}

// TestNewLeaderReadsTableBeforeGranting guards against a new leader that could not read its table and knows an older
// version or none. Such a leader granted leases on that version and considered the group to be new.
func TestNewLeaderReadsTableBeforeGranting(t *testing.T) {
	c, nodes := startUnreadableCluster(t)
	first := c.leader()
	client := c.client(controlclient.Config{})
	base, _ := mustAccept(t, client, poolChange("base", 0, "1"), true)
	for position := range nodes {
		eventually(t, "the first table at each node", func() bool { return c.servers[position].publisher.table.version() == base })
		if position != first {
			nodes[position].rejections.Store(manyRejections)
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
			t.Errorf("a lease was granted on version %d after version %d was in force", admitted, version)
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

// TestRestartedLeaderReadsTableBeforeGranting restarts all nodes, which cannot read their state at first. A leader
// among them considered the group to be one without a table, for which the level rises at once, and granted leases.
func TestRestartedLeaderReadsTableBeforeGranting(t *testing.T) {
	c, nodes := startUnreadableCluster(t)
	c.leader()
	client := c.client(controlclient.Config{})
	base, _ := mustAccept(t, client, poolChange("base", 0, "1"), true)
	for position := range nodes {
		c.kill(position)
	}
	for position := range nodes {
		c.startWith(position, func() { nodes[position].rejections.Store(manyRejections) })
	}
	leader := c.leader()
	eventually(t, "some reads of the new leader", func() bool { return manyRejections-nodes[leader].rejections.Load() > 5 })
	if version, grants := c.servers[leader].leases.grantedVersion(); grants {
		t.Errorf("the leader grants leases on version %d before it has read its table", version)
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
