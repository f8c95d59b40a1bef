package control

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"
)

// TestNodeCutOffFromTheQuorumIsNotReady kills the two other nodes, once for a surviving leader and once for a surviving
// follower. The survivor must report that it is not ready until a node is back.
func TestNodeCutOffFromTheQuorumIsNotReady(t *testing.T) {
	c := startCluster(t)
	leader := c.leader()
	for position, server := range c.servers {
		eventually(t, "all nodes to be ready", func() bool { return server.Ready(testContext(t)) == nil })
		if position == leader {
			requireMetric(t, server, "tamarindring_control_lease_holders")
		}
	}
	follower := (leader + 1) % len(c.servers)
	c.kill((leader + 2) % len(c.servers))
	for _, dead := range []int{leader, follower} {
		survivor := leader + follower - dead
		c.kill(dead)
		eventually(t, "the survivor to say that it is not ready", func() bool {
			return c.servers[survivor].Ready(testContext(t)) != nil
		})
		c.start(dead, nil)
		eventually(t, "the survivor to be ready again", func() bool {
			return c.servers[survivor].Ready(testContext(t)) == nil
		})
	}
}

// requireMetric fails the test unless a scrape of the server contains the metric.
func requireMetric(t *testing.T, server *Server, name string) {
	t.Helper()
	registry := prometheus.NewRegistry()
	registry.MustRegister(server.Collector())
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() == name {
			return
		}
	}
	t.Fatalf("the scrape contains no metric %s", name)
}

func TestDrainingNodeIsNotReady(t *testing.T) {
	c := startCluster(t)
	server := c.servers[c.leader()]
	server.draining.Store(true)
	if err := server.Ready(testContext(t)); err != errDraining {
		t.Fatalf("got %v, want errDraining", err)
	}
}
