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

// leaseSettings returns the settings that control.New uses for the default lease.
func leaseSettings() lease.Settings {
	return lease.Settings{Lease: lease.DefaultLease, RenewInterval: lease.DefaultLease / 6}.WithDefaults()
}

// renewal is a request to renew a lease.
type renewal struct {
	session *serverSession
	request *wire.SessionRequest
}

// inForceWaiter holds the reply to an accepted change until the change is in force or the wait times out.
type inForceWaiter struct {
	version  uint64
	deadline time.Duration
	done     func(inForce uint64)
}

// control is the server of one control node. It follows package control: lease renewals are answered in rounds, each
// after a read barrier of the control group.
type control struct {
	host           *host
	settings       lease.Settings
	grantingTerm   uint64 // term in which this node grants leases
	granter        *lease.Granter
	tableVersion   uint64 // table version applied on this node
	renewals       []renewal
	roundRunning   bool // a grant round waits for its read barrier
	inForceWaiters []inForceWaiter
	sessions       []*serverSession
	ticks          int
}

func newControl(h *host) *control {
	return &control{host: h, settings: leaseSettings(), tableVersion: h.groups[state.ControlGroup].machine.TableVersion()}
}

func (c *control) controlGroup() *group { return c.host.groups[state.ControlGroup] }

func (c *control) onLeaderChange() {
	if c.controlGroup().leadership.leading {
		if len(c.renewals) == 0 {
			c.confirm(func(uint64, bool) {})
		}
		return
	}
	c.grantingTerm, c.granter = 0, nil
}

// adoptTableVersion adopts the table version applied on this node and pushes it to the holders.
func (c *control) adoptTableVersion() {
	version := c.controlGroup().machine.TableVersion()
	if version <= c.tableVersion {
		return
	}
	c.tableVersion = version
	if c.granter != nil {
		c.granter.RecordCommit(c.host.clock(), version)
	}
	for _, open := range c.sessions {
		open.push()
	}
	c.answerInForceWaiters()
}

func (c *control) renew(waiting renewal) {
	c.renewals = append(c.renewals, waiting)
	if !c.roundRunning {
		c.grantRound()
	}
}

// grantRound confirms the leadership after the renewals have arrived and then answers them.
func (c *control) grantRound() {
	batch := c.renewals
	c.renewals = nil
	if len(batch) == 0 {
		return
	}
	c.roundRunning = true
	c.confirm(func(term uint64, confirmed bool) {
		c.roundRunning = false
		for _, waiting := range batch {
			if confirmed {
				c.answerRenewal(term, waiting)
			} else {
				waiting.session.redirect(c.otherLeader(state.ControlGroup))
			}
		}
		c.answerInForceWaiters()
		c.host.after(0, c.grantRound)
	})
}

// confirm runs a read barrier and passes on the term in which the leadership was confirmed.
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
		c.startGranting(after.term)
		answer(after.term, true)
	})
}

// startGranting starts granting leases in a term. Nothing is known about the leases of earlier leaders.
func (c *control) startGranting(term uint64) {
	if c.granter != nil && c.grantingTerm == term {
		return
	}
	c.adoptTableVersion()
	c.grantingTerm = term
	c.granter = lease.NewGranterUnsafe(c.host.clock(), c.settings, c.tableVersion, c.host.world.mutation.leaseUnsafe())
	c.host.tracef("grants leases in term %d at table version %d", term, c.tableVersion)
}

func (c *control) answerRenewal(term uint64, waiting renewal) {
	holder, request := waiting.session.holder, waiting.request
	granted := false
	if c.granter != nil && c.grantingTerm == term && request.ActedVersion <= c.tableVersion {
		granted = c.granter.Renew(holder, c.host.clock(), request.ActedVersion)
	}
	waiting.session.answer(request.Sequence, granted)
}

// inForceVersion returns the version below which no process acts, or 0 while that is unknown.
func (c *control) inForceVersion() uint64 {
	if c.granter == nil {
		return 0
	}
	version := c.granter.InForce(c.host.clock())
	if c.host.world.hasMutation(InForceWithoutWaiting) {
		version = c.tableVersion
	}
	c.host.world.truth.recordInForce(c.host, version)
	return version
}

