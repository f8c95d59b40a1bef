package controlclient

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/compat"
	"github.com/tamarindring/tamarindring/internal/lease"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// Session makes this process a member that may act on the table. It renews the lease, follows table and member
// updates, learns ledger indexes, and reconnects by itself. It is safe for concurrent use.
type Session struct {
	client     *Client
	member     atomic.Pointer[wire.Member] // its incarnation is final from the first grant on
	cancel     context.CancelFunc
	stopped    chan struct{} // closed when the session's goroutine has ended
	firstGrant chan struct{} // closed at the first lease grant
	refused    chan error    // receives the error if a control node rejects the token; capacity 1

	view    atomic.Pointer[table.View]
	level   atomic.Uint32 // level in force, as last announced by a leader
	members atomic.Pointer[wire.MembersView]
	renewer atomic.Pointer[string] // address of the node that granted the last lease
	sharing *shareState

	loggedNode string // control node in the last ControlFound event, "" once it was lost; used by the run goroutine only

	mutex             sync.Mutex // guards the fields below, and makes each change of view and holder atomic
	holder            *lease.Holder
	listeners         []func(*table.View)
	everHeld          bool
	loggedHeld        bool          // whether the last lease event reported that the lease is held
	leaseEndedAt      time.Duration // when the last lease ended, while none is held
	leaving           chan struct{} // non-nil once Leave was called; closed when the leader has confirmed
	leaveOnce         sync.Once
	loggedIncarnation uint64        // highest superseding incarnation that was logged
	renewSignal       chan struct{} // makes the run goroutine renew at once; capacity 1
}

// StartSession registers this process and returns once it holds a lease and a view of the table, or when ctx ends.
// The session does not depend on ctx afterwards: it runs until Leave or Close. Errors: trace.BadParameter without a
// member name, trace.AccessDenied if a control node rejects the token, trace.ConnectionProblem otherwise.
func (c *Client) StartSession(ctx context.Context) (*Session, error) {
	if c.config.Member.GetName() == "" {
		return nil, trace.BadParameter("a session needs a member name")
	}
	session := c.newSession()
	runContext, cancel := context.WithCancel(c.context)
	session.cancel = cancel
	go session.run(runContext)
	select {
	case <-session.firstGrant:
		return session, nil
	case <-ctx.Done():
		session.Close()
		return nil, trace.ConnectionProblem(ctx.Err(), "no control leader granted a lease to %s", c.config.Member.Name)
	case err := <-session.refused:
		session.Close()
		return nil, err
	case <-session.stopped:
		return nil, trace.ConnectionProblem(nil, "the control client is closed")
	}
}

// newMember returns the configured member with its defaults. The incarnation defaults to the wall clock in
// milliseconds.
func (c *Client) newMember() *wire.Member {
	member := proto.Clone(c.config.Member).(*wire.Member)
	if member.Incarnation == 0 {
		member.Incarnation = uint64(time.Now().UnixMilli())
	}
	member.Speaks = uint32(compat.Newest)
	if member.State == wire.MemberState_MEMBER_STATE_UNSPECIFIED {
		member.State = wire.MemberState_MEMBER_STATE_ALIVE
	}
	return member
}

// newSession returns a session that is not running yet.
func (c *Client) newSession() *Session {
	session := &Session{
		client:       c,
		stopped:      make(chan struct{}),
		firstGrant:   make(chan struct{}),
		refused:      make(chan error, 1),
		holder:       lease.NewHolder(),
		renewSignal:  make(chan struct{}, 1),
		sharing:      newShareState(),
		leaseEndedAt: c.config.Clock(),
	}
	session.member.Store(c.newMember())
	session.view.Store(table.NewView())
	session.members.Store(&wire.MembersView{})
	return session
}

// Owner returns the name under which this process owns claims.
func (s *Session) Owner() string { return wire.OwnerName(s.member.Load()) }

// View returns the current view of the table. It is never nil; before the first update it is empty.
func (s *Session) View() *table.View { return s.view.Load() }

// Members returns the last member list received from the leader. Callers must not modify it.
func (s *Session) Members() *wire.MembersView { return s.members.Load() }

// Level returns the level in force as announced with the lease, or compat.Base before the first grant. It never
// falls.
func (s *Session) Level() compat.Level { return compat.Level(s.level.Load()) }

// RenewedBy returns the address of the control node that granted the last lease, or "" before the first grant.
func (s *Session) RenewedBy() string {
	if address := s.renewer.Load(); address != nil {
		return *address
	}
	return ""
}

// LearnedIndex returns the highest ledger index of group that this process has learned, or 0 if it has learned none.
func (s *Session) LearnedIndex(group uint32) uint64 { return s.client.LearnedIndex(group) }

// Admit reports whether the lease is held at this instant, and for which table version. Work may be dispatched only
// if ok is true and only if it was decided on exactly this version. The answer is valid for this instant only, so
// call Admit at the point of dispatch and do not store the result.
func (s *Session) Admit() (version uint64, ok bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.client.config.Clock()
	version, ok = s.holder.Admit(now)
	s.logLeaseChange(now, ok)
	return version, ok
}

// AdmitView is like Admit and returns the view of the admitted version.
func (s *Session) AdmitView() (*table.View, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.client.config.Clock()
	_, ok := s.holder.Admit(now)
	s.logLeaseChange(now, ok)
	return s.view.Load(), ok
}

// OnUpdate registers a listener for table updates. It is called with each new view, after View returns that view and
// before the version is acknowledged to the leader. The listener must not block and must not call Leave or Close.
func (s *Session) OnUpdate(listener func(*table.View)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.listeners = append(slices.Clone(s.listeners), listener)
}

// Leave gives up the lease, tells the leader that this process stops on purpose, and closes the session. Nothing is
// admitted from the call on. It returns when the leader has confirmed, ctx ends or Config.LeaveTimeout has passed.
// Errors: trace.ConnectionProblem if the leader did not confirm.
func (s *Session) Leave(ctx context.Context) error {
	defer s.Close()
	ctx, cancel := context.WithTimeout(ctx, s.client.config.LeaveTimeout)
	defer cancel()
	s.mutex.Lock()
	s.holder.Drop()
	if s.leaving == nil {
		s.leaving = make(chan struct{})
	}
	confirmed := s.leaving
	s.mutex.Unlock()
	s.renewSoon()
	select {
	case <-confirmed:
		return nil
	case <-s.stopped:
		return trace.ConnectionProblem(nil, "the session was closed before the leader confirmed that %s left", s.member.Load().Name)
	case <-ctx.Done():
		return trace.ConnectionProblem(ctx.Err(), "the leader did not confirm that %s left; it will count as gone after its lease", s.member.Load().Name)
	}
}

// Close ends the session without telling the leader, which counts this process as gone when the lease has expired.
func (s *Session) Close() {
	s.mutex.Lock()
	s.holder.Drop()
	s.mutex.Unlock()
	s.cancel()
	<-s.stopped
}

// renewSoon makes the run goroutine send a renewal. Calls made before it is sent are merged.
func (s *Session) renewSoon() {
	select {
	case s.renewSignal <- struct{}{}:
	default:
	}
}
