package cli

import (
	"encoding/json"
	"fmt"

	"github.com/tamarindring/tamarindring/internal/storage"
)

type dataCheckCommand struct {
	Positional struct {
		Folder string `positional-arg-name:"DIR" description:"data folder of a stopped node"`
	} `positional-args:"yes" required:"yes"`
}

// Run verifies the data folder of a stopped node, prints its contents as JSON and fails if parts are damaged.
func (c *dataCheckCommand) Run(environment Environment, _ []string) error {
	report, err := storage.Check(c.Positional.Folder)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(environment.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(report); err != nil {
		return err
	}
	if !report.Sound() {
		return &ExitError{Code: ExitFailure, Message: fmt.Sprintf("data check: %d damaged parts in %s", len(report.Damage), c.Positional.Folder)}
	}
	return nil
}
