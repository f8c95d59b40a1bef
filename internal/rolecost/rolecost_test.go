package rolecost

import (
	"context"
	"sync"
	"testing"
)

// TestTimeIsAccountedToTheRoleThatSpentIt burns a fixed amount of work in one role, in a goroutine that
// the role started, and none in another.
func TestTimeIsAccountedToTheRoleThatSpentIt(t *testing.T) {
	recorder, err := Start()
	if err != nil {
		t.Fatal(err)
	}
	var group sync.WaitGroup
	var sink uint64
	Do(context.Background(), "busy", func(context.Context) {
		group.Go(func() {
			for step := range uint64(1_000_000_000) {
				sink += step * step
			}
		})
	})
	Do(context.Background(), "idle", func(context.Context) {})
	group.Wait()
	cost, err := recorder.Stop()
	if err != nil {
		t.Fatal(err)
	}
	if cost.Cores("busy") <= cost.Cores("idle") || cost.Cores("busy") == 0 {
		t.Fatalf("cost %+v (sink %d): the busy role has no more than the idle one", cost, sink)
	}
}
