package sim

import (
	"time"

	"github.com/tamarindring/tamarindring/internal/lease"
	"github.com/tamarindring/tamarindring/internal/state"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// serverSession is a control node's end of one holder's stream, as control.session is.
type serverSession struct {
	control *control
	holder  lease.HolderID
	replies *stream
	client  *attachment
	sent    uint64 // table version that the holder has or was sent
}

func (s *serverSession) reply(reply *wire.SessionReply) {
	s.replies.send(func() { s.client.handle(reply) })
}

// push sends the holder what it lacks of the table.
func (s *serverSession) push() {
	if update := s.due(); update != nil {
		s.reply(&wire.SessionReply{Update: update})
	}
}

func (s *serverSession) due() *wire.TableUpdate {
	if s.sent >= s.control.current {
		return nil
	}
	update := s.control.controlGroup().machine.TableUpdate(s.sent)
	s.sent = update.ToVersion
	return update
}

func (s *serverSession) answer(sequence uint64, granted bool) {
	reply := &wire.SessionReply{Sequence: sequence, Granted: granted, Update: s.due()}
	if granted {
		reply.LeaseMillis = uint32(s.control.settings.Lease.Milliseconds())
		reply.ControlAddresses = s.control.nodes()
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

// holderSession keeps a process's lease and view, as controlclient.Session does.
type holderSession struct {
	client     *client
	view       *table.View
	holder     *lease.Holder
	attachment *attachment
	onUpdate   func(*table.View)
	everHeld   bool
	heardAt    time.Duration // the last grant
}

const (
	firstRenewal     = 200 * time.Millisecond
	renewalsPerLease = 6
	silenceFraction  = 3
	reattachPause    = 20 * time.Millisecond
)

func (c *client) openSession(onUpdate func(*table.View)) *holderSession {
	s := &holderSession{client: c, view: table.NewView(), onUpdate: onUpdate,
		holder: lease.NewHolderUnsafe(c.world.mutation.leaseUnsafe())}
	s.attach()
	s.exitWithoutLease()
	return s
}

// startTime is how long a role waits for its first lease before it exits (the flag start-time). Its supervisor starts
// it again with the settings of the moment: those that it had may name control nodes that are replaced by now.
const startTime = 30 * time.Second

// exitWithoutLease ends a process that found no control node.
func (s *holderSession) exitWithoutLease() {
	s.client.after(startTime, func() {
		if !s.everHeld {
			s.client.tracef("has found no control leader, exits")
			s.client.die()
		}
	})
	s.exitWhenLost()
}

// lostTime is how long a role goes on without a lease (the flag lost-time); shorter than its default, so that runs
// reach it.
const lostTime = time.Minute

func (s *holderSession) exitWhenLost() {
	s.client.after(lostTime/12, func() {
		if s.everHeld && s.client.clock()-s.heardAt > lostTime {
			s.client.tracef("is lost, exits")
			s.client.die()
			return
		}
		s.exitWhenLost()
	})
}

// admit is the check at the point of dispatch.
func (s *holderSession) admit() (uint64, bool) { return s.holder.Admit(s.client.clock()) }

// attachment is one stream to one control node.
type attachment struct {
	session  *holderSession
	node     *host
	requests *stream
	server   *serverSession
	sequence uint64
	sentAt   map[uint64]time.Duration
	heard    time.Duration
	closed   bool
}

func (s *holderSession) attach() {
	node := s.client.pick(state.ControlGroup)
	network := s.client.world.network
	a := &attachment{session: s, node: node, requests: network.open(s.client.process, node.thisRun()),
		sentAt: map[uint64]time.Duration{}, heard: s.client.clock()}
	s.attachment = a
	holder := lease.HolderID{Name: s.client.name, Incarnation: s.client.epoch}
	version, asking := s.view.Version(), s.client.thisRun()
	a.requests.send(func() {
		a.server = &serverSession{control: node.control, holder: holder, client: a, sent: version,
			replies: network.open(node.process, asking)}
		node.control.sessions = append(node.control.sessions, a.server)
	})
	a.renew()
	a.schedule()
}

func (a *attachment) renew() {
	c := a.session.client
	a.sequence++
	a.sentAt[a.sequence] = c.clock()
	delete(a.sentAt, a.sequence-sentMemory)
	request := &wire.SessionRequest{Sequence: a.sequence, ActedVersion: a.session.view.Version()}
	a.requests.send(func() {
		if a.server != nil && a.server.control == a.node.control {
			a.server.control.renew(renewal{session: a.server, request: request})
		}
	})
}

const sentMemory = 64

func (a *attachment) schedule() {
	interval := lease.DefaultLease / renewalsPerLease
	interval -= a.session.client.world.between(0, interval/10)
	a.session.client.after(interval, func() {
		if a.closed {
			return
		}
		if a.session.client.clock()-a.heard > max(lease.DefaultLease/silenceFraction, 2*firstRenewal) {
			a.close("")
			return
		}
		a.renew()
		a.schedule()
	})
}

// close gives the stream up and opens another one.
func (a *attachment) close(redirect string) {
	if a.closed {
		return
	}
	a.closed = true
	if a.server != nil && a.server.control == a.node.control {
		a.server.control.forget(a.server)
	}
	c := a.session.client
	c.forgetLeader(state.ControlGroup, a.node.name)
	if redirect != "" && redirect != a.node.name {
		c.leaders[state.ControlGroup] = redirect
	} else {
		c.rotate(a.node.name)
	}
	c.after(c.world.between(reattachPause/2, reattachPause), a.session.attach)
}

func (c *control) forget(gone *serverSession) {
	for i, open := range c.sessions {
		if open == gone {
			c.sessions = append(c.sessions[:i:i], c.sessions[i+1:]...)
			return
		}
	}
}

func (a *attachment) handle(reply *wire.SessionReply) {
	s := a.session
	if a.closed {
		return
	}
	if reply.Granted || reply.Update != nil {
		a.heard = s.client.clock()
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
		if s.client.world.mutated(LeaseFromReply) {
			sentAt = s.client.clock()
		}
		s.everHeld, s.heardAt = true, s.client.clock()
		s.holder.Renewed(sentAt, time.Duration(reply.LeaseMillis)*time.Millisecond)
	}
	if reply.Update != nil {
		a.update(reply.Update)
	}
}

func (a *attachment) update(update *wire.TableUpdate) {
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
	s.client.world.truth.viewMoved(s.client.process, next)
	s.onUpdate(next)
	a.renew()
}
