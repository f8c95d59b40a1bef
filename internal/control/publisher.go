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
	// localTimeout bounds a question to this node's own state.
	localTimeout = time.Second
	// readAgain is the pause before a read of it that failed is made again.
	readAgain = 20 * time.Millisecond
)

// publisher brings applied changes of the table and the members to the sessions. One update serves all
// holders that are at the same version.
type publisher struct {
	server *Server
	wake   chan struct{} // capacity 1: something was applied

	table *tableUpdates

	mutex   sync.Mutex
	members *wire.MembersView
	unread  map[string]uint64 // reads of the state applied here that failed, by what was read
	// changedAt is the members version at which a member was last seen to change, by name.
	changedAt    map[string]uint64
	memberDeltas map[uint64]*wire.MembersView // by the version that they start from
}

func newPublisher(server *Server) *publisher {
	p := &publisher{
		server: server, wake: make(chan struct{}, 1),
		members:      &wire.MembersView{},
		unread:       make(map[string]uint64),
		changedAt:    make(map[string]uint64),
		memberDeltas: make(map[uint64]*wire.MembersView),
	}
	p.table = newTableUpdates(p.queryTable)
	return p
}

// applied is called after each command of the control group.
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
			if pause.For(ctx, readAgain) != nil {
				return
			}
		}
	}
}

// push tells the sessions what is new; false: not all that is applied here could be read.
func (p *publisher) push() bool {
	changed, err := p.refresh()
	if changed {
		p.server.sessions.each((*session).wakeUp)
	}
	return err == nil
}

// refresh takes over what is applied here and says whether anything is new. After an error what is known may be older.
func (p *publisher) refresh() (changed bool, err error) {
	tableChanged, tableError := p.refreshTable()
	membersChanged, membersError := p.refreshMembers()
	return tableChanged || membersChanged, trace.NewAggregate(tableError, membersError)
}

func (p *publisher) refreshTable() (changed bool, err error) {
	version, newer, err := p.table.refresh()
	if err != nil {
		p.noteUnread(unreadTable, version, err)
	}
	if newer {
		p.server.leases.tableApplied(version)
	}
	return newer, err
}

func (p *publisher) refreshMembers() (changed bool, err error) {
	known := p.currentMembers().MembersVersion
	view, err := p.local(&wire.Query{Kind: &wire.Query_Members{Members: &wire.MembersQuery{KnownVersion: known}}})
	if err != nil {
		p.noteUnread(unreadMembers, known, err)
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

// What is read of the state applied here.
const (
	unreadTable   = "table"
	unreadMembers = "members"
	unreadLevel   = "level"
)

// noteUnread counts and logs a read that failed.
func (p *publisher) noteUnread(what string, known uint64, err error) {
	p.mutex.Lock()
	p.unread[what]++
	p.mutex.Unlock()
	logging.Emit(p.server.log, &events.StateUnread{What: what, KnownVersion: known, Cause: events.ErrorText(err)})
}

// unreads returns how many reads have failed since the start, by what was read.
func (p *publisher) unreads() map[string]uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return maps.Clone(p.unread)
}

// local asks the control group's state here.
func (p *publisher) local(query *wire.Query) (*wire.View, error) {
	ctx, cancel := context.WithTimeout(p.server.context, localTimeout)
	defer cancel()
	return p.server.replicas.LocalQuery(ctx, controlGroup, query)
}

// queryTable returns what is newer than a version in the table as applied here.
func (p *publisher) queryTable(known uint64) (*wire.TableUpdate, error) {
	view, err := p.local(&wire.Query{Kind: &wire.Query_Table{Table: &wire.TableQuery{KnownVersion: known}}})
	return view.GetTable(), err
}

// tableSince is queryTable for those that ask again by themselves; nil if that is not known.
func (p *publisher) tableSince(known uint64) *wire.TableUpdate {
	update, err := p.queryTable(known)
	if err != nil {
		p.noteUnread(unreadTable, known, err)
		return nil
	}
	return update
}

// updateFrom returns what brings a holder of version known forward; nil if it has the newest one.
func (p *publisher) updateFrom(known uint64) *publishedUpdate {
	published, err := p.table.from(known)
	if err != nil {
		p.noteUnread(unreadTable, known, err)
	}
	if published != nil {
		p.server.leases.tableApplied(published.update.ToVersion)
	}
	return published
}

// membersAfter returns what changed after version known of the members; nil if nothing did.
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

// currentMembers returns the members as applied here; they must not be changed.
func (p *publisher) currentMembers() *wire.MembersView {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.members
}

// member returns the member of a name, or nil.
func (p *publisher) member(name string) *wire.Member {
	for _, candidate := range p.currentMembers().Members {
		if candidate.Name == name {
			return candidate
		}
	}
	return nil
}
