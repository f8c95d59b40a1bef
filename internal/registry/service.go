package registry

import (
	"context"
	"crypto/rand"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/configure"
	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/incarnation"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/monotonic"
	"github.com/tamarindring/tamarindring/internal/pause"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	// missedHeartbeats is the number of heartbeats that a replica may miss before it is removed from service.
	missedHeartbeats = 3
	// addressHold is how long an address is reserved for the replica that last sent a heartbeat from it, in half
	// heartbeat intervals. A running replica sends one heartbeat per interval. With an interval of 1.2 s the hold is
	// 1.8 s, and it takes at least two seconds until a new replica uses the address of an ended one.
	addressHold = 3
	// removedRetention is how long the row of a removed replica is retained.
	removedRetention = 90 * time.Second
	// tickTimeout bounds the change that removes silent replicas.
	tickTimeout = time.Second
	// ticksPerSilence is the number of checks for silent replicas within the time after which a replica counts as
	// silent.
	ticksPerSilence = 8
)

// Config holds the dependencies and settings of a Service.
type Config struct {
	// Control reaches the leader of the control group. Required.
	Control configure.Control
	// View returns the followed view of the table, which may lag behind the newest one. Required; it may return nil.
	View func() *table.View
	// Leading reports whether this process leads the control group. Required.
	Leading func() bool
	// Relay forwards heartbeats to the leader's TakeRelayed and returns its answer. After an error it is unknown
	// whether any of them was recorded. Nil means that heartbeats are not forwarded.
	Relay func(ctx context.Context, heartbeats []*Registration) (taken []bool, err error)
	// Starts reports whether every process understands the starts of replicas, so that they may be recorded. An error
	// means that this is not known yet. Nil means that they are recorded.
	Starts func() (bool, error)
	// Heartbeat is the interval between two heartbeats of a replica. Required.
	Heartbeat time.Duration
	// Operator is the author of changes in the table's history. Default "registry".
	Operator string
	Clock    monotonic.Clock // default monotonic.Now
	Log      *logrus.Entry   // default: discarded
}

// Service processes replicas' heartbeats. It is safe for concurrent use.
type Service struct {
	config   Config
	batches  *batches
	relays   *relays // nil if heartbeats are not forwarded
	counts   *counts
	rejected atomic.Int64 // heartbeats that were rejected unread and are not logged yet

	mutex       sync.Mutex          // guards tracker
	tracker     *Tracker            // nil while this process does not lead
	onHeartbeat func(*Registration) // may be nil
}

// New returns a service. Call Run to have it remove silent replicas. New returns a trace.BadParameter error if a
// required field of config is missing.
func New(config Config) (*Service, error) {
	if config.Control == nil || config.View == nil || config.Leading == nil || config.Heartbeat <= 0 {
		return nil, trace.BadParameter("a registry needs control, view, leading and the heartbeats' interval")
	}
	if config.Operator == "" {
		config.Operator = "registry"
	}
	if config.Clock == nil {
		config.Clock = monotonic.Now
	}
	if config.Log == nil {
		config.Log = logging.Discard()
	}
	service := &Service{config: config, counts: newCounts()}
	service.batches = newBatches(&service.config)
	if config.Relay != nil {
		service.relays = newRelays(config.Relay)
	}
	return service, nil
}

// OnHeartbeat sets a listener that is called with every heartbeat that this process receives as the leader. Call it
// before the service is used.
func (s *Service) OnHeartbeat(listener func(*Registration)) { s.onHeartbeat = listener }

// Heartbeat processes one heartbeat. On success the table holds its values or newer ones. Heartbeat returns
// trace.BadParameter for an invalid heartbeat and ErrUnknownPool for a pool without configuration. After any other
// error it is unknown whether the heartbeat was recorded.
func (s *Service) Heartbeat(ctx context.Context, heartbeat *Registration) error {
	if err := heartbeat.Check(); err != nil {
		return err
	}
	if s.config.Leading() || s.relays == nil {
		return s.TakeHere(ctx, heartbeat)
	}
	switch err := s.relay(ctx, heartbeat); {
	case err == nil:
		return nil
	case !errors.Is(err, errRefused):
		return s.TakeHere(ctx, heartbeat) // perhaps the leader is lost
	case s.hasUnknownPool(heartbeat):
		return ErrUnknownPool
	}
	return errNotHeard // the leader is at work on it; a second registration from here would only add to that
}

