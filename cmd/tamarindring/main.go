// Command tamarindring is every process of the service: see "tamarindring --help".
package main

import (
	"os"

	"github.com/tamarindring/tamarindring/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
