package forward

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tamarindring/tamarindring/internal/poison"
	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/replicabytes"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

const largeTestBody = 32 << 20

// memoryReplicas simulates back ends that read a request body and answer after a while. A back end that holds more
// bytes than its memory crashes, together with all its requests, and is available again at once.
type memoryReplicas struct {
	memory   int64
	readTime time.Duration
	workTime time.Duration

	mu         sync.Mutex
	held       map[string]int64
	maxHeld    map[string]int64
	crashed    map[string]chan struct{} // closed when the present start crashes
	crashes    int
	served     map[string]int
	reading    map[string]int // large bodies being transferred
	maxReading int            // the most of these at one back end
}

func newMemoryReplicas(memory int64, readTime, workTime time.Duration) *memoryReplicas {
	return &memoryReplicas{memory: memory, readTime: readTime, workTime: workTime, held: map[string]int64{}, maxHeld: map[string]int64{},
		crashed: map[string]chan struct{}{}, served: map[string]int{}, reading: map[string]int{}}
}

// holdBody adds a body to a back end. The returned channel is closed when the back end crashes.
func (m *memoryReplicas) holdBody(instance string, bytes int64) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.crashed[instance] == nil {
		m.crashed[instance] = make(chan struct{})
	}
	over := m.crashed[instance]
	m.held[instance] += bytes
	m.maxHeld[instance] = max(m.maxHeld[instance], m.held[instance])
	if replicabytes.Large(bytes) {
		m.reading[instance]++
		m.maxReading = max(m.maxReading, m.reading[instance])
	}
	if m.held[instance] > m.memory {
		m.crashes++
		m.held[instance], m.reading[instance], m.crashed[instance] = 0, 0, nil
		close(over)
	}
	return over
}

func (m *memoryReplicas) finishReading(instance string, bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if replicabytes.Large(bytes) {
		m.reading[instance]--
	}
}

func (m *memoryReplicas) releaseBody(instance string, bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held[instance] -= bytes
	m.served[instance]++
}

// serveCall runs one call at a back end.
func (m *memoryReplicas) serveCall(ctx context.Context, call *replica.Call, sink replica.Sink) replica.Outcome {
	bytes := int64(len(call.Body))
	over := m.holdBody(call.Instance, bytes)
	gone := replica.Outcome{Verdict: verdict.MayHaveRun, Peer: replica.PeerGone, Err: errReset}
	for _, phase := range []time.Duration{m.readTime, m.workTime} {
		select {
		case <-over:
			return gone
		case <-ctx.Done():
			m.releaseBody(call.Instance, bytes)
			return replica.Outcome{Verdict: verdict.MayHaveRun, Err: ctx.Err()}
		case <-time.After(phase):
		}
		if phase == m.readTime {
			m.finishReading(call.Instance, bytes)
			if call.OnReceived != nil {
				call.OnReceived()
			}
		}
	}
	select {
	case <-over:
		return gone
	default:
	}
	m.releaseBody(call.Instance, bytes)
	return good(ctx, call, sink)
}

// serveConcurrently serves requests with bodies of the given size concurrently and returns their failures.
func (f *fixture) serveConcurrently(ctx context.Context, count, size int, deadline time.Duration) []*Failure {
	failures := make([]*Failure, count)
	body := []byte(strings.Repeat("x", size))
	var calls sync.WaitGroup
	for i := range count {
		calls.Go(func() {
			request := &Request{AttemptID: fmt.Sprint("id-", size, "-", i), Method: "POST", Path: "/", Host: "h", Body: body, Received: time.Now(), Deadline: deadline}
			failures[i] = f.Serve(ctx, request, &recordedReply{})
		})
	}
	calls.Wait()
	return failures
}

// withSpreadBytes enables Config.SpreadBytes.
func (f *fixture) withSpreadBytes() *fixture {
	f.config.SpreadBytes = true
	return f
}

// TestLargeBodiesAreNotSpreadByDefault checks that without SpreadBytes several large bodies go to one back end at once,
// like small ones, and that no demand is published to the fleet.
func TestLargeBodiesAreNotSpreadByDefault(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicas := newMemoryReplicas(3*largeTestBody-1, 100*time.Millisecond, time.Second)
		f, shares := sharingFixture(t, replicas.serveCall)
		f.config.SpreadBytes = false
		f.serveConcurrently(t.Context(), 9, largeTestBody, time.Minute)
		pool := f.plan.Load().pools["p"]
		if replicas.maxReading < 2 || replicas.crashes == 0 || pool.large.ledger.Limit(f.now()) != 0 || len(shares.demands) != 0 || f.usesShares() {
			t.Errorf("got %d concurrent transfers to a back end, %d crashes, a limit of %d and demands %v, want concurrent transfers, crashes, no limit and no demands", replicas.maxReading, replicas.crashes, pool.large.ledger.Limit(f.now()), shares.demands)
		}
	})
}

// TestLargeBodiesAreSpreadByBytes checks that large bodies are spread evenly over all back ends and transferred to each
// of them one at a time.
func TestLargeBodiesAreSpreadByBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicas := newMemoryReplicas(1<<40, 100*time.Millisecond, 10*time.Second)
		f := newFixture(t, baseRows+"r route_kind once;r timeout_millis 60000", replicas.serveCall).withSpreadBytes()
		for _, failure := range f.serveConcurrently(t.Context(), 30, 1<<20, time.Minute) {
			if failure != nil {
				t.Error(failure)
			}
		}
		for instance, most := range replicas.maxHeld {
			if most != 10<<20 {
				t.Errorf("%s held up to %d bytes, want 10 MiB", instance, most)
			}
		}
		if len(replicas.maxHeld) != 3 || replicas.maxReading != 1 {
			t.Errorf("got %d back ends used and up to %d concurrent transfers to one, want 3 and 1", len(replicas.maxHeld), replicas.maxReading)
		}
	})
}

