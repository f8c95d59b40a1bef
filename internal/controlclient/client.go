package controlclient

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/singleflight"

	"github.com/tamarindring/tamarindring/internal/state"
	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// ControlGroup is the number of the consensus group that holds the table, the members and the fences. Ledger groups
// are numbered from 1.
const ControlGroup = state.ControlGroup

// immediateRedirects is the number of redirects to a named leader that one request follows without a backoff.
const immediateRedirects = 2

// Client sends commands and queries to the leader of each consensus group. It is safe for concurrent use.
type Client struct {
	config         Config
	context        context.Context
	cancel         context.CancelFunc
	dials          singleflight.Group
	learnedIndexes []atomic.Uint64 // highest known ledger index, by group

	mutex            sync.Mutex
	addresses        []string          // known control nodes, never empty
	grantedAddresses []string          // control nodes listed by the newest lease grant
	rotation         int               // index in addresses, modulo its length, of the node to ask while no leader is known
	leaders          map[uint32]string // address of the last known leader, by group
	connections      map[connectionKey]*connection
	closed           bool
}

// connectionKey identifies one Execute stream. Bulk requests to a node use a stream of their own, so that small
// requests do not queue behind large ones.
type connectionKey struct {
	address string
	bulk    bool
}

// New validates config and returns a client. Connections are dialed on first use. Errors: trace.BadParameter for an
// invalid config.
func New(config Config) (*Client, error) {
	if err := config.setDefaults(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		config: config, context: ctx, cancel: cancel,
		learnedIndexes: make([]atomic.Uint64, config.LedgerGroups+1),
		addresses:      append([]string(nil), config.Addresses...),
		leaders:        make(map[uint32]string),
		connections:    make(map[connectionKey]*connection),
	}, nil
}

// Close closes all connections. Requests in progress fail.
func (c *Client) Close() error {
	c.mutex.Lock()
	c.closed = true
	open := make([]*connection, 0, len(c.connections))
	for _, connection := range c.connections {
		open = append(open, connection)
	}
	clear(c.connections)
	c.mutex.Unlock()
	c.cancel()
	for _, connection := range open {
		connection.close()
	}
	return nil
}

// ClaimGroup returns the ledger group that holds the claims of key. Samples are placed by the name of their trainer.
func (c *Client) ClaimGroup(key string) uint32 {
	return state.LedgerGroup(key, c.config.LedgerGroups)
}

// LedgerGroups returns the number of ledger groups of the cluster.
func (c *Client) LedgerGroups() int { return c.config.LedgerGroups }

// LearnedIndex returns the highest ledger index of group that this process has learned, or 0 if it has learned none.
func (c *Client) LearnedIndex(group uint32) uint64 {
	if int(group) >= len(c.learnedIndexes) {
		return 0
	}
	return c.learnedIndexes[group].Load()
}

// learnIndex raises the known ledger index of group to index. It never lowers it.
func (c *Client) learnIndex(group uint32, index uint64) {
	if int(group) >= len(c.learnedIndexes) {
		return
	}
	learned := &c.learnedIndexes[group]
	for known := learned.Load(); index > known; known = learned.Load() {
		if learned.CompareAndSwap(known, index) {
			return
		}
	}
}

// Execute has group apply command and returns the result. It retries on other nodes until ctx ends. A command with an
// unknown outcome is sent again, which is safe because each command carries its own identity.
//
// Errors carry a verdict about the command: DidNotRun if it was never proposed or the group rejected it as invalid,
// MayHaveRun otherwise.
func (c *Client) Execute(ctx context.Context, group uint32, command *wire.Command) (*wire.Result, error) {
	reply, err := c.request(ctx, requestTemplate{group: group, command: command})
	if err != nil {
		return nil, err
	}
	return extractResult(reply)
}

// Query runs a linearizable read on group. It retries on other nodes until ctx ends. Errors carry a verdict.
func (c *Client) Query(ctx context.Context, group uint32, query *wire.Query) (*wire.View, error) {
	reply, err := c.request(ctx, requestTemplate{group: group, query: query})
	if err != nil {
		return nil, err
	}
	if reply.View == nil {
		return nil, verdict.New(verdict.DidNotRun, "the control node answered the query with nothing")
	}
	return reply.View, nil
}

