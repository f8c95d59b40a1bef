package batching

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"testing"

	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestEachCallIsFinishedOnceInOrder checks that each call is finished by one operation, in the order of arrival,
// whatever calls are postponed.
func TestEachCallIsFinishedOnceInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(1, 5).Draw(t, "most")
		count := rapid.IntRange(1, 30).Draw(t, "count")
		postpone := rapid.SliceOfN(rapid.IntRange(0, 3), 60, 60).Draw(t, "postponed")
		var ran []int
		rounds := 0
		q := Queue[int]{Take: AtMost[int](most)}
		q.Run = func(batch []*Call[int]) []*Call[int] {
			later := 0
			if rounds < len(postpone) {
				later = min(postpone[rounds], len(batch)-1)
			}
			rounds++
			done := batch[:len(batch)-later]
			for _, call := range done {
				ran = append(ran, call.Value)
				call.Finish(nil)
			}
			return batch[len(done):]
		}
		for number := range count {
			q.waiting = append(q.waiting, &Call[int]{Value: number, ctx: context.Background(), done: make(chan struct{})})
		}
		q.runBatches()
		if len(ran) != count || !slices.IsSorted(ran) {
			t.Fatalf("%d calls were finished as %v, want each once in order", count, ran)
		}
	})
}

// TestWaitingCallsShareOneOperation checks that a hundred calls that arrive while an operation is running take one
// more operation.
func TestWaitingCallsShareOneOperation(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	var batches [][]int
	q := Queue[int]{Take: AtMost[int](1000)}
	q.Run = func(batch []*Call[int]) []*Call[int] {
		if len(batches) == 0 {
			close(started)
			<-release
		}
		var values []int
		for _, call := range batch {
			values = append(values, call.Value)
		}
		batches = append(batches, values)
		for _, call := range batch {
			call.Finish(fmt.Errorf("answer %d", call.Value))
		}
		return nil
	}
	var callers sync.WaitGroup
	do := func(number int) {
		callers.Go(func() {
			if err := q.Do(t.Context(), number); err == nil || err.Error() != fmt.Sprint("answer ", number) {
				t.Errorf("call %d got %v, want its own answer", number, err)
			}
		})
	}
	do(0)
	<-started
	for number := 1; number <= 100; number++ {
		do(number)
	}
	for q.Waiting() < 100 {
		runtime.Gosched()
	}
	close(release)
	callers.Wait()
	if len(batches) != 2 || len(batches[1]) != 100 {
		t.Fatalf("batches of %v, want one call and then 100", batches)
	}
}

// TestCallWithEndedContextIsNotRun checks that no operation runs for a caller whose context ended before, because Do
// has already returned to it.
func TestCallWithEndedContextIsNotRun(t *testing.T) {
	ran := false
	q := Queue[int]{Take: AtMost[int](1), Run: func(batch []*Call[int]) []*Call[int] {
		ran = true
		batch[0].Finish(nil)
		return nil
	}}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	q.waiting = []*Call[int]{{ctx: ctx, done: make(chan struct{})}}
	q.runBatches()
	if ran {
		t.Fatal("an operation ran for a call whose context had ended")
	}
	if err := q.Do(ctx, 1); err != nil && !errors.Is(err, context.Canceled) {
		t.Fatalf("Do returned %v, want nil or the error of its context", err)
	}
}
