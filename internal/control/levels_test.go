package control

import (
	"testing"
	"time"

	"storj.io/drpc/drpcerr"

	"github.com/tamarindring/tamarindring/internal/auth"
	"github.com/tamarindring/tamarindring/internal/compat"
	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/monotonic"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// TestLevelIsAgreedAndTold: a new deployment of one build agrees at once, every process learns the level with its lease, and
// it stays over restarts.
func TestLevelIsAgreedAndTold(t *testing.T) {
	c := startCluster(t)
	session := c.session("gateway-1", nil)
	told := func(session *controlclient.Session) func() bool {
		return func() bool { return session.Level() == compat.Newest }
	}
	eventually(t, "the session to be told of the level", told(session))
	for position := range c.servers {
		eventually(t, "the node to know the level", func() bool { return c.servers[position].levels.agreed() == compat.Newest })
	}
	for position := range c.servers {
		c.kill(position)
	}
	for position := range c.servers {
		c.start(position, nil)
	}
	eventually(t, "the level after a restart", told(c.session("gateway-2", nil)))
}

// olderMember is a gateway as a build before levels registers it.
func olderMember() *wire.Member {
	member := gatewayMember("gateway-old")
	member.Incarnation, member.State = 1, wire.MemberState_MEMBER_STATE_ALIVE
	return member
}

// TestOlderProcessesHoldTheLevelBack: a voter and a member that name no level are of an older build.
// Processes of both builds are served meanwhile.
func TestWhoHasNotToldHoldsTheLevelBack(t *testing.T) {
	c := startTunedCluster(t, func(config *Config) {
		if config.NodeID == 3 {
			config.speaks = func() compat.Level { return compat.Base }
		}
	})
	session := c.session("gateway-new", nil)
	leader := c.leader()
	older := openSession(t, c.addresses()[leader])
	if err := older.Send(&wire.SessionRequest{Member: olderMember(), Sequence: 1}); err != nil {
		t.Fatal(err)
	}
	for granted := false; !granted; {
		reply, err := older.Recv()
		if err != nil {
			t.Fatal(err)
		}
		if granted = reply.Granted; granted && reply.Level != uint32(compat.Base) {
			t.Errorf("the older member is told of %d", reply.Level)
		}
	}
	levels := c.servers[leader].levels
	var heldBack []string
	eventually(t, "the older member to be present", func() bool {
		present, err := levels.listProcesses(testContext(t))
		if err != nil {
			t.Fatal(err)
		}
		heldBack = nil
		for _, process := range present {
			if process.Speaks == compat.Base {
				heldBack = append(heldBack, process.Name)
			}
		}
		return len(heldBack) == 2
	})
	if heldBack[0] != "gateway-old" || heldBack[1] != "node 3" {
		t.Errorf("the level is held back by %v", heldBack)
	}
	if session.Level() != compat.Base || levels.agreed() != compat.Base {
		t.Errorf("%s is in force", levels.agreed())
	}
	levels.raiseInForce(compat.Shares) // a member that registers at the same instant as the step may have a session already
	if err := older.Send(&wire.SessionRequest{Member: olderMember(), Sequence: 2}); err != nil {
		t.Fatal(err)
	}
	for {
		if _, err := older.Recv(); err != nil {
			if drpcerr.Code(err) != auth.RefusedCode {
				t.Errorf("its session ended with %v", err)
			}
			break
		}
	}
}

// TestLateOlderMemberIsRefused: after the step a session of an older build ends with the code on which that build stops, and
// nobody but the leader raises a level.
func TestLateOlderMemberIsRefused(t *testing.T) {
	c := startCluster(t)
	leader := c.leader()
	eventually(t, "the level", func() bool { return c.servers[leader].levels.agreed() == compat.Newest })
	older := openSession(t, c.addresses()[leader])
	if err := older.Send(&wire.SessionRequest{Member: olderMember(), Sequence: 1}); err != nil {
		t.Fatal(err)
	}
	if reply, err := older.Recv(); drpcerr.Code(err) != auth.RefusedCode {
		t.Errorf("an older member was answered %v (%v)", reply, err)
	}
	raise := &wire.Command{Kind: &wire.Command_LevelRaise{LevelRaise: &wire.LevelRaise{Level: 9}}}
	for group := range uint32(2) {
		if result, err := c.client(controlclient.Config{}).Execute(testContext(t), group, raise); err == nil {
			t.Errorf("a client raised the level of group %d: %v", group, result)
		}
	}
}

// TestFoundingOutlivesItsLeader: the first leader of a new deployment is lost after the first change of the table and before the level
// was raised. The next one took part in the founding too, so nothing has to settle and the level comes into force as soon as it leads.
func TestFoundingOutlivesItsLeader(t *testing.T) {
	c := startTunedCluster(t, func(config *Config) {
		config.Clock = func() time.Duration { return monotonic.Now() / 2 } // nothing settles within the wait of eventually
	})
	for _, server := range c.servers {
		server.draining.Store(true) // which raises no level
	}
	client := c.client(controlclient.Config{})
	mustAccept(t, client, poolChange("first", 0, "1"), false)
	c.kill(c.leader())
	for _, server := range c.servers {
		if server != nil {
			server.draining.Store(false)
		}
	}
	eventually(t, "the level", func() bool {
		for _, server := range c.servers {
			if server != nil && server.levels.agreed() == compat.Newest {
				return true
			}
		}
		return false
	})
}
