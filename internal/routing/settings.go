package routing

import "time"

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
