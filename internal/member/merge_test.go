package member

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// TestMergedChangesEqualFullView follows a list only through Changes and Merge, in random steps and with repeated
// changes. The merged view must equal the list's view.
func TestMergedChangesEqualFullView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list, followed := New(), &wire.MembersView{}
		for range rapid.IntRange(1, 40).Draw(t, "updates") {
			update := &wire.MemberUpdate{Member: &wire.Member{
				Name:        fmt.Sprint("node-", rapid.IntRange(0, 5).Draw(t, "node")),
				Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
				Role:        wire.MemberRole_MEMBER_ROLE_GATEWAY,
				Address:     "127.0.0.1:1",
				State:       wire.MemberState(rapid.IntRange(1, 4).Draw(t, "state")),
			}}
			if _, err := list.Apply(update); err != nil {
				t.Fatal(err)
			}
			if rapid.Bool().Draw(t, "follow") {
				changes := list.Changes(followed.MembersVersion)
				followed = Merge(Merge(followed, changes), changes)
			}
		}
		followed = Merge(followed, list.Changes(followed.MembersVersion))
		followed.FromVersion = 0
		if whole := list.View(); !proto.Equal(whole, followed) {
			t.Fatalf("followed %v, want %v", followed, whole)
		}
	})
}
