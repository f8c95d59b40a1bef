package forward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestRequestsAwaitTheFirstLease checks how long requests that arrive right after the process start wait for the first
// lease.
func TestRequestsAwaitTheFirstLease(t *testing.T) {
	const startWait, deadline = time.Second, 2 * time.Second
	for _, test := range []struct {
		name     string
		patience time.Duration
		came     time.Duration // after the start
		leased   time.Duration // after the start; 0: never
		want     time.Duration
	}{
		{"the lease comes", deadline, 0, 700 * time.Millisecond, 700 * time.Millisecond},
		{"no lease comes", deadline, 0, 0, startWait},
		{"half of the time is over", startWait, 0, 0, startWait / 2},
		{"unknown patience", 0, 400 * time.Millisecond, 0, startWait - 400*time.Millisecond},
		{"long after the start", deadline, startWait, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				lease := &testLease{lost: true}
				f, err := New(Config{Control: lease, Caller: &scriptedCaller{}, FirstLeaseWait: startWait})
				if err != nil {
					t.Fatal(err)
				}
				view := viewsOf(t, baseRows+"r route_kind once")[0]
				f.Update(view)
				if test.leased > 0 {
					time.AfterFunc(test.leased, func() { lease.set(view.Version(), false) })
				}
				time.Sleep(test.came)
				asked := time.Now()
				f.AwaitStart(context.Background(), test.patience)
				if waited := time.Since(asked); waited < test.want || waited > test.want+startPollInterval {
					t.Errorf("waited %s, want %s", waited, test.want)
				}
				lease.set(view.Version(), true)
				if f.AwaitStart(context.Background(), test.patience); test.leased > 0 && time.Since(asked) > test.want+startPollInterval {
					t.Error("waited although the lease had been held before it lapsed")
				}
			})
		})
	}
}
