package control

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"storj.io/drpc/drpcerr"

	"github.com/tamarindring/tamarindring/internal/auth"
	"github.com/tamarindring/tamarindring/internal/compat"
	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	// levelInterval is how often this node checks the level. It is short since a new deployment agrees on its level
	// before it has a table.
	levelInterval = 100 * time.Millisecond
	// raiseTimeout bounds one attempt to raise the level. The next check retries.
	raiseTimeout = 2 * time.Second
)

// levels tracks the level in force as applied on this node, and raises it while this node leads the control group.
type levels struct {
	server          *Server
	inForce         atomic.Uint32 // level in force as applied on this node
	emptyAtStart    atomic.Bool   // the group had no table when this node began to lead
	founded         foundingState
	leadershipBegan chan struct{} // capacity 1: this node has begun to lead

	mutex          sync.Mutex
	loggedRefusals map[string]bool // process starts whose refusal was logged

	// Used only by run.
	settling  *compat.Settling // nil while this node does not lead
	levelRead bool             // inForce includes the state that this node started with
}

func newLevels(server *Server) *levels {
	return &levels{server: server, leadershipBegan: make(chan struct{}, 1)}
}

// beginLeading prepares for leading, before the first lease is granted. It must come first because members that
// register later would make a newly founded group look like an existing one, and because the first grant carries the
// level. It returns false if the level could not be read.
func (l *levels) beginLeading(empty bool) bool {
	if !l.refresh() {
		return false
	}
	l.emptyAtStart.Store(empty)
	return true
}

// requestCheck triggers a check of the level without waiting for the interval.
func (l *levels) requestCheck() {
	select {
	case l.leadershipBegan <- struct{}{}:
	default:
	}
}

// foundingState records when this process started with an empty folder as a founder of the groups. The first leader can
// be lost before it raises the level, and the next leader already finds a table.
type foundingState struct {
	isFounder bool
	at        time.Duration // start time on the server's clock
}

// isRecent reports whether the groups were founded so recently that there is no earlier build to roll back to.
func (f foundingState) isRecent(now time.Duration) bool {
	return f.isFounder && now-f.at < compat.SettlingTime
}

// agreed returns the level in force as applied on this node. It never falls.
func (l *levels) agreed() compat.Level { return compat.Level(l.inForce.Load()) }

// applied records a level that a log entry brought into force. The consensus host's loop calls it.
func (l *levels) applied(level compat.Level) { l.raiseInForce(level) }

func (l *levels) raiseInForce(level compat.Level) {
	for {
		before := l.inForce.Load()
		if uint32(level) <= before {
			return
		}
		if l.inForce.CompareAndSwap(before, uint32(level)) {
			logging.Emit(l.server.log, &events.LevelKnown{Agreed: uint32(level), Before: before})
			return
		}
	}
}

// check returns an error for a process that may not have a session because it does not understand the level in force.
// An older build would not enforce what the level guarantees, such as tenant quotas. With this error code the start of
// the process's session fails, and a running process loses its session, so that its callers use another gateway.
func (l *levels) check(member *wire.Member) error {
	speaks, agreed := compat.Level(member.GetSpeaks()), l.agreed()
	if speaks.Includes(agreed) {
		return nil
	}
	reason := fmt.Sprintf("%s speaks up to %s, and %s is in force: it needs a newer build", wire.OwnerName(member), speaks, agreed)
	if l.shouldLogRefusal(wire.OwnerName(member)) {
		l.server.log.Warn(reason)
	}
	return drpcerr.WithCode(trace.AccessDenied("%s", reason), auth.RejectedTokenCode)
}

// maximumLoggedRefusals bounds the set of process starts whose refusal was logged.
const maximumLoggedRefusals = 1024

// shouldLogRefusal reports whether the refusal of a process start is to be logged. Each start is logged once, since it
// retries several times a second.
func (l *levels) shouldLogRefusal(owner string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.loggedRefusals[owner] {
		return false
	}
	if len(l.loggedRefusals) >= maximumLoggedRefusals || l.loggedRefusals == nil {
		l.loggedRefusals = map[string]bool{}
	}
	l.loggedRefusals[owner] = true
	return true
}

