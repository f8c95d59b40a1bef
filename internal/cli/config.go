package cli

import (
	"fmt"
	"io"
	"reflect"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"
)

// newInertParser returns a parser of all subcommands that runs none of them. It is used to inspect and check
// settings.
func newInertParser() (*flags.Parser, error) {
	parser := flags.NewNamedParser("tamarindring", flags.HelpFlag|flags.PassDoubleDash)
	parser.CommandHandler = func(flags.Commander, []string) error { return nil }
	return parser, addCommands(parser, &Environment{Stdout: io.Discard, Stderr: io.Discard})
}

// configCheckCommand checks a settings file.
type configCheckCommand struct {
	Positional struct {
		Role string `positional-arg-name:"ROLE" description:"Subcommand the file is for, such as gateway"`
		File string `positional-arg-name:"FILE" description:"Settings file"`
	} `positional-args:"yes" required:"yes"`
}

// Run checks a settings file like a process of the role would, without starting anything.
func (c *configCheckCommand) Run(environment Environment, _ []string) error {
	parser, err := newInertParser()
	if err != nil {
		return err
	}
	arguments := append(strings.Fields(c.Positional.Role), "--"+settingsFlag+"="+c.Positional.File)
	if command, _ := findCommand(parser, arguments); command == nil {
		return &ExitError{Code: ExitUsage, Message: fmt.Sprintf("no subcommand %q", c.Positional.Role)}
	}
	merged, err := mergeSettings(parser, arguments)
	if err == nil {
		_, err = parser.ParseArgs(merged)
	}
	if err != nil {
		return &ExitError{Code: ExitUsage, Message: fmt.Sprintf("%s is not valid for %s: %v", c.Positional.File, c.Positional.Role, err)}
	}
	_, err = fmt.Fprintf(environment.Stdout, "%s is valid for %s\n", c.Positional.File, c.Positional.Role)
	return trace.Wrap(err)
}

// configPrintCommand prints the settings of a role.
type configPrintCommand struct {
	Positional struct {
		Role string `positional-arg-name:"ROLE" description:"Subcommand to print the settings of"`
	} `positional-args:"yes" required:"yes"`
}

// Run prints a role's settings with their defaults and descriptions, as a file to start from.
func (c *configPrintCommand) Run(environment Environment, _ []string) error {
	parser, err := newInertParser()
	if err != nil {
		return err
	}
	command, _ := findCommand(parser, strings.Fields(c.Positional.Role))
	if command == nil {
		return &ExitError{Code: ExitUsage, Message: fmt.Sprintf("no subcommand %q", c.Positional.Role)}
	}
	for _, option := range settingOptions(command) {
		fmt.Fprintf(environment.Stdout, "# %s\n", option.Description)
		fmt.Fprintf(environment.Stdout, "%s\n", formatSetting(option))
	}
	return nil
}

// formatSetting returns an option as a line of YAML. An option without a default is commented out.
func formatSetting(option *flags.Option) string {
	value := strings.Join(option.Default, ", ")
	if value == "" {
		if _, boolean := option.Value().(bool); boolean {
			return option.LongName + ": false"
		}
		return "# " + option.LongName + ":"
	}
	return option.LongName + ": " + value
}

// settingOptions returns the options of a subcommand that a settings file may set.
func settingOptions(command *flags.Command) []*flags.Option {
	var options []*flags.Option
	for _, option := range commandOptions(command) {
		if option.LongName != "" && option.LongName != settingsFlag && option.LongName != "help" {
			options = append(options, option)
		}
	}
	return options
}

// configReferenceCommand prints the reference page of all settings.
type configReferenceCommand struct{}

// Run prints the reference page of all settings, docs/operations/settings.md.
func (*configReferenceCommand) Run(environment Environment, _ []string) error {
	return writeReference(environment.Stdout)
}

// referenceRoles are the subcommands on the reference page: the long-running ones.
var referenceRoles = []string{"control", "gateway", "coordinator"}

// writeReference writes the reference page of all settings in Markdown.
func writeReference(output io.Writer) error {
	parser, err := newInertParser()
	if err != nil {
		return err
	}
	fmt.Fprint(output, `# Settings

Made by `+"`tamarindring config reference`"+`; a test holds this page against the code. A settings file is
one strict YAML mapping per process (`+"`--settings FILE`"+`); its keys are the flags' long names, and a flag
on the command line wins. `+"`tamarindring config check ROLE FILE`"+` checks a file without starting anything;
`+"`tamarindring config print ROLE`"+` prints a file to start from. Every setting is read at the start of the
process: change the file, then drain and restart the process. What changes while running is in the table. A duration is written
as `+"`1500ms`, `2s` or `1m30s`"+`.
`)
	for _, role := range referenceRoles {
		command := parser.Find(role)
		if command == nil {
			continue
		}
		fmt.Fprintf(output, "\n## %s\n\n| setting | type | default | meaning |\n|---|---|---|---|\n", role)
		for _, option := range settingOptions(command) {
			fmt.Fprintf(output, "| `%s` | %s | %s | %s |\n", option.LongName, describeType(option), describeDefault(option), option.Description)
		}
	}
	return nil
}

// describeType returns the type of an option's values in words.
func describeType(option *flags.Option) string {
	value := reflect.TypeOf(option.Value())
	switch kind := value.Kind(); {
	case value == reflect.TypeFor[time.Duration]():
		return "duration"
	case kind == reflect.Slice:
		return "list"
	case kind == reflect.Bool:
		return "true or false"
	case kind == reflect.String:
		return "text"
	case kind == reflect.Float64:
		return "number"
	default:
		return "whole number"
	}
}

// describeDefault returns an option's default in Markdown.
func describeDefault(option *flags.Option) string {
	if len(option.Default) > 0 {
		return "`" + strings.Join(option.Default, ", ") + "`"
	}
	if option.Required {
		return "required"
	}
	if _, boolean := option.Value().(bool); boolean {
		return "`false`"
	}
	return "none"
}
