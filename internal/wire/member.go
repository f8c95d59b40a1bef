package wire

import "strconv"

// OwnerName names one start of a process as the owner of claims and the holder of a lease: a restarted
// process is another owner.
func OwnerName(member *Member) string {
	return member.GetName() + "#" + strconv.FormatUint(member.GetIncarnation(), 10)
}

// MemberRoleText is a member's role for people.
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

// HoldsLease says whether members of a role are kept alive by the lease that they renew. Others are judged
// by nobody: control nodes by their groups, and storage members stay as they were registered.
func HoldsLease(role MemberRole) bool {
	return role == MemberRole_MEMBER_ROLE_GATEWAY || role == MemberRole_MEMBER_ROLE_COORDINATOR
}

// MemberStateText is a member's state for people.
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

// LeaveRequested says whether the members show that the process named owner (see OwnerName) was asked to
// finish its work and leave.
func LeaveRequested(members *MembersView, owner string) bool {
	for _, member := range members.GetMembers() {
		if member.GetState() == MemberState_MEMBER_STATE_LEAVING && OwnerName(member) == owner {
			return true
		}
	}
	return false
}
