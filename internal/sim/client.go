package sim

import (
	"slices"
	"time"

	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	attemptTimeout   = time.Second // controlclient.DefaultAttemptTimeout
	replyGracePeriod = 100 * time.Millisecond
	minimumBackoff   = 5 * time.Millisecond
	maximumBackoff   = 250 * time.Millisecond
	refusedDialDelay = time.Millisecond
)

// client sends requests of a process to the control nodes, like controlclient.Client. It lasts for one run of the
// process.
type client struct {
	*process
	fleet     *fleet
	addresses []string
	rotation  int               // index into addresses of the node to ask while no leader is known
	leaders   map[uint32]string // last known leader, by group
	tickets   map[uint32]uint64 // newest known log index, by group; the ticket of new claims
}

func (f *fleet) newClient(p *process) *client {
	c := &client{process: p, fleet: f, leaders: map[uint32]string{}, tickets: map[uint32]uint64{}}
	for _, h := range f.hosts {
		if !h.replaced {
			c.addresses = append(c.addresses, h.name) // as in the current settings
		}
	}
	c.rotation = f.world.random.Intn(len(c.addresses))
	return c
}

func (c *client) learnTicket(group uint32, index uint64) {
	c.tickets[group] = max(c.tickets[group], index)
}

func (c *client) selectNode(group uint32) *host {
	if leader := c.leaders[group]; leader != "" {
		if h := c.fleet.hostByName(leader); h != nil {
			return h
		}
	}
	return c.fleet.hostByName(c.addresses[c.rotation%len(c.addresses)])
}

func (c *client) rotateFrom(from string) {
	if c.addresses[c.rotation%len(c.addresses)] == from {
		c.rotation++
	}
}

func (c *client) setLeader(group uint32, address string) {
	c.leaders[group] = address
	if !slices.Contains(c.addresses, address) {
		c.addresses = append(c.addresses, address)
	}
}

// learnNodes adopts the current control nodes, as a grant names them.
func (c *client) learnNodes(addresses []string) {
	if len(addresses) == 0 || slices.Equal(addresses, c.addresses) {
		return
	}
	c.addresses, c.rotation = addresses, 0
}

func (c *client) forgetLeader(group uint32, address string) {
	if c.leaders[group] == address {
		delete(c.leaders, group)
	}
}

// operation is a request that is retried until it is answered or times out.
type operation struct {
	client   *client
	request  *wire.ExecuteRequest
	deadline time.Duration // on the client's clock
	failures int
	attempt  int
	finished bool
	done     func(*wire.ExecuteReply) // gets nil when the operation timed out
}

// execute retries a request until it is answered; done gets nil if that does not happen within limit.
func (c *client) execute(request *wire.ExecuteRequest, limit time.Duration, done func(*wire.ExecuteReply)) {
	o := &operation{client: c, request: request, deadline: c.clock() + limit, done: done}
	c.after(limit, func() { o.finish(nil) })
	o.try()
}

func (o *operation) finish(reply *wire.ExecuteReply) {
	if !o.finished {
		o.finished = true
		o.done(reply)
	}
}

// try makes one attempt at one control node.
func (o *operation) try() {
	c := o.client
	if o.finished {
		return
	}
	node := c.selectNode(o.request.Group)
	o.attempt++
	attempt := o.attempt
	duration := min(attemptTimeout, o.deadline-c.clock())
	failed := func() {
		if attempt == o.attempt {
			c.forgetLeader(o.request.Group, node.name)
			c.rotateFrom(node.name)
			o.retry()
		}
	}
	if !node.up && !c.world.network.isCut(c.process, node.process) {
		c.after(refusedDialDelay, failed)
		return
	}
	c.after(duration+replyGracePeriod, failed)
	asking := c.currentRun()
	c.world.network.sendOnce(c.process, node.process, func() {
		node.control.execute(o.request, duration, func(reply *wire.ExecuteReply) {
			c.world.network.reply(node.process, asking, func() {
				if attempt == o.attempt {
					o.handleReply(node, reply)
				}
			})
		})
	})
}

// retry makes the next attempt after a backoff.
func (o *operation) retry() {
	o.attempt++
	pause := min(minimumBackoff<<min(o.failures, 10), maximumBackoff)
	o.failures++
	o.client.after(o.client.world.randomDuration(pause/2, pause), o.try)
}

func (o *operation) handleReply(node *host, reply *wire.ExecuteReply) {
	c, group := o.client, o.request.Group
	switch reply.Status {
	case wire.ExecuteStatus_EXECUTE_STATUS_OK:
		c.setLeader(group, node.name)
		c.learnTicket(group, reply.Result.GetClaim().GetIndex())
		o.finish(reply)
		return
	case wire.ExecuteStatus_EXECUTE_STATUS_NOT_LEADER:
		if reply.LeaderAddress != "" && reply.LeaderAddress != node.name {
			c.setLeader(group, reply.LeaderAddress)
		} else {
			c.forgetLeader(group, node.name)
			c.rotateFrom(node.name)
		}
	}
	o.retry()
}
