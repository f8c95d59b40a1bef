package sim

import (
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/tamarindring/tamarindring/internal/lease"
	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/state"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// leaseSettings are control.New's for the default lease.
func leaseSettings() lease.Settings {
	return lease.Settings{Lease: lease.DefaultLease, RenewInterval: lease.DefaultLease / 6}.WithDefaults()
}

// renewal is one request for a lease.
type renewal struct {
	session *serverSession
	request *wire.SessionRequest
}

// inForceWaiter is an accepted change whose reply waits until it is in force.
type inForceWaiter struct {
	version uint64
	until   time.Duration
	done    func(inForce uint64)
}

// control is the server of one control node; it follows package control: renewals are judged in rounds,
// each behind a read barrier of the control group.
type control struct {
	host     *host
	settings lease.Settings
	term     uint64 // in which leases are granted here
	granter  *lease.Granter
	current  uint64 // table version applied here
	renewals []renewal
	granting bool
	waiters  []inForceWaiter
	sessions []*serverSession
	ticks    int
}

func newControl(h *host) *control {
	return &control{host: h, settings: leaseSettings(), current: h.groups[state.ControlGroup].machine.TableVersion()}
}

func (c *control) controlGroup() *group { return c.host.groups[state.ControlGroup] }

func (c *control) leaderChanged() {
	if c.controlGroup().leadership.leading {
		if len(c.renewals) == 0 {
			c.confirm(func(uint64, bool) {})
		}
		return
	}
	c.term, c.granter = 0, nil
}

// tableChanged takes over the table as applied here and pushes it to the holders.
func (c *control) tableChanged() {
	version := c.controlGroup().machine.TableVersion()
	if version <= c.current {
		return
	}
	c.current = version
	if c.granter != nil {
		c.granter.Committed(c.host.clock(), version)
	}
	for _, open := range c.sessions {
		open.push()
	}
	c.serveWaiters()
}

func (c *control) renew(waiting renewal) {
	c.renewals = append(c.renewals, waiting)
	if !c.granting {
		c.grantRound()
	}
}

// grantRound confirms the leadership after the arrival of the renewals, then judges them.
func (c *control) grantRound() {
	batch := c.renewals
	c.renewals = nil
	if len(batch) == 0 {
		return
	}
	c.granting = true
	c.confirm(func(term uint64, confirmed bool) {
		c.granting = false
		for _, waiting := range batch {
			if confirmed {
				c.judge(term, waiting)
			} else {
				waiting.session.redirect(c.otherLeader(state.ControlGroup))
			}
		}
		c.serveWaiters()
		c.host.after(0, c.grantRound)
	})
}

// confirm runs a read round and tells the term that it confirmed.
func (c *control) confirm(done func(term uint64, confirmed bool)) {
	before := c.controlGroup().leadership
	if !before.leading {
		done(0, false)
		return
	}
	answered := false
	answer := func(term uint64, confirmed bool) {
		if !answered {
			answered = true
			done(term, confirmed)
		}
	}
	c.host.after(c.settings.Lease/2, func() { answer(0, false) })
	c.host.read(state.ControlGroup, func(err error) {
		after := c.controlGroup().leadership
		if err != nil || !after.leading || after.term != before.term || answered {
			answer(0, false)
			return
		}
		c.lead(after.term)
		answer(after.term, true)
	})
}

// lead starts granting in a term, with nothing known of earlier leaders' leases.
func (c *control) lead(term uint64) {
	if c.granter != nil && c.term == term {
		return
	}
	c.tableChanged()
	c.term = term
	c.granter = lease.NewGranterUnsafe(c.host.clock(), c.settings, c.current, c.host.world.mutation.leaseUnsafe())
	c.host.tracef("grants leases in term %d at table version %d", term, c.current)
}

func (c *control) judge(term uint64, waiting renewal) {
	holder, request := waiting.session.holder, waiting.request
	granted := false
	if c.granter != nil && c.term == term && request.ActedVersion <= c.current {
		granted = c.granter.Renew(holder, c.host.clock(), request.ActedVersion)
	}
	waiting.session.answer(request.Sequence, granted)
}

// inForce is the version below which no process acts; 0 while that is not known.
func (c *control) inForce() uint64 {
	if c.granter == nil {
		return 0
	}
	version := c.granter.InForce(c.host.clock())
	if c.host.world.mutated(InForceWithoutWaiting) {
		version = c.current
	}
	c.host.world.truth.calledInForce(c.host, version)
	return version
}

func (c *control) waitInForce(version uint64, limit time.Duration, done func(uint64)) {
	c.waiters = append(c.waiters, inForceWaiter{version: version, until: c.host.clock() + limit, done: done})
	c.serveWaiters()
}

func (c *control) serveWaiters() {
	if len(c.waiters) == 0 {
		return
	}
	inForce := c.inForce()
	waiting := c.waiters
	c.waiters = nil
	for _, waiter := range waiting {
		if inForce >= waiter.version || c.host.clock() >= waiter.until {
			waiter.done(inForce)
			continue
		}
		c.waiters = append(c.waiters, waiter)
	}
}

func (c *control) tick() {
	c.serveWaiters()
	c.ticks++
	if c.ticks%expireTicks == 0 {
		c.expireClaims()
	}
}

// otherLeader names the node that leads a group, if it is another one and known.
func (c *control) otherLeader(groupID uint32) string {
	known := c.host.groups[groupID].leadership
	if known.leading || known.leader == raft.None {
		return ""
	}
	return "control-" + strconv.FormatUint(known.leader, 10)
}

// execute works on one request, which may wait for limit.
func (c *control) execute(request *wire.ExecuteRequest, limit time.Duration, answer func(*wire.ExecuteReply)) {
	switch {
	case request.Query != nil:
		c.query(request, answer)
	case request.Change != nil:
		c.changeGroup(request, answer)
	default:
		c.command(request, limit, answer)
	}
}

func (c *control) command(request *wire.ExecuteRequest, limit time.Duration, answer func(*wire.ExecuteReply)) {
	c.host.propose(request.Group, request.Command, func(result *wire.Result, index uint64, err error) {
		if err != nil {
			answer(c.failure(request.Group, err))
			return
		}
		reply := &wire.ExecuteReply{Status: wire.ExecuteStatus_EXECUTE_STATUS_OK, Result: result, AppliedIndex: index}
		accepted := result.GetTable().GetOutcome() == wire.TableOutcome_TABLE_OUTCOME_ACCEPTED
		if !request.WaitInForce || !accepted {
			answer(reply)
			return
		}
		c.waitInForce(result.GetTable().Version, limit, func(inForce uint64) {
			reply.InForceVersion = inForce
			answer(reply)
		})
	})
}

func (c *control) query(request *wire.ExecuteRequest, answer func(*wire.ExecuteReply)) {
	c.host.read(request.Group, func(err error) {
		if err != nil {
			answer(c.failure(request.Group, err))
			return
		}
		view := c.host.groups[request.Group].machine.Query(request.Query)
		answer(&wire.ExecuteReply{Status: wire.ExecuteStatus_EXECUTE_STATUS_OK, View: view})
	})
}

func (c *control) changeGroup(request *wire.ExecuteRequest, answer func(*wire.ExecuteReply)) {
	g := c.host.groups[request.Group]
	change := raft.ConfigurationChange{Node: request.Change.Node}
	switch request.Change.Kind {
	case wire.GroupChangeKind_GROUP_CHANGE_KIND_ADD_LEARNER:
		change.Kind = raft.AddLearner
	case wire.GroupChangeKind_GROUP_CHANGE_KIND_PROMOTE:
		change.Kind = raft.PromoteLearner
	case wire.GroupChangeKind_GROUP_CHANGE_KIND_REMOVE:
		change.Kind = raft.RemoveNode
	default:
		err := g.node.TransferLeadership(request.Change.Node)
		c.host.advance()
		answer(c.changed(request.Group, err))
		return
	}
	g.change(change, func(err error) { answer(c.changed(request.Group, err)) })
	c.host.advance()
}

func (c *control) changed(groupID uint32, err error) *wire.ExecuteReply {
	switch {
	case err == nil, errors.Is(err, raft.ErrAlreadyMember), errors.Is(err, raft.ErrNotMember):
		return &wire.ExecuteReply{Status: wire.ExecuteStatus_EXECUTE_STATUS_OK}
	case errors.Is(err, raft.ErrChangePending), errors.Is(err, raft.ErrNotCaughtUp), errors.Is(err, raft.ErrQuorumAtRisk):
		return &wire.ExecuteReply{Status: wire.ExecuteStatus_EXECUTE_STATUS_OVERLOADED, Error: err.Error()}
	case errors.Is(err, raft.ErrNotLeader):
		return c.failure(groupID, errNotLeader)
	default:
		return c.failure(groupID, err)
	}
}

func (c *control) failure(groupID uint32, err error) *wire.ExecuteReply {
	reply := &wire.ExecuteReply{Status: wire.ExecuteStatus_EXECUTE_STATUS_UNKNOWN, Error: err.Error()}
	switch {
	case errors.Is(err, errNotLeader):
		reply.Status, reply.LeaderAddress = wire.ExecuteStatus_EXECUTE_STATUS_NOT_LEADER, c.otherLeader(groupID)
	case errors.Is(err, errOverloaded):
		reply.Status = wire.ExecuteStatus_EXECUTE_STATUS_OVERLOADED
	}
	return reply
}

// nodes names the control group's nodes for a grant.
func (c *control) nodes() []string {
	configuration := c.controlGroup().node.Status().Configuration
	var names []string
	for _, id := range slices.Concat(configuration.Voters, configuration.Learners) {
		names = append(names, "control-"+strconv.FormatUint(id, 10))
	}
	return names
}
