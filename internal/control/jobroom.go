package control

import (
	"context"
	"errors"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/compat"
	"github.com/tamarindring/tamarindring/internal/consensus"
	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// jobCapacity tracks batch jobs that are being proposed, to reject jobs for which a ledger group has no capacity before
// they are proposed. A job rejected after its proposal would still take up its size in the log.
type jobCapacity struct {
	mutex      sync.Mutex
	proposing  map[string]int  // number of submits being proposed on this node, by job
	unresolved map[string]bool // jobs whose proposal ended here without an outcome and may still be applied
	full       bool            // last logged state
	rejected   uint64          // number of rejected jobs since the start
}

func newJobCapacity() *jobCapacity {
	return &jobCapacity{proposing: map[string]int{}, unresolved: map[string]bool{}}
}

// beginProposal records a submit that is about to be proposed.
func (c *jobCapacity) beginProposal(job string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.proposing[job]++
}

// endProposal records the result of a proposal. Entries are applied in log order, so an applied entry settles all
// earlier proposals.
func (c *jobCapacity) endProposal(job string, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.proposing[job]--; c.proposing[job] == 0 {
		delete(c.proposing, job)
	}
	var notLeader *consensus.ErrNotLeader
	switch {
	case err == nil:
		clear(c.unresolved)
	case errors.As(err, &notLeader), errors.Is(err, consensus.ErrOverloaded), errors.Is(err, consensus.ErrDiskFull), errors.Is(err, consensus.ErrInvalid):
	default:
		c.unresolved[job] = true
	}
}

// mayBeApplied reports whether a job was proposed on this node and its outcome is unknown.
func (c *jobCapacity) mayBeApplied(job string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.proposing[job] > 0 || c.unresolved[job]
}

// submitJob proposes a batch job, unless its group is known to have no capacity for it.
func (s *Server) submitJob(ctx context.Context, request *wire.ExecuteRequest, submit *wire.JobSubmit) *wire.ExecuteReply {
	if err := s.setJobLimit(ctx, request.Group, submit); err != nil {
		return s.failureReply(request.Group, err)
	}
	if rejected := s.rejectIfFull(ctx, request.Group, submit); rejected != nil {
		return &wire.ExecuteReply{Status: wire.ExecuteStatus_EXECUTE_STATUS_OK, Result: &wire.Result{Kind: &wire.Result_Job{Job: rejected}}}
	}
	s.jobCapacity.beginProposal(submit.GetId())
	result, index, err := s.replicas.Propose(ctx, request.Group, request.Command)
	s.jobCapacity.endProposal(submit.GetId(), err)
	if err != nil {
		return s.failureReply(request.Group, err)
	}
	return &wire.ExecuteReply{Status: wire.ExecuteStatus_EXECUTE_STATUS_OK, Result: result, AppliedIndex: index}
}

// setJobLimit sets the limit for the total size of the group's jobs in a submit. The limit stays 0 below level
// SnapshotParts: older builds would apply a fixed limit, and the states of the replicas would diverge.
func (s *Server) setJobLimit(ctx context.Context, group uint32, submit *wire.JobSubmit) error {
	submit.MostHeldBytes = 0 // ignore the sender's value: senders do not know the capacity
	if !s.levels.agreed().Includes(compat.SnapshotParts) {
		return nil
	}
	capacity, err := s.replicas.Capacity(ctx, group)
	if err == nil {
		submit.MostHeldBytes = capacity / uint64(s.config.LedgerGroups) // the groups share the same machines
	}
	return err
}

// rejectIfFull returns the answer to a job that exceeds the group's capacity and is not held, nor may be by an earlier
// attempt. It returns nil for other jobs and if the capacity is unknown.
func (s *Server) rejectIfFull(ctx context.Context, group uint32, submit *wire.JobSubmit) *wire.JobReply {
	if submit.GetMostHeldBytes() == 0 {
		return nil
	}
	fits := func(room *wire.JobRoomView) bool {
		return room.GetHeldBytes()+uint64(proto.Size(submit)) <= submit.GetMostHeldBytes()
	}
	query := &wire.Query{Kind: &wire.Query_JobRoom{JobRoom: &wire.JobRoomQuery{Job: submit.GetId(), Tenant: submit.GetTenant()}}}
	view, err := s.replicas.LocalQuery(ctx, group, query)
	if err != nil {
		return nil
	}
	if fits(view.GetJobRoom()) {
		s.recordCapacity(group, false, view.GetJobRoom(), submit.GetMostHeldBytes())
		return nil
	}
	// The linearizable query confirms the leadership, after which jobs accepted by an earlier leader are applied on
	// this node.
	view, err = s.replicas.Query(ctx, group, query)
	room := view.GetJobRoom()
	if err != nil || fits(room) || room.GetKnown() || s.jobCapacity.mayBeApplied(submit.GetId()) {
		return nil
	}
	s.recordCapacity(group, true, room, submit.GetMostHeldBytes())
	return &wire.JobReply{Outcome: wire.JobOutcome_JOB_OUTCOME_FULL, Unproposed: true, RoomInMillis: room.GetRoomInMillis()}
}

// recordCapacity logs when a group becomes full or has capacity again, and counts rejected jobs.
func (s *Server) recordCapacity(group uint32, full bool, room *wire.JobRoomView, limit uint64) {
	c := s.jobCapacity
	c.mutex.Lock()
	changed := c.full != full
	c.full = full
	if full {
		c.rejected++
	}
	c.mutex.Unlock()
	if changed {
		logging.Emit(s.log, &events.JobsFull{Group: group, Full: full, JobsMB: events.Megabytes(room.GetHeldBytes()),
			MostMB: events.Megabytes(limit), RoomInMs: room.GetRoomInMillis()})
	}
}

// rejections returns the number of jobs rejected since the start.
func (c *jobCapacity) rejections() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.rejected
}
