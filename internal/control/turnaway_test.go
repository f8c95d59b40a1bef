package control

import (
	"net"
	"testing"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/tamarindring/tamarindring/internal/compat"
	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// TestNodeWithoutLeaderReportsLeaderUnknown asks an empty node that belongs to no group for a lease. The node must
// answer that it knows no leader; without an answer the holder would wait in vain.
func TestNodeWithoutLeaderReportsLeaderUnknown(t *testing.T) {
	c := startSeeded(t)
	c.awaitVoters(0, 1, 2)
	for position := range 3 {
		c.kill(position)
	}
	c.wipe(1)
	c.open(1, listen(t, c.seeds[1]), false)
	stream := openSession(t, c.seeds[1])
	member := gatewayMember("g")
	member.Incarnation = 1
	if err := stream.Send(&wire.SessionRequest{Member: member, Sequence: 1}); err != nil {
		t.Fatal(err)
	}
	reply, err := stream.Recv()
	if err != nil || !reply.LeaderUnknown || reply.Granted {
		t.Fatalf("got %v (%v), want the leader to be unknown", reply, err)
	}
}

func openSession(t *testing.T, address string) wire.DRPCControl_SessionClient {
	t.Helper()
	transport, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	conn := drpcconn.New(transport)
	t.Cleanup(func() { _ = conn.Close() })
	stream, err := wire.NewDRPCControlClient(conn).Session(testContext(t))
	if err != nil {
		t.Fatal(err)
	}
	return stream
}

// TestRenewalDuringARegistrationIsAnswered opens a stream while a command about its member is in progress on behalf of
// an earlier stream. The member must get its lease without a second renewal.
func TestRenewalDuringARegistrationIsAnswered(t *testing.T) {
	c := startCluster(t)
	if _, err := c.client(controlclient.Config{}).Query(testContext(t), controlGroup,
		&wire.Query{Kind: &wire.Query_Table{Table: &wire.TableQuery{}}}); err != nil {
		t.Fatal(err)
	}
	leader := c.leader()
	detector := c.servers[leader].detector
	if !detector.beginRecording("g") {
		t.Fatal("a command is in progress for a member that does not exist")
	}
	stream := openSession(t, c.addresses()[leader])
	member := gatewayMember("g")
	member.Incarnation, member.Speaks = 1, uint32(compat.Newest) // a lower level is rejected once this is in force
	if err := stream.Send(&wire.SessionRequest{Member: member, Sequence: 1}); err != nil {
		t.Fatal(err)
	}
	isDeferred := func() bool {
		detector.mutex.Lock()
		defer detector.mutex.Unlock()
		_, waits := detector.deferred["g"]
		return waits
	}
	for !isDeferred() {
		time.Sleep(time.Millisecond)
	}
	detector.endRecording("g")
	for {
		reply, err := stream.Recv()
		if err != nil {
			t.Fatal(err)
		}
		if reply.Granted && reply.Sequence == 1 {
			return
		}
	}
}
