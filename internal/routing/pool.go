// Package routing chooses the back end of a pool that gets a request. It has no clock, goroutine or I/O:
// time and randomness are arguments, so the gateway and the simulator run the same code. A decision
// allocates nothing. A Pool is not safe for concurrent use.
//
// What is known about a replica is never exact: the own count of work in flight is right but covers one
// gateway only; load reports cover all gateways but lag, may stop and may be wrong. Estimates are
// therefore bounded, and a decision is never better than its worst input allows it to do harm.
package routing

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Distance is how far a replica is from this gateway.
type Distance uint8

// The distances.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
	distances
)

// Source is where news about a leaving replica comes from. A replica gets no new work while any source
// says that it leaves.
type Source uint8

// The sources.
const (
	SourceTable      Source = 1 << iota // row state draining
	SourcePlatform                      // the platform's list of machines
	SourceLoadReport                    // the replica's own load report
	SourceRefusal                       // the replica refused work because it leaves
)

// ReplicaConfig is what the table says about one replica.
type ReplicaConfig struct {
	Name        string  // row name, unique in the pool
	Weight      float64 // relative share of requests; 0 takes none
	MaxInFlight int     // this gateway's share of the row's limit; 0 is no limit
	// MaxBackground is this gateway's share of the requests that rollout work may have there; 0 is no
	// limit, below 0 means none at all.
	MaxBackground int
	Distance      Distance // from this gateway
	Draining      bool     // row state draining
	// Polled says that the replica is asked for its load: until it was asked once it gets nothing while
	// another one can take the request, because it may be leaving.
	Polled bool
	// Reserve marks a replica that is not of this gateway's subset: it gets work only while no replica of
	// the subset is alive.
	Reserve bool
}

// LoadReport is a replica's own word about its load, counted over all gateways.
type LoadReport struct {
	Requests float64 // in flight and queued
	Leaving  bool    // it takes no new work
}

// Settings are a pool's parameters.
type Settings struct {
	// ReportLag is how old a report's content is on arrival. Default 500ms.
	ReportLag time.Duration
	// ReportLife is the age at which a report counts for nothing. Default 10s.
	ReportLife time.Duration
	// DistanceCost is the work, in tokens, that a nearer replica may have more before a farther one is
	// chosen. Defaults 0, 32, 1024.
	DistanceCost [distances]float64
	// BlockWork is the work saved per cached prefix block, in tokens. Default 16: prefill of a block of
	// 128 tokens costs about as much as decoding 16.
	BlockWork float64
	// PrefixLife is how long a replica is expected to keep a prefix. Default 2m.
	PrefixLife time.Duration
	// BackgroundShare is how much of the rollout work on a replica counts for an urgent request, which the
	// engine runs first. Default 0.25.
	BackgroundShare float64
	// SpreadBackground spreads rollout work over all replicas instead of filling few of them whole.
	SpreadBackground bool
	// FailureLimit is the number of failures in a row that quarantines a replica. Default 3.
	FailureLimit int
	// QuarantineBase is the first quarantine; it doubles with each one in a row. Default 1s.
	QuarantineBase time.Duration
	// QuarantineLimit bounds a quarantine. Default 30s.
	QuarantineLimit time.Duration
	// ReturnRamp is the time over which a replica that comes back gets its whole share. Default 10s.
	ReturnRamp time.Duration
	// RefusalLife is how long a refusal because of leaving counts, when no report confirms it. Default 10s.
	RefusalLife time.Duration
}

// WithDefaults fills the fields that are zero.
func (s Settings) WithDefaults() Settings {
	setDuration := func(field *time.Duration, value time.Duration) {
		if *field == 0 {
			*field = value
		}
	}
	setDuration(&s.ReportLag, 500*time.Millisecond)
	setDuration(&s.ReportLife, 10*time.Second)
	setDuration(&s.PrefixLife, 2*time.Minute)
	setDuration(&s.QuarantineBase, time.Second)
	setDuration(&s.QuarantineLimit, 30*time.Second)
	setDuration(&s.ReturnRamp, 10*time.Second)
	setDuration(&s.RefusalLife, 10*time.Second)
	if s.DistanceCost == [distances]float64{} {
		s.DistanceCost = [distances]float64{0, 32, 1024}
	}
	if s.BlockWork == 0 {
		s.BlockWork = 16
	}
	if s.BackgroundShare == 0 {
		s.BackgroundShare = 0.25
	}
	if s.FailureLimit == 0 {
		s.FailureLimit = 3
	}
	return s
}

