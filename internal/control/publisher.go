package control

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/pause"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	// localTimeout bounds a query of this node's own state.
	localTimeout = time.Second
	// readRetryPause is the pause before a failed read of this state is retried.
	readRetryPause = 20 * time.Millisecond
	// pushInterval is the pause after a push for each session that it wakes. It bounds what pushes cost, whatever the number
	// of sessions and changes: a session that adopts an update answers with a renewal.
	pushInterval = 200 * time.Microsecond
)

// publisher distributes applied changes of the table and the members to the sessions. All holders at the same version
// share one update.
type publisher struct {
	server *Server
	wake   chan struct{} // capacity 1: something was applied

	table      *tableUpdates // of the whole table
	forwarding *tableUpdates // of the part for forwarding

	mutex       sync.Mutex
	members     *memberFeeds
	failedReads map[string]uint64        // number of failed reads of the applied state, by kind: readOfTable and so on
	unannounced map[wire.TableScope]bool // scopes with changes that the sessions have not been woken for
}

func newPublisher(server *Server) *publisher {
	p := &publisher{
		server: server, wake: make(chan struct{}, 1),
		members:     newMemberFeeds(),
		failedReads: make(map[string]uint64),
		unannounced: make(map[wire.TableScope]bool),
	}
	p.table = newTableUpdates(func(known uint64) (*wire.TableUpdate, error) {
		return p.queryTable(wire.TableScope_TABLE_SCOPE_WHOLE, known)
	})
	p.forwarding = newForwardingUpdates(func(known uint64) (*wire.TableUpdate, error) {
		return p.queryTable(wire.TableScope_TABLE_SCOPE_FORWARDING, known)
	})
	return p
}

// updates returns the updates for holders with a scope.
func (p *publisher) updates(scope wire.TableScope) *tableUpdates {
	if scope == wire.TableScope_TABLE_SCOPE_FORWARDING {
		return p.forwarding
	}
	return p.table
}

// applied triggers a push. It is called after each applied table change and member update, and after a snapshot has
// replaced the state of the control group.
func (p *publisher) applied() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// run pushes changes to the sessions until ctx ends. Changes that are applied soon after a push go out together in the
// next one.
func (p *publisher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		}
		woken, done := p.push()
		for ; !done; woken, done = p.push() {
			if pause.For(ctx, readRetryPause) != nil {
				return
			}
		}
		if pause.For(ctx, pushPause(woken)) != nil {
			return
		}
	}
}

// pushPause returns the pause after a push that woke so many sessions.
func pushPause(woken int) time.Duration { return time.Duration(woken) * pushInterval }

// push wakes the sessions that follow something that changed, and returns their number. done is false if part of the
// applied state could not be read.
func (p *publisher) push() (woken int, done bool) {
	_, err := p.refresh()
	changed := p.takeUnannounced()
	if len(changed) > 0 {
		p.server.sessions.each(func(holder *session) {
			if changed[holder.scope()] {
				holder.wakeUp()
				woken++
			}
		})
	}
	return woken, err == nil
}

// takeUnannounced returns the scopes whose sessions have to be woken.
func (p *publisher) takeUnannounced() map[wire.TableScope]bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	changed := p.unannounced
	p.unannounced = make(map[wire.TableScope]bool)
	return changed
}

// announce notes that the sessions with a scope have to be woken by the next push.
func (p *publisher) announce(scope wire.TableScope) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.unannounced[scope] = true
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
	if !newer {
		return false, err
	}
	forwarding := p.table.forwardingVersion()
	p.server.leases.tableWasRead(tableRead{version, forwarding})
	p.announce(wire.TableScope_TABLE_SCOPE_WHOLE)
	if p.forwarding.observe(forwarding) {
		p.announce(wire.TableScope_TABLE_SCOPE_FORWARDING)
	}
	return true, err
}

func (p *publisher) refreshMembers() (changed bool, err error) {
	known := p.membersVersion()
	view, err := p.queryLocal(&wire.Query{Kind: &wire.Query_Members{Members: &wire.MembersQuery{KnownVersion: known}}})
	if err != nil {
		p.noteReadFailure(readOfMembers, known, err)
		return false, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, scope := range p.members.merge(view.GetMembers()) {
		p.unannounced[scope] = true
		changed = true
	}
	return changed, nil
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

// queryTable returns the changes of the applied table since version known, as far as the scope covers them.
func (p *publisher) queryTable(scope wire.TableScope, known uint64) (*wire.TableUpdate, error) {
	query := &wire.TableQuery{KnownVersion: known, Scope: scope}
	view, err := p.queryLocal(&wire.Query{Kind: &wire.Query_Table{Table: query}})
	return view.GetTable(), err
}

// tableSince returns the changes of the whole table since version known, for callers that retry on their own. It returns
// nil on errors.
func (p *publisher) tableSince(known uint64) *wire.TableUpdate {
	update, err := p.queryTable(wire.TableScope_TABLE_SCOPE_WHOLE, known)
	if err != nil {
		p.noteReadFailure(readOfTable, known, err)
		return nil
	}
	return update
}

// updateFrom returns the update for a holder at version known, or nil if the holder is up to date.
func (p *publisher) updateFrom(scope wire.TableScope, known uint64) *publishedUpdate {
	published, err := p.updates(scope).updateFrom(known)
	if err != nil {
		p.noteReadFailure(readOfTable, known, err)
	}
	if published != nil {
		p.server.leases.tableWasRead(tableRead{published.update.ToVersion, published.update.ForwardingVersion})
	}
	return published
}

// membersAfter returns the members in the scope that changed after version known, or nil if none did.
func (p *publisher) membersAfter(scope wire.TableScope, known uint64) *wire.MembersView {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.members.after(scope, known)
}

// membersVersion returns the version of the members as applied on this node.
func (p *publisher) membersVersion() uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.members.version
}

// currentMembers returns the members as applied on this node. Callers must not modify them.
func (p *publisher) currentMembers() *wire.MembersView {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.members.current()
}

// member returns the member with a name, or nil.
func (p *publisher) member(name string) *wire.Member {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.members.byName[name]
}
