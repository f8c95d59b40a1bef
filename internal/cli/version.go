package cli

import (
	"fmt"

	"github.com/tamarindring/tamarindring/internal/metrics"
)

type versionCommand struct{}

// Run prints the module version and the revision that Go recorded in the binary.
func (*versionCommand) Run(environment Environment, _ []string) error {
	version, revision := metrics.Build()
	_, err := fmt.Fprintf(environment.Stdout, "tamarindring %s revision %s\n", version, revision)
	return err
}