// LocalQuery answers a query from the state of group that one control node has applied, which may be stale. It does
// not retry. Errors carry the verdict DidNotRun.
func (c *Client) LocalQuery(ctx context.Context, address string, group uint32, query *wire.Query) (*wire.View, error) {
	reply, _, err := c.attempt(ctx, address, requestTemplate{group: group, query: query, local: true})
	if err != nil {
		return nil, verdict.Wrap(verdict.DidNotRun, err, "control node %s did not answer", address)
	}
	if reply.Status != wire.ExecuteStatus_EXECUTE_STATUS_OK || reply.View == nil {
		return nil, verdict.New(verdict.DidNotRun, "control node %s has no answer: %s", address, reply.Error)
	}
	return reply.View, nil
}

// Leader returns the address of the last known leader of a group, or "" if none is known.
func (c *Client) Leader(group uint32) string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.leaders[group]
}

// ChangeGroup changes which control nodes carry a group. It is safe to repeat. Errors carry a verdict.
func (c *Client) ChangeGroup(ctx context.Context, group uint32, change *wire.GroupChange) error {
	_, err := c.request(ctx, requestTemplate{group: group, change: change})
	return err
}

// NodeStatus returns the status of group as one control node sees it, which may be stale. It does not retry. Errors
// carry the verdict DidNotRun.
func (c *Client) NodeStatus(ctx context.Context, address string, group uint32) (*wire.StatusView, error) {
	query := &wire.Query{Kind: &wire.Query_Status{Status: &wire.StatusQuery{}}}
	reply, _, err := c.attempt(ctx, address, requestTemplate{group: group, query: query})
	if err != nil {
		return nil, verdict.Wrap(verdict.DidNotRun, err, "control node %s did not answer", address)
	}
	if reply.View.GetStatus() == nil {
		return nil, verdict.New(verdict.DidNotRun, "control node %s has no status: %s", address, reply.Error)
	}
	return reply.View.GetStatus(), nil
}

// Authorization returns the value of the HTTP Authorization header that authenticates this process to other processes
// of the deployment, or "" if its credentials provide none.
func (c *Client) Authorization() string {
	if shown, ok := c.config.Credentials.(interface{ Authorization() string }); ok {
		return shown.Authorization()
	}
	return ""
}

// Addresses returns the known control nodes: those of Config and those learned since.
func (c *Client) Addresses() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.Clone(c.addresses)
}

// ChangeTable makes a table change and returns its result and the table version known to be in force on all
// processes. Errors carry a verdict. Sending a change again with the same change id is always safe, so after an error
// with verdict MayHaveRun the caller learns the outcome by calling again.
//
// With wait, ChangeTable returns once an accepted change is in force everywhere. If ctx ends while it waits, it
// returns the result with the version in force so far and no error.
func (c *Client) ChangeTable(ctx context.Context, change *wire.TableChange, wait bool) (*wire.TableResult, uint64, error) {
	template := requestTemplate{
		group:       ControlGroup,
		command:     &wire.Command{RequestId: change.ChangeId, Kind: &wire.Command_TableChange{TableChange: change}},
		waitInForce: wait,
	}
	var accepted *wire.TableResult
	var inForce uint64
	for {
		reply, err := c.request(ctx, template)
		if err != nil {
			if accepted != nil {
				return accepted, inForce, nil
			}
			return nil, 0, err
		}
		result, err := extractResult(reply)
		if err != nil {
			return nil, 0, err
		}
		table := result.GetTable()
		if table == nil {
			return nil, 0, verdict.New(verdict.MayHaveRun, "the control node answered the change with something else")
		}
		inForce = max(inForce, reply.InForceVersion)
		if !wait || table.Outcome != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED || inForce >= table.Version {
			return table, inForce, nil
		}
		accepted = table
	}
}

// extractResult returns the result of a command, or an error if the reply has none or rejects the command as invalid.
func extractResult(reply *wire.ExecuteReply) (*wire.Result, error) {
	result := reply.Result
	if result == nil {
		return nil, verdict.New(verdict.MayHaveRun, "the control node answered the command with nothing")
	}
	if reason, ok := result.Kind.(*wire.Result_Invalid); ok {
		return nil, verdict.Wrap(verdict.DidNotRun, trace.BadParameter("%s", reason.Invalid), "the control node refused the command")
	}
	return result, nil
}

// attemptDuration returns the timeout of the next attempt. It doubles with each of the first maxTimeoutDoublings slow
// attempts and is at most the time until the deadline of ctx.
func (c *Client) attemptDuration(ctx context.Context, slowAttempts int) time.Duration {
	duration := c.config.AttemptTimeout << min(slowAttempts, maxTimeoutDoublings)
	if deadline, ok := ctx.Deadline(); ok {
		duration = min(duration, time.Until(deadline))
	}
	return max(duration, time.Millisecond)
}
