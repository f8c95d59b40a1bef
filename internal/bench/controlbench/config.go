// Package controlbench measures what control costs as the number of nodes grows: a control group of real
// servers and hollow nodes, each with a real session (lease, table view, members) over its own TCP
// connection, share one process. At each size it measures the idle cost, then a series of table changes:
// the time from accepted to in force, and what each change costs each node.
package controlbench

import (
	"time"

	"github.com/tamarindring/tamarindring/internal/bench/slope"
)

// Defaults of Config.
const (
	DefaultChanges          = 50
	DefaultChangesPerSecond = 20
	DefaultIdle             = 4 * time.Second
	DefaultLease            = 6 * time.Second
	DefaultRows             = 600
	DefaultControlNodes     = 3
)

// DefaultSizes are the numbers of hollow nodes that are measured: today's two users together, and a
// quarter, a half and the whole of their target.
func DefaultSizes() []int { return []int{20, 85, 170, 340} }

// Config says what to measure. The whole run is bounded by these numbers.
type Config struct {
	// Folder holds the control nodes' data. Required.
	Folder string
	// Sizes lists the numbers of hollow nodes, rising. Default DefaultSizes.
	Sizes []int
	// Changes is the number of table changes at each size. Default DefaultChanges.
	Changes int
	// ChangesPerSecond is the pace of the changes. Default DefaultChangesPerSecond.
	ChangesPerSecond float64
	// Idle is the time of the idle measurement at each size. Default DefaultIdle.
	Idle time.Duration
	// Lease is the table lease. Default DefaultLease: in force within 9 s where a holder can't be reached.
	Lease time.Duration
	// Rows is the number of back ends in the table. Default DefaultRows.
	Rows int
	// ControlNodes is the number of voters. Default DefaultControlNodes.
	ControlNodes int
}

func (c *Config) setDefaults() {
	if len(c.Sizes) == 0 {
		c.Sizes = DefaultSizes()
	}
	setDefault(&c.Changes, DefaultChanges)
	setDefault(&c.ChangesPerSecond, DefaultChangesPerSecond)
	setDefault(&c.Idle, DefaultIdle)
	setDefault(&c.Lease, DefaultLease)
	setDefault(&c.Rows, DefaultRows)
	setDefault(&c.ControlNodes, DefaultControlNodes)
}

func setDefault[T int | float64 | time.Duration](field *T, standard T) {
	if *field <= 0 {
		*field = standard
	}
}

// Phase is the cost of one stretch of time. Processor time is in cores: seconds of work per second.
type Phase struct {
	Seconds      float64 `json:"seconds"`
	ProcessCores float64 `json:"process_cores"` // everything, by the operating system's account
	// ControlCores and NodeCores are the parts of all control nodes and of all hollow nodes; see
	// rolecost.Cost.ApportionedCores.
	ControlCores float64 `json:"control_cores"`
	NodeCores    float64 `json:"node_cores"`
	// NodeBytesPerSecond is a hollow node's mean traffic with control, both directions.
	NodeBytesPerSecond float64 `json:"node_bytes_per_second"`
	// LeaderBytesPerSecond is the traffic of the busiest control node's listener.
	LeaderBytesPerSecond float64 `json:"leader_bytes_per_second"`
}

// Latency summarises durations in milliseconds.
type Latency struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Point is what was measured at one size.
type Point struct {
	Nodes      int     `json:"nodes"`
	JoinMillis float64 `json:"join_ms"` // until all nodes that were added at this size held a lease
	// JoinBytes is the traffic of all nodes for each node that was added: its snapshot of the table and the
	// members, and the news about it to all others.
	JoinBytes float64 `json:"join_bytes"`
	Idle      Phase   `json:"idle"`
	Changing  Phase   `json:"changing"`
	Changes   int     `json:"changes"`
	Refused   int     `json:"refused"` // changes that were not accepted; a sound run has none
	// Accepted is the time until a change was answered as accepted.
	Accepted Latency `json:"accepted"`
	// InForce is the time from accepted until control knew that no node acts on an older version.
	InForce Latency `json:"accepted_to_in_force"`
	// LastNode is the time from accepted until the last node acted on the change.
	LastNode Latency `json:"accepted_to_last_node"`
	// LiveBytes is the process's live memory when idle at this size, hollow nodes and control together.
	LiveBytes uint64 `json:"live_bytes"`
}

// The fitted quantities, as slope.Line.Quantity names them. Sizes are numbers of nodes.
const (
	ProcessIdle   = "control sessions: idle processor time, both sides"
	ControlIdle   = "control sessions: idle processor time of the control nodes"
	NodeIdle      = "control sessions: idle processor time of the nodes"
	TrafficIdle   = "control sessions: idle traffic of all nodes"
	Memory        = "control sessions: live memory, both sides"
	ChangeProcess = "table change: processor time, both sides"
	ChangeTraffic = "table change: traffic of all nodes"
	InForce       = "table change: accepted to in force, median"
	Join          = "control sessions: traffic of all nodes when one joins"
)

// Report is the result.
type Report struct {
	ControlNodes     int          `json:"control_nodes"`
	LeaseSeconds     float64      `json:"lease_seconds"`
	Rows             int          `json:"table_rows"`
	ChangesPerSecond float64      `json:"changes_per_second"`
	Points           []Point      `json:"points"`
	Lines            []slope.Line `json:"lines"`
}
