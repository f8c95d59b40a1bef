package consensus

import (
	"context"
	"errors"
	"slices"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/statepart"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// Propose sends a command through a group's log and returns the result of applying it and its log index.
//
// Errors: *ErrNotLeader, ErrOverloaded, ErrDiskFull and ErrInvalid mean that the command was not and will not be
// applied. ErrUnknownOutcome, which is also returned when ctx ends first, means that the command may be applied: send
// the same command again. ErrClosed is returned only for commands that were not proposed.
func (h *Host) Propose(ctx context.Context, group uint32, command *wire.Command) (*wire.Result, uint64, error) {
	if err := h.checkGroup(group); err != nil {
		return nil, 0, err
	}
	data, err := proto.Marshal(command)
	if err != nil {
		return nil, 0, trace.Wrap(ErrInvalid, "%v", err)
	}
	if len(data) == 0 || len(data) > MaxCommandBytes {
		return nil, 0, trace.Wrap(ErrInvalid, "a command of %d bytes, want 1 to %d", len(data), MaxCommandBytes)
	}
	if err := ctx.Err(); err != nil {
		return nil, 0, trace.Wrap(ErrOverloaded, "%v", err)
	}
	waiting := &proposal{group: group, data: data, done: make(chan proposalOutcome, 1)}
	if err := h.inbox.addProposal(waiting); err != nil {
		return nil, 0, err
	}
	select {
	case outcome := <-waiting.done:
		return outcome.result, outcome.index, h.addLeaderAddress(outcome.err)
	case <-ctx.Done():
		return nil, 0, ErrUnknownOutcome
	}
}

// MaxCommandBytes is the maximum size of an encoded command. It ensures that a command fits into one frame between
// nodes.
const MaxCommandBytes = 2 << 20

// Read returns once the state on this node, which must be the leader, contains everything that was committed before
// the call (a linearizable barrier). Errors: *ErrNotLeader, ErrOverloaded, ErrInvalid, ErrClosed, and the error of
// ctx.
func (h *Host) Read(ctx context.Context, group uint32) error {
	_, err := h.read(ctx, &readRequest{group: group})
	return err
}

// Query answers a query after a linearizable barrier. Errors: those of Read.
func (h *Host) Query(ctx context.Context, group uint32, query *wire.Query) (*wire.View, error) {
	return h.read(ctx, &readRequest{group: group, query: query})
}

// LocalQuery answers a query from the state that this node has applied, which may be stale. Errors: those of Read,
// except *ErrNotLeader.
func (h *Host) LocalQuery(ctx context.Context, group uint32, query *wire.Query) (*wire.View, error) {
	return h.read(ctx, &readRequest{group: group, query: query, local: true})
}

func (h *Host) read(ctx context.Context, request *readRequest) (*wire.View, error) {
	if err := h.checkGroup(request.group); err != nil {
		return nil, err
	}
	request.done = make(chan readOutcome, 1)
	if err := h.inbox.addRead(request); err != nil {
		return nil, err
	}
	select {
	case outcome := <-request.done:
		return outcome.view, h.addLeaderAddress(outcome.err)
	case <-ctx.Done():
		return nil, trace.Wrap(ctx.Err())
	}
}

func (h *Host) checkGroup(group uint32) error {
	if h.groupByID[group] == nil {
		return trace.Wrap(ErrInvalid, "unknown group %d", group)
	}
	return nil
}

// addLeaderAddress adds the leader's address to an *ErrNotLeader if the address is known. Other errors are returned
// unchanged.
func (h *Host) addLeaderAddress(err error) error {
	var notLeader *ErrNotLeader
	if !errors.As(err, &notLeader) {
		return err
	}
	return &ErrNotLeader{Leader: notLeader.Leader, LeaderAddress: h.book.address(notLeader.Leader)}
}

// Status returns this node's view of a group. Errors: ErrInvalid, ErrClosed, and the error of ctx.
func (h *Host) Status(ctx context.Context, group uint32) (raft.Status, error) {
	return callWithResult(ctx, h, group, func(g *hostedGroup) (raft.Status, error) { return g.node.Status(), nil })
}

// Addresses returns the known listener addresses of the nodes of a group. Errors: those of Status.
func (h *Host) Addresses(ctx context.Context, group uint32) ([]string, error) {
	status, err := h.Status(ctx, group)
	if err != nil {
		return nil, err
	}
	var addresses []string
	for _, node := range slices.Concat(status.Configuration.Voters, status.Configuration.Learners) {
		address := h.book.address(node)
		if node == h.config.NodeID {
			address = h.config.Address
		}
		if address != "" {
			addresses = append(addresses, address)
		}
	}
	return addresses, nil
}

// Capture returns the encoded state of a group as applied on this node, and the index of the last entry in it.
// Errors: those of Status, and that of the state machine if its state cannot be encoded.
func (h *Host) Capture(ctx context.Context, group uint32) (index uint64, data []byte, err error) {
	type captured struct {
		encode func() (statepart.Parts, error)
		index  uint64
	}
	state, err := callWithResult(ctx, h, group, func(g *hostedGroup) (captured, error) {
		return captured{encode: g.machine.Capture(), index: g.applied}, nil
	})
	if err != nil {
		return 0, nil, err
	}
	parts, err := state.encode()
	if err != nil {
		return 0, nil, err
	}
	data, err = parts.Join()
	return state.index, data, err
}

// AddLearner adds a node that receives the log but has no vote. The node must run with Config.Join. Errors:
// *ErrNotLeader, raft.ErrChangePending, raft.ErrAlreadyMember, ErrUnknownOutcome and those of Status.
func (h *Host) AddLearner(ctx context.Context, group uint32, node uint64) error {
	return h.change(ctx, group, raft.ConfigurationChange{Kind: raft.AddLearner, Node: node})
}

// Promote turns a learner into a voter. Errors: those of AddLearner, raft.ErrNotCaughtUp, raft.ErrQuorumAtRisk and
// raft.ErrNotMember.
func (h *Host) Promote(ctx context.Context, group uint32, node uint64) error {
	return h.change(ctx, group, raft.ConfigurationChange{Kind: raft.PromoteLearner, Node: node})
}

// Remove removes a node from the group. Errors: those of Promote and raft.ErrLastVoter.
func (h *Host) Remove(ctx context.Context, group uint32, node uint64) error {
	return h.change(ctx, group, raft.ConfigurationChange{Kind: raft.RemoveNode, Node: node})
}

// change proposes a configuration change and waits until it is applied.
func (h *Host) change(ctx context.Context, group uint32, change raft.ConfigurationChange) error {
	waiting := &proposal{group: group, done: make(chan proposalOutcome, 1), inFlight: &h.inbox.inFlight}
	err := h.call(ctx, group, func(g *hostedGroup) error {
		index, term, err := g.node.ProposeChange(change)
		if err != nil {
			return g.translateError(err)
		}
		h.inbox.inFlight.Add(1)
		waiting.term = term
		g.pending[index] = waiting
		return nil
	})
	if err != nil {
		return err
	}
	select {
	case outcome := <-waiting.done:
		return h.addLeaderAddress(outcome.err)
	case <-ctx.Done():
		return ErrUnknownOutcome
	}
}

// TransferLeadership asks a voter to become leader. It returns without waiting for the transfer; OnLeaderChange
// reports the outcome.
func (h *Host) TransferLeadership(ctx context.Context, group uint32, node uint64) error {
	return h.call(ctx, group, func(g *hostedGroup) error { return g.translateError(g.node.TransferLeadership(node)) })
}

// ForceTransfer asks a voter to take over from this node, whose disk accepts no writes; see raft.Node.ForceTransfer. It
// returns without waiting; OnLeaderChange reports the outcome.
func (h *Host) ForceTransfer(ctx context.Context, group uint32, node uint64) error {
	return h.call(ctx, group, func(g *hostedGroup) error { return g.translateError(g.node.ForceTransfer(node)) })
}

// translateError converts raft's errors into this package's errors where callers depend on them.
func (g *hostedGroup) translateError(err error) error {
	switch {
	case errors.Is(err, raft.ErrNotLeader):
		return &ErrNotLeader{Leader: g.node.Status().Leader}
	case errors.Is(err, raft.ErrOverloaded):
		return ErrOverloaded
	}
	return err
}

// call runs a function on the loop and waits for it. Errors: those of callWithResult.
func (h *Host) call(ctx context.Context, group uint32, function func(*hostedGroup) error) error {
	_, err := callWithResult(ctx, h, group, func(g *hostedGroup) (struct{}, error) { return struct{}{}, function(g) })
	return err
}

// callWithResult runs a function on the loop and returns its result. If ctx ends first the function may still run, so
// it must not write to variables that its caller reads: it has to return everything that it finds out. Errors:
// ErrInvalid for an unknown group, ErrClosed, the error of ctx, and that of the function.
func callWithResult[T any](ctx context.Context, h *Host, group uint32, function func(*hostedGroup) (T, error)) (T, error) {
	type outcome struct {
		answer T
		err    error
	}
	var zero T
	if err := h.checkGroup(group); err != nil {
		return zero, err
	}
	done := make(chan outcome, 1)
	err := h.inbox.addCall(func(closed bool) {
		if closed {
			done <- outcome{err: ErrClosed}
			return
		}
		answer, err := function(h.groupByID[group])
		done <- outcome{answer, err}
	})
	if err != nil {
		return zero, err
	}
	select {
	case ended := <-done:
		return ended.answer, h.addLeaderAddress(ended.err)
	case <-ctx.Done():
		return zero, trace.Wrap(ctx.Err())
	}
}
