package cli

import (
	"encoding/json"
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/bench/controlbench"
)

// benchControlCommand measures control sessions and table changes.
type benchControlCommand struct {
	Folder           string        `long:"folder" description:"Folder on the disk to measure (default: the system's folder for temporary files)"`
	Nodes            int           `long:"nodes" default:"340" description:"Hollow nodes at the largest size; the others are 1/17, 1/4 and 1/2 of it"`
	Changes          int           `long:"changes" default:"50" description:"Table changes at each size"`
	ChangesPerSecond float64       `long:"changes-per-second" default:"20" description:"Pace of the changes"`
	Idle             time.Duration `long:"idle" default:"4s" description:"Time of the idle measurement at each size"`
	Lease            time.Duration `long:"lease" default:"6s" description:"Table lease"`
	Rows             int           `long:"rows" default:"600" description:"Back ends in the table"`
	ControlNodes     int           `long:"control-nodes" default:"3" description:"Voters of the control group"`
}

// sizes returns the numbers of nodes to measure: 20, 85, 170 and 340 by default.
func (c *benchControlCommand) sizes() []int {
	return []int{max(c.Nodes/17, 1), max(c.Nodes/4, 1), max(c.Nodes/2, 1), max(c.Nodes, 1)}
}

// Run measures and prints JSON.
func (c *benchControlCommand) Run(environment Environment, _ []string) error {
	folder, err := os.MkdirTemp(c.Folder, "bench-control-")
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer os.RemoveAll(folder)
	report, err := controlbench.Run(environment.Context, controlbench.Config{Folder: folder, Sizes: c.sizes(), Changes: c.Changes,
		ChangesPerSecond: c.ChangesPerSecond, Idle: c.Idle, Lease: c.Lease, Rows: c.Rows, ControlNodes: c.ControlNodes})
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(environment.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}