func (c *control) waitInForce(version uint64, limit time.Duration, done func(uint64)) {
	c.inForceWaiters = append(c.inForceWaiters, inForceWaiter{version: version, deadline: c.host.clock() + limit, done: done})
	c.answerInForceWaiters()
}

func (c *control) answerInForceWaiters() {
	if len(c.inForceWaiters) == 0 {
		return
	}
	inForce := c.inForceVersion()
	waiting := c.inForceWaiters
	c.inForceWaiters = nil
	for _, waiter := range waiting {
		if inForce >= waiter.version || c.host.clock() >= waiter.deadline {
			waiter.done(inForce)
			continue
		}
		c.inForceWaiters = append(c.inForceWaiters, waiter)
	}
}

func (c *control) tick() {
	c.answerInForceWaiters()
	c.ticks++
	if c.ticks%expireTicks == 0 {
		c.expireClaims()
	}
}

// otherLeader returns the name of the node that leads a group, or "" if that is this node or unknown.
func (c *control) otherLeader(groupID uint32) string {
	known := c.host.groups[groupID].leadership
	if known.leading || known.leader == raft.None {
		return ""
	}
	return "control-" + strconv.FormatUint(known.leader, 10)
}

// execute handles one request. A table change may wait up to limit to be in force.
func (c *control) execute(request *wire.ExecuteRequest, limit time.Duration, answer func(*wire.ExecuteReply)) {
	switch {
	case request.Query != nil:
		c.executeQuery(request, answer)
	case request.Change != nil:
		c.changeGroup(request, answer)
	default:
		c.executeCommand(request, limit, answer)
	}
}

func (c *control) executeCommand(request *wire.ExecuteRequest, limit time.Duration, answer func(*wire.ExecuteReply)) {
	c.host.propose(request.Group, request.Command, func(result *wire.Result, index uint64, err error) {
		if err != nil {
			answer(c.failureReply(request.Group, err))
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

func (c *control) executeQuery(request *wire.ExecuteRequest, answer func(*wire.ExecuteReply)) {
	c.host.read(request.Group, func(err error) {
		if err != nil {
			answer(c.failureReply(request.Group, err))
			return
		}
		view, err := c.host.groups[request.Group].machine.Query(request.Query)
		if err != nil {
			answer(c.failureReply(request.Group, err))
			return
		}
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
		answer(c.changeReply(request.Group, err))
		return
	}
	g.proposeChange(change, func(err error) { answer(c.changeReply(request.Group, err)) })
	c.host.advance()
}

func (c *control) changeReply(groupID uint32, err error) *wire.ExecuteReply {
	switch {
	case err == nil, errors.Is(err, raft.ErrAlreadyMember), errors.Is(err, raft.ErrNotMember):
		return &wire.ExecuteReply{Status: wire.ExecuteStatus_EXECUTE_STATUS_OK}
	case errors.Is(err, raft.ErrChangePending), errors.Is(err, raft.ErrNotCaughtUp), errors.Is(err, raft.ErrQuorumAtRisk):
		return &wire.ExecuteReply{Status: wire.ExecuteStatus_EXECUTE_STATUS_OVERLOADED, Error: err.Error()}
	case errors.Is(err, raft.ErrNotLeader):
		return c.failureReply(groupID, errNotLeader)
	default:
		return c.failureReply(groupID, err)
	}
}

func (c *control) failureReply(groupID uint32, err error) *wire.ExecuteReply {
	reply := &wire.ExecuteReply{Status: wire.ExecuteStatus_EXECUTE_STATUS_UNKNOWN, Error: err.Error()}
	switch {
	case errors.Is(err, errNotLeader):
		reply.Status, reply.LeaderAddress = wire.ExecuteStatus_EXECUTE_STATUS_NOT_LEADER, c.otherLeader(groupID)
	case errors.Is(err, errOverloaded):
		reply.Status = wire.ExecuteStatus_EXECUTE_STATUS_OVERLOADED
	}
	return reply
}

// nodeNames returns the names of the control group's nodes, for a grant.
func (c *control) nodeNames() []string {
	configuration := c.controlGroup().node.Status().Configuration
	var names []string
	for _, id := range slices.Concat(configuration.Voters, configuration.Learners) {
		names = append(names, "control-"+strconv.FormatUint(id, 10))
	}
	return names
}
