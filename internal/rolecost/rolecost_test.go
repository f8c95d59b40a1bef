package rolecost

import (
	"context"
	"sync"
	"testing"
)

// TestTimeIsAttributedToTheRoleThatSpentIt guards against processor time that is lost or attributed to the wrong role.
// One role does a fixed amount of work in a goroutine that it started, another role does nothing.
func TestTimeIsAttributedToTheRoleThatSpentIt(t *testing.T) {
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
		t.Fatalf("got %+v (sink %d), want more processor time for the busy role than for the idle one", cost, sink)
	}
}
