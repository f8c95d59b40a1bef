package consensus

import (
	"sync"
	"time"

	"github.com/tamarindring/tamarindring/internal/compat"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	// maximumContacts bounds the nodes of which contacts are kept: greetings name any.
	maximumContacts = 1024
	// firstRefusalPause is the least time between the first two lines of one refusal, which comes again each
	// lastBackoff; it doubles up to lastRefusalPause, for a node that is gone may be looked for for days where
	// another one listens.
	firstRefusalPause = 5 * time.Second
	lastRefusalPause  = 5 * time.Minute
)

// contact is what this node has seen of another one's connections.
type contact struct {
	heardAt     time.Time                // zero: never since the start
	connectedAt time.Time                // when this node's stream to the other one came up; zero: it is not
	greeted     bool                     // it has greeted since the start
	speaks      compat.Level             // as its last greeting told
	capacity    uint64                   // likewise, bytes; 0: it does not tell
	toldAt      time.Time                // when it said last whom it does not hear; zero: never
	unheard     map[uint64]time.Duration // whom, and for how long
	refused     string                   // why this node refused its last greeting; empty: it did not
	refusedBy   string                   // why this node's last stream to it was refused; empty: none was
}

// refusalKey names the node that refused, the one that was refused, and the one that was looked for.
type refusalKey struct{ by, of, sought uint64 }

// refusalLine bounds the lines of one refusal.
type refusalLine struct {
	reason string
	toldAt time.Time
	pause  time.Duration
}

// due tells whether a line is to be written of a refusal, and notes it.
func (r *refusalLine) due(reason string, now time.Time) bool {
	switch {
	case reason != r.reason:
		*r = refusalLine{reason: reason, toldAt: now, pause: firstRefusalPause}
		return true
	case now.Sub(r.toldAt) < r.pause:
		return false
	}
	r.toldAt, r.pause = now, min(2*r.pause, lastRefusalPause)
	return true
}

// contacts keeps one contact per other node, for operators.
type contacts struct {
	startedAt time.Time

	mutex  sync.Mutex
	byNode map[uint64]*contact
	lines  map[refusalKey]*refusalLine
}

func newContacts(now time.Time) *contacts {
	return &contacts{startedAt: now, byNode: map[uint64]*contact{}, lines: map[refusalKey]*refusalLine{}}
}

// update changes a node's contact; one more than the bound is forgotten at once.
func (c *contacts) update(node uint64, change func(*contact)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known := c.byNode[node]
	if known == nil {
		known = &contact{}
		if len(c.byNode) < maximumContacts {
			c.byNode[node] = known
		}
	}
	change(known)
}

// heard notes a batch of messages or a greeting that was taken.
func (c *contacts) heard(node uint64, now time.Time) {
	c.update(node, func(contact *contact) { contact.heardAt, contact.refused = now, "" })
}

// spoke notes the level and the capacity that a node's greeting told.
func (c *contacts) spoke(node uint64, speaks compat.Level, capacity uint64) {
	c.update(node, func(contact *contact) {
		contact.greeted, contact.speaks, contact.capacity = true, speaks, capacity
	})
}

// told notes whom a node does not hear.
func (c *contacts) told(node uint64, unheard []*wire.NodeSilence, now time.Time) {
	silent := make(map[uint64]time.Duration, len(unheard))
	for _, other := range unheard {
		silent[other.Node] = time.Duration(other.Millis) * time.Millisecond
	}
	c.update(node, func(contact *contact) { contact.toldAt, contact.unheard = now, silent })
}

// toldBy is for how long a node has not heard another one, 0 if it hears it; false if it has not told lately.
func (c *contacts) toldBy(node, other uint64, now time.Time) (time.Duration, bool) {
	known := c.of(node)
	return known.unheard[other], !known.toldAt.IsZero() && now.Sub(known.toldAt) < toldFor
}

// refused notes why this node refused a greeting that was meant for it.
func (c *contacts) refused(node uint64, reason string) {
	c.update(node, func(contact *contact) { contact.refused = reason })
}

// refusedBy notes why this node's stream was refused.
func (c *contacts) refusedBy(node uint64, reason string) {
	c.update(node, func(contact *contact) { contact.refusedBy = reason })
}

// lineDue tells whether a line is to be written of a refusal. One more than the bound is told of each time.
func (c *contacts) lineDue(key refusalKey, reason string, now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	line := c.lines[key]
	if line == nil {
		line = &refusalLine{}
		if len(c.lines) < maximumContacts {
			c.lines[key] = line
		}
	}
	return line.due(reason, now)
}

// connected notes that a stream to a node is up; the zero time, that it is not any more.
func (c *contacts) connected(node uint64, at time.Time) {
	c.update(node, func(contact *contact) { contact.connectedAt = at })
}

func (c *contacts) of(node uint64) contact {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if known := c.byNode[node]; known != nil {
		return *known
	}
	return contact{}
}

// silentFor returns the time since a node was heard, or since the start if it never was.
func (c *contacts) silentFor(node uint64, now time.Time) time.Duration {
	since := c.of(node).heardAt
	if since.IsZero() {
		since = c.startedAt
	}
	return max(0, now.Sub(since))
}

// lastRefusalBy is why the node refuses this one's streams; empty if one works, or lasts as if it did.
func (c *contact) lastRefusalBy(now time.Time) string {
	if !c.connectedAt.IsZero() && now.Sub(c.connectedAt) >= steadyTime {
		return ""
	}
	return c.refusedBy
}
