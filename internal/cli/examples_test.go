package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/operator"
	"github.com/tamarindring/tamarindring/internal/table"
)

const examplesFolder = "../../examples"

// processNumber matches the number in a file name that tells apart the processes of one role.
var processNumber = regexp.MustCompile(`-\d+$`)

// exampleRole returns the subcommand that an example file configures.
func exampleRole(path string) string {
	role := processNumber.ReplaceAllString(filepath.Base(path[:len(path)-len(filepath.Ext(path))]), "")
	switch role {
	case "control", "gateway", "coordinator":
		return role
	default:
		return "standin " + role
	}
}

// exampleFiles returns the example files that match a pattern, and fails the test if there are fewer than least.
func exampleFiles(t *testing.T, pattern string, least int) []string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(examplesFolder, "*", pattern))
	if err != nil || len(paths) < least {
		t.Fatalf("found %d files %s, want at least %d: %v", len(paths), pattern, least, err)
	}
	return paths
}

// `config check` must accept every example settings file.
func TestExampleSettingsAreRefused(t *testing.T) {
	for _, path := range exampleFiles(t, "*.yaml", 20) {
		var stdout, stderr bytes.Buffer
		if code := Main([]string{"config", "check", exampleRole(path), path}, &stdout, &stderr); code != ExitOK {
			t.Errorf("%s: exit code %d: %s", path, code, stderr.String())
		}
	}
}

// Every example table must be accepted as a change of an empty table.
func TestExampleTablesAreRefused(t *testing.T) {
	for _, path := range exampleFiles(t, "*.csv", 4) {
		content, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		file, err := operator.ReadFile(bytes.NewReader(content))
		if err != nil {
			t.Errorf("%s: %v", path, err)
			continue
		}
		plan := operator.PlanFile(&operator.Sheet{}, file, false)
		result := table.New().Apply(operator.NewChange(plan, operator.Author{Operator: "test"}, time.UnixMilli(0)))
		if len(result.Refusals) > 0 || result.Version != 1 {
			t.Errorf("%s: refused at version %d: %v", path, result.Version, result.Refusals)
		}
	}
}
