package sim

import (
	"slices"
	"time"

	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	attemptTimeout = time.Second // controlclient.DefaultAttemptTimeout
	replyGrace     = 100 * time.Millisecond
	minimumBackoff = 5 * time.Millisecond
	maximumBackoff = 250 * time.Millisecond
	refusedDial    = time.Millisecond
)

// client is how a process of the fleet speaks to the control nodes, as controlclient.Client does. It lasts
// for one run of the process.
type client struct {
	*process
	fleet     *fleet
	addresses []string
	rotation  int
	leaders   map[uint32]string
	tickets   map[uint32]uint64
}

func (f *fleet) newClient(p *process) *client {
	c := &client{process: p, fleet: f, leaders: map[uint32]string{}, tickets: map[uint32]uint64{}}
	for _, h := range f.hosts {
		if !h.replaced {
			c.addresses = append(c.addresses, h.name) // the settings of the moment
		}
	}
	c.rotation = f.world.random.Intn(len(c.addresses))
	return c
}

func (c *client) learnTicket(group uint32, index uint64) {
	c.tickets[group] = max(c.tickets[group], index)
}

func (c *client) pick(group uint32) *host {
	if leader := c.leaders[group]; leader != "" {
		if h := c.fleet.hostNamed(leader); h != nil {
			return h
		}
	}
	return c.fleet.hostNamed(c.addresses[c.rotation%len(c.addresses)])
}

func (c *client) rotate(from string) {
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

// learnNodes takes over the control nodes of the moment, as a grant names them.
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

// operation is one request that is repeated until it is answered or its time is over.
type operation struct {
	client   *client
	request  *wire.ExecuteRequest
	until    time.Duration // of the client's clock
	failures int
	attempt  int
	over     bool
	done     func(*wire.ExecuteReply) // nil when it was given up
}

// execute repeats attempts until one is answered or limit is over; done gets nil then.
func (c *client) execute(request *wire.ExecuteRequest, limit time.Duration, done func(*wire.ExecuteReply)) {
	o := &operation{client: c, request: request, until: c.clock() + limit, done: done}
	c.after(limit, func() { o.finish(nil) })
	o.try()
}

func (o *operation) finish(reply *wire.ExecuteReply) {
	if !o.over {
		o.over = true
		o.done(reply)
	}
}

// try makes one attempt at one control node.
func (o *operation) try() {
	c := o.client
	if o.over {
		return
	}
	node := c.pick(o.request.Group)
	o.attempt++
	attempt := o.attempt
	duration := min(attemptTimeout, o.until-c.clock())
	failed := func() {
		if attempt == o.attempt {
			c.forgetLeader(o.request.Group, node.name)
			c.rotate(node.name)
			o.again()
		}
	}
	if !node.up && !c.world.network.isCut(c.process, node.process) {
		c.after(refusedDial, failed)
		return
	}
	c.after(duration+replyGrace, failed)
	asking := c.thisRun()
	c.world.network.once(c.process, node.process, func() {
		node.control.execute(o.request, duration, func(reply *wire.ExecuteReply) {
			c.world.network.reply(node.process, asking, func() {
				if attempt == o.attempt {
					o.judge(node, reply)
				}
			})
		})
	})
}

// again makes the next attempt after a pause.
func (o *operation) again() {
	o.attempt++
	pause := min(minimumBackoff<<min(o.failures, 10), maximumBackoff)
	o.failures++
	o.client.after(o.client.world.between(pause/2, pause), o.try)
}

func (o *operation) judge(node *host, reply *wire.ExecuteReply) {
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
			c.rotate(node.name)
		}
	}
	o.again()
}
