// Package gateway is the server that callers talk to. It drives admission, routing and one dispatch
// machine per request under the lease of a control session, streams answers back, and keeps claims of
// non-repeatable requests in the ledger.
package gateway

import (
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/credentials"
	"github.com/tamarindring/tamarindring/internal/defaults"
	"github.com/tamarindring/tamarindring/internal/dispatch"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/poisonguard"
	"github.com/tamarindring/tamarindring/internal/routing"
)

// Defaults of Config.
const (
	DefaultMaxBodyBytes   = 256 << 20
	DefaultBufferBytes    = 1 << 20
	DefaultMaxBuffered    = 512 << 20
	DefaultMaxAnswerBytes = 16 << 20
	DefaultStoredAnswer   = 64 << 10
	DefaultMaxConnections = 16384
	DefaultMinBodyRate    = 64 << 10
	DefaultReadTimeout    = 30 * time.Second
	DefaultIdleTimeout    = 2 * time.Minute
	DefaultWriteTimeout   = 30 * time.Second
	DefaultConnectTimeout = 500 * time.Millisecond
	DefaultClaimTimeout   = 2 * time.Second
	DefaultLoadInterval   = 250 * time.Millisecond
	DefaultRetriesPerSec  = 50
	DefaultRetryBurst     = 200
	DefaultLogEntries     = 65536
	DefaultMaxSettlements = 8192
	DefaultMaxSettling    = 256
	defaultShutdownRetry  = time.Second
	maxHeaderBytes        = 16 << 10
	refreshInterval       = 200 * time.Millisecond
	// loadPollsPerSecond bounds the load polls of one gateway: with more back ends than it allows at
	// LoadInterval each is polled less often, down to maximumLoadInterval.
	loadPollsPerSecond = 48
	// loadBytesPerSecond bounds their traffic where reports are large: two thirds of a node's 21 KB/s.
	loadBytesPerSecond  = 14_000
	maximumLoadInterval = 2 * time.Second
)

// Config holds a gateway's settings. Control is required, everything else has a default.
type Config struct {
	// Name is the gateway's unique member name. Required.
	Name string
	// Listen is the callers' IP:port; port 0 takes a free one. Ignored when Listener is set.
	Listen string
	// Listener is an already bound listener; the gateway closes it.
	Listener net.Listener
	// Zone and Region of this gateway; back ends of the same zone are preferred.
	Zone   string
	Region string
	// Control is the session with the control group. Required.
	Control Control
	// Guard checks the tokens of callers, nodes and operators. Nil: none are asked for.
	Guard *credentials.Guard
	// Suspects permits the runs of requests and is told how they ended; set by Open. Nil: all are permitted.
	Suspects *poisonguard.Guard
	// Policy chooses among replicas. Default routing.Balanced.
	Policy routing.Policy
	// Routing are the parameters of the choice; zero fields take their defaults.
	Routing routing.Settings
	// Subset says how many back ends of a large pool this gateway uses. All gateways must agree on it;
	// zero fields take their defaults.
	Subset routing.SubsetSettings
	// MaxBodyBytes bounds a request's body. Default 256 MiB: an hour of call audio.
	MaxBodyBytes int64
	// BufferBytes is how much of a body is held, so that it can be sent again; a larger body is streamed
	// through and sent once. Default 1 MiB.
	BufferBytes int
	// MaxBufferedBytes bounds what all requests together hold of bodies and streamed texts. At the bound
	// a new body is refused as not run, and a stream that grows is no longer held for a replay. Default
	// 512 MiB.
	MaxBufferedBytes int64
	// MaxAnswerBytes bounds an answer that is not streamed. Default 16 MiB.
	MaxAnswerBytes int
	// StoredAnswerBytes bounds the answers that are kept under a key; a larger one is not kept, and a
	// resend of its key learns only that it ran. Default 64 KiB.
	StoredAnswerBytes int
	// MaxConnections bounds the callers' connections; more are closed at once. Default 16384.
	MaxConnections int
	// MaxConnectionsPerAddress bounds the connections from one IP number, so that one machine cannot shut
	// others out. Default a quarter of MaxConnections.
	MaxConnectionsPerAddress int
	// ReadTimeout bounds reading one request, so that a slow sender holds a connection no longer; a body
	// larger than BufferBytes may take longer while it keeps up MinBodyRate. Default 30s.
	ReadTimeout time.Duration
	// MinBodyRate is the least mean rate of a body larger than BufferBytes, in bytes per second. Default
	// 64 KiB/s: four times the rate of uncompressed call audio.
	MinBodyRate int
	// IdleTimeout closes connections without requests. Default 2m.
	IdleTimeout time.Duration
	// WriteTimeout bounds writing one part of an answer to a caller that does not read. Default 30s.
	WriteTimeout time.Duration
	// ConnectTimeout bounds connecting to a back end. Default 500ms.
	ConnectTimeout time.Duration
	// ClaimTimeout bounds one ledger command. Default 2s.
	ClaimTimeout time.Duration
	// LoadInterval is the least time between two polls of a back end's load report. Default 250ms.
	LoadInterval time.Duration
	// RetriesPerSecond and RetryBurst are the budget of retries over all requests. Defaults 50 and 200: a
	// crash of an engine with 200 streams is survived at once, a failing pool is not buried.
	RetriesPerSecond float64
	RetryBurst       float64
	// LogEntries is how many dispatches GET /v1/log remembers. Default 65536.
	LogEntries int
	// MaxSettlements bounds the requests that are answered but still have to tell the ledger how they
	// ended; at the bound new requests with a key are refused. Default 8192.
	MaxSettlements int
	// MaxSettling bounds how many of them tell a ledger group at once; while the group does not answer, they are
	// fewer, down to one. Default 256: 10,000 a second at 25 ms each.
	MaxSettling int
	// Dispatch are the parameters of a request's life; Random and Budget are set by the gateway.
	Dispatch dispatch.Settings
	// Log receives short sentences. Default: nothing.
	Log *logrus.Entry
}

