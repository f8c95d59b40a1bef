// Package controlbench measures how the cost of the control plane grows with the number of nodes. A control group of
// real servers and a number of hollow nodes share one process. A hollow node does no work, but has a real session
// (lease, table view, members) over its own TCP connection. At each size the benchmark measures the idle cost and then
// a series of table changes: the time from acceptance until a change is in force, and the processor time and traffic of
// a change.
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

// DefaultSizes returns the default numbers of hollow nodes: the present size of the two users of the system together,
// then a quarter, a half and the whole of their target size.
func DefaultSizes() []int { return []int{20, 85, 170, 340} }

// Config sets the sizes and durations of the measurements, which bound the duration of the whole run.
type Config struct {
	// Folder holds the control nodes' data. Required.
	Folder string
	// Sizes lists the numbers of hollow nodes in ascending order. Default DefaultSizes.
	Sizes []int
	// Changes is the number of table changes at each size. Default DefaultChanges.
	Changes int
	// ChangesPerSecond is the maximum rate of table changes. Default DefaultChangesPerSecond.
	ChangesPerSecond float64
	// Idle is the duration of the idle measurement at each size. Default DefaultIdle.
	Idle time.Duration
	// Lease is the duration of a table lease. Default DefaultLease, with which a change is in force within 9 s even if
	// a lease holder is unreachable.
	Lease time.Duration
	// Rows is the number of back ends in the table. Default DefaultRows.
	Rows int
	// ControlNodes is the number of control nodes, all of them voters. Default DefaultControlNodes.
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

// Phase is the cost of one phase of a measurement, idle or with table changes. Processor time is in cores, that is in
// seconds of processor time per second.
type Phase struct {
	Seconds      float64 `json:"seconds"`
	ProcessCores float64 `json:"process_cores"` // of the whole process, by getrusage
	// ControlCores and NodeCores are the shares of all control nodes and of all hollow nodes in ProcessCores. See
	// rolecost.Cost.ApportionedCores.
	ControlCores float64 `json:"control_cores"`
	NodeCores    float64 `json:"node_cores"`
	// NodeBytesPerSecond is the mean traffic between one hollow node and the control group, in both directions.
	NodeBytesPerSecond float64 `json:"node_bytes_per_second"`
	// LeaderBytesPerSecond is the traffic of the control node whose listener has the most.
	LeaderBytesPerSecond float64 `json:"leader_bytes_per_second"`
}

// Latency summarises durations in milliseconds.
type Latency struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Point contains the measurements at one size.
type Point struct {
	Nodes      int     `json:"nodes"`
	JoinMillis float64 `json:"join_ms"` // time until all nodes that were added at this size held a lease
	// JoinBytes is the traffic of all nodes divided by the number of added nodes. It consists of the snapshot of table
	// and members that an added node receives, and of the member updates that all other nodes receive.
	JoinBytes float64 `json:"join_bytes"`
	Idle      Phase   `json:"idle"`
	Changing  Phase   `json:"changing"`
	Changes   int     `json:"changes"`
	Rejected  int     `json:"refused"` // number of changes that failed; the run ends with an error at the first
	// Accepted is the time from the request for a change to the response that it is accepted.
	Accepted Latency `json:"accepted"`
	// InForce is the time from that response until the control group knew that no node acts on an older version.
	InForce Latency `json:"accepted_to_in_force"`
	// LastNode is the time from that response until the last node had applied the change.
	LastNode Latency `json:"accepted_to_last_node"`
	// LiveBytes is the live memory of the idle process at this size, of hollow nodes and control nodes together.
	LiveBytes uint64 `json:"live_bytes"`
}

// Quantities of the lines in Report, as in slope.Line.Quantity. The size of each is the number of hollow nodes.
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

// Report is the result of Run.
type Report struct {
	ControlNodes     int          `json:"control_nodes"`
	LeaseSeconds     float64      `json:"lease_seconds"`
	Rows             int          `json:"table_rows"`
	ChangesPerSecond float64      `json:"changes_per_second"`
	Points           []Point      `json:"points"`
	Lines            []slope.Line `json:"lines"`
}
