package coordinator

import (
	"context"
	"time"

	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	// tendInterval is the time between two looks at what this coordinator is to own.
	tendInterval = 200 * time.Millisecond
	// orphanInterval is the time between two looks for trainers with open steps in the ledger, when the
	// coordinators stay the same.
	orphanInterval = 5 * time.Second
)

// tend takes over what this coordinator is to own without waiting for a call: the waves of pools, and the
// trainers whose owner is gone.
func (s *Server) tend(ctx context.Context) error {
	ticker := time.NewTicker(tendInterval)
	defer ticker.Stop()
	var known []candidate
	var looked time.Duration
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		view, ok := s.session.AdmitView()
		now := s.candidates()
		if !ok || s.draining.Load() || !includes(now, s.config.Name) {
			continue
		}
		s.tendWaves(ctx, view)
		if !equalCandidates(known, now) || s.now() > looked+orphanInterval {
			if s.adoptOrphans(ctx) {
				known, looked = now, s.now()
			}
		}
	}
}

func equalCandidates(first, second []candidate) bool {
	if len(first) != len(second) {
		return false
	}
	for position := range first {
		if first[position] != second[position] {
			return false
		}
	}
	return true
}

func includes(candidates []candidate, name string) bool {
	for _, one := range candidates {
		if one.name == name {
			return true
		}
	}
	return false
}

// tendWaves makes this coordinator the owner of its pools' waves.
func (s *Server) tendWaves(ctx context.Context, view *table.View) {
	for _, row := range view.Pools() {
		if row.Service != table.Engine || row.State == table.Removed || !s.owns(poolResource(row.Name)) {
			continue
		}
		if _, err := s.ownWave(ctx, row.Name); err != nil && ctx.Err() == nil {
			s.config.Log.WithError(err).Debugf("the wave of pool %s could not be taken over", row.Name)
		}
	}
}

// adoptOrphans takes over the trainers with open steps that this coordinator is to own. It is false when a
// part could not be looked at.
func (s *Server) adoptOrphans(ctx context.Context) bool {
	whole := true
	for group := 1; group <= s.client.LedgerGroups(); group++ {
		names, err := s.openTrainers(ctx, uint32(group))
		whole = whole && err == nil
		for _, name := range names {
			if !s.owns(trainerResource(name)) {
				continue
			}
			if _, err := s.adopt(ctx, name); err != nil {
				whole = false
				s.config.Log.WithError(err).Debugf("trainer %s could not be taken over", name)
			}
		}
	}
	return whole
}

func (s *Server) openTrainers(ctx context.Context, group uint32) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, s.config.StoreTimeout)
	defer cancel()
	view, err := s.client.Query(ctx, group, &wire.Query{Kind: &wire.Query_Trainers{Trainers: &wire.TrainersQuery{}}})
	if err != nil {
		return nil, err
	}
	return view.GetTrainers().GetOpenTrainers(), nil
}
