package controlclient

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"
	"storj.io/drpc/drpcerr"

	"github.com/tamarindring/tamarindring/internal/auth"
	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/member"
	"github.com/tamarindring/tamarindring/internal/share"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	// renewalsPerLease is how often a lease is renewed within its duration: a pause of up to five
	// sixths of it is survived.
	renewalsPerLease = 6
	// silenceFraction of a lease without any reply makes the session try another control node.
	silenceFraction = 3
	// firstRenewal is the renewal interval before the lease's duration is known.
	firstRenewal = 200 * time.Millisecond
	// sentMemory is the number of renewals whose send time is remembered.
	sentMemory = 64
)

// errRenumbered ends an attachment of a start whose number is changed: a stream speaks for one.
var errRenumbered = errors.New("controlclient: this start has another number now")

// errLeaderUnknown ends an attachment to a node that knows no leader.
var errLeaderUnknown = errors.New("controlclient: the control node knows no leader")

// attachment is one stream to one control node.
type attachment struct {
	session  *Session
	address  string
	stream   wire.DRPCControl_SessionClient
	replies  chan *wire.SessionReply
	failed   chan error
	sequence uint64
	sentAt   [sentMemory]time.Duration // by sequence
	told     [sentMemory][]share.Told  // by sequence
	shares   uint64                    // sequence of the newest renewal whose shares are acted on
	lease    time.Duration
	heard    time.Duration // time of the last grant or update
	leaveAt  uint64        // sequence of the renewal that said leaving
	invited  bool          // an invitation was answered by a renewal that has no reply yet
}

// run keeps one attachment alive until ctx ends.
func (s *Session) run(ctx context.Context) {
	defer close(s.stopped)
	var wait backoff
	failed := "" // the node that led last, as far as was known, and does not answer
	for ctx.Err() == nil {
		if !s.client.knowsLeader(ControlGroup) {
			s.awaitLeader(ctx, failed)
			failed = ""
		}
		address := s.client.pick(ControlGroup)
		worked, redirect, err := s.attach(ctx, address)
		if ctx.Err() != nil || s.hasLeft() {
			return
		}
		if errors.Is(err, errRenumbered) {
			continue
		}
		if drpcerr.Code(err) == auth.RefusedCode {
			s.noteRefusal(address, err)
		}
		s.client.forgetLeader(ControlGroup, address)
		if redirect != "" && redirect != address {
			s.client.setLeader(ControlGroup, redirect)
		} else {
			s.client.rotate(address)
			failed = address
		}
		if worked {
			s.logLoss(address, err)
		}
		if worked || errors.Is(err, errLeaderUnknown) {
			wait.reset() // awaitLeader waits
		}
		if !wait.sleep(ctx) {
			return
		}
	}
}

// noteRefusal tells StartSession, or the log when the session runs, that the token is not accepted.
func (s *Session) noteRefusal(address string, err error) {
	select {
	case s.refused <- trace.AccessDenied("control node %s: %v", address, err):
	default:
		s.client.config.Log.Warnf("control node %s: %v", address, err)
	}
}

func (s *Session) hasLeft() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.leaving == nil {
		return false
	}
	select {
	case <-s.leaving:
		return true
	default:
		return false
	}
}

// attach serves one stream until it breaks. worked tells that a lease was granted on it; redirect is
// the leader's address if the node named one.
func (s *Session) attach(ctx context.Context, address string) (worked bool, redirect string, err error) {
	conn, err := openControl(ctx, &s.client.config, address)
	if err != nil {
		return false, "", err
	}
	defer conn.Close()
	streamContext, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := wire.NewDRPCControlClient(conn).Session(s.client.config.Credentials.Context(streamContext))
	if err != nil {
		return false, "", trace.Wrap(err)
	}
	a := &attachment{
		session: s, address: address, stream: stream,
		replies: make(chan *wire.SessionReply),
		failed:  make(chan error, 1),
		heard:   s.client.config.Clock(),
	}
	readerDone := make(chan struct{})
	s.sharing.reattached()
	go a.read(streamContext, readerDone)
	worked, redirect, err = a.serve(ctx)
	cancel()
	_ = conn.Close()
	<-readerDone
	return worked, redirect, err
}

