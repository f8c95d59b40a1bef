package raft

import (
	"errors"
	"fmt"
)

// Errors of requests. In each case nothing was appended to the log.
var (
	// ErrNotLeader: ask the node that Status names as leader.
	ErrNotLeader = errors.New("raft: this node is not the leader")
	// ErrTransferring is an ErrNotLeader: leadership is being handed over; try again shortly.
	ErrTransferring = fmt.Errorf("%w any more: leadership is being transferred", ErrNotLeader)
	// ErrOverloaded: too much is waiting to be committed or read; try again later.
	ErrOverloaded = errors.New("raft: too much work is waiting; try again later")
	// ErrChangePending: a configuration change is pending, or the leader has not yet committed an entry
	// of its own term; try again shortly.
	ErrChangePending = errors.New("raft: a configuration change is pending or the leader is new; try again shortly")
	// ErrNotCaughtUp: the learner does not yet hold what is committed, or is silent.
	ErrNotCaughtUp = errors.New("raft: the learner has not caught up; try again later")
	// ErrLastVoter: the group cannot lose its last voter.
	ErrLastVoter = errors.New("raft: the last voter cannot be removed")
	// ErrQuorumAtRisk: the voters heard from lately would be no quorum after the change.
	ErrQuorumAtRisk = errors.New("raft: the voters that are alive would be no quorum after this change")
	// ErrAlreadyMember: the node to add is in the configuration.
	ErrAlreadyMember = errors.New("raft: the node is a member already")
	// ErrNotMember: the node is not in the configuration, or not in the part that the request needs.
	ErrNotMember = errors.New("raft: the node is no such member")
)

// ErrContradiction is returned by Step for a message that no correct peer sends: it contradicts what is
// committed, or its own fields. The message had no effect.
var ErrContradiction = errors.New("raft: contradictory message")

func contradiction(m Message, format string, arguments ...any) error {
	return fmt.Errorf("%w: kind %d from node %x in term %d: %s", ErrContradiction, m.Kind, m.From, m.Term,
		fmt.Sprintf(format, arguments...))
}
