package consensus

import (
	"sync"
	"time"

	"github.com/tamarindring/tamarindring/internal/compat"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	// maxContacts limits the number of nodes that are tracked, since greetings may name any node ID.
	maxContacts = 1024
	// minRefusalLogInterval is the minimum time between the first two log lines of one refusal, which recurs each
	// maxBackoff. The interval doubles up to maxRefusalLogInterval, because a removed node may be dialed for days at
	// an address where another node listens.
	minRefusalLogInterval = 5 * time.Second
	maxRefusalLogInterval = 5 * time.Minute
)

// contact is the state of the connections between this node and another one.
type contact struct {
	heardAt            time.Time                // last message or greeting; zero: none since the start
	connectedAt        time.Time                // when the stream to the node was established; zero: no stream
	greeted            bool                     // whether the node has greeted since the start
	level              compat.Level             // supported level according to its last greeting
	capacityBytes      uint64                   // state size that it can hold, from its last greeting; 0: not told
	silencesReportedAt time.Time                // when it last reported the nodes that it does not hear; zero: never
	reportedSilences   map[uint64]time.Duration // for how long it had not heard other nodes, by node
	greetingRefusal    string                   // why its last greeting was refused; empty: it was not
	streamRefusal      string                   // why it refused the last stream; empty: it did not
}

// refusalKey identifies a refusal by the node that refused, the node that was refused, and the node that it wanted to
// reach.
type refusalKey struct{ refuser, sender, intended uint64 }

// refusalLog limits how often one refusal is logged.
type refusalLog struct {
	reason   string
	loggedAt time.Time
	interval time.Duration
}

// isDue reports whether a refusal should be logged now, and if so records that it is logged.
func (r *refusalLog) isDue(reason string, now time.Time) bool {
	switch {
	case reason != r.reason:
		*r = refusalLog{reason: reason, loggedAt: now, interval: minRefusalLogInterval}
		return true
	case now.Sub(r.loggedAt) < r.interval:
		return false
	}
	r.loggedAt, r.interval = now, min(2*r.interval, maxRefusalLogInterval)
	return true
}

// contacts tracks the connections to the other nodes. It serves log lines, operators and the detection of lost nodes.
type contacts struct {
	startedAt time.Time

	mutex       sync.Mutex
	byNode      map[uint64]*contact
	refusalLogs map[refusalKey]*refusalLog
}

func newContacts(now time.Time) *contacts {
	return &contacts{startedAt: now, byNode: map[uint64]*contact{}, refusalLogs: map[refusalKey]*refusalLog{}}
}

// update changes a node's contact. The change is discarded for a new node when maxContacts nodes are tracked.
func (c *contacts) update(node uint64, change func(*contact)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known := c.byNode[node]
	if known == nil {
		known = &contact{}
		if len(c.byNode) < maxContacts {
			c.byNode[node] = known
		}
	}
	change(known)
}

// recordHeard records that an accepted batch or greeting arrived from a node.
func (c *contacts) recordHeard(node uint64, now time.Time) {
	c.update(node, func(contact *contact) { contact.heardAt, contact.greetingRefusal = now, "" })
}

// recordGreeting records the level and the capacity that a node announced in its greeting.
func (c *contacts) recordGreeting(node uint64, level compat.Level, capacityBytes uint64) {
	c.update(node, func(contact *contact) {
		contact.greeted, contact.level, contact.capacityBytes = true, level, capacityBytes
	})
}

// recordSilences records which nodes a node reports as unheard.
func (c *contacts) recordSilences(node uint64, unheard []*wire.NodeSilence, now time.Time) {
	silent := make(map[uint64]time.Duration, len(unheard))
	for _, other := range unheard {
		silent[other.Node] = time.Duration(other.Millis) * time.Millisecond
	}
	c.update(node, func(contact *contact) { contact.silencesReportedAt, contact.reportedSilences = now, silent })
}

// reportedSilence returns for how long a node has not heard another one, 0 if it hears it. It returns false if the
// node has not reported within silenceReportTTL.
func (c *contacts) reportedSilence(node, other uint64, now time.Time) (time.Duration, bool) {
	known := c.get(node)
	return known.reportedSilences[other], !known.silencesReportedAt.IsZero() && now.Sub(known.silencesReportedAt) < silenceReportTTL
}

// recordGreetingRefused records why this node refused a greeting that was addressed to it.
func (c *contacts) recordGreetingRefused(node uint64, reason string) {
	c.update(node, func(contact *contact) { contact.greetingRefusal = reason })
}

// recordStreamRefused records why a node refused the stream of this one.
func (c *contacts) recordStreamRefused(node uint64, reason string) {
	c.update(node, func(contact *contact) { contact.streamRefusal = reason })
}

// isRefusalLogDue reports whether a refusal should be logged now. Refusals beyond maxContacts are not tracked and are
// logged each time.
func (c *contacts) isRefusalLogDue(key refusalKey, reason string, now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	refusal := c.refusalLogs[key]
	if refusal == nil {
		refusal = &refusalLog{}
		if len(c.refusalLogs) < maxContacts {
			c.refusalLogs[key] = refusal
		}
	}
	return refusal.isDue(reason, now)
}

// setConnectedAt records when a stream to a node was established. The zero time means that there is no stream.
func (c *contacts) setConnectedAt(node uint64, at time.Time) {
	c.update(node, func(contact *contact) { contact.connectedAt = at })
}

func (c *contacts) get(node uint64) contact {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if known := c.byNode[node]; known != nil {
		return *known
	}
	return contact{}
}

// sinceHeard returns the time since a node was last heard, or since the start if it never was.
func (c *contacts) sinceHeard(node uint64, now time.Time) time.Duration {
	since := c.get(node).heardAt
	if since.IsZero() {
		since = c.startedAt
	}
	return max(0, now.Sub(since))
}

// currentStreamRefusal returns why the node refuses this node's streams. It is empty if the current stream has lasted
// long enough to count as successful.
func (c *contact) currentStreamRefusal(now time.Time) string {
	if !c.connectedAt.IsZero() && now.Sub(c.connectedAt) >= stableConnectionTime {
		return ""
	}
	return c.streamRefusal
}
