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
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	// renewalsPerLease is the number of renewals sent within the duration of a lease. A pause of up to five sixths of
	// the lease does not lose it.
	renewalsPerLease = 6
	// silenceDivisor sets the limit on silence: after lease/silenceDivisor without a grant or update the session
	// tries another control node.
	silenceDivisor = 3
	// firstRenewalInterval is the renewal interval until the first grant tells the lease's duration.
	firstRenewalInterval = 200 * time.Millisecond
	// sentHistory is the number of renewals whose send times and demands are remembered. A grant for an older renewal
	// is ignored.
	sentHistory = 64
)

// errIncarnationChanged ends an attachment because the member has taken another incarnation. A stream belongs to a
// single incarnation, so the session has to attach again.
var errIncarnationChanged = errors.New("controlclient: the incarnation of this process has changed")

// errLeaderUnknown ends an attachment to a node that knows no leader.
var errLeaderUnknown = errors.New("controlclient: the control node knows no leader")

// attachment is one session stream to one control node. Only the run goroutine uses it, except for read, which runs
// in a goroutine of its own.
type attachment struct {
	session           *Session
	address           string
	stream            wire.DRPCControl_SessionClient
	replies           chan *wire.SessionReply
	failed            chan error // receives the error that ended the stream; capacity 1
	sequence          uint64
	sentAt            [sentHistory]time.Duration          // by sequence modulo sentHistory
	sentDemands       [sentHistory][]share.ResourceDemand // demands sent, by sequence modulo sentHistory
	sharesSequence    uint64                              // sequence of the newest renewal whose shares were applied
	lease             time.Duration                       // duration of the last lease granted on this stream
	lastHeard         time.Duration                       // time of the last grant or update
	leaveSequence     uint64                              // sequence of the first renewal that said leaving; 0 if none did
	invitationPending bool                                // an invitation was answered by a renewal that has no reply yet
}

// run keeps the session attached to the leader until ctx ends or the leader has confirmed a leave.
func (s *Session) run(ctx context.Context) {
	defer close(s.stopped)
	var wait backoff
	failed := "" // the last known leader, once it has stopped answering
	for ctx.Err() == nil {
		if !s.client.knowsLeader(ControlGroup) {
			s.awaitLeader(ctx, failed)
			failed = ""
		}
		address := s.client.nextAddress(ControlGroup)
		leased, redirect, err := s.attach(ctx, address)
		if ctx.Err() != nil || s.hasLeft() {
			return
		}
		if errors.Is(err, errIncarnationChanged) {
			continue
		}
		if drpcerr.Code(err) == auth.RejectedTokenCode {
			s.reportRefusal(address, err)
		}
		s.client.forgetLeader(ControlGroup, address)
		if redirect != "" && redirect != address {
			s.client.setLeader(ControlGroup, redirect)
		} else {
			s.client.rotate(address)
			failed = address
		}
		if leased {
			s.logControlLost(address, err)
		}
		if leased || errors.Is(err, errLeaderUnknown) {
			wait.reset() // awaitLeader is the wait in this case
		}
		if !wait.sleep(ctx) {
			return
		}
	}
}

// reportRefusal passes the first rejection of the token to StartSession, which may be waiting, and logs later ones.
func (s *Session) reportRefusal(address string, err error) {
	select {
	case s.refused <- trace.AccessDenied("control node %s: %v", address, err):
	default:
		s.client.config.Log.Warnf("control node %s: %v", address, err)
	}
}

// hasLeft reports whether the leader has confirmed that this process left.
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

// attach serves one stream until it breaks. leased reports that a lease was granted on it. redirect is the leader's
// address if the node named one.
func (s *Session) attach(ctx context.Context, address string) (leased bool, redirect string, err error) {
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
		replies:   make(chan *wire.SessionReply),
		failed:    make(chan error, 1),
		lastHeard: s.client.config.Clock(),
	}
	readerDone := make(chan struct{})
	s.sharing.resetReported()
	go a.read(streamContext, readerDone)
	leased, redirect, err = a.serve(ctx)
	cancel()
	_ = conn.Close()
	<-readerDone
	return leased, redirect, err
}

// read passes replies to serve until the stream breaks or ctx ends.
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

// serve sends renewals, handles replies, and gives the node up when it is silent for too long.
func (a *attachment) serve(ctx context.Context) (leased bool, redirect string, err error) {
	if err := a.renew(); err != nil {
		return false, "", err
	}
	timer := time.NewTimer(a.interval())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return leased, "", ctx.Err()
		case err := <-a.failed:
			return leased, "", err
		case <-a.session.renewSignal:
			if err := a.renew(); err != nil {
				return leased, "", err
			}
		case <-timer.C:
			if a.isSilent() {
				return leased, "", trace.ConnectionProblem(nil, "no answer to renewals")
			}
			if err := a.renew(); err != nil {
				return leased, "", err
			}
			timer.Reset(a.interval())
		case reply := <-a.replies:
			granted, done, err := a.handle(reply)
			if done || err != nil {
				return leased, reply.LeaderAddress, err
			}
			leased = leased || granted
		}
	}
}

