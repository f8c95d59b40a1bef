// Package controlclient is how every other process speaks to the control nodes. Client finds the leader
// of each group, sends commands and queries over a few pipelined streams and repeats what is safe to
// repeat; Session keeps a lease on the table and a current view of it.
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
	// bulkBytes is the size from which a request travels on a stream of its own kind, so that small
	// requests (claims) never wait behind large ones (samples).
	bulkBytes = 32 << 10
	// maximumMessageBytes bounds one message of a stream in either direction.
	maximumMessageBytes = 64 << 20
)

// DialFunc opens a connection; net.Dialer.DialContext is the usual one.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Credentials prove to a control node who speaks to it; *credentials.Client is the usual one.
type Credentials interface {
	// Context returns ctx with the token, for a stream that is about to be opened.
	Context(ctx context.Context) context.Context
	// Secure wraps a connection that was just opened.
	Secure(conn net.Conn) net.Conn
}

// noCredentials show nothing.
type noCredentials struct{}

// Context implements Credentials.
func (noCredentials) Context(ctx context.Context) context.Context { return ctx }

// Secure implements Credentials.
func (noCredentials) Secure(conn net.Conn) net.Conn { return conn }

// Config says how to reach the control nodes.
type Config struct {
	// Addresses are the control nodes' listen addresses (IP:port). At least one; others are learned.
	Addresses []string
	// Member describes this process; its name must be unique. Its incarnation should rise with each start; where the group holds a
	// higher one, the process takes a number above that. Default of the incarnation: the time of day. Needed by StartSession and Register.
	Member *wire.Member
	// LedgerGroups is the number of ledger groups of the cluster; it must equal that of the control
	// nodes. Default DefaultLedgerGroups.
	LedgerGroups int
	// AttemptTimeout bounds one attempt at one control node, after which another node is asked, because
	// a node that was cut off in silence never answers. Default DefaultAttemptTimeout.
	AttemptTimeout time.Duration
	// LeaveTimeout bounds how long a leaving session waits for the leader's confirmation; without it the
	// process counts as gone after its lease. Default DefaultLeaveTimeout, enough for several elections.
	LeaveTimeout time.Duration
	// Dial opens connections. Default: plain TCP.
	Dial DialFunc
	// Credentials are shown to the control nodes. Default: none.
	Credentials Credentials
	// Clock judges the lease. Default monotonic.Now.
	Clock monotonic.Clock
	// Log receives short sentences about lost and regained connections. Default: nothing.
	Log *logrus.Entry

	// pause waits between two attempts of one request, while none is under way. Default pause.For.
	pause func(context.Context, time.Duration) error
	// awaitTime is how long a session waits at all nodes for word of a leader. Default awaitTime.
	awaitTime time.Duration
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
	if c.awaitTime <= 0 {
		c.awaitTime = awaitTime
	}
	if c.pause == nil {
		c.pause = pause.For
	}
	return nil
}
