package control

import (
	"context"

	"github.com/tamarindring/tamarindring/internal/compat"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// boundJobs writes into a submit what all jobs of its group may take together. Builds that know no such bound would judge the
// submit by a fixed one, and their state would be another.
func (s *Server) boundJobs(ctx context.Context, group uint32, submit *wire.JobSubmit) error {
	submit.MostHeldBytes = 0 // whoever sent it does not know
	if !s.levels.agreed().Includes(compat.SnapshotParts) {
		return nil
	}
	capacity, err := s.replicas.Capacity(ctx, group)
	if err == nil {
		submit.MostHeldBytes = capacity
	}
	return err
}
