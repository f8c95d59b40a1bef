package cli

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/servertest"
	"github.com/tamarindring/tamarindring/internal/standin/engine"
	"github.com/tamarindring/tamarindring/internal/workload/caller"
)

const loadWorkload = "sources:\n  - name: chat\n    pool: copy\n    arrival: {per_second: 100}\n    streamed_share: 0.5\n"

func writeWorkload(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "w.yaml")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Correct answers must give ExitOK and a report that counts them. An engine that duplicates chunks must be detected
// as a failure.
func TestLoadChecksAnswersAndWritesTheReport(t *testing.T) {
	server, err := engine.New(engine.Config{
		Name: "e", Listen: "127.0.0.1:0", InitialVersion: "v1", InitialVersionNumber: 1, TimeScale: 100, Log: logging.Discard(),
	})
	if err != nil {
		t.Fatal(err)
	}
	servertest.Run(t, server)
	out := filepath.Join(t.TempDir(), "out")
	arguments := []string{"load", "--gateway", server.Address(), "--workload", writeWorkload(t, loadWorkload), "--duration", "300ms", "--out", out}
	var stdout, stderr bytes.Buffer
	if code := Main(arguments, &stdout, &stderr); code != ExitOK {
		t.Fatalf("exit code %d: %s%s", code, stdout.String(), stderr.String())
	}
	content, err := os.ReadFile(filepath.Join(out, "report.json"))
	if err != nil {
		t.Fatal(err)
	}
	var report caller.Report
	if err := json.Unmarshal(content, &report); err != nil {
		t.Fatal(err)
	}
	if report.Live.Requests == 0 || report.Live.ByVerdict["ran"] != report.Live.Requests || report.Invariants[0].Examined == 0 {
		t.Errorf("got report %+v, want requests that all ran and an examined invariant", report)
	}
	server.SetFaults(engine.Faults{DuplicateProbability: 1})
	if code := Main(arguments, &stdout, &stderr); code != ExitFailure {
		t.Errorf("exit code %d with doubled chunks, want %d", code, ExitFailure)
	}
}

// An invalid workload must give ExitUsage and an error with the file, line and field, before the output folder is
// created.
func TestLoadRefusesBadInput(t *testing.T) {
	cases := []struct{ content, want string }{
		{strings.Replace(loadWorkload, "per_second", "per_sekond", 1), "w.yaml:4: sources[0].arrival.per_sekond"},
		{strings.Replace(loadWorkload, "0.5", "7", 1), "w.yaml:5: sources[0].streamed_share"},
	}
	for _, test := range cases {
		out := filepath.Join(t.TempDir(), "out")
		var stdout, stderr bytes.Buffer
		code := Main([]string{"load", "--gateway", "127.0.0.1:1", "--workload", writeWorkload(t, test.content), "--out", out}, &stdout, &stderr)
		if code != ExitUsage || !strings.Contains(stderr.String(), test.want) {
			t.Errorf("exit code %d, %q, want %q", code, stderr.String(), test.want)
		}
		if _, err := os.Stat(out); !os.IsNotExist(err) {
			t.Error("the output folder was created, want none after a refusal")
		}
	}
}
