package batchclient

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	// nearTime bounds one question to a near node: it is a hop within a zone, and the leader can still be asked.
	nearTime = 250 * time.Millisecond
	// nearPause is how long a near node that had nothing is not asked again: it may be a spare one, or catch up.
	nearPause = 2 * time.Second
)

// NearLedger asks a named control node, and not the leader; *controlclient.Client is the usual one.
type NearLedger interface {
	LocalQuery(ctx context.Context, address string, group uint32, query *wire.Query) (*wire.View, error)
	Leader(group uint32) string
}

// Near says where results may be read in place of the leader. Traffic between zones costs, and results are most of it:
// a position never changes, so that any node that has applied it may hand it out once the leader has said that it exists.
type Near struct {
	Ledger NearLedger
	// Zone is this process's own.
	Zone string
	// Members returns the members of the deployment; nil while they are not known.
	Members func() *wire.MembersView
	// Now is the clock. Default time.Now.
	Now func() time.Time
	// Log receives events. Default: nothing.
	Log *logrus.Entry

	mutex  sync.Mutex
	paused map[string]time.Time // by address: not to be asked before
}

// ReadNear has results read from control nodes in this process's zone where there are any. Call it before the first read.
func (b *Client) ReadNear(near *Near) {
	if near.Now == nil {
		near.Now = time.Now
	}
	if near.Log == nil {
		near.Log = logging.Discard()
	}
	near.paused = map[string]time.Time{}
	b.near = near
}

// address is a control node in this zone that may have what the leader has; empty if there is none, or if it leads.
func (n *Near) address() string {
	if n == nil || n.Zone == "" {
		return ""
	}
	leader, now := n.Ledger.Leader(Group), n.Now()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var found []string
	for _, member := range n.Members().GetMembers() {
		keeps := member.GetRole() == wire.MemberRole_MEMBER_ROLE_CONTROL || member.GetRole() == wire.MemberRole_MEMBER_ROLE_STORAGE
		alive := member.GetState() == wire.MemberState_MEMBER_STATE_ALIVE
		if !keeps || !alive || member.GetZone() != n.Zone || n.paused[member.GetAddress()].After(now) {
			continue
		}
		if member.GetAddress() == leader {
			return ""
		}
		found = append(found, member.GetAddress())
	}
	if len(found) == 0 {
		return ""
	}
	return found[rand.IntN(len(found))]
}

// results asks a near node for results from a position on; none if it has none or does not answer, which leaves it out
// for a while.
func (n *Near) results(ctx context.Context, address string, job Reference, from uint64) *wire.JobResultsView {
	ctx, cancel := context.WithTimeout(ctx, nearTime)
	defer cancel()
	view, err := n.Ledger.LocalQuery(ctx, address, Group, pieceQuery(job, from))
	found := view.GetJobResults()
	if err == nil && len(found.GetResults()) > 0 {
		return found
	}
	n.rest(address)
	logging.Emit(n.Log, &events.NearNodeRests{Address: address, Job: job.ID, From: from, Cause: events.ErrorText(err), PauseMs: events.Millis(nearPause)})
	return nil
}

// rest leaves a node out for a while.
func (n *Near) rest(address string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.paused[address] = n.Now().Add(nearPause)
}
