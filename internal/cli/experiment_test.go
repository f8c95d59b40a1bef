package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const experimentScenario = "name: tiny\nduration: 1m\nseeds: [1]\nfleet:\n  zones: [{name: a, region: r, replicas: 2}]\n" +
	"trainers:\n  - {name: t, prompts_per_step: 2, samples_per_prompt: 2, output_tokens: {median: 20}, train_time: 3s}\n" +
	"policies: [{name: paced}]\n"

func runExperiment(t *testing.T, scenario, out string) (code int, stdout, stderr string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s.yaml")
	if err := os.WriteFile(path, []byte(scenario), 0o600); err != nil {
		t.Fatal(err)
	}
	var output, errors bytes.Buffer
	code = Main([]string{"experiment", "--scenario", path, "--out", out}, &output, &errors)
	return code, output.String(), errors.String()
}

// The command must print the report and write report.json.
func TestExperimentWritesAndPrintsTheReport(t *testing.T) {
	out := filepath.Join(t.TempDir(), "out")
	code, stdout, stderr := runExperiment(t, experimentScenario, out)
	if code != ExitOK || !strings.Contains(stdout, "| paced |") {
		t.Fatalf("got exit code %d with output\n%s\n%s", code, stdout, stderr)
	}
	if _, err := os.Stat(filepath.Join(out, "report.json")); err != nil {
		t.Fatal(err)
	}
}

// An invalid scenario must give ExitUsage and an error with the file, line and field.
func TestExperimentRefusesABadScenarioWithFileLineAndField(t *testing.T) {
	bad := strings.Replace(experimentScenario, "train_time: 3s", "train_time: -3s", 1)
	code, _, stderr := runExperiment(t, bad, t.TempDir())
	if code != ExitUsage || !strings.Contains(stderr, "s.yaml:7: trainers[0].train_time") {
		t.Fatalf("got exit code %d, error %q", code, stderr)
	}
}
