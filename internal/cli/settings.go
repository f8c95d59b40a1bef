package cli

import (
	"reflect"
	"strings"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"

	"github.com/tamarindring/tamarindring/internal/settings"
)

// settingsFlag names the flag that every subcommand has besides its own.
const settingsFlag = "settings"

// settingsOption is the shared group of options.
type settingsOption struct {
	Settings string `long:"settings" value-name:"FILE" description:"Strict YAML file whose keys are the long names of this subcommand's flags; flags given on the command line win"`
}

// withSettings puts the settings file's fields, if one is named, before the arguments as flags. A field
// that is also given as a flag is left to the flag.
func withSettings(parser *flags.Parser, arguments []string) ([]string, error) {
	path := flagValue(arguments, settingsFlag)
	if path == "" {
		return arguments, nil
	}
	command, depth := findCommand(parser, arguments)
	if command == nil {
		return arguments, nil
	}
	fields, err := settings.Read(path)
	if err != nil {
		return nil, err
	}
	merged := append([]string(nil), arguments[:depth]...)
	for _, field := range fields {
		option := findOption(command, field.Key)
		if option == nil || field.Key == settingsFlag {
			return nil, trace.BadParameter("settings file %s:%d: unknown setting %q; %s", path, field.Line, field.Key, suggestion(command, field.Key))
		}
		if flagGiven(arguments, field.Key) {
			continue
		}
		texts, err := flagTexts(option, field)
		if err != nil {
			return nil, trace.BadParameter("settings file %s:%d: %v", path, field.Line, err)
		}
		merged = append(merged, texts...)
	}
	return append(merged, arguments[depth:]...), nil
}

// flagTexts returns the arguments that set an option to a field's values. A boolean flag takes no value
// on the command line; a list is for options that may be repeated.
func flagTexts(option *flags.Option, field settings.Field) ([]string, error) {
	if field.List && reflect.TypeOf(option.Value()).Kind() != reflect.Slice {
		return nil, trace.BadParameter("%s takes one value, not a list", field.Key)
	}
	if _, boolean := option.Value().(bool); boolean {
		return booleanTexts(field)
	}
	var texts []string
	for _, value := range field.Values {
		texts = append(texts, "--"+field.Key+"="+value)
	}
	return texts, nil
}

func booleanTexts(field settings.Field) ([]string, error) {
	switch field.Values[0] {
	case "true":
		return []string{"--" + field.Key}, nil
	case "false":
		return nil, nil
	default:
		return nil, trace.BadParameter("%s is %q: want true or false", field.Key, field.Values[0])
	}
}

// findCommand returns the subcommand that the arguments name and how many arguments name it.
func findCommand(parser *flags.Parser, arguments []string) (*flags.Command, int) {
	command, depth := parser.Command, 0
	for depth < len(arguments) {
		next := command.Find(arguments[depth])
		if next == nil {
			break
		}
		command, depth = next, depth+1
	}
	if depth == 0 {
		return nil, 0
	}
	return command, depth
}

func findOption(command *flags.Command, name string) *flags.Option {
	for _, option := range commandOptions(command) {
		if option.LongName == name {
			return option
		}
	}
	return nil
}

// commandOptions lists the options of a subcommand in the order of their definition.
func commandOptions(command *flags.Command) []*flags.Option {
	var options []*flags.Option
	for _, group := range command.Groups() {
		options = append(options, group.Options()...)
	}
	return options
}

func flagGiven(arguments []string, name string) bool {
	for _, argument := range arguments {
		if argument == "--" {
			return false
		}
		if argument == "--"+name || strings.HasPrefix(argument, "--"+name+"=") {
			return true
		}
	}
	return false
}

func flagValue(arguments []string, name string) string {
	for index, argument := range arguments {
		if argument == "--" {
			return ""
		}
		if value, found := strings.CutPrefix(argument, "--"+name+"="); found {
			return value
		}
		if argument == "--"+name && index+1 < len(arguments) {
			return arguments[index+1]
		}
	}
	return ""
}

// suggestion names the nearest setting, or all of them.
func suggestion(command *flags.Command, key string) string {
	best, bestDistance := "", len(key)/2+1
	var names []string
	for _, option := range commandOptions(command) {
		if option.LongName == settingsFlag || option.LongName == "" {
			continue
		}
		names = append(names, option.LongName)
		if distance := editDistance(key, option.LongName); distance < bestDistance {
			best, bestDistance = option.LongName, distance
		}
	}
	if best != "" {
		return "did you mean " + best + "?"
	}
	return "known settings are " + strings.Join(names, ", ")
}

// editDistance is the Levenshtein distance.
func editDistance(left, right string) int {
	row := make([]int, len(right)+1)
	for column := range row {
		row[column] = column
	}
	for i := 1; i <= len(left); i++ {
		previous := row[0]
		row[0] = i
		for j := 1; j <= len(right); j++ {
			substitution := previous
			if left[i-1] != right[j-1] {
				substitution++
			}
			previous = row[j]
			row[j] = min(row[j]+1, row[j-1]+1, substitution)
		}
	}
	return row[len(right)]
}
