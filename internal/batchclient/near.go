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
	// nearTimeout limits one query to a near node, which is one hop within the zone. The leader can still be queried
	// afterwards.
	nearTimeout = 250 * time.Millisecond
	// nearPause is how long a near node that returned no results is not queried again. It may be a spare node or still
	// be catching up.
	nearPause = 2 * time.Second
)

// NearLedger queries a given control node instead of the leader. It is implemented by *controlclient.Client.
type NearLedger interface {
	LocalQuery(ctx context.Context, address string, group uint32, query *wire.Query) (*wire.View, error)
	Leader(group uint32) string
}

// Near selects control nodes from which results are read in place of the leader. Traffic between zones costs money, and
// results are most of it. A result at a position never changes, so any node that has applied it may return it once the
// leader has confirmed that it exists.
type Near struct {
	Ledger NearLedger
	// Zone is the zone of this process. If empty, all results are read from the leader.
	Zone string
	// Members returns the members of the deployment; nil while they are unknown.
	Members func() *wire.MembersView
	// Now is the time source. Default: time.Now.
	Now func() time.Time
	// Log receives the events. Default: they are discarded.
	Log *logrus.Entry

	mutex  sync.Mutex
	paused map[string]time.Time // by address: time before which the node is not queried
}

// ReadNear makes the client read results from control nodes in the zone of this process where there are any. Call it
// before the first read.
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

// chooseNode returns the address of a control node in this zone that may have the results. It returns an empty string
// if there is none, or if one of them is the leader.
func (n *Near) chooseNode() string {
	if n == nil || n.Zone == "" {
		return ""
	}
	leader, now := n.Ledger.Leader(Group), n.Now()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var found []string
	for _, member := range n.Members().GetMembers() {
		storesJobs := member.GetRole() == wire.MemberRole_MEMBER_ROLE_CONTROL || member.GetRole() == wire.MemberRole_MEMBER_ROLE_STORAGE
		alive := member.GetState() == wire.MemberState_MEMBER_STATE_ALIVE
		if !storesJobs || !alive || member.GetZone() != n.Zone || n.paused[member.GetAddress()].After(now) {
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

// results queries a near node for results from a position on. If the node fails or has none, it pauses the node for
// nearPause and returns nil.
func (n *Near) results(ctx context.Context, address string, job Reference, from uint64) *wire.JobResultsView {
	ctx, cancel := context.WithTimeout(ctx, nearTimeout)
	defer cancel()
	view, err := n.Ledger.LocalQuery(ctx, address, Group, pieceQuery(job, from))
	found := view.GetJobResults()
	if err == nil && len(found.GetResults()) > 0 {
		return found
	}
	n.pauseNode(address)
	logging.Emit(n.Log, &events.NearNodeRests{Address: address, Job: job.ID, From: from, Cause: events.ErrorText(err), PauseMs: events.Millis(nearPause)})
	return nil
}

// pauseNode excludes a node for nearPause.
func (n *Near) pauseNode(address string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.paused[address] = n.Now().Add(nearPause)
}
