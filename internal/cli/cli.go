// Package cli implements the command line. Related subcommands share a file; commands.go lists all of them.
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
	ExitUsage     = 2 // unknown flags, invalid values or invalid settings: nothing was done
	ExitRefused   = 3 // the cluster refused the change, as a conflict or as invalid
	ExitUnknown   = 4 // the outcome is unknown: the change may have been made
	ExitInvariant = 5 // fleet only: an invariant was violated, or one was never examined
)

// Environment holds the context and the output streams of a subcommand.
type Environment struct {
	Context context.Context // ends on the first SIGINT or SIGTERM
	Stdout  io.Writer
	Stderr  io.Writer
}

// command is a subcommand. The exported fields of the implementing struct are its flags.
type command interface {
	Run(environment Environment, arguments []string) error
}

// commandEntry describes a subcommand for registration. The parent of a top-level command is empty, and a command
// that only groups others has no constructor.
type commandEntry struct {
	parent      string
	name        string
	short       string
	long        string
	constructor func() command
}

// ExitError makes the program exit with a code after printing the message as one line.
type ExitError struct {
	Code    int
	Message string
}

// Error implements error.
func (e *ExitError) Error() string { return e.Message }

// adapter implements the interface that go-flags calls, Execute, by a command's Run.
type adapter struct {
	command
	environment *Environment
}

// Execute implements flags.Commander.
func (a *adapter) Execute(arguments []string) error { return a.Run(*a.environment, arguments) }

// globalOptions are the flags that come before a subcommand.
type globalOptions struct {
	Version bool `long:"version" description:"Print the version and build data"`
}

// versionFlag, given alone, is the same as the subcommand version.
const versionFlag = "--version"

// Main runs the program and returns its exit code. It adds the fields of a settings file to the arguments first.
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
	arguments, err := mergeSettings(parser, arguments)
	if err != nil {
		fmt.Fprintf(stderr, "tamarindring: %v\n", err)
		return ExitUsage
	}
	_, err = parser.ParseArgs(arguments)
	return exitCode(err, stdout, stderr)
}

// writeCompletions prints completions for the shell, which requests them with the environment variable
// GO_FLAGS_COMPLETION.
func writeCompletions(out io.Writer, items []flags.Completion) {
	for _, item := range items {
		fmt.Fprintln(out, item.Item)
	}
}

// addCommands registers all subcommands.
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

// addCommand registers one subcommand. go-flags scans the command itself for flags, because the adapter has no flags.
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

// exitCode prints an error, if any, and returns the exit code for it.
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
