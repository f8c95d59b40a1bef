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

// TestLevelIsAgreedAndDistributed checks that a new deployment of one build agrees on its level without delay, that
// every process learns the level with its lease, and that the level survives restarts.
func TestLevelIsAgreedAndDistributed(t *testing.T) {
	c := startCluster(t)
	session := c.session("gateway-1", nil)
	hasNewestLevel := func(session *controlclient.Session) func() bool {
		return func() bool { return session.Level() == compat.Newest }
	}
	eventually(t, "the session to learn the level", hasNewestLevel(session))
	for position := range c.servers {
		eventually(t, "the node to know the level", func() bool { return c.servers[position].levels.agreed() == compat.Newest })
	}
	for position := range c.servers {
		c.kill(position)
	}
	for position := range c.servers {
		c.start(position, nil)
	}
	eventually(t, "the level after a restart", hasNewestLevel(c.session("gateway-2", nil)))
}

// olderMember returns a gateway as registered by a build without levels.
func olderMember() *wire.Member {
	member := gatewayMember("gateway-old")
	member.Incarnation, member.State = 1, wire.MemberState_MEMBER_STATE_ALIVE
	return member
}

// TestOlderProcessesHoldBackTheLevel runs a voter and a member of an older build, which announce no level. The level
// must not rise, and processes of both builds must be served.
func TestOlderProcessesHoldBackTheLevel(t *testing.T) {
	c := startConfiguredCluster(t, func(config *Config) {
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
			t.Errorf("the older member got level %d, want the base level", reply.Level)
		}
	}
	levels := c.servers[leader].levels
	var heldBack []string
	eventually(t, "the older member to be listed", func() bool {
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
		t.Errorf("the level is held back by %v, want gateway-old and node 3", heldBack)
	}
	if session.Level() != compat.Base || levels.agreed() != compat.Base {
		t.Errorf("%s is in force, want the base level", levels.agreed())
	}
	// A member that registers at the same instant as the level rises may already have a session.
	levels.raiseInForce(compat.Shares)
	if err := older.Send(&wire.SessionRequest{Member: olderMember(), Sequence: 2}); err != nil {
		t.Fatal(err)
	}
	for {
		if _, err := older.Recv(); err != nil {
			if drpcerr.Code(err) != auth.RejectedTokenCode {
				t.Errorf("its session ended with %v, want the code RejectedTokenCode", err)
			}
			break
		}
	}
}

// TestOlderMemberIsRejectedAfterLevelRaise checks that after the level has risen, a session of an older build ends with
// the error code that stops that build, and that only the leader can raise the level.
func TestOlderMemberIsRejectedAfterLevelRaise(t *testing.T) {
	c := startCluster(t)
	leader := c.leader()
	eventually(t, "the level", func() bool { return c.servers[leader].levels.agreed() == compat.Newest })
	older := openSession(t, c.addresses()[leader])
	if err := older.Send(&wire.SessionRequest{Member: olderMember(), Sequence: 1}); err != nil {
		t.Fatal(err)
	}
	if reply, err := older.Recv(); drpcerr.Code(err) != auth.RejectedTokenCode {
		t.Errorf("an older member got %v (%v), want the code RejectedTokenCode", reply, err)
	}
	raise := &wire.Command{Kind: &wire.Command_LevelRaise{LevelRaise: &wire.LevelRaise{Level: 9}}}
	for group := range uint32(2) {
		if result, err := c.client(controlclient.Config{}).Execute(testContext(t), group, raise); err == nil {
			t.Errorf("a client raised the level of group %d: %v", group, result)
		}
	}
}

// TestFoundingSurvivesLossOfFirstLeader loses the first leader of a new deployment after the first table change and
// before the level was raised. The next leader was a founder too, so it must raise the level at once and not wait for
// processes to settle.
func TestFoundingSurvivesLossOfFirstLeader(t *testing.T) {
	c := startConfiguredCluster(t, func(config *Config) {
		// The slow clock keeps the processes from settling before eventually gives up.
		config.Clock = func() time.Duration { return monotonic.Now() / 2 }
	})
	for _, server := range c.servers {
		server.draining.Store(true) // a draining node raises no level
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
