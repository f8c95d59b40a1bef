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

// TestEveryCallIsAnsweredOnceInOrder: whatever is postponed, each call ends up in one finished operation, in the order
// of arrival.
func TestEveryCallIsAnsweredOnceInOrder(t *testing.T) {
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
		q.run()
		if len(ran) != count || !slices.IsSorted(ran) {
			t.Fatalf("%d calls ran as %v", count, ran)
		}
	})
}

// TestCallsThatWaitShareAnOperation: a hundred calls that come while one operation is under way take one more.
func TestCallsThatWaitShareAnOperation(t *testing.T) {
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
				t.Errorf("call %d got %v", number, err)
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
		t.Fatalf("batches of %v", batches)
	}
}

// TestCallerThatLeftGetsNoOperation: a caller whose context ended before its operation began was told so.
func TestCallerThatLeftGetsNoOperation(t *testing.T) {
	ran := false
	q := Queue[int]{Take: AtMost[int](1), Run: func(batch []*Call[int]) []*Call[int] {
		ran = true
		batch[0].Finish(nil)
		return nil
	}}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	q.waiting = []*Call[int]{{ctx: ctx, done: make(chan struct{})}}
	q.run()
	if ran {
		t.Fatal("an operation ran for a caller that had left")
	}
	if err := q.Do(ctx, 1); err != nil && !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
}
