package sim

import (
	"time"

	"github.com/tamarindring/tamarindring/internal/lease"
	"github.com/tamarindring/tamarindring/internal/state"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// serverSession is a control node's end of one lease holder's stream, like control.session.
type serverSession struct {
	control     *control
	holder      lease.HolderID
	replies     *stream
	attachment  *attachment
	sentVersion uint64 // newest table version that the holder has or was sent
}

func (s *serverSession) reply(reply *wire.SessionReply) {
	s.replies.send(func() { s.attachment.handleReply(reply) })
}

// push sends the holder the table changes that it lacks.
func (s *serverSession) push() {
	if update := s.takeUpdate(); update != nil {
		s.reply(&wire.SessionReply{Update: update})
	}
}

func (s *serverSession) takeUpdate() *wire.TableUpdate {
	if s.sentVersion >= s.control.tableVersion {
		return nil
	}
	update := s.control.controlGroup().machine.TableUpdate(s.sentVersion)
	s.sentVersion = update.ToVersion
	return update
}

func (s *serverSession) answer(sequence uint64, granted bool) {
	reply := &wire.SessionReply{Sequence: sequence, Granted: granted, Update: s.takeUpdate()}
	if granted {
		reply.LeaseMillis = uint32(s.control.settings.Lease.Milliseconds())
		reply.ControlAddresses = s.control.nodeNames()
		for _, g := range s.control.host.groups[1:] {
			reply.LedgerIndexes = append(reply.LedgerIndexes, &wire.LedgerIndex{Group: g.id, Index: g.applied})
		}
	}
	s.reply(reply)
}

func (s *serverSession) redirect(address string) {
	if address != "" {
		s.reply(&wire.SessionReply{LeaderAddress: address})
	}
}

// holderSession maintains a process's lease and table view, like controlclient.Session.
type holderSession struct {
	client      *client
	view        *table.View
	holder      *lease.Holder
	attachment  *attachment
	onUpdate    func(*table.View)
	everLeased  bool          // a lease was granted at least once
	lastGrantAt time.Duration // when the last grant arrived
}

const (
	firstRenewalInterval = 200 * time.Millisecond // renewal interval before the duration of the lease is known
	renewalsPerLease     = 6
	silenceDivisor       = 3 // a stream is closed after lease/silenceDivisor without a reply
	maxReattachDelay     = 20 * time.Millisecond
)

func (c *client) openSession(onUpdate func(*table.View)) *holderSession {
	s := &holderSession{client: c, view: table.NewView(), onUpdate: onUpdate,
		holder: lease.NewHolderUnsafe(c.world.mutation.leaseUnsafe())}
	s.attach()
	s.exitWithoutLease()
	return s
}

// firstLeaseTimeout is how long a process waits for its first lease before it exits (the flag start-time). Its
// supervisor restarts it with current settings, because the control nodes named in the old settings may have been
// replaced.
const firstLeaseTimeout = 30 * time.Second

// exitWithoutLease ends a process that has not obtained a first lease in time, and starts the check for a lost lease.
func (s *holderSession) exitWithoutLease() {
	s.client.after(firstLeaseTimeout, func() {
		if !s.everLeased {
			s.client.tracef("exits: no lease within the start-time limit")
			s.client.die()
		}
	})
	s.exitWhenLost()
}

// leaseLossTimeout is how long a process goes on without a lease before it exits (the flag lost-time). It is shorter
// than the flag's default so that runs reach it.
const leaseLossTimeout = time.Minute

func (s *holderSession) exitWhenLost() {
	s.client.after(leaseLossTimeout/12, func() {
		if s.everLeased && s.client.clock()-s.lastGrantAt > leaseLossTimeout {
			s.client.tracef("exits: no lease within the lost-time limit")
			s.client.die()
			return
		}
		s.exitWhenLost()
	})
}

// admit checks the lease at the point of dispatch. It returns the table version to act on and whether the lease is
// valid.
func (s *holderSession) admit() (uint64, bool) { return s.holder.Admit(s.client.clock()) }

// attachment is a holder's stream to one control node.
type attachment struct {
	session     *holderSession
	node        *host
	requests    *stream
	server      *serverSession
	sequence    uint64
	sentAt      map[uint64]time.Duration
	lastReplyAt time.Duration
	closed      bool
}

func (s *holderSession) attach() {
	node := s.client.selectNode(state.ControlGroup)
	network := s.client.world.network
	a := &attachment{session: s, node: node, requests: network.openStream(s.client.process, node.currentRun()),
		sentAt: map[uint64]time.Duration{}, lastReplyAt: s.client.clock()}
	s.attachment = a
	holder := lease.HolderID{Name: s.client.name, Incarnation: s.client.epoch}
	version, asking := s.view.Version(), s.client.currentRun()
	a.requests.send(func() {
		a.server = &serverSession{control: node.control, holder: holder, attachment: a, sentVersion: version,
			replies: network.openStream(node.process, asking)}
		node.control.sessions = append(node.control.sessions, a.server)
	})
	a.renew()
	a.schedule()
}

func (a *attachment) renew() {
	c := a.session.client
	a.sequence++
	a.sentAt[a.sequence] = c.clock()
	delete(a.sentAt, a.sequence-maxTrackedRenewals)
	request := &wire.SessionRequest{Sequence: a.sequence, ActedVersion: a.session.view.Version()}
	a.requests.send(func() {
		if a.server != nil && a.server.control == a.node.control {
			a.server.control.renew(renewal{session: a.server, request: request})
		}
	})
}

const maxTrackedRenewals = 64

func (a *attachment) schedule() {
	interval := lease.DefaultLease / renewalsPerLease
	interval -= a.session.client.world.randomDuration(0, interval/10)
	a.session.client.after(interval, func() {
		if a.closed {
			return
		}
		if a.session.client.clock()-a.lastReplyAt > max(lease.DefaultLease/silenceDivisor, 2*firstRenewalInterval) {
			a.close("")
			return
		}
		a.renew()
		a.schedule()
	})
}

// close abandons the stream and opens another one, at the node named by redirect if it is not empty.
func (a *attachment) close(redirect string) {
	if a.closed {
		return
	}
	a.closed = true
	if a.server != nil && a.server.control == a.node.control {
		a.server.control.removeSession(a.server)
	}
	c := a.session.client
	c.forgetLeader(state.ControlGroup, a.node.name)
	if redirect != "" && redirect != a.node.name {
		c.leaders[state.ControlGroup] = redirect
	} else {
		c.rotateFrom(a.node.name)
	}
	c.after(c.world.randomDuration(maxReattachDelay/2, maxReattachDelay), a.session.attach)
}

func (c *control) removeSession(gone *serverSession) {
	for i, open := range c.sessions {
		if open == gone {
			c.sessions = append(c.sessions[:i:i], c.sessions[i+1:]...)
			return
		}
	}
}

func (a *attachment) handleReply(reply *wire.SessionReply) {
	s := a.session
	if a.closed {
		return
	}
	if reply.Granted || reply.Update != nil {
		a.lastReplyAt = s.client.clock()
	}
	for _, known := range reply.LedgerIndexes {
		s.client.learnTicket(known.Group, known.Index)
	}
	s.client.learnNodes(reply.ControlAddresses)
	if reply.LeaderAddress != "" && !reply.Granted {
		a.close(reply.LeaderAddress)
		return
	}
	if sentAt, known := a.sentAt[reply.Sequence]; reply.Granted && known {
		if s.client.world.hasMutation(LeaseFromReply) {
			sentAt = s.client.clock()
		}
		s.everLeased, s.lastGrantAt = true, s.client.clock()
		s.holder.RecordRenewal(sentAt, time.Duration(reply.LeaseMillis)*time.Millisecond)
	}
	if reply.Update != nil {
		a.applyUpdate(reply.Update)
	}
}

func (a *attachment) applyUpdate(update *wire.TableUpdate) {
	s := a.session
	if update.ToVersion <= s.view.Version() && update.FromVersion != 0 {
		return
	}
	next, err := s.view.Apply(update)
	if err != nil || next.Version() < s.view.Version() {
		s.client.tracef("cannot apply a table update: %v", err)
		a.close("")
		return
	}
	s.view = next
	s.holder.ActOn(next.Version())
	s.client.world.truth.checkView(s.client.process, next)
	s.onUpdate(next)
	a.renew()
}
