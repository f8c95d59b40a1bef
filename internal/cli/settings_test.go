package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
)

// sampleCommand has a flag of each kind that settings treat differently.
type sampleCommand struct {
	Name    string   `long:"name" required:"true"`
	Control []string `long:"control"`
	Limit   int      `long:"limit" default:"7"`
	Slow    bool     `long:"slow"`
}

func (*sampleCommand) Run(Environment, []string) error { return nil }

// parseSample parses a settings file and arguments for a sampleCommand.
func parseSample(t *testing.T, content string, arguments ...string) (*sampleCommand, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "node.yaml")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	parser := flags.NewNamedParser("test", flags.HelpFlag)
	sample := &sampleCommand{}
	entry := commandEntry{name: "sample", short: "sample"}
	if _, err := addCommand(parser.Command, entry, &adapter{command: sample, environment: &Environment{}}); err != nil {
		t.Fatal(err)
	}
	merged, err := mergeSettings(parser, append([]string{"sample", "--settings", path}, arguments...))
	if err != nil {
		return nil, err
	}
	_, err = parser.ParseArgs(merged)
	return sample, err
}

// A flag on the command line must replace the value, or the whole list, of the settings file.
func TestFlagsWinOverTheSettingsFile(t *testing.T) {
	got, err := parseSample(t, "name: file\ncontrol: [a, b]\nlimit: 9\nslow: true\n", "--name", "flag", "--control=c")
	if err != nil {
		t.Fatal(err)
	}
	want := &sampleCommand{Name: "flag", Control: []string{"c"}, Limit: 9, Slow: true}
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}

// An unknown setting must give an error with its line and the similar setting.
func TestAnUnknownSettingNamesLineAndRemedy(t *testing.T) {
	_, err := parseSample(t, "name: a\nlimt: 9\n")
	if err == nil || !strings.Contains(err.Error(), ":2: unknown setting \"limt\"; did you mean limit?") {
		t.Fatalf("error %v", err)
	}
}

func TestAnImpossibleValueIsRefused(t *testing.T) {
	if _, err := parseSample(t, "name: a\nlimit: many\n"); err == nil || !strings.Contains(err.Error(), "limit") {
		t.Fatalf("error %v", err)
	}
}

func TestAListForASingleValueIsRefused(t *testing.T) {
	if _, err := parseSample(t, "name: [a, b]\n"); err == nil || !strings.Contains(err.Error(), "not a list") {
		t.Fatalf("error %v", err)
	}
}

func TestABooleanThatIsNeitherTrueNorFalseIsRefused(t *testing.T) {
	if _, err := parseSample(t, "name: a\nslow: yes\n"); err == nil || !strings.Contains(err.Error(), "true or false") {
		t.Fatalf("error %v", err)
	}
}

func TestAMissingSettingsFileIsAUsageError(t *testing.T) {
	var stdout, stderr bytes.Buffer
	code := Main([]string{"version", "--settings", filepath.Join(t.TempDir(), "none.yaml")}, &stdout, &stderr)
	if code != ExitUsage || !strings.Contains(stderr.String(), "none.yaml") {
		t.Fatalf("code %d, %q", code, stderr.String())
	}
}
