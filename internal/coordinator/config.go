// Package coordinator is the server that trainers talk to. It opens their steps durably in the ledger, has
// samples generated through the gateways in the order that package rollout decides, has them scored, hands
// them over exactly once, and brings new weight versions to all replicas of a pool.
//
// Any number of coordinators run side by side. Each trainer, and each pool's weight wave, has one owner at a
// time: the choice among the live coordinators is by hash, and a fencing token that the ledger and the
// replicas check makes a late order of a former owner harmless.
package coordinator

import (
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/credentials"
	"github.com/tamarindring/tamarindring/internal/defaults"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/rollout"
	"github.com/tamarindring/tamarindring/internal/wave"
)

// Defaults of Config.
const (
	DefaultMaxBodyBytes       = 32 << 20
	DefaultMaxBatchBytes      = 32 << 20
	DefaultMaxConnections     = 1024
	DefaultMaxFetchWait       = time.Minute
	DefaultGenerationDeadline = 15 * time.Minute
	DefaultScoreTimeout       = 10 * time.Second
	DefaultScoreConcurrency   = 64
	DefaultStoreTimeout       = 10 * time.Second
	DefaultLoadInterval       = 250 * time.Millisecond
	DefaultLoadTimeout        = 2 * time.Second
	DefaultOrderTimeout       = 35 * time.Second
	DefaultLaggardPatience    = 10 * time.Second
	DefaultDrainPatience      = 10 * time.Second
)

const (
	readHeaderTimeout = 10 * time.Second
	readTimeout       = time.Minute // of one request with its body
	writeTimeout      = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
	scheduleInterval  = 50 * time.Millisecond
	retryFirst        = 50 * time.Millisecond
	retryMost         = 2 * time.Second
)

// Config holds a coordinator's settings. Name and Control are required, everything else has a default.
type Config struct {
	// Name is the coordinator's unique member name. Required.
	Name string
	// Listen is the trainers' IP:port; port 0 takes a free one. Ignored when Listener is set.
	Listen string
	// Listener is an already bound listener; the coordinator closes it.
	Listener net.Listener
	// Zone and Region of this coordinator; gateways of the same zone are preferred.
	Zone   string
	Region string
	// Control says how to reach the control nodes. Its Member is filled in by Open.
	Control controlclient.Config
	// Guard checks the tokens of trainers, operators and nodes. Nil: none are asked for.
	Guard *credentials.Guard
	// Credentials are shown to the gateways. Nil: none.
	Credentials *credentials.Client
	// Scorer is the scoring service's IP:port. Empty: samples are handed over with score 0.
	Scorer string
	// WeightStore is the weight store's IP:port. Empty: versions are ordered without reading the store.
	WeightStore string
	// Policy decides when samples are generated. Default rollout.Paced{}.
	Policy rollout.Policy
	// Wave are the parameters of weight waves; zero fields take their defaults.
	Wave wave.Config
	// MaxBodyBytes bounds a trainer's request. Default 32 MiB, half of what the control connection carries
	// in one message: a step of 2,048 prompts of 16 KiB.
	MaxBodyBytes int64
	// MaxBatchBytes bounds the text of one fetch's samples; the rest follows at the next cursor. Default
	// 32 MiB: a whole step of 2,048 samples of 16 KiB.
	MaxBatchBytes int
	// MaxConnections bounds the trainers' connections; more wait. Default 1024.
	MaxConnections int
	// MaxFetchWait bounds how long a fetch may wait for samples. Default 1m.
	MaxFetchWait time.Duration
	// GenerationDeadline bounds one attempt at a sample; what it has made by then is kept. Default 15m,
	// above the longest samples.
	GenerationDeadline time.Duration
	// ScoreTimeout bounds one call of the scorer; it is repeated until it answers. Default 10s.
	ScoreTimeout time.Duration
	// ScoreConcurrency bounds the calls to the scorer at once. Default 64.
	ScoreConcurrency int
	// StoreTimeout bounds one ledger command; it is repeated while the trainer is owned. Default 10s.
	StoreTimeout time.Duration
	// LoadInterval is the least time between two polls of a replica's load report; replicas of large pools
	// are polled less often. Default 250ms.
	LoadInterval time.Duration
	// LoadTimeout bounds one poll of a load report. Default 2s.
	LoadTimeout time.Duration
	// OrderTimeout bounds one weight order. Default 35s, above the engines' own limit of 30s.
	OrderTimeout time.Duration
	// LaggardPatience is how long a replica that serves older weights than the others keeps a new version
	// from counting as available to rollouts. Default 10s, the aim for a whole wave.
	LaggardPatience time.Duration
	// DrainPatience is how long a drain waits for running samples before it gives them to the next owner,
	// who goes on from their tokens. Default 10s: short samples end, long ones need not be waited for.
	DrainPatience time.Duration
	// Log receives short sentences. Default: nothing.
	Log *logrus.Entry
}

func (c *Config) setDefaults() error {
	if c.Name == "" {
		return trace.BadParameter("coordinator: a name is required")
	}
	for field, address := range map[string]string{"scorer": c.Scorer, "weight store": c.WeightStore} {
		if _, _, err := net.SplitHostPort(address); address != "" && err != nil {
			return trace.BadParameter("coordinator %s: %s %q: want IP:port", c.Name, field, address)
		}
	}
	if c.MaxBodyBytes < 0 || c.MaxBatchBytes < 0 || c.MaxConnections < 0 || c.ScoreConcurrency < 0 {
		return trace.BadParameter("coordinator %s: limits must not be negative", c.Name)
	}
	defaults.Set(&c.MaxBodyBytes, DefaultMaxBodyBytes)
	defaults.Set(&c.MaxBatchBytes, DefaultMaxBatchBytes)
	defaults.Set(&c.MaxConnections, DefaultMaxConnections)
	defaults.Set(&c.ScoreConcurrency, DefaultScoreConcurrency)
	c.setTimes()
	c.Wave = c.Wave.WithDefaults()
	if c.Policy == nil {
		c.Policy = rollout.Paced{}
	}
	if c.Log == nil {
		c.Log = logging.Discard()
	}
	return nil
}

func (c *Config) setTimes() {
	defaults.Set(&c.MaxFetchWait, DefaultMaxFetchWait)
	defaults.Set(&c.GenerationDeadline, DefaultGenerationDeadline)
	defaults.Set(&c.ScoreTimeout, DefaultScoreTimeout)
	defaults.Set(&c.StoreTimeout, DefaultStoreTimeout)
	defaults.Set(&c.LoadInterval, DefaultLoadInterval)
	defaults.Set(&c.LoadTimeout, DefaultLoadTimeout)
	defaults.Set(&c.OrderTimeout, DefaultOrderTimeout)
	defaults.Set(&c.LaggardPatience, DefaultLaggardPatience)
	defaults.Set(&c.DrainPatience, DefaultDrainPatience)
}
