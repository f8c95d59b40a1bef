package registry

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"

	"github.com/gravitational/trace"
	"pgregory.net/rapid"

	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// slowControl delays the first change until release is closed.
type slowControl struct {
	*fakeControl
	mutex   sync.Mutex
	held    chan struct{} // closed when the first change has arrived
	release chan struct{}
	changes int
	reads   int
}

func newSlowControl(control *fakeControl) *slowControl {
	return &slowControl{fakeControl: control, held: make(chan struct{}), release: make(chan struct{})}
}

func (s *slowControl) Query(ctx context.Context, group uint32, query *wire.Query) (*wire.View, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reads++
	return s.fakeControl.Query(ctx, group, query)
}

func (s *slowControl) ChangeTable(ctx context.Context, change *wire.TableChange, force bool) (*wire.TableResult, uint64, error) {
	s.mutex.Lock()
	s.changes++
	first := s.changes == 1
	s.mutex.Unlock()
	if first {
		close(s.held)
		<-s.release
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.fakeControl.ChangeTable(ctx, change, force)
}

func (s *slowControl) view() *table.View {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.fakeControl.view()
}

// waitingFor returns once at least count callers are queued behind the outstanding change.
func waitingFor(b *batches, count int) {
	for b.queue.Waiting() < count {
		runtime.Gosched()
	}
}

// TestReplicasThatStartTogetherTakeFewVersions guards against one table version for each of a thousand replicas that
// register while one change is outstanding. A few changes must be enough, and the leader must not read the table for
// them.
func TestReplicasThatStartTogetherTakeFewVersions(t *testing.T) {
	const count = 1000
	f := newFixture(t)
	control := newSlowControl(f.control)
	f.service.config.Control, f.service.config.View = control, control.view
	var callers sync.WaitGroup
	register := func(number int) {
		callers.Go(func() {
			heartbeat := replica(number, 1)
			heartbeat.Address = fmt.Sprintf("10.0.%d.%d:80", number/250, number%250+1)
			if err := f.service.Heartbeat(t.Context(), &heartbeat); err != nil {
				t.Error(err)
			}
		})
	}
	register(0)
	<-control.held
	for number := 1; number < count; number++ {
		register(number)
	}
	waitingFor(f.service.batches, count-1)
	close(control.release)
	callers.Wait()
	if got := len(f.control.view().Backends("pool")); got != count {
		t.Fatalf("%d replicas in the table, want %d", got, count)
	}
	if most := 2 + count/maximumBatch; control.changes > most {
		t.Errorf("%d changes for %d replicas, want at most %d", control.changes, count, most)
	}
	if control.reads > 0 {
		t.Errorf("the leader, which follows the table, read it %d times, want none", control.reads)
	}
}

// TestRefusedRegistrationFailsAlone guards against a registration that the table rejects failing the other
// registrations in the same change.
func TestRefusedRegistrationFailsAlone(t *testing.T) {
	f := newFixture(t)
	control := newSlowControl(f.control)
	f.service.config.Control, f.service.config.View = control, control.view
	var callers sync.WaitGroup
	errs := make([]error, 4)
	send := func(number int, heartbeat Registration) {
		callers.Go(func() { errs[number] = f.service.Heartbeat(t.Context(), &heartbeat) })
	}
	send(0, replica(0, 1))
	<-control.held
	send(1, replica(1, 1))
	bad := replica(2, 1)
	bad.Zone = "no\x00zone"
	bad.Pool = "i-0" // a replica's name
	send(2, bad)
	send(3, replica(3, 1))
	waitingFor(f.service.batches, 3)
	close(control.release)
	callers.Wait()
	for number, err := range errs {
		if refused := trace.IsBadParameter(err); refused != (number == 2) {
			t.Errorf("replica %d: got error %v, want BadParameter for replica 2 only", number, err)
		}
		if in := f.state(fmt.Sprint("i-", number)) == table.Active; in != (number != 2) {
			t.Errorf("replica %d in the table: got %v, want all but replica 2", number, in)
		}
	}
}

// TestBatchedUpdatesEqualSequentialOnes compares updates that are queued together with the same updates made one by one
// in the order of arrival: replicas that move, reuse each other's addresses, drain and leave.
func TestBatchedUpdatesEqualSequentialOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		together, alone := newFixture(t), newFixture(t)
		var arrived []*pendingUpdate
		for count := range rapid.IntRange(1, 12).Draw(t, "count") {
			number := rapid.IntRange(0, 3).Draw(t, "replica")
			heartbeat := replica(number, uint64(count+1))
			heartbeat.Address = fmt.Sprintf("10.0.0.%d:80", rapid.IntRange(1, 4).Draw(t, "address"))
			heartbeat.Draining = rapid.Bool().Draw(t, "draining")
			heartbeat.Start = rapid.Uint64Range(0, 2).Draw(t, "start")
			one := &pendingUpdate{replica: heartbeat.Incarnation(), heartbeat: &heartbeat}
			if rapid.IntRange(0, 4).Draw(t, "leaves") == 0 {
				one.heartbeat = nil
			}
			arrived = append(arrived, one)
			if _, err := alone.service.batches.submit(context.Background(), one.replica, one.heartbeat); err != nil {
				t.Fatal(err)
			}
		}
		control := newSlowControl(together.control)
		together.service.config.Control, together.service.config.View = control, control.view
		var callers sync.WaitGroup
		do := func(one *pendingUpdate) {
			callers.Go(func() {
				if err := together.service.batches.queue.Do(context.Background(), one); err != nil {
					t.Error(err)
				}
			})
		}
		first := replica(9, 1) // its change blocks the queue until all have arrived
		first.Address = "10.0.0.99:80"
		do(&pendingUpdate{replica: first.Incarnation(), heartbeat: &first})
		<-control.held
		for count, one := range arrived {
			do(one)
			waitingFor(together.service.batches, count+1)
		}
		close(control.release)
		callers.Wait()
		for number := range 4 {
			name := fmt.Sprint("i-", number)
			left, right := together.control.view().Row(name), alone.control.view().Row(name)
			if (left == nil) != (right == nil) || left != nil && (left.State != right.State || left.Address != right.Address || left.Sequence != right.Sequence) {
				t.Fatalf("%s: got row %+v from the batch, want %+v as from single changes", name, left, right)
			}
		}
	})
}