func (a *attachment) read(ctx context.Context, done chan struct{}) {
	defer close(done)
	for {
		reply, err := a.stream.Recv()
		if err != nil {
			a.failed <- err
			return
		}
		select {
		case a.replies <- reply:
		case <-ctx.Done():
			return
		}
	}
}

// serve renews, applies updates and watches for silence.
func (a *attachment) serve(ctx context.Context) (worked bool, redirect string, err error) {
	if err := a.renew(); err != nil {
		return false, "", err
	}
	timer := time.NewTimer(a.interval())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return worked, "", ctx.Err()
		case err := <-a.failed:
			return worked, "", err
		case <-a.session.kick:
			if err := a.renew(); err != nil {
				return worked, "", err
			}
		case <-timer.C:
			if a.silent() {
				return worked, "", trace.ConnectionProblem(nil, "no answer to renewals")
			}
			if err := a.renew(); err != nil {
				return worked, "", err
			}
			timer.Reset(a.interval())
		case reply := <-a.replies:
			granted, done, err := a.handle(reply)
			if done || err != nil {
				return worked, reply.LeaderAddress, err
			}
			worked = worked || granted
		}
	}
}

// handle acts on one reply. done means that this stream is of no further use.
func (a *attachment) handle(reply *wire.SessionReply) (granted, done bool, err error) {
	s := a.session
	if len(reply.PackedUpdate) > 0 {
		if reply.Update, err = wire.UnpackUpdate(reply.PackedUpdate); err != nil {
			return false, true, err
		}
	}
	if reply.Granted || reply.Update != nil {
		a.heard = s.client.config.Clock()
	}
	for _, known := range reply.LedgerIndexes {
		s.client.learnTicket(known.Group, known.Index)
	}
	s.client.learnAddresses(reply.ControlAddresses)
	if reply.Members != nil {
		s.members.Store(member.Merge(s.Members(), reply.Members))
	}
	if reply.LeaderAddress != "" && !reply.Granted {
		return false, true, nil
	}
	if reply.LeaderUnknown {
		return false, true, errLeaderUnknown
	}
	if isInvitation(reply) {
		return false, false, a.acceptInvitation()
	}
	a.invited = false
	if reply.SupersededBy != 0 && s.renumber(reply.SupersededBy) {
		return false, true, errRenumbered
	}
	if a.leaveAt != 0 && reply.Sequence >= a.leaveAt {
		s.leaveOnce.Do(func() { close(s.leaving) })
		return false, true, nil
	}
	if reply.Granted && reply.Sequence+sentMemory > a.sequence && reply.Sequence <= a.sequence {
		a.lease = time.Duration(reply.LeaseMillis) * time.Millisecond
		s.noteRenewer(a.address, a.lease)
		s.noteLevel(reply.Level)
		s.grant(a.sentAt[reply.Sequence%sentMemory], a.lease)
		a.takeShares(reply)
		granted = true
	}
	if reply.Update == nil {
		return granted, false, nil
	}
	if err := s.apply(reply.Update); err != nil {
		return granted, true, err
	}
	return granted, false, a.renew()
}

// takeShares acts on the shares of a grant from now on.
func (a *attachment) takeShares(reply *wire.SessionReply) {
	s, at := a.session, reply.Sequence%sentMemory
	if reply.Sequence < a.shares {
		return // a newer answer is acted on
	}
	a.shares = reply.Sequence
	if s.sharing.granted(a.told[at], reply, a.sentAt[at], a.lease) {
		s.RenewSoon()
	}
	if changed := s.sharing.listener(); changed != nil && len(reply.Shares) > 0 {
		changed()
	}
}

