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

// jobRoom refuses batch jobs for which a ledger group has no room before they are proposed: a refused job would take its size
// of the log all the same.
type jobRoom struct {
	mutex    sync.Mutex
	underway map[string]int  // submits that are being proposed here, by job
	unknown  map[string]bool // jobs whose proposal ended here without an outcome, and may still be taken
	full     bool            // as was told last
	refused  uint64          // since the start
}

func newJobRoom() *jobRoom { return &jobRoom{underway: map[string]int{}, unknown: map[string]bool{}} }

// begin notes a submit that is about to be proposed.
func (r *jobRoom) begin(job string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.underway[job]++
}

// end notes how a proposal ended. Entries are applied in their order: an applied one settles all that were proposed before.
func (r *jobRoom) end(job string, err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.underway[job]--; r.underway[job] == 0 {
		delete(r.underway, job)
	}
	var notLeader *consensus.ErrNotLeader
	switch {
	case err == nil:
		clear(r.unknown)
	case errors.As(err, &notLeader), errors.Is(err, consensus.ErrOverloaded), errors.Is(err, consensus.ErrDiskFull), errors.Is(err, consensus.ErrInvalid):
	default:
		r.unknown[job] = true
	}
}

// mayBeTaken tells whether a job was proposed here and has no outcome yet.
func (r *jobRoom) mayBeTaken(job string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.underway[job] > 0 || r.unknown[job]
}

// submitJob proposes a batch job, unless it is known to find no room.
func (s *Server) submitJob(ctx context.Context, request *wire.ExecuteRequest, submit *wire.JobSubmit) *wire.ExecuteReply {
	if err := s.boundJobs(ctx, request.Group, submit); err != nil {
		return s.failure(request.Group, err)
	}
	if refused := s.refuseFull(ctx, request.Group, submit); refused != nil {
		return &wire.ExecuteReply{Status: wire.ExecuteStatus_EXECUTE_STATUS_OK, Result: &wire.Result{Kind: &wire.Result_Job{Job: refused}}}
	}
	s.jobRoom.begin(submit.GetId())
	result, index, err := s.replicas.Propose(ctx, request.Group, request.Command)
	s.jobRoom.end(submit.GetId(), err)
	if err != nil {
		return s.failure(request.Group, err)
	}
	return &wire.ExecuteReply{Status: wire.ExecuteStatus_EXECUTE_STATUS_OK, Result: result, AppliedIndex: index}
}

// boundJobs writes into a submit what all jobs of its group may take together. Builds that know no such bound would judge the
// submit by a fixed one, and their state would be another.
func (s *Server) boundJobs(ctx context.Context, group uint32, submit *wire.JobSubmit) error {
	submit.MostHeldBytes = 0 // whoever sent it does not know
	if !s.levels.agreed().Includes(compat.SnapshotParts) {
		return nil
	}
	capacity, err := s.replicas.Capacity(ctx, group)
	if err == nil {
		submit.MostHeldBytes = capacity / uint64(s.config.LedgerGroups) // they are on the same machines
	}
	return err
}

// refuseFull returns the answer to a job that has no room and is not held, nor can be by an earlier attempt; nil for others, and
// where that is not known.
func (s *Server) refuseFull(ctx context.Context, group uint32, submit *wire.JobSubmit) *wire.JobReply {
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
		s.tellRoom(group, false, view.GetJobRoom(), submit.GetMostHeldBytes())
		return nil
	}
	// What an earlier leader took is applied here once this one has confirmed that it leads.
	view, err = s.replicas.Query(ctx, group, query)
	room := view.GetJobRoom()
	if err != nil || fits(room) || room.GetKnown() || s.jobRoom.mayBeTaken(submit.GetId()) {
		return nil
	}
	s.tellRoom(group, true, room, submit.GetMostHeldBytes())
	return &wire.JobReply{Outcome: wire.JobOutcome_JOB_OUTCOME_FULL, Unproposed: true, RoomInMillis: room.GetRoomInMillis()}
}

// tellRoom logs when jobs begin or cease to find no room, and counts those that are refused.
func (s *Server) tellRoom(group uint32, full bool, room *wire.JobRoomView, most uint64) {
	r := s.jobRoom
	r.mutex.Lock()
	changed := r.full != full
	r.full = full
	if full {
		r.refused++
	}
	r.mutex.Unlock()
	if changed {
		logging.Emit(s.log, &events.JobsFull{Group: group, Full: full, JobsMB: events.Megabytes(room.GetHeldBytes()),
			MostMB: events.Megabytes(most), RoomInMs: room.GetRoomInMillis()})
	}
}

// refusals is how many jobs were refused since the start.
func (r *jobRoom) refusals() uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.refused
}
