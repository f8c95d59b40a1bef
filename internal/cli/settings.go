package cli

import (
	"reflect"
	"strings"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"

	"github.com/tamarindring/tamarindring/internal/settings"
)

// settingsFlag is the name of the flag for a settings file, which every subcommand has.
const settingsFlag = "settings"

// settingsOption is the group of options that every subcommand has besides its own.
type settingsOption struct {
	Settings string `long:"settings" value-name:"FILE" description:"Strict YAML file whose keys are the long names of this subcommand's flags; flags given on the command line win"`
}

// mergeSettings inserts the fields of the settings file, if one is named, as flags between the subcommand and its
// arguments. A field that is also given as a flag is left out, so that the flag wins. The error is trace.BadParameter
// for an unknown or invalid field, and names the line.
func mergeSettings(parser *flags.Parser, arguments []string) ([]string, error) {
	path := findFlagValue(arguments, settingsFlag)
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
			return nil, trace.BadParameter("settings file %s:%d: unknown setting %q; %s", path, field.Line, field.Key, suggestSetting(command, field.Key))
		}
		if isFlagGiven(arguments, field.Key) {
			continue
		}
		texts, err := flagArguments(option, field)
		if err != nil {
			return nil, trace.BadParameter("settings file %s:%d: %v", path, field.Line, err)
		}
		merged = append(merged, texts...)
	}
	return append(merged, arguments[depth:]...), nil
}

// flagArguments returns the arguments that set an option to a field's values. A boolean flag takes no value on the
// command line. Only options that may be repeated accept a list.
func flagArguments(option *flags.Option, field settings.Field) ([]string, error) {
	if field.List && reflect.TypeOf(option.Value()).Kind() != reflect.Slice {
		return nil, trace.BadParameter("%s takes one value, not a list", field.Key)
	}
	if _, boolean := option.Value().(bool); boolean {
		return booleanArguments(field)
	}
	var texts []string
	for _, value := range field.Values {
		texts = append(texts, "--"+field.Key+"="+value)
	}
	return texts, nil
}

func booleanArguments(field settings.Field) ([]string, error) {
	switch field.Values[0] {
	case "true":
		return []string{"--" + field.Key}, nil
	case "false":
		return nil, nil
	default:
		return nil, trace.BadParameter("%s is %q: want true or false", field.Key, field.Values[0])
	}
}

// findCommand returns the subcommand that the arguments start with, and how many arguments name it. The command is
// nil if there is none.
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

// commandOptions returns the options of a subcommand in the order of their definition.
func commandOptions(command *flags.Command) []*flags.Option {
	var options []*flags.Option
	for _, group := range command.Groups() {
		options = append(options, group.Options()...)
	}
	return options
}

// isFlagGiven reports whether the arguments before "--" contain a flag.
func isFlagGiven(arguments []string, name string) bool {
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

// findFlagValue returns a flag's value in the arguments before "--", or an empty text.
func findFlagValue(arguments []string, name string) string {
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

// suggestSetting returns a hint with the setting of the most similar name, or with all settings if none is similar.
func suggestSetting(command *flags.Command, key string) string {
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

// editDistance returns the Levenshtein distance of two texts in bytes.
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
