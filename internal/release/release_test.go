package release

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/tamarindring/tamarindring/internal/wire"
)

func TestNumbersRiseAndNamesAreNotReused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registry, numberByName, highest, token := New(), map[string]uint64{}, uint64(0), uint64(1)
		for range rapid.IntRange(1, 40).Draw(t, "commands") {
			number := uint64(rapid.IntRange(1, 12).Draw(t, "number"))
			name := fmt.Sprint("v", rapid.IntRange(1, 12).Draw(t, "name"))
			fence := token - uint64(rapid.IntRange(0, 1).Draw(t, "stale"))
			result, err := registry.Release(&wire.VersionRelease{Pool: "p", Version: name, VersionNumber: number, Trainer: "t", Fence: fence}, token)
			if err != nil {
				t.Fatal(err)
			}
			before, known := numberByName[name]
			switch {
			case result.GetAccepted() && fence != token:
				t.Fatal("a deposed owner released a version")
			case result.GetAccepted() && known && before != number:
				t.Fatalf("name %s stands for numbers %d and %d", name, before, number)
			case result.GetAccepted() && !known && number <= highest:
				t.Fatalf("%d was released after %d", number, highest)
			case !result.GetAccepted() && fence == token && (known && before == number || !known && number > highest):
				t.Fatalf("valid release of %s (%d) was refused: %s", name, number, result.GetReason())
			}
			if result.GetAccepted() {
				numberByName[name] = number
				highest = max(highest, number)
			}
			token += uint64(rapid.IntRange(0, 1).Draw(t, "takeover"))
			restored := New()
			if err := restored.Restore(registry.Snapshot()); err != nil || !proto.Equal(restored.Snapshot(), registry.Snapshot()) {
				t.Fatalf("restored state %v differs from the original, error %v", restored.Snapshot(), err)
			}
		}
		if versions := registry.View("p").GetVersions(); highest > 0 && versions[len(versions)-1].GetVersionNumber() != highest {
			t.Fatalf("versions %v, want %d as the newest", versions, highest)
		}
	})
}

func TestFenceCheckRefusesDeposedOwner(t *testing.T) {
	command := &wire.VersionRelease{Pool: "p", Version: "v1", VersionNumber: 1, Trainer: "t", Fence: 1}
	if result, _ := New().Release(command, 2); result.GetAccepted() || result.GetReason() != ReasonStaleFence {
		t.Fatalf("%v", result)
	}
	if result, _ := NewUnsafe(Unsafe{IgnoreFence: true}).Release(command, 2); !result.GetAccepted() {
		t.Fatalf("%v", result)
	}
}

func TestMalformedReleaseChangesNothing(t *testing.T) {
	for _, command := range []*wire.VersionRelease{
		{Version: "v", VersionNumber: 1, Trainer: "t"}, {Pool: "p", VersionNumber: 1, Trainer: "t"},
		{Pool: "p", Version: "v", Trainer: "t"}, {Pool: "p", Version: "v", VersionNumber: 1},
	} {
		registry := New()
		if _, err := registry.Release(command, 0); err == nil || len(registry.Snapshot().GetPools()) > 0 {
			t.Errorf("malformed command %v was accepted or changed the registry", command)
		}
	}
	if New().Restore(&wire.ReleaseSnapshot{Pools: []*wire.PoolReleases{{Pool: "p", Versions: []*wire.ReleasedVersion{{Version: "a"}}}}}) == nil {
		t.Error("a snapshot with a version without a number was restored")
	}
}
