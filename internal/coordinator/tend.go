package coordinator

import (
	"context"
	"time"

	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	// ownershipInterval is the time between two checks of what this coordinator should own.
	ownershipInterval = 200 * time.Millisecond
	// openTrainersInterval is the time between two searches of the ledger for trainers with open steps while the set of
	// coordinators stays the same.
	openTrainersInterval = 5 * time.Second
)

// reconcileOwnership takes over what this coordinator should own without waiting for a request: the weight waves of
// pools, and trainers with open steps whose owner is gone. It runs until ctx ends.
func (s *Server) reconcileOwnership(ctx context.Context) error {
	ticker := time.NewTicker(ownershipInterval)
	defer ticker.Stop()
	var known []candidate
	var searchedAt time.Duration
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		view, ok := s.session.AdmitView()
		current := s.candidates()
		if !ok || s.draining.Load() || !containsCandidate(current, s.config.Name) {
			continue
		}
		s.acquireWaves(ctx, view)
		if !sameCandidates(known, current) || s.now() > searchedAt+openTrainersInterval {
			if s.adoptOpenTrainers(ctx) {
				known, searchedAt = current, s.now()
			}
		}
	}
}

func sameCandidates(first, second []candidate) bool {
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

func containsCandidate(candidates []candidate, name string) bool {
	for _, one := range candidates {
		if one.name == name {
			return true
		}
	}
	return false
}

// acquireWaves makes this coordinator the owner of the weight waves that it should own.
func (s *Server) acquireWaves(ctx context.Context, view *table.View) {
	for _, row := range view.Pools() {
		if row.Service != table.Engine || row.State == table.Removed || !s.owns(poolResource(row.Name)) {
			continue
		}
		if _, err := s.ensureWave(ctx, row.Name); err != nil && ctx.Err() == nil {
			s.config.Log.WithError(err).Debugf("could not take over the weight wave of pool %s", row.Name)
		}
	}
}

// adoptOpenTrainers takes over the trainers with open steps that this coordinator should own. It returns false if a
// ledger group could not be read or a trainer could not be taken over.
func (s *Server) adoptOpenTrainers(ctx context.Context) bool {
	complete := true
	for group := 1; group <= s.client.LedgerGroups(); group++ {
		names, err := s.listOpenTrainers(ctx, uint32(group))
		complete = complete && err == nil
		for _, name := range names {
			if !s.owns(trainerResource(name)) {
				continue
			}
			if _, err := s.adopt(ctx, name); err != nil {
				complete = false
				s.config.Log.WithError(err).Debugf("could not take over trainer %s", name)
			}
		}
	}
	return complete
}

func (s *Server) listOpenTrainers(ctx context.Context, group uint32) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, s.config.StoreTimeout)
	defer cancel()
	view, err := s.client.Query(ctx, group, &wire.Query{Kind: &wire.Query_Trainers{Trainers: &wire.TrainersQuery{}}})
	if err != nil {
		return nil, err
	}
	return view.GetTrainers().GetOpenTrainers(), nil
}
