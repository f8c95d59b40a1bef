// Package cli is the command line: one file per subcommand, listed in commands.go.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// Exit codes of the program.
const (
	ExitOK        = 0
	ExitFailure   = 1 // the command ran and failed
	ExitUsage     = 2 // unknown flags, bad values, bad settings: nothing was done
	ExitRefused   = 3 // the cluster refused the change (conflict or invalid)
	ExitUnknown   = 4 // the outcome is unknown: the change may or may not have been made
	ExitInvariant = 5 // fleet: an invariant was violated, or one examined nothing
)

// Environment is what a subcommand may use besides its own flags.
type Environment struct {
	Context context.Context // ends on the first SIGINT or SIGTERM
	Stdout  io.Writer
	Stderr  io.Writer
}

// command is one subcommand: its flags are the implementing struct's fields.
type command interface {
	Run(environment Environment, arguments []string) error
}

// commandEntry registers one subcommand. Parent is empty for a top-level one.
type commandEntry struct {
	parent      string
	name        string
	short       string
	long        string
	constructor func() command
}

// ExitError ends the program with a code; its message is printed as one line.
type ExitError struct {
	Code    int
	Message string
}

// Error implements error.
func (e *ExitError) Error() string { return e.Message }

// adapter lets a command run under go-flags, which knows Execute only.
type adapter struct {
	command
	environment *Environment
}

// Execute implements flags.Commander.
func (a *adapter) Execute(arguments []string) error { return a.Run(*a.environment, arguments) }

// globalOptions are the flags before a subcommand.
type globalOptions struct {
	Version bool `long:"version" description:"Print the version and build data"`
}

// versionFlag alone stands for the subcommand version.
const versionFlag = "--version"

// Main runs the program and returns its exit code.
func Main(arguments []string, stdout, stderr io.Writer) int {
	if len(arguments) == 1 && arguments[0] == versionFlag {
		arguments = []string{"version"}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	environment := &Environment{Context: ctx, Stdout: stdout, Stderr: stderr}
	parser := flags.NewNamedParser("tamarindring", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "rollout service for reinforcement learning"
	parser.CompletionHandler = func(items []flags.Completion) { writeCompletions(stdout, items) }
	if _, err := parser.AddGroup("Options", "", &globalOptions{}); err != nil {
		fmt.Fprintf(stderr, "tamarindring: %v\n", err)
		return ExitFailure
	}
	if err := addCommands(parser, environment); err != nil {
		fmt.Fprintf(stderr, "tamarindring: %v\n", err)
		return ExitFailure
	}
	arguments, err := withSettings(parser, arguments)
	if err != nil {
		fmt.Fprintf(stderr, "tamarindring: %v\n", err)
		return ExitUsage
	}
	_, err = parser.ParseArgs(arguments)
	return exitCode(err, stdout, stderr)
}

// writeCompletions answers the shell, which asks by the environment variable GO_FLAGS_COMPLETION.
func writeCompletions(out io.Writer, items []flags.Completion) {
	for _, item := range items {
		fmt.Fprintln(out, item.Item)
	}
}

func addCommands(parser *flags.Parser, environment *Environment) error {
	parents := map[string]*flags.Command{"": parser.Command}
	for _, entry := range commandEntries() {
		parent := parents[entry.parent]
		if parent == nil {
			return fmt.Errorf("command %q has no parent %q", entry.name, entry.parent)
		}
		var data any = &struct{}{}
		if entry.constructor != nil {
			data = &adapter{command: entry.constructor(), environment: environment}
		}
		added, err := addCommand(parent, entry, data)
		if err != nil {
			return err
		}
		if entry.parent == "" {
			parents[entry.name] = added
		}
	}
	return nil
}

// addCommand registers one command; the flags are scanned from the command itself, not the adapter.
func addCommand(parent *flags.Command, entry commandEntry, data any) (*flags.Command, error) {
	long := entry.long
	if long == "" {
		long = entry.short
	}
	added, err := parent.AddCommand(entry.name, entry.short, long, data)
	if err != nil {
		return nil, err
	}
	if wrapped, ok := data.(*adapter); ok {
		if _, err := added.AddGroup(entry.name+" options", "", wrapped.command); err != nil {
			return nil, err
		}
		if _, err := added.AddGroup("settings", "", &settingsOption{}); err != nil {
			return nil, err
		}
	} else {
		added.SubcommandsOptional = false
	}
	return added, nil
}

func exitCode(err error, stdout, stderr io.Writer) int {
	if err == nil {
		return ExitOK
	}
	var flagError *flags.Error
	if errors.As(err, &flagError) {
		if flagError.Type == flags.ErrHelp {
			fmt.Fprintln(stdout, flagError.Message)
			return ExitOK
		}
		fmt.Fprintf(stderr, "tamarindring: %s\n", flagError.Message)
		return ExitUsage
	}
	fmt.Fprintf(stderr, "tamarindring: %v\n", err)
	var exit *ExitError
	if errors.As(err, &exit) {
		return exit.Code
	}
	return ExitFailure
}
