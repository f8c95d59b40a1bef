package wire

import "strconv"

// OwnerName returns the name under which one incarnation of a process owns claims and holds a lease. A restarted
// process is a different owner.
func OwnerName(member *Member) string {
	return member.GetName() + "#" + strconv.FormatUint(member.GetIncarnation(), 10)
}

// MemberRoleText returns the name of a role for display.
func MemberRoleText(role MemberRole) string {
	switch role {
	case MemberRole_MEMBER_ROLE_CONTROL:
		return "control"
	case MemberRole_MEMBER_ROLE_GATEWAY:
		return "gateway"
	case MemberRole_MEMBER_ROLE_COORDINATOR:
		return "coordinator"
	case MemberRole_MEMBER_ROLE_STORAGE:
		return "storage"
	default:
		return "unknown"
	}
}

// HoldsLease reports whether members of a role stay alive by renewing a lease. The liveness of other members is not
// tracked by the control group: control nodes are watched by their consensus groups, and storage members stay as they
// were registered.
func HoldsLease(role MemberRole) bool {
	return role == MemberRole_MEMBER_ROLE_GATEWAY || role == MemberRole_MEMBER_ROLE_COORDINATOR
}

// MemberStateText returns the name of a state for display.
func MemberStateText(state MemberState) string {
	switch state {
	case MemberState_MEMBER_STATE_ALIVE:
		return "alive"
	case MemberState_MEMBER_STATE_SUSPECT:
		return "suspect"
	case MemberState_MEMBER_STATE_LEAVING:
		return "leaving"
	case MemberState_MEMBER_STATE_GONE:
		return "gone"
	default:
		return "unknown"
	}
}

// LeaveRequested reports whether, according to members, the process with the given owner name (see OwnerName) was
// asked to finish its work and leave.
func LeaveRequested(members *MembersView, owner string) bool {
	for _, member := range members.GetMembers() {
		if member.GetState() == MemberState_MEMBER_STATE_LEAVING && OwnerName(member) == owner {
			return true
		}
	}
	return false
}