// acceptInvitation renews at once, unless the renewal that answered an earlier invitation is still without a reply. A
// renewal for each would let a node that sends many push the unanswered ones past sentMemory, where no grant counts.
func (a *attachment) acceptInvitation() error {
	if a.invited {
		return nil
	}
	a.invited = true
	return a.renew()
}

// renew sends one renewal; the lease that it brings counts from before the send.
func (a *attachment) renew() error {
	s := a.session
	s.mutex.Lock()
	leaving := s.leaving != nil
	s.mutex.Unlock()
	a.sequence++
	if leaving && a.leaveAt == 0 {
		a.leaveAt = a.sequence
	}
	a.sentAt[a.sequence%sentMemory] = s.client.config.Clock()
	due := s.sharing.due()
	a.told[a.sequence%sentMemory] = due
	request := &wire.SessionRequest{
		Member:       s.member.Load(),
		Sequence:     a.sequence,
		ActedVersion: s.view.Load().Version(),
		Leaving:      leaving,

		MembersVersion: s.Members().MembersVersion,
		AcceptsPacked:  true,

		Demands: demands(due), SharesFrom: a.shares,
	}
	if err := a.stream.Send(request); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(flush(a.stream))
}

// interval is the time until the next renewal, jittered so that a fleet's renewals spread.
func (a *attachment) interval() time.Duration {
	interval := a.lease / renewalsPerLease
	if interval <= 0 {
		interval = firstRenewal
	}
	return interval - interval/10 + rand.N(interval/10+1)
}

// silent says whether the node has not answered for so long that another must be tried.
func (a *attachment) silent() bool {
	limit := max(a.lease/silenceFraction, 2*firstRenewal)
	return a.session.client.config.Clock()-a.heard > limit
}

// renumber takes a number above that of another start under this name, as of an earlier one when the clock was ahead of the present one;
// false for a process that held a lease: it is the other start that came later, and this one is out.
func (s *Session) renumber(held uint64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before := s.member.Load()
	if s.everHeld {
		if held > max(s.outranked, before.Incarnation) {
			s.outranked = held
			other := &wire.Member{Name: before.Name, Incarnation: held}
			logging.Emit(s.client.config.Log, &events.StartSuperseded{Member: wire.OwnerName(before), By: wire.OwnerName(other)})
		}
		return false
	}
	now, later := after(before, held)
	if later {
		s.member.Store(now)
		s.client.noteRenumbered(before, now)
	}
	return later
}

// grant extends the lease from the moment its renewal was sent.
func (s *Session) grant(sentAt, duration time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.leaving != nil {
		return
	}
	now := s.client.config.Clock()
	_, held := s.holder.Admit(now)
	s.noteLease(now, held) // one that ended unnoticed
	s.holder.Renewed(sentAt, duration)
	_, held = s.holder.Admit(now)
	s.noteLease(now, held)
	if !s.everHeld {
		s.everHeld = true
		close(s.granted)
	}
}

// apply swaps the view; from here on nothing is admitted on an older one, so the next renewal may
// acknowledge it.
func (s *Session) apply(update *wire.TableUpdate) error {
	current := s.view.Load()
	if update.ToVersion <= current.Version() && update.FromVersion != 0 {
		return nil
	}
	next, err := current.Apply(update)
	if err != nil {
		return trace.Wrap(err, "the table update can't be applied")
	}
	if next.Version() < current.Version() {
		return trace.BadParameter("the control node sent table version %d after %d", next.Version(), current.Version())
	}
	s.mutex.Lock()
	s.view.Store(next)
	s.holder.ActOn(next.Version())
	listeners := s.listeners
	s.mutex.Unlock()
	notify(listeners, next)
	return nil
}

func notify(listeners []func(*table.View), view *table.View) {
	for _, listener := range listeners {
		listener(view)
	}
}
