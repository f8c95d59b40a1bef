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
	// levelInterval is how often this node looks at the level: a deployment that starts anew agrees before it has a table.
	levelInterval = 100 * time.Millisecond
	// raiseTimeout bounds one attempt to raise the level; the next look tries again.
	raiseTimeout = 2 * time.Second
)

// levels is what this node knows of the level in force, and, where it leads, what raises it.
type levels struct {
	server  *Server
	known   atomic.Uint32 // in force as applied here
	fresh   atomic.Bool   // the group held no table when this node began to lead
	founded founding
	led     chan struct{} // capacity 1: this node has begun to lead

	mutex sync.Mutex
	told  map[string]bool // starts of processes of whose refusal a line was written

	// Touched by run only.
	settling *compat.Settling // nil while this node does not lead
	read     bool             // known holds what the state says that this node started with
}

func newLevels(server *Server) *levels {
	return &levels{server: server, led: make(chan struct{}, 1)}
}

// beginLeading notes that this node begins to lead, before it grants the first lease: what registers from then on would make a group that
// was founded just now look like one that was there before, and the first grant tells the level. False: the level could not be read.
func (l *levels) beginLeading(fresh bool) bool {
	if !l.refresh() {
		return false
	}
	l.fresh.Store(fresh)
	return true
}

// lookSoon asks for a look now that leases are granted here.
func (l *levels) lookSoon() {
	select {
	case l.led <- struct{}{}:
	default:
	}
}

// founding is when this process began with an empty folder as a founder of the groups. The first leader may be lost before it has raised
// the level, and the next one finds a table.
type founding struct {
	took bool
	at   time.Duration
}

// holds tells whether the groups are too young to have an earlier build to go back to.
func (f founding) holds(now time.Duration) bool {
	return f.took && now-f.at < compat.SettlingTime
}

// agreed is the level in force as applied here; it never falls.
func (l *levels) agreed() compat.Level { return compat.Level(l.known.Load()) }

// applied notes a level that an entry brought into force. It is called from the host's loop.
func (l *levels) applied(level compat.Level) { l.note(level) }

func (l *levels) note(level compat.Level) {
	for {
		before := l.known.Load()
		if uint32(level) <= before {
			return
		}
		if l.known.CompareAndSwap(before, uint32(level)) {
			logging.Emit(l.server.log, &events.LevelKnown{Agreed: uint32(level), Before: before})
			return
		}
	}
}

// check returns an error for a process that may have no session. An older build would not keep what the level promises, such as the quotas of
// tenants: it is told so, and its callers go to another gateway.
func (l *levels) check(member *wire.Member) error {
	speaks, agreed := compat.Level(member.GetSpeaks()), l.agreed()
	if speaks.Includes(agreed) {
		return nil
	}
	reason := fmt.Sprintf("%s speaks up to %s, and %s is in force: it needs a newer build", wire.OwnerName(member), speaks, agreed)
	if l.tellOnce(wire.OwnerName(member)) {
		l.server.log.Warn(reason)
	}
	return drpcerr.WithCode(trace.AccessDenied("%s", reason), auth.RefusedCode)
}

// maximumTold bounds the starts of processes that are remembered for their line.
const maximumTold = 1024

// tellOnce tells whether a line of a start's refusal is due: it comes again several times a second.
func (l *levels) tellOnce(owner string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.told[owner] {
		return false
	}
	if len(l.told) >= maximumTold || l.told == nil {
		l.told = map[string]bool{}
	}
	l.told[owner] = true
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
		case <-l.led:
		case <-ticker.C:
		}
		l.look(ctx)
	}
}

func (l *levels) look(ctx context.Context) {
	if !l.read || l.server.leading() {
		l.read = l.refresh() || l.read
	}
	_, grants := l.server.leases.granting() // before that the members may be unread, and older builds among them
	if !grants || !l.server.leading() || l.server.draining.Load() || l.agreed().Includes(compat.Newest) {
		l.settling = nil
		return
	}
	present, err := l.present(ctx)
	if err != nil {
		l.server.log.WithError(err).Debug("the processes that are present are not known")
		return
	}
	if l.settling == nil {
		l.settling = &compat.Settling{}
	}
	now := l.server.config.Clock()
	if level, due := l.settling.Look(now, l.agreed(), present, l.fresh.Load() || l.founded.holds(now)); due {
		l.raise(ctx, level, len(present))
	}
}

// refresh reads the level from the state applied here, which a snapshot may have brought; false: it could not.
func (l *levels) refresh() bool {
	view, err := l.server.publisher.local(&wire.Query{Kind: &wire.Query_Status{Status: &wire.StatusQuery{}}})
	if err != nil {
		l.server.publisher.noteUnread(unreadLevel, uint64(l.agreed()), err)
		return false
	}
	l.note(compat.Level(view.GetStatus().GetLevel()))
	return true
}

// present lists the processes whose reading counts. A member that holds leases counts until it has gone, also while it is
// silent; a node with replicated state counts for as long as a group has it, also while it is down: it may come back as it was.
func (l *levels) present(ctx context.Context) ([]compat.Process, error) {
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
	for _, candidate := range l.server.voters.asking(l.server.config.Clock()) {
		nodes[candidate.ID] = true
	}
	for node := range nodes {
		speaks, _ := l.server.replicas.Speaks(node)
		present = append(present, compat.Process{Name: fmt.Sprintf("node %d", node), Speaks: speaks})
	}
	return present, nil
}

// raise proposes a level.
func (l *levels) raise(ctx context.Context, level compat.Level, processes int) {
	ctx, cancel := context.WithTimeout(ctx, raiseTimeout)
	defer cancel()
	command := &wire.Command{Kind: &wire.Command_LevelRaise{LevelRaise: &wire.LevelRaise{Level: uint32(level)}}}
	result, _, err := l.server.replicas.Propose(ctx, controlGroup, command)
	if err != nil {
		l.server.log.WithError(err).Debugf("%s was not brought into force", level)
		return
	}
	if result.GetLevel().GetAccepted() {
		logging.Emit(l.server.log, &events.LevelRaised{Agreed: uint32(level), Processes: processes})
	}
}
