// Package controlclient connects the other processes of a deployment to the control nodes. Client finds the leader of
// each consensus group, sends commands and queries over a few pipelined streams, and retries what is safe to retry.
// Session keeps a lease on the table and a current view of it.
package controlclient

import (
	"context"
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/monotonic"
	"github.com/tamarindring/tamarindring/internal/pause"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// Defaults of Config.
const (
	DefaultLedgerGroups   = 2
	DefaultAttemptTimeout = time.Second
	DefaultLeaveTimeout   = 5 * time.Second
)

const (
	minimumBackoff = 5 * time.Millisecond
	maximumBackoff = 250 * time.Millisecond
	dialTimeout    = 500 * time.Millisecond
	// bulkBytes is the size of a request from which on it uses the bulk stream, so that small requests (claims) never
	// wait behind large ones (samples).
	bulkBytes = 32 << 10
	// maximumMessageBytes bounds one message of a stream in either direction.
	maximumMessageBytes = 64 << 20
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Credentials authenticate this process to control nodes. *credentials.Client is the usual implementation.
type Credentials interface {
	// Context returns ctx with the token added, for opening a stream.
	Context(ctx context.Context) context.Context
	// Secure wraps a newly opened connection, for example in TLS.
	Secure(conn net.Conn) net.Conn
}

// noCredentials implements Credentials without a token and without TLS.
type noCredentials struct{}

// Context implements Credentials.
func (noCredentials) Context(ctx context.Context) context.Context { return ctx }

// Secure implements Credentials.
func (noCredentials) Secure(conn net.Conn) net.Conn { return conn }

// Config configures a Client.
type Config struct {
	// Addresses are the listen addresses (IP:port) of control nodes. At least one is required; others are learned.
	Addresses []string
	// Member describes this process. Its name must be unique. Its incarnation should rise with each start and
	// defaults to the wall clock in milliseconds. If the control group holds a higher incarnation under this name,
	// the process takes one above that. Member is required by StartSession and Register.
	Member *wire.Member
	// Scope is the part of the table and of the members that sessions follow. Default: the whole.
	Scope wire.TableScope
	// LedgerGroups is the number of ledger groups of the cluster. It must equal that of the control nodes. Default:
	// DefaultLedgerGroups.
	LedgerGroups int
	// AttemptTimeout bounds one attempt at one control node. Another node is asked afterwards, because a node that
	// was partitioned off silently never answers. Default: DefaultAttemptTimeout.
	AttemptTimeout time.Duration
	// LeaveTimeout bounds how long a leaving session waits for the leader's confirmation. Without a confirmation the
	// process counts as gone when its lease has expired. Default: DefaultLeaveTimeout, which is enough for several
	// elections.
	LeaveTimeout time.Duration
	// Dial opens connections. Default: plain TCP.
	Dial DialFunc
	// Credentials are sent to the control nodes. Default: none.
	Credentials Credentials
	// Clock is the monotonic clock that the lease is checked against. Default: monotonic.Now.
	Clock monotonic.Clock
	// Log receives messages about lost and regained connections. Default: discarded.
	Log *logrus.Entry

	// pause waits between two attempts of one request, while no attempt is in progress. Default: pause.For.
	pause func(context.Context, time.Duration) error
	// leaderWait bounds how long a session waits at all known nodes for news of a leader. Default: leaderWait.
	leaderWait time.Duration
}

func (c *Config) setDefaults() error {
	if len(c.Addresses) == 0 {
		return trace.BadParameter("no control address is given")
	}
	for _, address := range c.Addresses {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return trace.BadParameter("control address %q: want IP:port", address)
		}
	}
	if c.LedgerGroups == 0 {
		c.LedgerGroups = DefaultLedgerGroups
	}
	if c.LedgerGroups < 0 {
		return trace.BadParameter("ledger groups: %d is negative", c.LedgerGroups)
	}
	if c.AttemptTimeout <= 0 {
		c.AttemptTimeout = DefaultAttemptTimeout
	}
	if c.LeaveTimeout <= 0 {
		c.LeaveTimeout = DefaultLeaveTimeout
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	if c.Credentials == nil {
		c.Credentials = noCredentials{}
	}
	if c.Clock == nil {
		c.Clock = monotonic.Now
	}
	if c.Log == nil {
		c.Log = logging.Discard()
	}
	if c.leaderWait <= 0 {
		c.leaderWait = leaderWait
	}
	if c.pause == nil {
		c.pause = pause.For
	}
	return nil
}
