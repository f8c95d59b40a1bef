package routing

import "time"

// Distance is the network distance between a replica and this gateway.
type Distance uint8

// Distances, from near to far.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
	distanceCount
)

// Source is a bit set of the sources that report a replica as leaving. A replica gets no new work while any source
// does.
type Source uint8

// Sources of the information that a replica is leaving.
const (
	SourceTable      Source = 1 << iota // row state draining
	SourcePlatform                      // the platform's list of machines
	SourceLoadReport                    // the replica's own load report
	SourceRefusal                       // the replica refused work because it leaves
)

// ReplicaConfig is the configuration of one replica from the table.
type ReplicaConfig struct {
	Name        string  // row name, unique in the pool
	Weight      float64 // relative share of requests; a replica of weight 0 gets none
	MaxInFlight int     // this gateway's share of the row's limit; 0: no limit
	// MaxBackground is this gateway's share of the limit on rollout requests at the replica. 0 means no limit, and a
	// negative value means that rollout work is not allowed.
	MaxBackground int
	Distance      Distance // from this gateway
	Draining      bool     // row state draining
	// Polled says that the replica is polled for its load. Until the first poll it gets requests only when no other
	// replica can take them, because it may be leaving.
	Polled bool
	// Reserve marks a replica outside this gateway's subset. It gets work only while no replica of the subset is
	// alive.
	Reserve bool
}

// LoadReport is a replica's report of its load, counted over all gateways.
type LoadReport struct {
	Requests float64 // in flight and queued
	Leaving  bool    // the replica takes no new work
}

// Settings are the parameters of a Pool. Fields that are 0 take their defaults.
type Settings struct {
	// ReportLag is the age of a load report's content on arrival. Default 500ms.
	ReportLag time.Duration
	// ReportLife is the age at which a load report is no longer used. Default 10s.
	ReportLife time.Duration
	// DistanceCost is the extra work, in tokens, that a nearer replica may have before one at this distance is
	// preferred. Defaults 0, 32, 1024.
	DistanceCost [distanceCount]float64
	// BlockWork is the work saved per cached prefix block, in tokens. Default 16: prefill of a block of 128 tokens
	// costs about as much as decoding 16.
	BlockWork float64
	// PrefixLife is how long a replica is expected to keep a prefix in its cache. Default 2m.
	PrefixLife time.Duration
	// BackgroundShare is the fraction of a replica's rollout work that counts as load for an urgent request. It is
	// below 1 because the engine runs urgent requests first. Default 0.25.
	BackgroundShare float64
	// SpreadBackground spreads rollout work over all replicas instead of filling few of them completely.
	SpreadBackground bool
	// FailureLimit is the number of consecutive failures that quarantines a replica. Default 3.
	FailureLimit int
	// QuarantineBase is the length of the first quarantine. It doubles with each further one in a row. Default 1s.
	QuarantineBase time.Duration
	// QuarantineLimit bounds the length of a quarantine. Default 30s.
	QuarantineLimit time.Duration
	// ReturnRamp is the time over which a replica returns from quarantine to its full share of requests. Default 10s.
	ReturnRamp time.Duration
	// RefusalLife is how long a replica counts as leaving after it refused work for that reason, unless a load report
	// confirms it. Default 10s.
	RefusalLife time.Duration
}

// WithDefaults returns the settings with the defaults in place of fields that are 0.
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
	if s.DistanceCost == [distanceCount]float64{} {
		s.DistanceCost = [distanceCount]float64{0, 32, 1024}
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