// handle processes one reply. done reports that this stream is of no further use.
func (a *attachment) handle(reply *wire.SessionReply) (granted, done bool, err error) {
	s := a.session
	if len(reply.PackedUpdate) > 0 {
		if reply.Update, err = wire.UnpackUpdate(reply.PackedUpdate); err != nil {
			return false, true, err
		}
	}
	if reply.Granted || reply.Update != nil {
		a.lastHeard = s.client.config.Clock()
	}
	for _, known := range reply.LedgerIndexes {
		s.client.learnIndex(known.Group, known.Index)
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
	a.invitationPending = false
	if reply.SupersededBy != 0 && s.raiseIncarnation(reply.SupersededBy) {
		return false, true, errIncarnationChanged
	}
	if a.leaveSequence != 0 && reply.Sequence >= a.leaveSequence {
		s.leaveOnce.Do(func() { close(s.leaving) })
		return false, true, nil
	}
	if reply.Granted && reply.Sequence+sentHistory > a.sequence && reply.Sequence <= a.sequence {
		a.lease = time.Duration(reply.LeaseMillis) * time.Millisecond
		s.recordRenewer(a.address, a.lease)
		s.recordLevel(reply.Level)
		s.extendLease(a.sentAt[reply.Sequence%sentHistory], a.lease)
		a.takeShares(reply)
		granted = true
	}
	if reply.Update == nil {
		return granted, false, nil
	}
	if err := s.applyUpdate(reply.Update); err != nil {
		return granted, true, err
	}
	return granted, false, a.renew()
}

// takeShares applies the shares of a grant, unless those of a newer renewal were applied already.
func (a *attachment) takeShares(reply *wire.SessionReply) {
	s, at := a.session, reply.Sequence%sentHistory
	if reply.Sequence < a.sharesSequence {
		return // shares of a newer renewal are in force
	}
	a.sharesSequence = reply.Sequence
	if s.sharing.applyGrant(a.sentDemands[at], reply, a.sentAt[at], a.lease) {
		s.RenewEarly()
	}
	if changed := s.sharing.listener(); changed != nil && len(reply.Shares) > 0 {
		changed()
	}
}

// acceptInvitation renews at once, unless the renewal that answered an earlier invitation has no reply yet. One
// renewal per invitation would let a node that sends many invitations push unanswered renewals out of the sentHistory
// window, outside of which grants are ignored.
func (a *attachment) acceptInvitation() error {
	if a.invitationPending {
		return nil
	}
	a.invitationPending = true
	return a.renew()
}

// renew sends one renewal. The lease it obtains is counted from before the send.
func (a *attachment) renew() error {
	s := a.session
	s.mutex.Lock()
	leaving := s.leaving != nil
	s.mutex.Unlock()
	a.sequence++
	if leaving && a.leaveSequence == 0 {
		a.leaveSequence = a.sequence
	}
	a.sentAt[a.sequence%sentHistory] = s.client.config.Clock()
	due := s.sharing.takeDue()
	a.sentDemands[a.sequence%sentHistory] = due
	request := &wire.SessionRequest{
		Member:       s.member.Load(),
		Sequence:     a.sequence,
		ActedVersion: s.view.Load().Version(),
		Leaving:      leaving,

		MembersVersion: s.Members().MembersVersion,
		AcceptsPacked:  true,
		Scope:          s.client.config.Scope,

		Demands: encodeDemands(due), SharesFrom: a.sharesSequence,
	}
	if err := a.stream.Send(request); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(flush(a.stream))
}

// interval returns the time until the next renewal, with up to 10% of jitter so that the renewals of many processes
// spread out.
func (a *attachment) interval() time.Duration {
	interval := a.lease / renewalsPerLease
	if interval <= 0 {
		interval = firstRenewalInterval
	}
	return interval - interval/10 + rand.N(interval/10+1)
}

// isSilent reports whether the node has sent no grant or update for so long that another node must be tried.
func (a *attachment) isSilent() bool {
	limit := max(a.lease/silenceDivisor, 2*firstRenewalInterval)
	return a.session.client.config.Clock()-a.lastHeard > limit
}

// raiseIncarnation handles the news that another start under this name holds the incarnation held. A process that
// never held a lease takes a higher incarnation, if there is one, and returns true: the other start is an earlier
// one, made while the clock was ahead of its present time. A process that held a lease returns false: the other start
// came later and supersedes this one.
func (s *Session) raiseIncarnation(held uint64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before := s.member.Load()
	if s.everHeld {
		if held > max(s.loggedIncarnation, before.Incarnation) {
			s.loggedIncarnation = held
			other := &wire.Member{Name: before.Name, Incarnation: held}
			logging.Emit(s.client.config.Log, &events.StartSuperseded{Member: wire.OwnerName(before), By: wire.OwnerName(other)})
		}
		return false
	}
	now, later := withIncarnationAfter(before, held)
	if later {
		s.member.Store(now)
		s.client.logRenumbered(before, now)
	}
	return later
}
