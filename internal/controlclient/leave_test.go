package controlclient

import (
	"context"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// TestLeaveHangsWithoutControlNodes leaves while no control node answers: a planned stop may not wait for
// a quorum that does not come back.
func TestLeaveHangsWithoutControlNodes(t *testing.T) {
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
			t.Fatal("nobody can have confirmed that the process left")
		}
	case <-testContext(t).Done():
		t.Fatal("leaving waits for control nodes that do not answer")
	}
}