func (c *Config) setDefaults() error {
	if c.Name == "" {
		return trace.BadParameter("gateway: a name is required")
	}
	if c.Control == nil {
		return trace.BadParameter("gateway %s: a control session is required", c.Name)
	}
	if c.MaxBodyBytes < 0 || c.BufferBytes < 0 || c.MaxAnswerBytes < 0 || c.MaxConnections < 0 || c.MaxConnectionsPerAddress < 0 || c.MinBodyRate < 0 {
		return trace.BadParameter("gateway %s: size limits must not be negative", c.Name)
	}
	c.setSizes()
	c.setTimes()
	if c.Policy == nil {
		c.Policy = routing.Balanced{}
	}
	if c.Log == nil {
		c.Log = logging.Discard()
	}
	return nil
}

func (c *Config) setSizes() {
	defaults.Set(&c.MaxBodyBytes, DefaultMaxBodyBytes)
	defaults.Set(&c.BufferBytes, DefaultBufferBytes)
	defaults.Set(&c.MaxBufferedBytes, DefaultMaxBuffered)
	defaults.Set(&c.MaxAnswerBytes, DefaultMaxAnswerBytes)
	defaults.Set(&c.StoredAnswerBytes, DefaultStoredAnswer)
	defaults.Set(&c.MaxConnections, DefaultMaxConnections)
	defaults.Set(&c.MaxConnectionsPerAddress, max(c.MaxConnections/4, 1))
	defaults.Set(&c.MinBodyRate, DefaultMinBodyRate)
	defaults.Set(&c.RetriesPerSecond, DefaultRetriesPerSec)
	defaults.Set(&c.RetryBurst, DefaultRetryBurst)
	defaults.Set(&c.LogEntries, DefaultLogEntries)
	defaults.Set(&c.MaxSettlements, DefaultMaxSettlements)
	defaults.Set(&c.MaxSettling, DefaultMaxSettling)
}

func (c *Config) setTimes() {
	defaults.Set(&c.ReadTimeout, DefaultReadTimeout)
	defaults.Set(&c.IdleTimeout, DefaultIdleTimeout)
	defaults.Set(&c.WriteTimeout, DefaultWriteTimeout)
	defaults.Set(&c.ConnectTimeout, DefaultConnectTimeout)
	defaults.Set(&c.ClaimTimeout, DefaultClaimTimeout)
	defaults.Set(&c.LoadInterval, DefaultLoadInterval)
}
