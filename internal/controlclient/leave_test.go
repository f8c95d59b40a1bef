package controlclient

import (
	"context"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// TestLeaveReturnsWithoutControlNodes guards against a Leave that waits forever: a planned stop must not wait for a
// quorum that does not return.
func TestLeaveReturnsWithoutControlNodes(t *testing.T) {
	client := newTestClient(t, Config{Addresses: []string{"127.0.0.1:1"}, LeaveTimeout: time.Millisecond,
		Member: &wire.Member{Name: "gateway-1", Role: wire.MemberRole_MEMBER_ROLE_GATEWAY, Address: "127.0.0.1:2"}})
	session := client.newSession()
	ctx, cancel := context.WithCancel(client.context)
	session.cancel = cancel
	go session.run(ctx)
	left := make(chan error, 1)
	go func() { left <- session.Leave(context.Background()) }()
	select {
	case err := <-left:
		if err == nil {
			t.Fatal("Leave succeeded without a control node, want an error")
		}
	case <-testContext(t).Done():
		t.Fatal("Leave did not return while no control node answers")
	}
}