// replica is the state of one back end.
type replica struct {
	config     ReplicaConfig
	inFlight   int
	background int     // of inFlight, rollout work
	work       float64 // own tokens in flight
	urgent     float64 // part of work that is not rollout work
	smoothed   float64 // inFlight as it was about one report lag ago
	changed    time.Duration

	others     float64 // requests of other gateways, from the last report
	reportedAt time.Duration
	reported   bool

	leaving      Source
	asked        bool // for its load, since it is polled
	unanswered   int  // load reports missing in a row
	refusedUntil time.Duration
	health       health
}

// Pool is the set of replicas that one request may go to.
type Pool struct {
	settings   Settings
	replicas   []replica
	index      map[string]int
	cumulative []float64 // weights summed up, for weighted draws
	local      []int     // replicas of this zone
	packing    []int     // replicas in the order in which rollout work fills them, the same at all gateways
	packRank   []int     // position in packing, by replica
	packedTo   int       // all replicas before this position in packing are full of rollout work
	othersSum  float64   // over the replicas that reported
	reporters  int
	meanWork   float64 // tokens per request, smoothed
	meanUrgent float64 // the same over urgent requests
	prefixes   prefixTable
}

// NewPool returns an empty pool.
func NewPool(settings Settings) *Pool {
	return &Pool{settings: settings.WithDefaults(), index: map[string]int{}, prefixes: newPrefixTable()}
}

// SetReplicas takes over the table's rows. What is known about replicas that stay is kept.
func (p *Pool) SetReplicas(configs []ReplicaConfig) {
	replicas := make([]replica, len(configs))
	index := make(map[string]int, len(configs))
	moved := make(map[int]int, len(configs))
	for i, config := range configs {
		if old, known := p.index[config.Name]; known {
			replicas[i] = p.replicas[old]
			replicas[i].asked = replicas[i].asked && replicas[i].config.Polled && config.Polled
			moved[old] = i
		}
		replicas[i].config = config
		replicas[i].setLeaving(SourceTable, config.Draining)
		index[config.Name] = i
	}
	p.prefixes.renumber(moved)
	p.replicas, p.index = replicas, index
	p.recount()
}

// recount rebuilds what is derived from the replicas.
func (p *Pool) recount() {
	p.cumulative, p.local = p.cumulative[:0], p.local[:0]
	p.othersSum, p.reporters = 0, 0
	p.orderPacking()
	total := 0.0
	for i := range p.replicas {
		r := &p.replicas[i]
		if !r.config.Reserve {
			total += max(r.config.Weight, 0)
		}
		p.cumulative = append(p.cumulative, total)
		if r.config.Distance == SameZone && !r.config.Reserve {
			p.local = append(p.local, i)
		}
		if r.reported {
			p.othersSum += r.others
			p.reporters++
		}
	}
}

// orderPacking sorts the replicas by a hash of their names: neighbours in the table, such as those of one
// zone, are not filled together.
func (p *Pool) orderPacking() {
	p.packing, p.packedTo = p.packing[:0], 0
	p.packRank = make([]int, len(p.replicas))
	for i := range p.replicas {
		p.packing = append(p.packing, i)
	}
	slices.SortFunc(p.packing, func(first, second int) int {
		return cmp.Compare(xxhash.Sum64String(p.replicas[first].config.Name), xxhash.Sum64String(p.replicas[second].config.Name))
	})
	for position, i := range p.packing {
		p.packRank[i] = position
	}
}

// Len returns the number of replicas.
func (p *Pool) Len() int { return len(p.replicas) }

// Name returns the row name of a replica.
func (p *Pool) Name(i int) string { return p.replicas[i].config.Name }

// Index returns a replica's position, or -1.
func (p *Pool) Index(name string) int {
	if i, known := p.index[name]; known {
		return i
	}
	return -1
}

// Reserve tells whether a replica is not of this gateway's subset.
func (p *Pool) Reserve(i int) bool { return p.replicas[i].config.Reserve }

// InFlight returns the number of this gateway's requests at a replica.
func (p *Pool) InFlight(i int) int { return p.replicas[i].inFlight }

// Work returns this gateway's tokens in flight at a replica.
func (p *Pool) Work(i int) float64 { return p.replicas[i].work }

// Leaving tells whether some source says that a replica is leaving.
func (p *Pool) Leaving(i int) bool { return p.replicas[i].leaving != 0 }

// SetLeaving notes what one source says about a replica.
func (p *Pool) SetLeaving(name string, source Source, leaving bool) {
	if i := p.Index(name); i >= 0 {
		p.replicas[i].setLeaving(source, leaving)
	}
}

// RefusedLeaving notes that a replica refused work because it leaves.
func (p *Pool) RefusedLeaving(name string, now time.Duration) {
	if i := p.Index(name); i >= 0 {
		p.replicas[i].setLeaving(SourceRefusal, true)
		p.replicas[i].refusedUntil = now + p.settings.RefusalLife
	}
}

