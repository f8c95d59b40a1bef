package gateway

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/tamarindring/tamarindring/internal/routing"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// controlWithMembers is a Control with a fixed member list, so that a gateway sees gateways that are not running.
type controlWithMembers struct {
	Control
	members *wire.MembersView
}

func (c *controlWithMembers) Members() *wire.MembersView { return c.members }

// TestGatewayLeavesItsSubsetOnlyWhenItFails closes all back ends of a gateway's subset. Requests must stay within
// the subset before that, and be served by other back ends afterwards.
func TestGatewayLeavesItsSubsetOnlyWhenItFails(t *testing.T) {
	const replicas, gateways, calls = 8, 8, 40
	members := &wire.MembersView{MembersVersion: 1}
	for i := range gateways {
		members.Members = append(members.Members, &wire.Member{Name: fmt.Sprint("g", i), Role: wire.MemberRole_MEMBER_ROLE_GATEWAY,
			State: wire.MemberState_MEMBER_STATE_ALIVE})
	}
	f := newFixture(t, 0, replicas, 1, func(config *Config) {
		config.Control = &controlWithMembers{Control: config.Control, members: members}
		config.Subset = routing.SubsetSettings{Size: 2, MinimumUsers: 1}
	})
	subset := f.gateways[0].pool("push").polledBackends()
	if len(subset) == 0 || len(subset) >= replicas {
		t.Fatalf("the gateway uses %d of %d back ends, want a proper subset", len(subset), replicas)
	}
	for call := range calls {
		answer := f.push(t, 0, fmt.Sprint("alive-", call), "{}")
		if name := answer.header.Get(HeaderBackend); answer.status != http.StatusOK || subset[name] == "" {
			t.Fatalf("call %d: status %d at %q, which is not of the subset %v", call, answer.status, name, subset)
		}
	}
	for _, app := range f.apps {
		for _, address := range subset {
			if app.Address() == address {
				_ = app.Close()
			}
		}
	}
	for call := range calls {
		key := fmt.Sprint("dead-", call)
		answer := f.push(t, 0, key, "{}", HeaderRepeatable, "true")
		if answer.status != http.StatusOK || f.executions(key) != 1 {
			t.Fatalf("call %d after the subset failed: got status %d, ran %d times, want 200 and one run: %s", call, answer.status, f.executions(key), answer.body)
		}
	}
}
