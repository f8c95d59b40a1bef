package control

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/member"
	"github.com/tamarindring/tamarindring/internal/pause"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	// localTimeout bounds a query of this node's own state.
	localTimeout = time.Second
	// readRetryPause is the pause before a failed read of this state is retried.
	readRetryPause = 20 * time.Millisecond
)

// publisher distributes applied changes of the table and the members to the sessions. All holders at the same version
// share one update.
type publisher struct {
	server *Server
	wake   chan struct{} // capacity 1: something was applied

	table *tableUpdates

	mutex       sync.Mutex
	members     *wire.MembersView
	failedReads map[string]uint64 // number of failed reads of the applied state, by kind: readOfTable and so on
	// changedAt is the members version at which a change of a member was last seen, by member name.
	changedAt    map[string]uint64
	memberDeltas map[uint64]*wire.MembersView // by start version
}

func newPublisher(server *Server) *publisher {
	p := &publisher{
		server: server, wake: make(chan struct{}, 1),
		members:      &wire.MembersView{},
		failedReads:  make(map[string]uint64),
		changedAt:    make(map[string]uint64),
		memberDeltas: make(map[uint64]*wire.MembersView),
	}
	p.table = newTableUpdates(p.queryTable)
	return p
}

// applied triggers a push. It is called after each applied table change and member update, and after a snapshot has
// replaced the state of the control group.
func (p *publisher) applied() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// run pushes changes to all sessions until ctx ends.
func (p *publisher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		}
		for !p.push() {
			if pause.For(ctx, readRetryPause) != nil {
				return
			}
		}
	}
}

// push wakes the sessions if there are changes. It returns false if part of the applied state could not be read.
func (p *publisher) push() bool {
	changed, err := p.refresh()
	if changed {
		p.server.sessions.each((*session).wakeUp)
	}
	return err == nil
}

// refresh reads the state applied on this node and reports whether it changed. After an error the cached state may be
// out of date.
func (p *publisher) refresh() (changed bool, err error) {
	tableChanged, tableError := p.refreshTable()
	membersChanged, membersError := p.refreshMembers()
	return tableChanged || membersChanged, trace.NewAggregate(tableError, membersError)
}

func (p *publisher) refreshTable() (changed bool, err error) {
	version, newer, err := p.table.refresh()
	if err != nil {
		p.noteReadFailure(readOfTable, version, err)
	}
	if newer {
		p.server.leases.tableApplied(version)
	}
	return newer, err
}

func (p *publisher) refreshMembers() (changed bool, err error) {
	known := p.currentMembers().MembersVersion
	view, err := p.queryLocal(&wire.Query{Kind: &wire.Query_Members{Members: &wire.MembersQuery{KnownVersion: known}}})
	if err != nil {
		p.noteReadFailure(readOfMembers, known, err)
		return false, err
	}
	changes := view.GetMembers()
	if changes.GetMembersVersion() <= known {
		return false, nil
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.members = member.Merge(p.members, changes)
	for _, changed := range changes.Members {
		p.changedAt[changed.Name] = changes.MembersVersion
	}
	clear(p.memberDeltas)
	return true, nil
}

// Kinds of reads of the applied state, as counted and logged by noteReadFailure.
const (
	readOfTable   = "table"
	readOfMembers = "members"
	readOfLevel   = "level"
)

// noteReadFailure counts and logs a failed read.
func (p *publisher) noteReadFailure(what string, known uint64, err error) {
	p.mutex.Lock()
	p.failedReads[what]++
	p.mutex.Unlock()
	logging.Emit(p.server.log, &events.StateUnread{What: what, KnownVersion: known, Cause: events.ErrorText(err)})
}

// readFailures returns the number of failed reads since the start, by kind of read.
func (p *publisher) readFailures() map[string]uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return maps.Clone(p.failedReads)
}

// queryLocal queries the control group's state as applied on this node.
func (p *publisher) queryLocal(query *wire.Query) (*wire.View, error) {
	ctx, cancel := context.WithTimeout(p.server.context, localTimeout)
	defer cancel()
	return p.server.replicas.LocalQuery(ctx, controlGroup, query)
}

// queryTable returns the changes of the applied table since version known.
func (p *publisher) queryTable(known uint64) (*wire.TableUpdate, error) {
	view, err := p.queryLocal(&wire.Query{Kind: &wire.Query_Table{Table: &wire.TableQuery{KnownVersion: known}}})
	return view.GetTable(), err
}

// tableSince is queryTable for callers that retry on their own. It returns nil on errors.
func (p *publisher) tableSince(known uint64) *wire.TableUpdate {
	update, err := p.queryTable(known)
	if err != nil {
		p.noteReadFailure(readOfTable, known, err)
		return nil
	}
	return update
}

// updateFrom returns the update for a holder at version known, or nil if the holder is up to date.
func (p *publisher) updateFrom(known uint64) *publishedUpdate {
	published, err := p.table.updateFrom(known)
	if err != nil {
		p.noteReadFailure(readOfTable, known, err)
	}
	if published != nil {
		p.server.leases.tableApplied(published.update.ToVersion)
	}
	return published
}

// membersAfter returns the members that changed after version known, or nil if none did.
func (p *publisher) membersAfter(known uint64) *wire.MembersView {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if known >= p.members.MembersVersion {
		return nil
	}
	if delta := p.memberDeltas[known]; delta != nil {
		return delta
	}
	delta := &wire.MembersView{FromVersion: known, MembersVersion: p.members.MembersVersion}
	for _, candidate := range p.members.Members {
		if known == 0 || p.changedAt[candidate.Name] > known {
			delta.Members = append(delta.Members, candidate)
		}
	}
	p.memberDeltas[known] = delta
	return delta
}

// currentMembers returns the members as applied on this node. Callers must not modify them.
func (p *publisher) currentMembers() *wire.MembersView {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.members
}

// member returns the member with a name, or nil.
func (p *publisher) member(name string) *wire.Member {
	for _, candidate := range p.currentMembers().Members {
		if candidate.Name == name {
			return candidate
		}
	}
	return nil
}
