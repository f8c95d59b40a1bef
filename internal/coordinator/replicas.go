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

// replicaState is what a replica last reported. Guarded by the server's mutex.
type replicaState struct {
	address  string
	heard    time.Duration // time of the last report or answer to a swap
	known    bool
	failed   bool // the last poll had no answer
	polling  bool
	polled   bool          // at least once
	due      time.Duration // time of the next poll
	report   loadReport
	answered time.Duration // time of the last answer to a swap; the report holds what it said
	swapped  bool          // there was one
	laggedAt time.Duration // since when it has served older weights than others
	lagging  bool
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

// pollReplicas asks the replicas that are due of the pools that this coordinator collects reports of, and the
// collectors of the other pools.
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
		s.followTable(p, view)
		collected = append(collected, p)
		for _, replica := range p.replicas {
			count++
			if replica.unsettled() {
				unsettled++
			}
		}
	}
	pace := newPollPace(s.config.LoadInterval, s.reportSize, count, unsettled)
	for _, p := range collected {
		for name, replica := range p.replicas {
			if replica.polling || now < replica.due {
				continue
			}
			replica.schedule(now, pace)
			replica.polling = true
			s.stats.LoadPolls++
			s.start(func() { s.pollReplica(ctx, p, name, replica) })
		}
	}
}

// schedule sets the time of the poll after the one that is due now. Polls are spread, so that they come evenly.
func (r *replicaState) schedule(now time.Duration, pace pollPace) {
	switch {
	case !r.polled:
		r.due = now + rand.N(pace.settled)
	case r.unsettled():
		r.due = now + spread(pace.unsettled)
	default:
		r.due = now + spread(pace.settled)
	}
	r.polled = true
}

// spread returns a time that is about an interval, and an interval in the mean.
func spread(interval time.Duration) time.Duration { return 3*interval/4 + rand.N(interval/2+1) }

// unsettled tells whether news of the replica is to be expected soon.
func (r *replicaState) unsettled() bool {
	return r.failed || r.known && (r.report.Leaving || r.report.Refusing)
}

const (
	// loadPath asks for the brief report. A replica that knows no brief one gives all of it.
	loadPath = "/v1/load?brief=true"
	// pollsPerSecond bounds a coordinator's load polls of settled replicas. The answers to weight orders tell
	// it sooner of a wave's progress; these polls find what has changed by itself.
	pollsPerSecond = 32
	// pollBytesPerSecond bounds their traffic where reports are large: half of a node's 21 KB/s.
	pollBytesPerSecond = 10_500
	// reportHeaderBytes is what one poll costs beside the report's body, about.
	reportHeaderBytes = 200
	// reportSizeWeight is the inverse of one report's weight in the mean size.
	reportSizeWeight = 16
	// unsettledPerSecond bounds the polls of the other replicas, and unsettledInterval is the time between two
	// of one.
	unsettledPerSecond = 16
	unsettledInterval  = 2 * time.Second // well below replicaSilence
)

// PollInterval is the time between two polls of each of count settled replicas whose reports have size bytes.
func PollInterval(least time.Duration, size float64, count int) time.Duration {
	each := max(1.0/pollsPerSecond, (size+reportHeaderBytes)/pollBytesPerSecond)
	return max(least, time.Duration(float64(count)*each*float64(time.Second)))
}

// pollPace is the time between two polls of one replica.
type pollPace struct{ settled, unsettled time.Duration }

// newPollPace divides a coordinator's polls among count replicas, some of them unsettled.
func newPollPace(least time.Duration, size float64, count, unsettled int) pollPace {
	settled := PollInterval(least, size, count)
	hurried := max(min(settled, unsettledInterval), time.Duration(unsettled)*time.Second/unsettledPerSecond)
	return pollPace{settled: settled, unsettled: min(settled, hurried)}
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
	if replica.failed = err != nil; replica.failed {
		replica.due = min(replica.due, now+unsettledInterval)
		return
	}
	s.reportSize += (float64(len(body)) - s.reportSize) / reportSizeWeight
	replica.take(now, report, s.config.Wave.ReportGrace)
	if p.wave != nil {
		p.wave.planner.Report(now, name, wave.Report{
			Version: wave.Version{Name: report.WeightVersion, Number: report.VersionNumber}, Staged: report.StagedNumber,
			Refusing: report.Refusing})
	}
	s.noteAvailable(p, now)
}

// take keeps a report. The platform's reports lag: what a replica answered to a swap counts more for a while.
func (r *replicaState) take(now time.Duration, report loadReport, grace time.Duration) {
	if r.swapped && now < r.answered+grace {
		report.WeightVersion, report.VersionNumber = r.report.WeightVersion, r.report.VersionNumber
	}
	r.known, r.heard, r.report = true, now, report
}

// swappedTo notes what a replica answered to a swap.
func (r *replicaState) swappedTo(now time.Duration, version wave.Version) {
	r.known, r.failed, r.heard, r.answered, r.swapped = true, false, now, now, true
	r.report.WeightVersion, r.report.VersionNumber, r.report.Refusing = version.Name, version.Number, false
}

// noteAnswer takes the answer to a weight order as news of its replica, as good as a report; an order that
// failed makes a report due. The caller holds the mutex.
func (s *Server) noteAnswer(p *pool, order wave.Order, answer wave.Answer) {
	replica, now := p.replicas[order.Replica], s.now()
	if replica == nil {
		return
	}
	switch {
	case answer.Outcome == wave.Failed, answer.Outcome == wave.Done && order.Kind == wave.Swap && answer.Serving != order.Version.Number:
		replica.due = now
	case answer.Outcome == wave.Done && order.Kind == wave.Swap:
		replica.swappedTo(now, order.Version)
		s.noteAvailable(p, now)
	}
}

// replicaSilence is how long ago a replica that does not answer may have been heard to count among those that
// serve.
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
	silent := r.failed && now >= r.heard+replicaSilence
	return r.known && !silent && !r.report.Refusing && !r.report.Leaving
}
