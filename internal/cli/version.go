package cli

import (
	"fmt"
	"runtime/debug"
)

type versionCommand struct{}

// Run prints the module version and the revision that Go stamped into the binary.
func (*versionCommand) Run(environment Environment, _ []string) error {
	version, revision := "devel", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		if info.Main.Version != "" {
			version = info.Main.Version
		}
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				revision = setting.Value
			}
		}
	}
	_, err := fmt.Fprintf(environment.Stdout, "tamarindring %s revision %s\n", version, revision)
	return err
}
