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
					t.Fatalf("resent request got %d after %d", result.GetToken(), before)
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
	if err != nil || again.GetToken() != MaximumRequests+2 || len(registry.order) > MaximumRequests {
		t.Fatal(again, err)
	}
	for _, bad := range []*wire.FenceAcquire{nil, {Resource: "r", Owner: "o"}, {Resource: "other", Owner: "o", RequestId: "5"}} {
		if _, err := registry.Acquire(bad); err == nil {
			t.Errorf("%v was taken", bad)
		}
	}
}
