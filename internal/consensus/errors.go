package consensus

import (
	"errors"
	"fmt"
)

// ErrNotLeader means that the request was not and will not be applied because this node does not lead the group. The
// caller should ask the leader.
type ErrNotLeader struct {
	Leader        uint64 // node ID, raft.None if unknown
	LeaderAddress string // IP:port, empty if unknown
}

// Error implements error.
func (e *ErrNotLeader) Error() string {
	if e.LeaderAddress == "" {
		return "consensus: this node is not the leader and knows none"
	}
	return fmt.Sprintf("consensus: this node is not the leader, ask node %d at %s", e.Leader, e.LeaderAddress)
}

var (
	// ErrUnknownOutcome means that the command was proposed and may or may not be applied. The caller should send the
	// same command again.
	ErrUnknownOutcome = errors.New("consensus: proposed, outcome unknown; send the same command again")
	// ErrOverloaded means that the request was not proposed because too many requests are pending.
	ErrOverloaded = errors.New("consensus: overloaded, not proposed")
	// ErrDiskFull means that the request was not proposed because there is too little free disk space.
	ErrDiskFull = errors.New("consensus: too little disk space, not proposed")
	// ErrInvalid means that the request was not proposed because it is malformed or names an unknown group.
	ErrInvalid = errors.New("consensus: invalid request, not proposed")
	// ErrClosed means that the host has stopped. Earlier proposals have an unknown outcome.
	ErrClosed = errors.New("consensus: closed")
)

// ErrRefused is returned by Run if a peer knows another data folder under this node's ID. This node may have lost
// votes and entries that it acknowledged, so it must not participate under this ID again.
type ErrRefused struct {
	Peer   uint64 // ID of the node that refused
	Reason string
}

// Error implements error.
func (e *ErrRefused) Error() string {
	return fmt.Sprintf("consensus: refused by node %d: %s; give the node a new node ID and an empty data folder and let it join as a learner",
		e.Peer, e.Reason)
}

// errStopped ends the loop without an error.
var errStopped = errors.New("consensus: stopped")
