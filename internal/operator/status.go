package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// nodeTimeout bounds the status request to one control node, so that an unreachable node does not delay the answers
// of the others.
const nodeTimeout = 2 * time.Second

// StatusControl is the client of the control nodes that ReadStatus needs.
type StatusControl interface {
	Control
	Addresses() []string
	NodeStatus(ctx context.Context, address string, group uint32) (*wire.StatusView, error)
}

// Status is the health of the control nodes and of all members.
type Status struct {
	TableVersion uint64 `json:"table_version"`
	InForce      uint64 `json:"in_force_version"` // version that every process acts on by now, at least; 0: unknown
	// Level is the compatibility level that the control group has put in force: the messages that all processes
	// understand. See package compat.
	Level   uint32         `json:"level"`
	Nodes   []NodeStatus   `json:"control_nodes"`
	Members []MemberStatus `json:"members"`
	// MembersError is set when the members could not be read because no leader of the control group was reached.
	MembersError string `json:"members_error,omitempty"`
	// Fleet holds the reports of back ends and coordinators; nil if they were not queried.
	Fleet *Fleet `json:"fleet,omitempty"`
}

// NodeStatus is the state of one control node.
type NodeStatus struct {
	Address string        `json:"address"`
	Name    string        `json:"name,omitempty"`
	ID      uint64        `json:"id,omitempty"`
	Error   string        `json:"error,omitempty"` // why the node did not answer
	Speaks  uint32        `json:"speaks"`          // highest compatibility level; 0 for builds that do not report one
	Groups  []GroupStatus `json:"groups,omitempty"`
}

// GroupStatus is the state of one consensus group as one node reports it.
type GroupStatus struct {
	Group   uint32 `json:"group"`
	Role    string `json:"role"` // leader, follower, learner or none
	Leader  uint64 `json:"leader"`
	Term    uint64 `json:"term"`
	Commit  uint64 `json:"commit_index"`
	Applied uint64 `json:"applied_index"`
	Lag     uint64 `json:"lag"` // entries between the highest commit index of any node and this node's applied index
	Claims  uint64 `json:"claims"`
}

