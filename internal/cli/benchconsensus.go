package cli

import (
	"encoding/json"
	"time"

	"github.com/tamarindring/tamarindring/internal/bench/consensusbench"
)

type benchConsensusCommand struct {
	Folder         string        `long:"folder" description:"folder on the disk to measure (default: the system's folder for temporary files)"`
	Clients        []int         `long:"clients" description:"number of concurrent clients; may be given several times" default:"1" default:"8" default:"64" default:"512"`
	Duration       time.Duration `long:"duration" description:"time of each load" default:"2s"`
	Rate           int           `long:"rate" description:"claims a second of the open-loop load" default:"10000"`
	LedgerGroups   int           `long:"ledger-groups" description:"groups that the claims are spread over" default:"4"`
	Kills          int           `long:"kills" description:"abrupt stops of the leader" default:"9"`
	Entries        int           `long:"entries" description:"log length of the restart measurement" default:"10000"`
	Changes        int           `long:"changes" description:"entries that a node misses in the catch-up measurement" default:"500"`
	SnapshotClaims int           `long:"snapshot-claims" description:"claims in the state that is transferred" default:"50000"`
}

// Run measures consensus and storage on three local nodes and prints JSON.
func (c *benchConsensusCommand) Run(environment Environment, _ []string) error {
	report, err := consensusbench.Run(environment.Context, consensusbench.Config{
		Folder: c.Folder, Clients: c.Clients, Duration: c.Duration, Rate: c.Rate, LedgerGroups: c.LedgerGroups,
		Kills: c.Kills, Entries: c.Entries, Changes: c.Changes, SnapshotClaims: c.SnapshotClaims,
	})
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(environment.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}
