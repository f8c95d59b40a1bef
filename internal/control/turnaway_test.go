package control

import (
	"net"
	"testing"

	"storj.io/drpc/drpcconn"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// TestNodeWithoutALeaderTurnsSessionsAway asks an empty node that knows of no group for a lease: the answer is that
// it knows no leader, not silence.
func TestNodeWithoutALeaderTurnsSessionsAway(t *testing.T) {
	c := startSeeded(t)
	c.awaitVoters(0, 1, 2)
	for position := range 3 {
		c.kill(position)
	}
	c.wipe(1)
	c.open(1, listen(t, c.seeds[1]), false)
	transport, err := net.Dial("tcp", c.seeds[1])
	if err != nil {
		t.Fatal(err)
	}
	conn := drpcconn.New(transport)
	defer conn.Close()
	stream, err := wire.NewDRPCControlClient(conn).Session(testContext(t))
	if err != nil {
		t.Fatal(err)
	}
	member := gatewayMember("g")
	member.Incarnation = 1
	if err := stream.Send(&wire.SessionRequest{Member: member, Sequence: 1}); err != nil {
		t.Fatal(err)
	}
	reply, err := stream.Recv()
	if err != nil || !reply.LeaderUnknown || reply.Granted {
		t.Fatalf("%v (%v)", reply, err)
	}
}
