// Package gateway implements the HTTP server that callers talk to. For each request it runs admission, routing and
// one dispatch state machine under the lease of a control session, streams the answer back, and records the claims
// of non-repeatable requests in the ledger.
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

// Defaults of Config, and fixed limits of the server.
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
	gatewayCheckInterval  = 200 * time.Millisecond
	// loadPollsPerSecond bounds the load polls of one gateway. With more back ends than it allows at LoadInterval,
	// each is polled less often, down to once per maxLoadInterval.
	loadPollsPerSecond = 48
	// loadBytesPerSecond bounds the traffic of load polls where reports are large. It is two thirds of a node's 21
	// KB/s.
	loadBytesPerSecond = 14_000
	maxLoadInterval    = 2 * time.Second
)

// Config holds a gateway's settings. Name and Control are required. Every other field has a default.
type Config struct {
	// Name is the gateway's unique member name. Required.
	Name string
	// Listen is the IP:port for callers. Port 0 selects a free port. Ignored when Listener is set.
	Listen string
	// Listener is an already bound listener. The gateway closes it.
	Listener net.Listener
	// Zone and Region locate this gateway. Back ends in the same zone are preferred.
	Zone   string
	Region string
	// Control is the session with the control group. Required.
	Control Control
	// Guard checks the bearer tokens of callers, nodes and operators. Nil disables authorization.
	Guard *credentials.Guard
	// Suspects decides whether a request may run, given the back ends that crashed under it, and is told how each
	// run ended. Open sets it. Nil permits every run.
	Suspects *poisonguard.Guard
	// Policy selects a replica for each request. Default routing.Balanced.
	Policy routing.Policy
	// Routing holds the routing parameters. Zero fields take their defaults.
	Routing routing.Settings
	// Subset determines how many back ends of a large pool this gateway uses. All gateways must have the same
	// settings. Zero fields take their defaults.
	Subset routing.SubsetSettings
	// MaxBodyBytes bounds the size of a request body. Default 256 MiB, which holds an hour of call audio.
	MaxBodyBytes int64
	// BufferBytes is the largest body that is buffered, so that it can be sent more than once. A larger body is
	// streamed through and sent only once. Default 1 MiB.
	BufferBytes int
	// MaxBufferedBytes bounds the memory for bodies and streamed texts of all requests together. At the bound a new
	// body is refused with the verdict that it did not run, and the text of a growing stream is no longer held for
	// a replay. Default 512 MiB.
	MaxBufferedBytes int64
	// MaxAnswerBytes bounds the size of an answer that is not streamed. Default 16 MiB.
	MaxAnswerBytes int
	// StoredAnswerBytes is the largest answer that the ledger stores under an idempotency key. A larger answer is
	// not stored, and a resend of the key learns only that the request ran. Default 64 KiB.
	StoredAnswerBytes int
	// MaxConnections bounds the open connections of callers. Further connections are refused and closed. Default
	// 16384.
	MaxConnections int
	// MaxConnectionsPerAddress bounds the connections from one IP address, so that a single machine cannot use up
	// MaxConnections. Default a quarter of MaxConnections.
	MaxConnectionsPerAddress int
	// ReadTimeout bounds reading one request, so that a slow sender does not hold a connection indefinitely. A body
	// larger than BufferBytes may take longer as long as it keeps up MinBodyRate. Default 30s.
	ReadTimeout time.Duration
	// MinBodyRate is the minimum mean rate of a body larger than BufferBytes, in bytes per second. Default 64
	// KiB/s, four times the rate of uncompressed call audio.
	MinBodyRate int
	// IdleTimeout is the time after which an idle keep-alive connection is closed. Default 2m.
	IdleTimeout time.Duration
	// WriteTimeout bounds writing one part of an answer to a caller that does not read. Default 30s.
	WriteTimeout time.Duration
	// ConnectTimeout bounds connecting to a back end. Default 500ms.
	ConnectTimeout time.Duration
	// ClaimTimeout bounds the execution of one ledger command. Default 2s.
	ClaimTimeout time.Duration
	// LoadInterval is the minimum time between two load polls of one back end. Default 250ms.
	LoadInterval time.Duration
	// RetriesPerSecond and RetryBurst set the retry budget of all requests together. Defaults 50 and 200: the crash
	// of an engine with 200 streams is absorbed at once, and a failing pool is not overloaded by retries.
	RetriesPerSecond float64
	RetryBurst       float64
	// LogEntries is the number of dispatches that GET /v1/log keeps. Default 65536.
	LogEntries int
	// MaxSettlements bounds the answered requests whose outcome is not yet recorded in the ledger. At the bound,
	// new requests with an idempotency key are refused. Default 8192.
	MaxSettlements int
	// MaxSettling bounds how many of those requests send commands to one ledger group concurrently. While the group
	// does not respond, the limit falls, down to one. Default 256: 10,000 a second at 25 ms each.
	MaxSettling int
	// Dispatch holds the settings of the dispatch machine. The gateway sets Random and Budget.
	Dispatch dispatch.Settings
	// Log receives the gateway's log. Default: logging is discarded.
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
