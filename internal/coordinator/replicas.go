package coordinator

import (
	"context"
	"net/http"
	"time"

	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wave"
)

// replicaState is what a replica last reported. Guarded by the server's mutex.
type replicaState struct {
	address   string
	heard     time.Duration // time of the last report
	known     bool
	polling   bool
	asked     time.Duration // time of the last poll
	everAsked bool
	report    loadReport
	laggedAt  time.Duration // since when it has served older weights than others
	lagging   bool
}

// loadReport is what the coordinator reads of GET /v1/load.
type loadReport struct {
	Leaving       bool   `json:"leaving"`
	Refusing      bool   `json:"refusing"`
	WeightVersion string `json:"weight_version"`
	VersionNumber uint64 `json:"version_number"`
	StagedNumber  uint64 `json:"staged_number"`
	Running       int    `json:"running"`
	Waiting       int    `json:"waiting"`
}

// watchReplicas polls the load reports of all pools in use, and drives their waves, until ctx ends.
func (s *Server) watchReplicas(ctx context.Context) error {
	ticker := time.NewTicker(s.config.LoadInterval)
	defer ticker.Stop()
	for {
		s.pollReplicas(ctx)
		s.driveWaves()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (s *Server) pollReplicas(ctx context.Context) {
	view := s.session.View()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.now()
	for _, p := range s.pools {
		s.followTable(p, view)
		interval := s.config.LoadInterval
		if !p.inWave() {
			interval = QuietLoadInterval(interval, len(p.replicas))
		}
		for name, replica := range p.replicas {
			if replica.polling || (replica.everAsked && now < replica.asked+interval) {
				continue
			}
			replica.polling, replica.everAsked, replica.asked = true, true, now
			s.start(func() { s.pollReplica(ctx, p, name, replica) })
		}
	}
}

const (
	// quietPollsPerSecond bounds the load polls of one pool outside a wave, until maximumLoadInterval.
	quietPollsPerSecond = 48
	maximumLoadInterval = 2 * time.Second // well below replicaSilence
)

// QuietLoadInterval is the time between two polls of each of count replicas while this coordinator brings no
// version to them: large pools are asked less often than every least.
func QuietLoadInterval(least time.Duration, count int) time.Duration {
	paced := time.Duration(count) * time.Second / quietPollsPerSecond
	return max(least, min(paced, maximumLoadInterval))
}

// inWave tells whether this coordinator brings a version to the pool's replicas now.
func (p *pool) inWave() bool {
	if p.wave == nil {
		return false
	}
	status := p.wave.planner.Status()
	return status.Target.Name != "" && status.Serving < status.Replicas
}

// followTable takes over the pool's back ends. The caller holds the mutex.
func (s *Server) followTable(p *pool, view *table.View) {
	listed := map[string]bool{}
	for _, row := range view.Backends(p.name) {
		listed[row.Name] = true
		if known := p.replicas[row.Name]; known == nil || known.address != row.Address {
			p.replicas[row.Name] = &replicaState{address: row.Address}
		}
	}
	for name := range p.replicas {
		if !listed[name] {
			delete(p.replicas, name)
		}
	}
}

func (s *Server) pollReplica(ctx context.Context, p *pool, name string, replica *replicaState) {
	var report loadReport
	err := s.call(ctx, http.MethodGet, replica.address, "/v1/load", nil, s.config.LoadTimeout, &report)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	replica.polling = false
	if err != nil || p.replicas[name] != replica {
		return
	}
	now := s.now()
	replica.known, replica.heard, replica.report = true, now, report
	if p.wave != nil {
		p.wave.planner.Report(now, name, wave.Report{
			Version: wave.Version{Name: report.WeightVersion, Number: report.VersionNumber}, Staged: report.StagedNumber,
			Refusing: report.Refusing})
	}
	s.noteAvailable(p, now)
}

// replicaSilence is how old a report may be for its replica to count among those that serve.
const replicaSilence = 5 * time.Second

// noteAvailable finds the newest version that all of a pool's replicas serve, without those that have lagged
// behind the others for too long: samples that start on old weights are too old too early. The caller holds
// the mutex.
func (s *Server) noteAvailable(p *pool, now time.Duration) {
	newest := uint64(0)
	for _, replica := range p.replicas {
		if replica.serves(now) {
			newest = max(newest, replica.report.VersionNumber)
		}
	}
	available := newest
	for _, replica := range p.replicas {
		if !replica.serves(now) {
			continue
		}
		if replica.report.VersionNumber == newest {
			replica.lagging = false
			continue
		}
		if !replica.lagging {
			replica.lagging, replica.laggedAt = true, now
		}
		if now < replica.laggedAt+s.config.LaggardPatience {
			available = min(available, replica.report.VersionNumber)
		}
	}
	if available > p.available {
		p.available = available
		s.wake()
	}
}

func (r *replicaState) serves(now time.Duration) bool {
	return r.known && now < r.heard+replicaSilence && !r.report.Refusing && !r.report.Leaving
}