func (r *replica) setLeaving(source Source, leaving bool) {
	if leaving {
		r.leaving |= source
		return
	}
	r.leaving &^= source
}

// Sent counts a request that was sent to a replica; the caller gives the same request to Ended.
func (p *Pool) Sent(i int, request *Request, now time.Duration) {
	r := &p.replicas[i]
	p.smooth(r, now)
	r.inFlight++
	if !request.Urgent {
		r.background++
	}
	addWork(r, request, 1)
	p.learnWork(request)
	p.prefixes.record(request.Blocks, i, now)
}

// Ended takes a request off a replica.
func (p *Pool) Ended(name string, request *Request, now time.Duration) {
	i := p.Index(name)
	if i < 0 {
		return
	}
	r := &p.replicas[i]
	p.smooth(r, now)
	r.inFlight = max(r.inFlight-1, 0)
	if !request.Urgent {
		r.background = max(r.background-1, 0)
		p.packedTo = min(p.packedTo, p.packRank[i])
	}
	addWork(r, request, -1)
}

// workWeight is the share of one request in the smoothed mean.
const workWeight = 1.0 / 64

func (p *Pool) learnWork(request *Request) {
	learn(&p.meanWork, request.Work)
	if request.Urgent {
		learn(&p.meanUrgent, request.Work)
	}
}

func learn(mean *float64, work float64) {
	if *mean == 0 {
		*mean = work
		return
	}
	*mean += (work - *mean) * workWeight
}

func addWork(r *replica, request *Request, sign float64) {
	r.work = max(r.work+sign*request.Work, 0)
	if request.Urgent {
		r.urgent = max(r.urgent+sign*request.Work, 0)
	}
	if r.inFlight == 0 {
		r.work, r.urgent = 0, 0 // no drift from rounding
	}
}

// smooth moves the smoothed count towards the present one.
func (p *Pool) smooth(r *replica, now time.Duration) {
	if now > r.changed {
		share := 1 - math.Exp(-float64(now-r.changed)/float64(p.settings.ReportLag))
		r.smoothed += (float64(r.inFlight) - r.smoothed) * share
		r.changed = now
	}
}

// outlierFactor bounds one replica's reported foreign requests, in multiples of the pool's mean: a wrong report
// can at most make a replica look this much busier than the others.
const outlierFactor = 8

// Report takes over a replica's load report. Values that cannot be are ignored.
func (p *Pool) Report(name string, report LoadReport, now time.Duration) {
	i := p.Index(name)
	if i < 0 {
		return
	}
	r := &p.replicas[i]
	r.asked, r.unanswered = true, 0
	r.setLeaving(SourceLoadReport, report.Leaving)
	if !report.Leaving && now >= r.refusedUntil {
		r.setLeaving(SourceRefusal, false)
	}
	if !(report.Requests >= 0) || math.IsInf(report.Requests, 0) {
		return
	}
	p.smooth(r, now)
	if r.reported {
		p.othersSum -= r.others
	} else {
		p.reporters++
	}
	r.others = max(report.Requests-r.smoothed, 0)
	r.reportedAt, r.reported = now, true
	p.othersSum += r.others
}

// foreign estimates the work of other gateways at a replica. As a report ages, the estimate moves to the
// pool's mean, so that a replica that stopped reporting looks neither idle nor buried.
func (p *Pool) foreign(r *replica, now time.Duration) float64 {
	if p.reporters == 0 {
		return 0
	}
	mean := max(p.othersSum, 0) / float64(p.reporters)
	if !r.reported {
		return mean * p.meanWork
	}
	fresh := 1 - float64(now-r.reportedAt)/float64(p.settings.ReportLife)
	fresh = min(max(fresh, 0), 1)
	rest := 0.0
	if p.reporters > 1 {
		rest = max(p.othersSum-r.others, 0) / float64(p.reporters-1)
	}
	others := r.others
	if p.reporters > 1 {
		others = min(others, outlierFactor*(rest+float64(r.inFlight)+outlierFloor))
	}
	return (mean + (others-mean)*fresh) * p.meanWork
}

// outlierFloor is a number of foreign requests that is always believed.
const outlierFloor = 2

// draw returns a replica with probability by weight; u is uniform in [0, 1).
func (p *Pool) draw(u float64) int {
	if len(p.cumulative) == 0 {
		return -1
	}
	total := p.cumulative[len(p.cumulative)-1]
	if total <= 0 {
		return -1
	}
	return min(sort.SearchFloat64s(p.cumulative, u*total), len(p.cumulative)-1)
}