// errNotHeard rejects a heartbeat without new information that did not reach the leader. If it were acknowledged, the
// replica would stay with a node that is cut off, and the leader would remove the replica as silent.
var errNotHeard = trace.ConnectionProblem(nil, "the leader did not hear the heartbeat")

// errAddressHeld rejects the first heartbeat of a replica whose address another replica used within addressHold.
var errAddressHeld = trace.ConnectionProblem(nil, "another replica spoke from that address a moment ago")

// ErrUnknownPool rejects a heartbeat whose pool is not in the configuration. Registering it would deregister the
// replica that has its address.
var ErrUnknownPool = &trace.NotFoundError{Message: "the configuration does not name the pool"}

// hasUnknownPool reports whether there is a configuration that does not include the replica's pool. Before the first
// configuration, any pool is accepted because it may be configured later.
func (s *Service) hasUnknownPool(heartbeat *Registration) bool {
	view := s.config.View()
	return view != nil && view.Pool(configure.RowName(heartbeat.Pool)) == nil && hasConfiguration(view)
}

// hasConfiguration reports whether the table has a route, and therefore a configuration.
func hasConfiguration(view *table.View) bool {
	return len(view.OfKind(table.Route)) > 0
}

// TakeHere is like Heartbeat, but does not forward the heartbeat to the leader.
func (s *Service) TakeHere(ctx context.Context, heartbeat *Registration) error {
	if err := heartbeat.Check(); err != nil {
		return err
	}
	heartbeat, err := s.stripUnrecordableStart(heartbeat)
	if err != nil {
		return err
	}
	if s.hasUnknownPool(heartbeat) {
		return ErrUnknownPool
	}
	heard := s.noteHeard(heartbeat)
	if view := s.config.View(); view != nil && Classify(view.Row(heartbeat.Instance), heartbeat) != Changed {
		s.logFormerStart(view, heartbeat)
		if !heard {
			return errNotHeard
		}
		return nil
	}
	if s.mustDefer(heartbeat) {
		return errAddressHeld
	}
	done, err := s.batches.submit(ctx, heartbeat.Incarnation(), heartbeat)
	if err == nil && done.version > 0 {
		s.logRegistered(done)
	}
	return err
}

// logFormerStart counts and logs a heartbeat of a start before the registered one. Either the heartbeat was delayed or
// the replica's clock is behind.
func (s *Service) logFormerStart(view *table.View, heartbeat *Registration) {
	row := view.Row(heartbeat.Instance)
	if row == nil || heartbeat.Incarnation().Compare(row.Incarnation()) != incarnation.Older {
		return
	}
	s.Skipped(SkippedEntry{Source: sourceHeartbeat, Reason: reasonFormer, Replica: heartbeat.Incarnation().String(),
		Cause: "registered is " + row.Instance})
}

// logRegistered logs a heartbeat that changed the table, and counts and logs the restart if it was one.
func (s *Service) logRegistered(done *pendingUpdate) {
	heartbeat := done.heartbeat
	logging.Emit(s.config.Log, &events.ReplicaRegistered{Replica: heartbeat.Instance, Start: heartbeat.Start, Pool: heartbeat.Pool,
		Address: heartbeat.Address, State: heartbeat.rowCells()[table.ColumnState], Heartbeat: heartbeat.Sequence, TableVersion: done.version})
	if done.formerStart > 0 {
		s.counts.restarts.WithLabelValues().Inc()
		logging.Emit(s.config.Log, &events.ReplicaRestarted{Replica: heartbeat.Instance, Start: heartbeat.Start, Former: done.formerStart,
			Address: heartbeat.Address, TableVersion: done.version})
	}
}

