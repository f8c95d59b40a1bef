// Package member is the replicated list of the cluster's processes: name, incarnation, role, address, zone and state.
// An incarnation is one run of a process. A newer incarnation permanently replaces an older one, and an incarnation
// that has left does not come back. The control group's leader decides which members are suspect or gone and proposes
// these changes; this package only enforces the order of incarnations and states.
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

// Limits of the list.
const (
	// MaximumTextBytes is the maximum length of a name, zone or region, in bytes.
	MaximumTextBytes = 128
	// MaximumGone is the maximum number of members that are remembered after they have gone. The oldest are forgotten
	// first. A forgotten member could come back under an old incarnation.
	MaximumGone = 1000
)

// List holds the members. The zero value is not usable; use New.
type List struct {
	version uint64
	members map[string]*entry
}

type entry struct {
	member  *wire.Member
	left    bool   // it has announced that it leaves
	version uint64 // list version of its last change
}

// New returns an empty list at version 0.
func New() *List { return &List{members: map[string]*entry{}} }

// Version returns the list's version, which increases by one with each change of the list.
func (l *List) Version() uint64 { return l.version }

// Apply applies an update of a member. The result is not accepted if the update is older than the known state: a
// lower incarnation, another role or address under the same incarnation, or a return after leaving. An update that
// changes nothing is accepted and does not change the version. An error is returned for a malformed update; the list
// is then unchanged.
func (l *List) Apply(update *wire.MemberUpdate) (*wire.MemberResult, error) {
	next := update.GetMember()
	if err := validate(next); err != nil {
		return nil, trace.Wrap(err)
	}
	known := l.members[next.GetName()]
	if known != nil && !canFollow(known, next) {
		refused := l.newResult(false)
		refused.HeldIncarnation = known.member.GetIncarnation()
		return refused, nil
	}
	if known != nil && isStillDraining(known, next) {
		next = proto.CloneOf(next)
		next.State = wire.MemberState_MEMBER_STATE_LEAVING
	}
	if known != nil && proto.Equal(known.member, next) {
		return l.newResult(true), nil
	}
	l.version++
	sameIncarnation := known != nil && known.member.GetIncarnation() == next.GetIncarnation()
	l.members[next.GetName()] = &entry{
		member:  proto.CloneOf(next),
		left:    next.GetState() == wire.MemberState_MEMBER_STATE_LEAVING || (sameIncarnation && known.left),
		version: l.version,
	}
	l.forgetGone()
	return l.newResult(true), nil
}

func (l *List) newResult(accepted bool) *wire.MemberResult {
	return &wire.MemberResult{Accepted: accepted, MembersVersion: l.version}
}

// canFollow reports whether the update is a valid successor of the known state of the member.
func canFollow(known *entry, next *wire.Member) bool {
	held := known.member
	if next.GetIncarnation() != held.GetIncarnation() {
		return next.GetIncarnation() > held.GetIncarnation()
	}
	if next.GetRole() != held.GetRole() || next.GetAddress() != held.GetAddress() {
		return false
	}
	if !known.left || isStillDraining(known, next) && held.GetState() == wire.MemberState_MEMBER_STATE_LEAVING {
		return true
	}
	if held.GetState() == wire.MemberState_MEMBER_STATE_GONE {
		return next.GetState() == wire.MemberState_MEMBER_STATE_GONE
	}
	return next.GetState() == wire.MemberState_MEMBER_STATE_LEAVING || next.GetState() == wire.MemberState_MEMBER_STATE_GONE
}

// isStillDraining reports whether a restarted storage member remains in the leaving state. Its process does not stop
// by itself when it is asked to leave, and a restart must not fill the emptied member again.
func isStillDraining(known *entry, next *wire.Member) bool {
	return known.left && next.GetRole() == wire.MemberRole_MEMBER_ROLE_STORAGE &&
		known.member.GetRole() == next.GetRole() && next.GetState() == wire.MemberState_MEMBER_STATE_ALIVE
}

func validate(member *wire.Member) error {
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

// forgetGone removes the members that have been gone for longest, down to MaximumGone.
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

// Get returns a copy of a member, or nil if the name is unknown.
func (l *List) Get(name string) *wire.Member {
	known := l.members[name]
	if known == nil {
		return nil
	}
	return proto.CloneOf(known.member)
}

// View returns copies of all members, including those that have gone, sorted by name.
func (l *List) View() *wire.MembersView { return l.Changes(0) }

// Changes returns copies of the members that changed after the known version of the list, sorted by name. Members
// that were forgotten since are not included; all of them had gone.
func (l *List) Changes(known uint64) *wire.MembersView {
	view := &wire.MembersView{MembersVersion: l.version, FromVersion: known}
	var changed []string
	for name, entry := range l.members {
		if entry.version > known {
			changed = append(changed, name)
		}
	}
	sort.Strings(changed)
	for _, name := range changed {
		view.Members = append(view.Members, proto.CloneOf(l.members[name].member))
	}
	return view
}

func (l *List) sortedNames() []string {
	sortedNames := make([]string, 0, len(l.members))
	for name := range l.members {
		sortedNames = append(sortedNames, name)
	}
	sort.Strings(sortedNames)
	return sortedNames
}

// Snapshot returns the whole state. Equal lists give equal snapshots. The snapshot shares members with the list, so
// it must be encoded before the next Apply.
func (l *List) Snapshot() *wire.MemberSnapshot {
	snapshot := &wire.MemberSnapshot{Version: l.version}
	for _, name := range l.sortedNames() {
		known := l.members[name]
		snapshot.Members = append(snapshot.Members, &wire.MemberRecord{
			Member: known.member, Left: known.left, Version: known.version,
		})
	}
	return snapshot
}

// Restore replaces the state with that of a snapshot. If it returns an error, the list is unchanged.
func (l *List) Restore(snapshot *wire.MemberSnapshot) error {
	restored := New()
	restored.version = snapshot.GetVersion()
	for _, record := range snapshot.GetMembers() {
		if err := validate(record.GetMember()); err != nil {
			return trace.Wrap(err)
		}
		restored.members[record.GetMember().GetName()] = &entry{
			member: record.GetMember(), left: record.GetLeft(), version: record.GetVersion(),
		}
	}
	*l = *restored
	return nil
}
