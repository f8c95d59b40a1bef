package cli

import (
	"encoding/json"
	"time"

	"github.com/tamarindring/tamarindring/internal/bench/gatewaybench"
)

// benchGatewayCommand measures the latency and the cost that the gateway adds.
type benchGatewayCommand struct {
	Folder       string        `long:"folder" description:"Folder on the disk to measure (default: the system's folder for temporary files)"`
	Duration     time.Duration `long:"duration" default:"2s" description:"Time of each measurement"`
	Rate         int           `long:"rate" default:"1050" description:"Requests a second in the latency measurements"`
	ClaimRate    int           `long:"claim-rate" default:"200" description:"Claimed requests a second"`
	Streams      int           `long:"streams" default:"64" description:"Concurrent streams"`
	StreamTokens int           `long:"stream-tokens" default:"256" description:"Tokens of each streamed answer"`
	Clients      int           `long:"clients" default:"64" description:"Callers in the capacity measurements"`
}

// Run measures and prints JSON.
func (c *benchGatewayCommand) Run(environment Environment, _ []string) error {
	report, err := gatewaybench.Run(environment.Context, gatewaybench.Config{Folder: c.Folder, Duration: c.Duration, Rate: c.Rate,
		ClaimRate: c.ClaimRate, Streams: c.Streams, StreamTokens: c.StreamTokens, Clients: c.Clients})
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(environment.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}