// mustDefer reports whether an unknown replica must not be registered yet, because another replica sent a heartbeat
// from the same address within addressHold. The unknown replica's heartbeat was then delayed in transit, and its sender
// has ended. Recording it would permanently deregister the running replica, because a registration deregisters all
// others at its address.
func (s *Service) mustDefer(heartbeat *Registration) bool {
	view := s.config.View()
	if view == nil || view.Row(heartbeat.Instance) != nil || !s.config.Leading() {
		return false
	}
	for _, row := range holders(view, heartbeat.Address) {
		ago, heard := s.sinceHeard(row.Name)
		if row.State == table.Removed || !heard || ago >= addressHold*s.config.Heartbeat/2 {
			continue
		}
		logging.Emit(s.config.Log, &events.ReplicaDeferred{Replica: heartbeat.Instance, Address: heartbeat.Address,
			Heartbeat: heartbeat.Sequence, Holder: row.Name, HeardMs: events.Millis(ago)})
		return true
	}
	return false
}

// sinceHeard returns the time since the last heartbeat of a replica. It returns false if this process has received none
// since it became the leader.
func (s *Service) sinceHeard(instance string) (time.Duration, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.currentTracker().SinceHeard(s.config.Clock(), instance)
}

// Deregister removes one start of a replica permanently. An unknown replica is not an error. After an error it is
// unknown whether the replica was removed.
func (s *Service) Deregister(ctx context.Context, leaving incarnation.Incarnation) error {
	if recorded, err := s.canRecordStarts(); err != nil {
		return err
	} else if !recorded {
		leaving.Start = 0
	}
	done, err := s.batches.submit(ctx, leaving, nil)
	if err == nil && done.version > 0 {
		logging.Emit(s.config.Log, &events.ReplicaRegistered{Replica: leaving.ID, Start: leaving.Start, State: string(table.Removed),
			TableVersion: done.version})
	}
	return err
}

// noteHeard notes a heartbeat in the tracker and passes it to the listener if this process leads. It reports whether
// this process leads.
func (s *Service) noteHeard(heartbeat *Registration) bool {
	if !s.config.Leading() {
		return false
	}
	s.mutex.Lock()
	s.currentTracker().NoteHeartbeat(s.config.Clock(), heartbeat)
	s.mutex.Unlock()
	if s.onHeartbeat != nil {
		s.onHeartbeat(heartbeat)
	}
	return true
}

// currentTracker returns the tracker of the current leadership and creates it if necessary. The caller holds the mutex.
func (s *Service) currentTracker() *Tracker {
	if s.tracker == nil {
		s.tracker = NewTracker(s.config.Clock(), TrackerConfig{Silence: missedHeartbeats * s.config.Heartbeat, Retention: removedRetention})
	}
	return s.tracker
}

// Run removes silent replicas while this process leads, until ctx ends.
func (s *Service) Run(ctx context.Context) {
	pause.Every(ctx, missedHeartbeats*s.config.Heartbeat/ticksPerSilence, s.tick)
}

// tick makes the change that removes silent replicas, if there is one and this process leads.
func (s *Service) tick(ctx context.Context) {
	s.logRejected()
	view := s.config.View()
	s.mutex.Lock()
	if !s.config.Leading() || view == nil {
		s.tracker = nil
		s.mutex.Unlock()
		return
	}
	change := s.currentTracker().Tick(s.config.Clock(), view)
	s.mutex.Unlock()
	if change == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tickTimeout)
	defer cancel()
	change.ChangeId, change.Operator = rand.Text(), s.config.Operator
	// After a conflict or an error the next tick decides again, because the replica may have sent a heartbeat
	// meanwhile.
	result, _, err := s.config.Control.ChangeTable(ctx, change, false)
	if err == nil && result.GetOutcome() == wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
		event := &events.ReplicasSilent{Dropped: len(change.RemoveRows), LimitMs: events.Millis(missedHeartbeats * s.config.Heartbeat)}
		for _, cell := range change.Cells {
			event.Silent = append(event.Silent, cell.GetRow())
		}
		logging.Emit(s.config.Log, event)
	}
}
