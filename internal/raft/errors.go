package raft

import (
	"errors"
	"fmt"
)

// Errors of proposals, reads and leadership transfers. Nothing was appended to the log when one of them is returned.
var (
	// ErrNotLeader is returned by a node that does not lead. Status names the leader if it is known.
	ErrNotLeader = errors.New("raft: this node is not the leader")
	// ErrTransferring wraps ErrNotLeader. It is returned while a leadership transfer is in progress; retry shortly.
	ErrTransferring = fmt.Errorf("%w any more: leadership is being transferred", ErrNotLeader)
	// ErrOverloaded is returned if too many bytes wait to be committed or too many reads wait for a quorum; retry
	// later.
	ErrOverloaded = errors.New("raft: too much work is waiting; try again later")
	// ErrChangePending is returned if another configuration change is pending, or the leader has not yet committed an
	// entry of its own term; retry shortly.
	ErrChangePending = errors.New("raft: a configuration change is pending or the leader is new; try again shortly")
	// ErrNotCaughtUp is returned if the learner to promote is inactive, or does not hold all entries that were
	// committed at the leader's last heartbeat.
	ErrNotCaughtUp = errors.New("raft: the learner has not caught up; try again later")
	// ErrLastVoter is returned for the removal of the group's last voter.
	ErrLastVoter = errors.New("raft: the last voter cannot be removed")
	// ErrQuorumAtRisk is returned if the active voters would be no quorum after the change.
	ErrQuorumAtRisk = errors.New("raft: the voters that are alive would be no quorum after this change")
	// ErrAlreadyMember is returned if the node to add is in the configuration, or the one to promote is a voter.
	ErrAlreadyMember = errors.New("raft: the node is a member already")
	// ErrNotMember is returned if the node is not in the configuration, or lacks the role (voter, learner) that the
	// request needs.
	ErrNotMember = errors.New("raft: the node is no such member")
)

// ErrContradiction is returned by Step for a message that no correct peer sends, because it contradicts its own
// fields or what is committed. The message had no effect.
var ErrContradiction = errors.New("raft: contradictory message")

// newContradiction returns an ErrContradiction that describes m and the contradiction.
func newContradiction(m Message, format string, arguments ...any) error {
	return fmt.Errorf("%w: kind %d from node %x in term %d: %s", ErrContradiction, m.Kind, m.From, m.Term,
		fmt.Sprintf(format, arguments...))
}