// run follows the level until ctx ends, and raises it while this node leads the control group.
func (l *levels) run(ctx context.Context) {
	ticker := time.NewTicker(levelInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.leadershipBegan:
		case <-ticker.C:
		}
		l.checkLevel(ctx)
	}
}

func (l *levels) checkLevel(ctx context.Context) {
	if !l.levelRead || l.server.leadsControlGroup() {
		l.levelRead = l.refresh() || l.levelRead
	}
	// Before this node grants leases it may not have read all members, and some of them may be older builds.
	_, grants := l.server.leases.grantedVersion()
	if !grants || !l.server.leadsControlGroup() || l.server.draining.Load() || l.agreed().Includes(compat.Newest) {
		l.settling = nil
		return
	}
	present, err := l.listProcesses(ctx)
	if err != nil {
		l.server.log.WithError(err).Debug("failed to list the processes that determine the level")
		return
	}
	if l.settling == nil {
		l.settling = &compat.Settling{}
	}
	now := l.server.config.Clock()
	if level, due := l.settling.Update(now, l.agreed(), present, l.emptyAtStart.Load() || l.founded.isRecent(now)); due {
		l.raise(ctx, level, len(present))
	}
}

// refresh reads the level from the state applied on this node, which may come from a snapshot. It returns false if the
// read failed.
func (l *levels) refresh() bool {
	view, err := l.server.publisher.queryLocal(&wire.Query{Kind: &wire.Query_Status{Status: &wire.StatusQuery{}}})
	if err != nil {
		l.server.publisher.noteReadFailure(readOfLevel, uint64(l.agreed()), err)
		return false
	}
	l.raiseInForce(compat.Level(view.GetStatus().GetLevel()))
	return true
}

// listProcesses lists the processes whose levels determine the agreed one. A member that holds leases counts until it
// is gone, even while it is silent. A node with replicated state counts as long as it belongs to a group, even while it
// is down, since it may come back with the same build. A node that recently asked to join counts as well.
func (l *levels) listProcesses(ctx context.Context) ([]compat.Process, error) {
	var present []compat.Process
	for _, member := range l.server.publisher.currentMembers().GetMembers() {
		if wire.HoldsLease(member.Role) && member.State != wire.MemberState_MEMBER_STATE_GONE {
			present = append(present, compat.Process{Name: member.Name, Speaks: compat.Level(member.Speaks)})
		}
	}
	nodes := map[uint64]bool{}
	for _, group := range l.server.groups() {
		status, err := l.server.replicas.Status(ctx, group)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		for _, listed := range [][]uint64{status.Configuration.Voters, status.Configuration.Learners} {
			for _, node := range listed {
				nodes[node] = true
			}
		}
	}
	for _, candidate := range l.server.voters.recentCandidates(l.server.config.Clock()) {
		nodes[candidate.ID] = true
	}
	for node := range nodes {
		level, _ := l.server.replicas.PeerLevel(node)
		present = append(present, compat.Process{Name: fmt.Sprintf("node %d", node), Speaks: level})
	}
	return present, nil
}

// raise proposes a new level.
func (l *levels) raise(ctx context.Context, level compat.Level, processes int) {
	ctx, cancel := context.WithTimeout(ctx, raiseTimeout)
	defer cancel()
	command := &wire.Command{Kind: &wire.Command_LevelRaise{LevelRaise: &wire.LevelRaise{Level: uint32(level)}}}
	result, _, err := l.server.replicas.Propose(ctx, controlGroup, command)
	if err != nil {
		l.server.log.WithError(err).Debugf("failed to bring %s into force", level)
		return
	}
	if result.GetLevel().GetAccepted() {
		logging.Emit(l.server.log, &events.LevelRaised{Agreed: uint32(level), Processes: processes})
	}
}
