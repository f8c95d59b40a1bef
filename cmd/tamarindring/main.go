// Command tamarindring runs any process of the service, and the operator's commands. See "tamarindring --help".
package main

import (
	"os"

	"github.com/tamarindring/tamarindring/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
