package control

import (
	"maps"
	"slices"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// memberFeeds holds the members as applied on this node, and what changed of them for the holders of each scope. It is not
// safe for concurrent use.
type memberFeeds struct {
	version   uint64
	view      *wire.MembersView // the members in order of name; nil after a change until it is next needed
	byName    map[string]*wire.Member
	changedAt map[string]uint64 // members version at which a change of a member was last seen, by name
	feeds     map[wire.TableScope]*memberFeed
}

// memberFeed builds the changes for the holders of one scope. All holders that were up to date before the newest change
// share one message.
type memberFeed struct {
	includes func(*wire.Member) bool
	version  uint64                       // members version at which a member of the scope last changed
	previous uint64                       // the one before; 0 if there was none
	deltas   map[uint64]*wire.MembersView // changes up to the current view, by start version
}

func newMemberFeeds() *memberFeeds {
	feed := func(includes func(*wire.Member) bool) *memberFeed {
		return &memberFeed{includes: includes, deltas: make(map[uint64]*wire.MembersView)}
	}
	return &memberFeeds{
		byName: make(map[string]*wire.Member), changedAt: make(map[string]uint64),
		feeds: map[wire.TableScope]*memberFeed{
			wire.TableScope_TABLE_SCOPE_WHOLE:      feed(func(*wire.Member) bool { return true }),
			wire.TableScope_TABLE_SCOPE_FORWARDING: feed(storesState),
		},
	}
}

// storesState reports whether a member may store the state of the groups, so that gateways read from it.
func storesState(member *wire.Member) bool {
	return member.Role == wire.MemberRole_MEMBER_ROLE_CONTROL || member.Role == wire.MemberRole_MEMBER_ROLE_STORAGE
}

// merge applies changes and returns the scopes for which a member changed.
func (f *memberFeeds) merge(changes *wire.MembersView) (changed []wire.TableScope) {
	if changes.GetMembersVersion() <= f.version || changes.GetFromVersion() > f.version {
		return nil
	}
	f.version, f.view = changes.MembersVersion, nil
	if changes.FromVersion == 0 {
		clear(f.byName)
	}
	for _, one := range changes.Members {
		f.byName[one.Name] = one
		f.changedAt[one.Name] = changes.MembersVersion
	}
	for scope, feed := range f.feeds {
		if feed.merge(changes) {
			changed = append(changed, scope)
		}
	}
	return changed
}

// current returns all members in order of name. Callers must not modify the result.
func (f *memberFeeds) current() *wire.MembersView {
	if f.view == nil {
		f.view = &wire.MembersView{MembersVersion: f.version}
		for _, name := range slices.Sorted(maps.Keys(f.byName)) {
			f.view.Members = append(f.view.Members, f.byName[name])
		}
	}
	return f.view
}

// merge notes changes and reports whether they concern a member of the feed.
func (f *memberFeed) merge(changes *wire.MembersView) bool {
	for _, one := range changes.Members {
		if f.includes(one) {
			f.previous, f.version = f.version, changes.MembersVersion
			clear(f.deltas)
			return true
		}
	}
	return false
}

// after returns the members of a scope that changed after version known, or nil if none did. Callers must not modify the
// result.
func (f *memberFeeds) after(scope wire.TableScope, known uint64) *wire.MembersView {
	feed := f.feeds[scope]
	if known >= feed.version {
		return nil
	}
	if feed.previous > 0 && known >= feed.previous {
		known = feed.previous
	}
	if delta := feed.deltas[known]; delta != nil {
		return delta
	}
	delta := &wire.MembersView{FromVersion: known, MembersVersion: f.version}
	for _, candidate := range f.current().Members {
		if feed.includes(candidate) && (known == 0 || f.changedAt[candidate.Name] > known) {
			delta.Members = append(delta.Members, candidate)
		}
	}
	feed.deltas[known] = delta
	return delta
}
