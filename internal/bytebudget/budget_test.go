package bytebudget

import (
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// TestClassesAreRefusedInOrder fills a budget step by step and checks that large bodies are refused first and parts of
// streams last.
func TestClassesAreRefusedInOrder(t *testing.T) {
	budget := New(1000)
	budget.Reserve(LargeBody, 800)
	for _, step := range []struct {
		fill  Class // by 50 bytes
		fits  []Class
		stops Class
	}{
		{Stream, []Class{Stream, Answer, Body}, Listing},
		{Body, []Class{Stream, Answer}, Body},
		{Answer, []Class{Stream}, Answer},
		{Stream, nil, Stream},
	} {
		if budget.Reserve(LargeBody, 1) {
			t.Error("a large body still fits, want refused")
		}
		if !budget.Reserve(step.fill, 50) {
			t.Fatalf("50 bytes of %s do not fit", step.fill)
		}
		if budget.Reserve(step.stops, 1) {
			t.Errorf("a %s still fits, want refused", step.stops)
		}
		for _, class := range step.fits {
			if !budget.Reserve(class, 1) {
				t.Errorf("%s does not fit while only %s is refused", class, step.stops)
			}
			budget.Release(class, 1)
		}
	}
}

// TestUnreadAnswersLeaveSpaceForSmallBodies guards against unread and unfinished answers that fill the budget, so that
// not even small request bodies are read.
func TestUnreadAnswersLeaveSpaceForSmallBodies(t *testing.T) {
	budget := New(1000)
	for _, class := range []Class{Stream, Answer} {
		for budget.Reserve(class, 10) {
		}
	}
	if !budget.Reserve(Body, 10) {
		t.Errorf("%d bytes of streams and %d of answers leave no space for a small body", budget.Held(Stream), budget.Held(Answer))
	}
}

// TestSmallBodiesDoNotWaitBehindLargeOnes checks that a waiting reservation for a large body does not block small
// ones.
func TestSmallBodiesDoNotWaitBehindLargeOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := New(1000)
		budget.Reserve(LargeBody, 800)
		go func() { _ = budget.Acquire(t.Context(), LargeBody, 100, time.Hour) }()
		synctest.Wait()
		if err := budget.Acquire(t.Context(), Body, 10, 0); err != nil {
			t.Errorf("Acquire of a small body returned %v, want nil", err)
		}
	})
}

// TestOversizedReservationIsGrantedAlone checks that a body that the configuration permits is accepted on a small
// machine too, while nothing else is held.
func TestOversizedReservationIsGrantedAlone(t *testing.T) {
	budget := New(1000)
	if !budget.Reserve(LargeBody, 5000) || budget.Reserve(LargeBody, 1) {
		t.Error("an oversized reservation was refused, or another one was granted beside it")
	}
	budget.Release(LargeBody, 5000)
	if !budget.Reserve(LargeBody, 1) || budget.Reserve(LargeBody, 5000) {
		t.Error("an oversized reservation was granted beside another one")
	}
}

// TestWaitersAreGrantedInOrder checks that waiting reservations of a class are granted in the order of arrival, and
// that Acquire returns ErrFull when its time is over.
func TestWaitersAreGrantedInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := New(1000)
		budget.Reserve(LargeBody, 800)
		if err := budget.Acquire(t.Context(), LargeBody, 1, time.Second); !errors.Is(err, ErrFull) {
			t.Fatalf("Acquire returned %v, want ErrFull", err)
		}
		var mu sync.Mutex
		var order []int64 // guarded by mu
		for _, bytes := range []int64{700, 10} {
			go func() {
				if err := budget.Acquire(t.Context(), LargeBody, bytes, time.Hour); err != nil {
					t.Errorf("Acquire of %d bytes returned %v, want nil", bytes, err)
				}
				mu.Lock()
				defer mu.Unlock()
				order = append(order, bytes)
			}()
			synctest.Wait()
		}
		budget.Release(LargeBody, 100)
		synctest.Wait()
		if len(order) != 0 {
			t.Errorf("reservations of %v bytes were granted before the first waiter", order)
		}
		budget.Release(LargeBody, 700)
		synctest.Wait()
		if len(order) != 2 || budget.Held(LargeBody) != 710 {
			t.Errorf("granted %v with %d bytes held, want both granted and 710 bytes held", order, budget.Held(LargeBody))
		}
	})
}

// TestBudgetIsNeverExceeded applies random reservations and releases. No class may exceed its bound, except for a
// reservation that is alone, and after all releases nothing may be counted as held.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := New(rapid.Int64Range(100, 10_000).Draw(t, "limit"))
		type reservation struct {
			class Class
			bytes int64
		}
		var reserved []reservation
		var total int64
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			if len(reserved) > 0 && rapid.Bool().Draw(t, "release") {
				one := reserved[len(reserved)-1]
				reserved = reserved[:len(reserved)-1]
				budget.Release(one.class, one.bytes)
				total -= one.bytes
				continue
			}
			one := reservation{Class(rapid.IntRange(0, int(classCount)-1).Draw(t, "class")), rapid.Int64Range(0, 2000).Draw(t, "bytes")}
			if !budget.Reserve(one.class, one.bytes) {
				continue
			}
			reserved = append(reserved, one)
			total += one.bytes
			if total > percentOf(budget.limit, shares[one.class].totalPercent) && total != one.bytes {
				t.Fatalf("%d bytes are held beside a %[3]s, more than its class allows of a limit of %[2]d", total, budget.limit, one.class)
			}
		}
		for _, one := range reserved {
			budget.Release(one.class, one.bytes)
		}
		if now := budget.usage(); now.held != [classCount]int64{} || budget.total != 0 {
			t.Fatalf("%+v is left after all releases, want nothing held", now)
		}
	})
}

func TestLimitFor(t *testing.T) {
	if LimitFor(144<<20) != 48<<20 || LimitFor(0) != unknownMemoryLimit {
		t.Errorf("limits %d and %d, want a third of the memory and %d", LimitFor(144<<20), LimitFor(0), unknownMemoryLimit)
	}
}
