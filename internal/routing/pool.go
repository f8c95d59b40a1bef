// Package routing chooses the back end of a pool that gets a request. It has no clock, goroutine or I/O: time and
// randomness are arguments, so the gateway and the simulator run the same code. A decision allocates nothing. A Pool
// is not safe for concurrent use.
//
// What is known about a replica is never exact. The gateway's own count of work in flight is correct but covers one
// gateway only. Load reports cover all gateways, but they lag, may stop and may be wrong. Estimates are therefore
// bounded, which limits the harm that one wrong input can do to a decision.
package routing

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tamarindring/tamarindring/internal/pace"
)

// replica is the state of one back end. Times are those passed to the Pool's methods.
type replica struct {
	config             ReplicaConfig
	inFlight           int
	backgroundInFlight int     // the part of inFlight that is rollout work
	work               float64 // tokens of this gateway in flight
	urgentWork         float64 // the part of work that is not rollout work
	smoothed           float64 // inFlight about one ReportLag ago, when the replica made the reports that arrive now
	smoothedAt         time.Duration

	foreignRequests float64 // requests of other gateways, from the last report
	reportedAt      time.Duration
	hasReport       bool

	reportedPace pace.ReportEstimator // how long work takes, from the replica's own reports

	leavingSources   Source
	wasPolled        bool // asked for its load at least once since polling began
	missedReports    int  // consecutive polls without an answer
	refusalExpiresAt time.Duration
	health           health
}

// Pool is the set of replicas that can serve one request, with the load and health of each.
type Pool struct {
	settings          Settings
	replicas          []replica
	index             map[string]int
	cumulativeWeights []float64 // cumulative sums of the weights, for weighted draws
	sameZone          []int     // replicas in the gateway's zone, without the reserve
	packOrder         []int     // replicas in the order in which rollout work fills them, the same at all gateways
	packPosition      []int     // position in packOrder, by replica
	packStart         int       // all replicas before this position in packOrder are full of rollout work
	foreignSum        float64   // sum of foreignRequests over the replicas that reported
	reporterCount     int
	meanWork          float64 // tokens per request, smoothed
	meanUrgent        float64 // tokens per urgent request, smoothed
	prefixes          prefixTable
	slowdownDuration  pace.SlowdownEstimator // how long a passing slowdown lasts, learned from all replicas
}

// NewPool returns an empty pool.
func NewPool(settings Settings) *Pool {
	return &Pool{settings: settings.WithDefaults(), index: map[string]int{}, prefixes: newPrefixTable()}
}

// SetReplicas replaces the replicas by the rows of the table. Replicas that stay keep their state.
func (p *Pool) SetReplicas(configs []ReplicaConfig) {
	replicas := make([]replica, len(configs))
	index := make(map[string]int, len(configs))
	newPositions := make(map[int]int, len(configs))
	for i, config := range configs {
		if old, known := p.index[config.Name]; known {
			replicas[i] = p.replicas[old]
			replicas[i].wasPolled = replicas[i].wasPolled && replicas[i].config.Polled && config.Polled
			newPositions[old] = i
		}
		replicas[i].config = config
		replicas[i].setLeaving(SourceTable, config.Draining)
		index[config.Name] = i
	}
	p.prefixes.renumber(newPositions)
	p.replicas, p.index = replicas, index
	p.rebuildDerived()
}

// rebuildDerived recomputes the fields that are derived from the replicas.
func (p *Pool) rebuildDerived() {
	p.cumulativeWeights, p.sameZone = p.cumulativeWeights[:0], p.sameZone[:0]
	p.foreignSum, p.reporterCount = 0, 0
	p.orderPacking()
	total := 0.0
	for i := range p.replicas {
		r := &p.replicas[i]
		if !r.config.Reserve {
			total += max(r.config.Weight, 0)
		}
		p.cumulativeWeights = append(p.cumulativeWeights, total)
		if r.config.Distance == SameZone && !r.config.Reserve {
			p.sameZone = append(p.sameZone, i)
		}
		if r.hasReport {
			p.foreignSum += r.foreignRequests
			p.reporterCount++
		}
	}
}

// orderPacking sorts the replicas by a hash of their names, so that rollout work does not fill neighbours in the
// table, such as those of one zone, together.
func (p *Pool) orderPacking() {
	p.packOrder, p.packStart = p.packOrder[:0], 0
	p.packPosition = make([]int, len(p.replicas))
	for i := range p.replicas {
		p.packOrder = append(p.packOrder, i)
	}
	slices.SortFunc(p.packOrder, func(first, second int) int {
		return cmp.Compare(xxhash.Sum64String(p.replicas[first].config.Name), xxhash.Sum64String(p.replicas[second].config.Name))
	})
	for position, i := range p.packOrder {
		p.packPosition[i] = position
	}
}

// Len returns the number of replicas.
func (p *Pool) Len() int { return len(p.replicas) }

// Name returns the row name of a replica.
func (p *Pool) Name(i int) string { return p.replicas[i].config.Name }

// Index returns a replica's position, or -1 if it is not in the pool. Positions change with SetReplicas.
func (p *Pool) Index(name string) int {
	if i, known := p.index[name]; known {
		return i
	}
	return -1
}

// IsReserve reports whether a replica is outside this gateway's subset.
func (p *Pool) IsReserve(i int) bool { return p.replicas[i].config.Reserve }

// InFlight returns the number of this gateway's requests at a replica.
func (p *Pool) InFlight(i int) int { return p.replicas[i].inFlight }

// Work returns this gateway's tokens in flight at a replica.
func (p *Pool) Work(i int) float64 { return p.replicas[i].work }

// Leaving reports whether any source says that a replica is leaving.
func (p *Pool) Leaving(i int) bool { return p.replicas[i].leavingSources != 0 }

// SetLeaving records whether one source says that a replica is leaving.
func (p *Pool) SetLeaving(name string, source Source, leaving bool) {
	if i := p.Index(name); i >= 0 {
		p.replicas[i].setLeaving(source, leaving)
	}
}

// RecordLeavingRefusal records that a replica refused work because it is leaving.
func (p *Pool) RecordLeavingRefusal(name string, now time.Duration) {
	if i := p.Index(name); i >= 0 {
		p.replicas[i].setLeaving(SourceRefusal, true)
		p.replicas[i].refusalExpiresAt = now + p.settings.RefusalLife
	}
}

func (r *replica) setLeaving(source Source, leaving bool) {
	if leaving {
		r.leavingSources |= source
		return
	}
	r.leavingSources &^= source
}

// drawByWeight maps u, which is uniform in [0, 1), to a replica with a probability proportional to its weight. It
// returns -1 if no replica has a weight.
func (p *Pool) drawByWeight(u float64) int {
	if len(p.cumulativeWeights) == 0 {
		return -1
	}
	total := p.cumulativeWeights[len(p.cumulativeWeights)-1]
	if total <= 0 {
		return -1
	}
	return min(sort.SearchFloat64s(p.cumulativeWeights, u*total), len(p.cumulativeWeights)-1)
}