// TestOneCrashLearnsByteLimit checks that after the first back end has crashed because of the total size of its bodies
// no other crashes, that all bodies are served, and that small requests are not affected.
func TestOneCrashLearnsByteLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicas := newMemoryReplicas(3*largeTestBody-1, 50*time.Millisecond, time.Second)
		rows := baseRows + "r route_kind repeatable;r max_attempts 3;r timeout_millis 60000"
		f, guard := newGuarded(t, strings.Replace(rows, "r max_attempts 2;", "", 1), replicas.serveCall)
		f.withSpreadBytes()
		for _, failure := range f.serveConcurrently(t.Context(), 18, largeTestBody, time.Minute) {
			if failure != nil {
				t.Error(failure)
			}
		}
		if replicas.crashes != 1 {
			t.Errorf("%d back ends crashed, want 1", replicas.crashes)
		}
		request := &Request{Method: "POST", Path: "/", Host: "h", Body: []byte(strings.Repeat("x", largeTestBody))}
		if run, judged := guard.Begin(t.Context(), func() poison.Identity { return identityOf(request, "") }); run == nil || run.Suspected() {
			t.Errorf("a request is suspected of a crash that the sum of the bodies caused: %+v", judged)
		}
		began := time.Now()
		for range 3 {
			for _, failure := range append(f.serveConcurrently(t.Context(), 6, largeTestBody, time.Minute), f.serveConcurrently(t.Context(), 30, 300, time.Minute)...) {
				if failure != nil {
					t.Error(failure)
				}
			}
		}
		if replicas.crashes != 1 || time.Since(began) > 20*time.Second {
			t.Errorf("got %d crashes in %v, want 1 crash and at most 20 s", replicas.crashes, time.Since(began))
		}
	})
}

// TestLargeBodyIsRejectedWhenSpaceComesTooLate checks that under a limit a body is rejected at once if no back end will
// have free space before its deadline, with a RetryAfter that is the time until space is free.
func TestLargeBodyIsRejectedWhenSpaceComesTooLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := strings.NewReplacer("p2 kind backend;p2 pool p;p2 address 127.0.0.1:2;", "", "p3 kind backend;p3 pool p;p3 address 127.0.0.1:3;", "").Replace(baseRows)
		replicas := newMemoryReplicas(1<<40, 1500*time.Millisecond, time.Second)
		f := newFixture(t, rows+"r route_kind once;r timeout_millis 60000", replicas.serveCall).withSpreadBytes()
		f.serveConcurrently(t.Context(), 1, largeTestBody, time.Minute) // teaches the ledger how long a body takes
		f.plan.Load().pools["p"].large.ledger.SetFleetLimit(f.now(), largeTestBody)
		var background sync.WaitGroup
		background.Go(func() { f.serveConcurrently(t.Context(), 1, largeTestBody, time.Minute) })
		time.Sleep(time.Second)
		began := time.Now()
		failure := f.serveConcurrently(t.Context(), 1, largeTestBody, 2*time.Second)[0]
		if failure == nil || failure.Reason != Overloaded || failure.Verdict != verdict.DidNotRun || time.Since(began) > 10*time.Millisecond {
			t.Fatalf("got failure %+v after %v, want reason Overloaded for a request that did not run, within 10 ms", failure, time.Since(began))
		}
		if failure.RetryAfter != 1500*time.Millisecond {
			t.Errorf("got RetryAfter %v, want 1.5 s", failure.RetryAfter)
		}
		if failure := f.serveConcurrently(t.Context(), 1, 300, 5*time.Second)[0]; failure != nil {
			t.Errorf("a small request failed: %v", failure)
		}
		background.Wait()
	})
}

// TestLargeBodiesWaitInOrder checks that smaller bodies that arrive later do not overtake a large one, and that a body
// whose caller disconnects leaves the queue.
func TestLargeBodiesWaitInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := strings.NewReplacer("p2 kind backend;p2 pool p;p2 address 127.0.0.1:2;", "", "p3 kind backend;p3 pool p;p3 address 127.0.0.1:3;", "").Replace(baseRows)
		replicas := newMemoryReplicas(1<<40, time.Second, time.Second)
		f := newFixture(t, rows+"r route_kind once;r timeout_millis 60000", replicas.serveCall).withSpreadBytes()
		var calls sync.WaitGroup
		var mu sync.Mutex
		var ends []string
		start := func(ctx context.Context, name string, size int) {
			calls.Go(func() {
				failure := f.serveConcurrently(ctx, 1, size, time.Minute)[0]
				mu.Lock()
				defer mu.Unlock()
				ends = append(ends, fmt.Sprint(name, failure == nil))
			})
			time.Sleep(10 * time.Millisecond)
		}
		leaving, leave := context.WithCancel(t.Context())
		start(t.Context(), "a", largeTestBody)
		start(leaving, "b", largeTestBody)
		start(t.Context(), "c", 1<<20)
		start(t.Context(), "d", largeTestBody)
		leave()
		calls.Wait()
		if got := fmt.Sprint(ends); got != "[bfalse atrue ctrue dtrue]" {
			t.Error(got)
		}
	})
}
