package coordinator

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wave"
)

// replicaState is the last known state of a replica. Guarded by the server's mutex.
type replicaState struct {
	address      string
	heardAt      time.Duration // time of the last load report or answer to a swap
	hasReport    bool
	pollFailed   bool // the last poll got no answer
	polling      bool
	polled       bool          // at least once
	nextPoll     time.Duration // time of the next poll
	report       loadReport
	swappedAt    time.Duration // time of the last answer to a swap, whose version is in report
	swapped      bool          // a swap was answered at least once
	laggingSince time.Duration // start of the time in which it has served older weights than others
	lagging      bool
}

// loadReport holds the fields that the coordinator reads from GET /v1/load.
type loadReport struct {
	Leaving       bool   `json:"leaving"`
	Refusing      bool   `json:"refusing"`
	WeightVersion string `json:"weight_version"`
	VersionNumber uint64 `json:"version_number"`
	StagedNumber  uint64 `json:"staged_number"`
	Running       int    `json:"running"`
	Waiting       int    `json:"waiting"`
}

// watchReplicas polls the load reports of all pools in use and drives their weight waves until ctx ends.
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

// pollReplicas polls the due replicas of the pools whose load reports this coordinator collects. For the other pools it
// asks their collectors.
func (s *Server) pollReplicas(ctx context.Context) {
	view := s.session.View()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.now()
	var collected []*pool
	count, unsettled := 0, 0
	for _, p := range s.pools {
		if s.followCollector(ctx, p, now) {
			continue
		}
		s.syncReplicas(p, view)
		collected = append(collected, p)
		for _, replica := range p.replicas {
			count++
			if replica.isUnsettled() {
				unsettled++
			}
		}
	}
	pace := newPollPace(s.config.LoadInterval, s.reportSize, count, unsettled)
	for _, p := range collected {
		for name, replica := range p.replicas {
			if replica.polling || now < replica.nextPoll {
				continue
			}
			replica.schedulePoll(now, pace)
			replica.polling = true
			s.stats.LoadPolls++
			s.start(func() { s.pollReplica(ctx, p, name, replica) })
		}
	}
}

// schedulePoll sets the time of the poll after the one that is due now. Jitter spreads the polls evenly over time.
func (r *replicaState) schedulePoll(now time.Duration, pace pollPace) {
	switch {
	case !r.polled:
		r.nextPoll = now + rand.N(pace.settled)
	case r.isUnsettled():
		r.nextPoll = now + jitter(pace.unsettled)
	default:
		r.nextPoll = now + jitter(pace.settled)
	}
	r.polled = true
}

// jitter returns a random duration from 3/4 to 5/4 of interval, with interval as the mean.
func jitter(interval time.Duration) time.Duration { return 3*interval/4 + rand.N(interval/2+1) }

// isUnsettled reports whether a change of the replica's state is expected soon.
func (r *replicaState) isUnsettled() bool {
	return r.pollFailed || r.hasReport && (r.report.Leaving || r.report.Refusing)
}

const (
	// loadPath requests the brief report. A replica that does not support it returns the full report.
	loadPath = "/v1/load?brief=true"
	// pollsPerSecond bounds a coordinator's load polls of settled replicas. A wave's progress is already known from the
	// answers to weight orders; these polls detect all other changes.
	pollsPerSecond = 32
	// pollBytesPerSecond bounds the traffic of these polls when reports are large, to half of a node's 21 KB/s.
	pollBytesPerSecond = 10_500
	// reportHeaderBytes is the approximate size of one poll without the report's body.
	reportHeaderBytes = 200
	// reportSizeWeight is the inverse of the weight of one report in the moving average of the report size.
	reportSizeWeight = 16
	// unsettledPerSecond bounds the polls of unsettled replicas. unsettledInterval is the time between two polls of the
	// same one.
	unsettledPerSecond = 16
	unsettledInterval  = 2 * time.Second // well below replicaSilenceLimit
)

// PollInterval returns the time between two polls of the same replica, given count settled replicas whose reports have
// size bytes on average. The result is never below least, the minimum time between two polls.
func PollInterval(least time.Duration, size float64, count int) time.Duration {
	each := max(1.0/pollsPerSecond, (size+reportHeaderBytes)/pollBytesPerSecond)
	return max(least, time.Duration(float64(count)*each*float64(time.Second)))
}

// pollPace holds the time between two polls of the same replica, by the replica's state.
type pollPace struct{ settled, unsettled time.Duration }