// MemberStatus is the state of one member.
type MemberStatus struct {
	Name        string `json:"name"`
	Role        string `json:"role"`
	State       string `json:"state"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	Incarnation uint64 `json:"incarnation"`
	Version     uint64 `json:"acted_version"` // table version that the member acts on; 0 without a lease
	LeaseMillis int64  `json:"lease_remaining_millis"`
	Speaks      uint32 `json:"speaks"` // highest compatibility level; 0 for builds that do not report one
}

// ReadStatus queries every known control node, and the leader of the control group for the members. Nodes that fail
// are reported in the status, so there is no error result.
func ReadStatus(ctx context.Context, control StatusControl) *Status {
	status := &Status{}
	holders := make(map[string]*wire.HolderStatus)
	for _, address := range control.Addresses() {
		node, view := readNode(ctx, control, address)
		status.Nodes = append(status.Nodes, node)
		status.TableVersion = max(status.TableVersion, view.GetTableVersion())
		status.InForce = max(status.InForce, view.GetInForceVersion())
		status.Level = max(status.Level, view.GetLevel())
		for _, holder := range view.GetHolders() {
			holders[holder.Name] = holder
		}
	}
	status.setLags()
	ctx, cancel := context.WithTimeout(ctx, nodeTimeout)
	defer cancel()
	members, err := ReadMembers(ctx, control)
	if err != nil {
		status.MembersError = err.Error()
	}
	for _, member := range members {
		status.Members = append(status.Members, newMemberStatus(member, holders[member.Name]))
	}
	return status
}

// readNode queries one node about all its groups. The returned view is that of the control group; nil if that query
// failed.
func readNode(ctx context.Context, control StatusControl, address string) (NodeStatus, *wire.StatusView) {
	ctx, cancel := context.WithTimeout(ctx, nodeTimeout)
	defer cancel()
	node := NodeStatus{Address: address}
	var controlView *wire.StatusView
	for group := uint32(0); group <= controlView.GetLedgerGroups(); group++ {
		view, err := control.NodeStatus(ctx, address, group)
		if err != nil {
			node.Error = err.Error()
			return node, controlView
		}
		if group == 0 {
			controlView = view
		}
		node.Name, node.ID, node.Speaks = view.NodeName, view.Node, view.Speaks
		node.Groups = append(node.Groups, GroupStatus{
			Group: group, Role: groupRole(view), Leader: view.Leader, Term: view.Term,
			Commit: view.CommitIndex, Applied: view.AppliedIndex, Claims: view.Claims,
		})
	}
	return node, controlView
}

// groupRole returns the node's role in the group of the view: leader, follower, learner or none.
func groupRole(view *wire.StatusView) string {
	if view.Leader == view.Node && view.Node != 0 {
		return "leader"
	}
	for _, learner := range view.Learners {
		if learner == view.Node {
			return "learner"
		}
	}
	for _, voter := range view.Voters {
		if voter == view.Node {
			return "follower"
		}
	}
	return "none"
}

// setLags sets each group's lag behind the highest commit index that any node reported for it.
func (s *Status) setLags() {
	highestCommit := make(map[uint32]uint64)
	for _, node := range s.Nodes {
		for _, group := range node.Groups {
			highestCommit[group.Group] = max(highestCommit[group.Group], group.Commit)
		}
	}
	for _, node := range s.Nodes {
		for position := range node.Groups {
			group := &node.Groups[position]
			group.Lag = highestCommit[group.Group] - min(group.Applied, highestCommit[group.Group])
		}
	}
}

func newMemberStatus(member *wire.Member, holder *wire.HolderStatus) MemberStatus {
	return MemberStatus{
		Name: member.Name, Role: wire.MemberRoleText(member.Role), State: wire.MemberStateText(member.State),
		Address: member.Address, Zone: member.Zone, Region: member.Region, Incarnation: member.Incarnation,
		Version: holder.GetActedVersion(), LeaseMillis: holder.GetLeaseRemainingMillis(), Speaks: member.Speaks,
	}
}

// Write prints the status. FormatJSON selects JSON; any other format prints aligned columns.
func (s *Status) Write(out io.Writer, format Format) error {
	if format == FormatJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return trace.Wrap(encoder.Encode(s))
	}
	if _, err := fmt.Fprintf(out, "table version %d, in force everywhere: %s\n%s\n\n", s.TableVersion, formatInForce(s.InForce), s.describeLevel()); err != nil {
		return trace.Wrap(err)
	}
	if err := writeAligned(out, s.nodeRecords()); err != nil {
		return trace.Wrap(err)
	}
	if s.MembersError != "" {
		_, err := fmt.Fprintf(out, "\nthe members are not known: %s\n", s.MembersError)
		return trace.Wrap(err)
	}
	if _, err := fmt.Fprintln(out); err != nil {
		return trace.Wrap(err)
	}
	if err := writeAligned(out, s.memberRecords()); err != nil || s.Fleet == nil {
		return trace.Wrap(err)
	}
	return s.Fleet.Write(out)
}

func formatInForce(version uint64) string {
	if version == 0 {
		return "not known yet"
	}
	return fmt.Sprintf("version %d", version)
}

// nodeRecords returns the table of control nodes, with one row for each group of a node.
func (s *Status) nodeRecords() [][]string {
	records := [][]string{{"control node", "id", "address", "group", "role", "term", "applied", "lag", "claims"}}
	for _, node := range s.Nodes {
		if node.Error != "" {
			records = append(records, []string{node.Name, "", node.Address, "", "unreachable", "", "", "", ""})
		}
		for _, group := range node.Groups {
			records = append(records, []string{
				node.Name, formatUint(node.ID), node.Address, formatUint(uint64(group.Group)), group.Role,
				formatUint(group.Term), formatUint(group.Applied), formatUint(group.Lag), formatUint(group.Claims),
			})
		}
	}
	return records
}

func (s *Status) memberRecords() [][]string {
	records := [][]string{{"member", "role", "state", "address", "zone", "acts on version", "lease ms"}}
	for _, member := range s.Members {
		records = append(records, []string{
			member.Name, member.Role, member.State, member.Address, member.Zone,
			formatUint(member.Version), strconv.FormatInt(member.LeaseMillis, 10),
		})
	}
	return records
}

func formatUint(number uint64) string { return strconv.FormatUint(number, 10) }
