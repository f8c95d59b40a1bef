// Package member is the replicated list of the cluster's processes: name, incarnation, role, address, zone
// and state. An incarnation is one run of a process; a newer one replaces an older one for good, and one
// that has left does not come back. Who is suspect or gone is decided by the control group's leader, which
// proposes it; this package only keeps the order of incarnations and states.
//
// The package is pure. Apply updates in log order from one goroutine.
package member

import (
	"net/netip"
	"sort"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// Bounds of the list.
const (
	// MaximumTextBytes bounds a name, zone and region, in bytes.
	MaximumTextBytes = 128
	// MaximumGone bounds the members that are remembered after they have gone (a count). The oldest are
	// forgotten first; a forgotten one could come back under an old incarnation.
	MaximumGone = 1000
)

// List is the members. The zero value is not ready; use New.
type List struct {
	version uint64
	members map[string]*entry
}

type entry struct {
	member  *wire.Member
	left    bool   // it announced that it leaves
	version uint64 // list version of its last change
}

// New returns an empty list at version 0.
func New() *List { return &List{members: map[string]*entry{}} }

// Version rises by one with each change of the list.
func (l *List) Version() uint64 { return l.version }

// Apply takes what the update says about a member unless it is older than what is known: a lower
// incarnation, another role or address under the same incarnation, or a return after leaving. An update
// that changes nothing is accepted and leaves the version. Errors: malformed update, nothing changed.
func (l *List) Apply(update *wire.MemberUpdate) (*wire.MemberResult, error) {
	next := update.GetMember()
	if err := check(next); err != nil {
		return nil, trace.Wrap(err)
	}
	known := l.members[next.GetName()]
	if known != nil && !follows(known, next) {
		refused := l.result(false)
		refused.HeldIncarnation = known.member.GetIncarnation()
		return refused, nil
	}
	if known != nil && staysDraining(known, next) {
		next = proto.CloneOf(next)
		next.State = wire.MemberState_MEMBER_STATE_LEAVING
	}
	if known != nil && proto.Equal(known.member, next) {
		return l.result(true), nil
	}
	l.version++
	sameRun := known != nil && known.member.GetIncarnation() == next.GetIncarnation()
	l.members[next.GetName()] = &entry{
		member:  proto.CloneOf(next),
		left:    next.GetState() == wire.MemberState_MEMBER_STATE_LEAVING || (sameRun && known.left),
		version: l.version,
	}
	l.forgetGone()
	return l.result(true), nil
}

func (l *List) result(accepted bool) *wire.MemberResult {
	return &wire.MemberResult{Accepted: accepted, MembersVersion: l.version}
}

// follows reports whether an update may come after what is known of the member.
func follows(known *entry, next *wire.Member) bool {
	held := known.member
	if next.GetIncarnation() != held.GetIncarnation() {
		return next.GetIncarnation() > held.GetIncarnation()
	}
	if next.GetRole() != held.GetRole() || next.GetAddress() != held.GetAddress() {
		return false
	}
	if !known.left || staysDraining(known, next) && held.GetState() == wire.MemberState_MEMBER_STATE_LEAVING {
		return true
	}
	if held.GetState() == wire.MemberState_MEMBER_STATE_GONE {
		return next.GetState() == wire.MemberState_MEMBER_STATE_GONE
	}
	return next.GetState() == wire.MemberState_MEMBER_STATE_LEAVING || next.GetState() == wire.MemberState_MEMBER_STATE_GONE
}

// staysDraining reports whether a restarted storage member goes on leaving. Its process does not stop by
// itself when it is asked to leave, and what is emptied must not be filled again by a restart.
func staysDraining(known *entry, next *wire.Member) bool {
	return known.left && next.GetRole() == wire.MemberRole_MEMBER_ROLE_STORAGE &&
		known.member.GetRole() == next.GetRole() && next.GetState() == wire.MemberState_MEMBER_STATE_ALIVE
}

func check(member *wire.Member) error {
	if member.GetName() == "" {
		return trace.BadParameter("member has no name")
	}
	for _, text := range []string{member.GetName(), member.GetZone(), member.GetRegion()} {
		if len(text) > MaximumTextBytes {
			return trace.BadParameter("member name, zone or region is longer than %d bytes", MaximumTextBytes)
		}
	}
	if member.GetIncarnation() == 0 {
		return trace.BadParameter("member %q has no incarnation", member.GetName())
	}
	if _, known := wire.MemberRole_name[int32(member.GetRole())]; !known || member.GetRole() == 0 {
		return trace.BadParameter("member %q has no known role", member.GetName())
	}
	if _, known := wire.MemberState_name[int32(member.GetState())]; !known || member.GetState() == 0 {
		return trace.BadParameter("member %q has no known state", member.GetName())
	}
	if _, err := netip.ParseAddrPort(member.GetAddress()); err != nil {
		return trace.BadParameter("member %q has address %q, which is not an IP:port", member.GetName(), member.GetAddress())
	}
	return nil
}

// forgetGone drops the members that went longest ago above the bound.
func (l *List) forgetGone() {
	var gone []*entry
	for _, known := range l.members {
		if known.member.GetState() == wire.MemberState_MEMBER_STATE_GONE {
			gone = append(gone, known)
		}
	}
	if len(gone) <= MaximumGone {
		return
	}
	sort.Slice(gone, func(i, j int) bool { return gone[i].version < gone[j].version })
	for _, known := range gone[:len(gone)-MaximumGone] {
		delete(l.members, known.member.GetName())
	}
}

// Get returns a copy of a member; nil if the name is unknown.
func (l *List) Get(name string) *wire.Member {
	known := l.members[name]
	if known == nil {
		return nil
	}
	return proto.CloneOf(known.member)
}

// View returns copies of all members by name, also those that have gone.
func (l *List) View() *wire.MembersView { return l.Changes(0) }

// Changes returns copies of the members that changed after a version of the list, by name. Members that
// were forgotten since are not mentioned: they had gone.
func (l *List) Changes(known uint64) *wire.MembersView {
	view := &wire.MembersView{MembersVersion: l.version, FromVersion: known}
	for _, name := range l.names() {
		if entry := l.members[name]; entry.version > known {
			view.Members = append(view.Members, proto.CloneOf(entry.member))
		}
	}
	return view
}

func (l *List) names() []string {
	names := make([]string, 0, len(l.members))
	for name := range l.members {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Snapshot returns the whole state. Equal lists give equal snapshots. It shares members with the list:
// encode it before the next Apply.
func (l *List) Snapshot() *wire.MemberSnapshot {
	snapshot := &wire.MemberSnapshot{Version: l.version}
	for _, name := range l.names() {
		known := l.members[name]
		snapshot.Members = append(snapshot.Members, &wire.MemberRecord{
			Member: known.member, Left: known.left, Version: known.version,
		})
	}
	return snapshot
}

// Restore replaces the state with a snapshot's. On an error the list is unchanged.
func (l *List) Restore(snapshot *wire.MemberSnapshot) error {
	restored := New()
	restored.version = snapshot.GetVersion()
	for _, record := range snapshot.GetMembers() {
		if err := check(record.GetMember()); err != nil {
			return trace.Wrap(err)
		}
		restored.members[record.GetMember().GetName()] = &entry{
			member: record.GetMember(), left: record.GetLeft(), version: record.GetVersion(),
		}
	}
	*l = *restored
	return nil
}
