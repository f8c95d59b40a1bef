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

// Session keeps this process a member that may act on the table: it renews the lease, follows the
// table and the members, and learns ledger indexes. It reconnects by itself.
type Session struct {
	client  *Client
	member  atomic.Pointer[wire.Member] // stands from the first grant on
	cancel  context.CancelFunc
	stopped chan struct{} // closed when the session's goroutine has ended
	granted chan struct{} // closed at the first grant
	refused chan error    // capacity 1: a control node does not accept the token

	view    atomic.Pointer[table.View]
	level   atomic.Uint32 // in force, as the leader told last
	members atomic.Pointer[wire.MembersView]
	renewer atomic.Pointer[string] // address of the node that granted the lease last
	sharing *sharing

	found string // by run: the control node that the log names as the present one

	mutex     sync.Mutex // guards what follows, and keeps view and holder in step
	holder    *lease.Holder
	listeners []func(*table.View)
	everHeld  bool
	holds     bool          // whether the log says that the lease holds
	lapsed    time.Duration // end of the last lease, while none holds
	leaving   chan struct{} // non-nil once Leave was called; closed when the leader has confirmed
	leaveOnce sync.Once
	outranked uint64        // highest number of another start of this name that the log tells of
	kick      chan struct{} // wakes the loop to renew at once
}

// StartSession registers this process and returns once it holds a lease and a view, or when ctx ends.
// The session lives on after ctx, until Leave or Close.
func (c *Client) StartSession(ctx context.Context) (*Session, error) {
	if c.config.Member.GetName() == "" {
		return nil, trace.BadParameter("a session needs a member name")
	}
	session := c.newSession()
	runContext, cancel := context.WithCancel(c.context)
	session.cancel = cancel
	go session.run(runContext)
	select {
	case <-session.granted:
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

// newMember is this process as a member: the configured one, with the incarnation of this start.
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

func (c *Client) newSession() *Session {
	session := &Session{
		client:  c,
		stopped: make(chan struct{}),
		granted: make(chan struct{}),
		refused: make(chan error, 1),
		holder:  lease.NewHolder(),
		kick:    make(chan struct{}, 1),
		sharing: newSharing(),
		lapsed:  c.config.Clock(),
	}
	session.member.Store(c.newMember())
	session.view.Store(table.NewView())
	session.members.Store(&wire.MembersView{})
	return session
}

// Owner is the name under which this process owns claims.
func (s *Session) Owner() string { return wire.OwnerName(s.member.Load()) }

// View returns the current table.
func (s *Session) View() *table.View { return s.view.Load() }

// Members returns the members as last heard from the leader. Callers must not change it.
func (s *Session) Members() *wire.MembersView { return s.members.Load() }

// Level returns the level in force as the leader told it with the lease: compat.Base before the first grant. It never falls.
func (s *Session) Level() compat.Level { return compat.Level(s.level.Load()) }

// RenewedBy returns the address of the control node that granted the lease last.
func (s *Session) RenewedBy() string {
	if address := s.renewer.Load(); address != nil {
		return *address
	}
	return ""
}

// Ticket returns the highest ledger index of group that this process has learned.
func (s *Session) Ticket(group uint32) uint64 { return s.client.Ticket(group) }

// Admit says whether the lease holds at this instant, and for which table version. Work may be
// dispatched only if ok and only if it was decided on exactly this version; the answer is worth
// nothing later, so ask at the point of dispatch and keep no permit.
func (s *Session) Admit() (version uint64, ok bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.client.config.Clock()
	version, ok = s.holder.Admit(now)
	s.noteLease(now, ok)
	return version, ok
}

// AdmitView is Admit with the view of the version that it admits.
func (s *Session) AdmitView() (*table.View, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.client.config.Clock()
	_, ok := s.holder.Admit(now)
	s.noteLease(now, ok)
	return s.view.Load(), ok
}

// OnUpdate calls listener with each new view, after it is the current one and before it is
// acknowledged. The listener must not block and must not call Leave or Close.
func (s *Session) OnUpdate(listener func(*table.View)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.listeners = append(slices.Clone(s.listeners), listener)
}

// Leave gives the lease back and tells the leader that this process stops by plan. It returns when the
// leader has confirmed, ctx ends or Config.LeaveTimeout has passed; nothing is admitted from the call on. The
// session is closed.
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

// Close ends the session abruptly: the leader will find this process gone after its lease.
func (s *Session) Close() {
	s.mutex.Lock()
	s.holder.Drop()
	s.mutex.Unlock()
	s.cancel()
	<-s.stopped
}

func (s *Session) renewSoon() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}
