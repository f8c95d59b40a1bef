package operator

import (
	"fmt"
	"strings"

	"github.com/tamarindring/tamarindring/internal/compat"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// maxLagEntries is how many entries a restarted node may be behind before the next node may be stopped. A node
// applies that many in well under a second. A limit of 0 would not work: under load no node is level with the leader
// at the instant of the query.
const maxLagEntries = 1000

// levelSummary sums up the compatibility levels of a deployment.
type levelSummary struct {
	inForce  compat.Level
	highest  compat.Level // highest level that all processes understand
	outdated []string     // names of the processes that do not understand the newest level of this build
}

// summarizeLevels sums up the levels of the control nodes that answer and of the members that hold leases.
func (s *Status) summarizeLevels() levelSummary {
	var present []compat.Process
	for _, node := range s.Nodes {
		if node.Error == "" {
			present = append(present, compat.Process{Name: node.Name, Speaks: compat.Level(node.Speaks)})
		}
	}
	for _, member := range s.Members {
		if holdsLease(member) {
			present = append(present, compat.Process{Name: member.Name, Speaks: compat.Level(member.Speaks)})
		}
	}
	summary := levelSummary{inForce: compat.Level(s.Level)}
	summary.highest, _ = compat.Highest(present)
	for _, process := range present {
		if !process.Speaks.Includes(compat.Newest) {
			summary.outdated = append(summary.outdated, process.Name)
		}
	}
	return summary
}

// holdsLease reports whether a member counts for the level: it is a gateway or coordinator that has not gone. Only
// these hold leases.
func holdsLease(member MemberStatus) bool {
	gone := member.State == wire.MemberStateText(wire.MemberState_MEMBER_STATE_GONE)
	for _, role := range []wire.MemberRole{wire.MemberRole_MEMBER_ROLE_GATEWAY, wire.MemberRole_MEMBER_ROLE_COORDINATOR} {
		if !gone && member.Role == wire.MemberRoleText(role) {
			return true
		}
	}
	return false
}

// describeLevel returns a line with the level in force and the processes that prevent a higher one.
func (s *Status) describeLevel() string {
	summary := s.summarizeLevels()
	switch {
	case summary.inForce.Includes(compat.Newest):
		return fmt.Sprintf("%s is in force", summary.inForce)
	case len(summary.outdated) > 0:
		return fmt.Sprintf("%s is in force; of an older build: %s", summary.inForce, strings.Join(summary.outdated, ", "))
	}
	return fmt.Sprintf("%s is in force; all processes that are known here speak %s", summary.inForce, summary.highest)
}

// UpgradeCheck tells whether the next process may be replaced by one of another build.
type UpgradeCheck struct {
	// Reasons are the faults to mend first. The next step is safe if there are none.
	Reasons []string
	// Level describes the level in force and whether the previous build can still be restored.
	Level string
}

// CheckUpgrade evaluates a status. Replacing a process takes one away, so all others have to be present and up to
// date.
func CheckUpgrade(status *Status) UpgradeCheck {
	check := UpgradeCheck{Level: status.describeLevel()}
	addReason := func(format string, values ...any) {
		check.Reasons = append(check.Reasons, fmt.Sprintf(format, values...))
	}
	if status.MembersError != "" {
		addReason("no leader of the control group was reached: %s", status.MembersError)
	}
	hasLeader := map[uint32]bool{}
	groups := map[uint32]bool{}
	for _, node := range status.Nodes {
		if node.Error != "" {
			addReason("control node %s does not answer: %s", displayName(node), node.Error)
		}
		for _, group := range node.Groups {
			groups[group.Group] = true
			hasLeader[group.Group] = hasLeader[group.Group] || group.Role == "leader"
			if group.Lag > maxLagEntries {
				addReason("control node %s is %d entries behind in group %d", displayName(node), group.Lag, group.Group)
			}
		}
	}
	for group := range uint32(len(groups)) {
		if !hasLeader[group] {
			addReason("group %d has no leader", group)
		}
	}
	for _, member := range status.Members {
		if holdsLease(member) && member.State != wire.MemberStateText(wire.MemberState_MEMBER_STATE_ALIVE) {
			addReason("%s %s is %s", member.Role, member.Name, member.State)
		}
	}
	if summary := status.summarizeLevels(); summary.inForce.Includes(compat.Newest) {
		check.Level += "; a build that does not speak it is refused: there is no way back"
	} else {
		check.Level += fmt.Sprintf("; the way back is open until all processes have spoken a higher one for %v", compat.SettlingTime)
	}
	return check
}

// displayName returns a node's name, or its address if the name is not known because the node did not answer.
func displayName(node NodeStatus) string {
	if node.Name != "" {
		return node.Name
	}
	return node.Address
}
