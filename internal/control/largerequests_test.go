package control

import (
	"strings"
	"testing"

	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// TestLargeRequestsLeaveLargeBuffers guards against a control node whose memory grows with the number of gateways that
// have submitted a large job: after a large request and some small ones, each connection holds a small buffer.
func TestLargeRequestsLeaveLargeBuffers(t *testing.T) {
	const (
		connections  = 32
		requestBytes = 1 << 20
		smallQueries = 16       // more than drpc counts before it drops a large buffer
		mostEach     = 96 << 10 // bytes of heap for a connection with its client, of which the reader holds up to two frames
	)
	c := startCluster(t)
	query := func(client *controlclient.Client, job string) {
		t.Helper()
		if _, err := client.Query(testContext(t), ledger, &wire.Query{Kind: &wire.Query_JobItem{JobItem: &wire.JobItemQuery{Job: job}}}); err != nil {
			t.Fatal(err)
		}
	}
	var clients []*controlclient.Client
	for range connections {
		client := c.client(controlclient.Config{})
		query(client, "small")
		clients = append(clients, client)
	}
	before := liveHeapBytes()
	for _, client := range clients {
		query(client, strings.Repeat("x", requestBytes))
		for range smallQueries {
			query(client, "small")
		}
	}
	if grown := int64(liveHeapBytes()) - int64(before); grown > connections*mostEach {
		t.Errorf("%d connections hold %d KB each after a large request, want at most %d KB", connections, grown/connections>>10, mostEach>>10)
	}
}
