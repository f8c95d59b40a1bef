package fence

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/tamarindring/tamarindring/internal/wire"
)

func TestTokensRise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registry, highest, answers := New(), map[string]uint64{}, map[string]uint64{}
		for range rapid.IntRange(1, 30).Draw(t, "requests") {
			id := rapid.IntRange(0, 20).Draw(t, "request")
			command := &wire.FenceAcquire{Resource: fmt.Sprint("r", id%2), Owner: fmt.Sprint("o", id%3), RequestId: fmt.Sprint(id)}
			result, err := registry.Acquire(command)
			if err != nil {
				t.Fatal(err)
			}
			if before, resent := answers[command.GetRequestId()]; resent {
				if result.GetToken() != before {
					t.Fatalf("resent request got token %d, want %d as before", result.GetToken(), before)
				}
			} else if result.GetToken() <= highest[command.GetResource()] {
				t.Fatalf("token %d does not rise above %d", result.GetToken(), highest[command.GetResource()])
			}
			answers[command.GetRequestId()] = result.GetToken()
			highest[command.GetResource()] = max(highest[command.GetResource()], result.GetToken())
			restored := New()
			if err := restored.Restore(proto.CloneOf(registry.Snapshot())); err != nil {
				t.Fatal(err)
			}
			registry = restored
		}
	})
}

func TestForgottenRequestGetsAHigherToken(t *testing.T) {
	registry := New()
	for request := range MaximumRequests + 1 {
		_, _ = registry.Acquire(&wire.FenceAcquire{Resource: "r", Owner: "o", RequestId: fmt.Sprint(request)})
	}
	again, err := registry.Acquire(&wire.FenceAcquire{Resource: "r", Owner: "o", RequestId: "0"})
	if err != nil || again.GetToken() != MaximumRequests+2 || len(registry.requestOrder) > MaximumRequests {
		t.Fatal(again, err)
	}
	for _, bad := range []*wire.FenceAcquire{nil, {Resource: "r", Owner: "o"}, {Resource: "other", Owner: "o", RequestId: "5"}} {
		if _, err := registry.Acquire(bad); err == nil {
			t.Errorf("malformed command %v was accepted", bad)
		}
	}
}

// TestAcquireRefusesStaleFollows guards against an acquisition that replaces an owner of which it does not know. If
// the token that it follows is not the current one, it changes nothing and returns the current owner and token.
func TestAcquireRefusesStaleFollows(t *testing.T) {
	for _, unsafe := range []Unsafe{{}, {FollowAny: true}} {
		registry := NewUnsafe(unsafe)
		acquire := func(owner, request string, follows uint64) *wire.FenceResult {
			result, err := registry.Acquire(&wire.FenceAcquire{Resource: "r", Owner: owner, RequestId: request, IfFollows: true, Follows: follows})
			if err != nil {
				t.Fatal(err)
			}
			return result
		}
		first := acquire("a", "1", 0)
		if first.GetRefused() || first.GetToken() != 1 {
			t.Fatalf("%v", first)
		}
		late := acquire("b", "2", 0)
		found := late.GetRefused() && late.GetToken() == 1 && late.GetOwner() == "a" && registry.Current("r").GetOwner() == "a"
		if found == unsafe.FollowAny {
			t.Fatalf("%+v: an acquisition that follows token 0 while token 1 is current returned %v", unsafe, late)
		}
		if unsafe.FollowAny {
			continue
		}
		if again := acquire("a", "1", 0); again.GetRefused() || again.GetToken() != 1 {
			t.Fatalf("a resend returned %v, want token 1", again)
		}
		if next := acquire("b", "2", 1); next.GetRefused() || next.GetToken() != 2 || next.GetOwner() != "b" {
			t.Fatalf("%v", next)
		}
	}
}