// newPollPace divides a coordinator's poll budget among count replicas, some of which are unsettled.
func newPollPace(least time.Duration, size float64, count, unsettled int) pollPace {
	settled := PollInterval(least, size, count)
	fastPoll := max(min(settled, unsettledInterval), time.Duration(unsettled)*time.Second/unsettledPerSecond)
	return pollPace{settled: settled, unsettled: min(settled, fastPoll)}
}

// syncReplicas updates the pool's replicas from the table. The caller holds the mutex.
func (s *Server) syncReplicas(p *pool, view *table.View) {
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
	var body json.RawMessage
	err := s.call(ctx, http.MethodGet, replica.address, loadPath, nil, s.config.LoadTimeout, &body)
	if err == nil {
		err = json.Unmarshal(body, &report)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	replica.polling = false
	if ctx.Err() != nil || p.replicas[name] != replica {
		return
	}
	now := s.now()
	if replica.pollFailed = err != nil; replica.pollFailed {
		replica.nextPoll = min(replica.nextPoll, now+unsettledInterval)
		return
	}
	s.reportSize += (float64(len(body)) - s.reportSize) / reportSizeWeight
	replica.applyReport(now, report, s.config.Wave.ReportGrace)
	if p.wave != nil {
		p.wave.planner.Report(now, name, wave.Report{
			Version: wave.Version{Name: report.WeightVersion, Number: report.VersionNumber}, Staged: report.StagedNumber,
			RefusesWork: report.Refusing})
	}
	s.updateAvailable(p, now)
}

// applyReport records a load report. Reports from the platform lag, so the version from the answer to a swap takes
// precedence over the reported one until grace has passed.
func (r *replicaState) applyReport(now time.Duration, report loadReport, grace time.Duration) {
	if r.swapped && now < r.swappedAt+grace {
		report.WeightVersion, report.VersionNumber = r.report.WeightVersion, r.report.VersionNumber
	}
	r.hasReport, r.heardAt, r.report = true, now, report
}

// recordSwap records the version that a replica serves according to its answer to a swap.
func (r *replicaState) recordSwap(now time.Duration, version wave.Version) {
	r.hasReport, r.pollFailed, r.heardAt, r.swappedAt, r.swapped = true, false, now, now, true
	r.report.WeightVersion, r.report.VersionNumber, r.report.Refusing = version.Name, version.Number, false
}

// applyOrderAnswer treats the answer to a swap like a load report of its replica. After a failed order, or a swap that
// left the replica on another version, the next poll is due at once. The caller holds the mutex.
func (s *Server) applyOrderAnswer(p *pool, order wave.Order, answer wave.Answer) {
	replica, now := p.replicas[order.Replica], s.now()
	if replica == nil {
		return
	}
	switch {
	case answer.Outcome == wave.Failed, answer.Outcome == wave.Done && order.Kind == wave.Swap && answer.Serving != order.Version.Number:
		replica.nextPoll = now
	case answer.Outcome == wave.Done && order.Kind == wave.Swap:
		replica.recordSwap(now, order.Version)
		s.updateAvailable(p, now)
	}
}

// replicaSilenceLimit is how long after it was last heard from a replica that does not answer still counts as serving.
const replicaSilenceLimit = 5 * time.Second

// updateAvailable computes the newest version that all serving replicas of a pool have, except those that have lagged
// behind the others for longer than LaggardPatience. Waiting for all replicas prevents samples from starting on old
// weights, which would exceed the staleness bound too early. The caller holds the mutex.
func (s *Server) updateAvailable(p *pool, now time.Duration) {
	newest := uint64(0)
	for _, replica := range p.replicas {
		if replica.isServing(now) {
			newest = max(newest, replica.report.VersionNumber)
		}
	}
	available := newest
	for _, replica := range p.replicas {
		if !replica.isServing(now) {
			continue
		}
		if replica.report.VersionNumber == newest {
			replica.lagging = false
			continue
		}
		if !replica.lagging {
			replica.lagging, replica.laggingSince = true, now
		}
		if now < replica.laggingSince+s.config.LaggardPatience {
			available = min(available, replica.report.VersionNumber)
		}
	}
	if available > p.available {
		p.available = available
		s.wake()
	}
}

func (r *replicaState) isServing(now time.Duration) bool {
	silent := r.pollFailed && now >= r.heardAt+replicaSilenceLimit
	return r.hasReport && !silent && !r.report.Refusing && !r.report.Leaving
}
