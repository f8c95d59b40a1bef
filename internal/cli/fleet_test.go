package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestABadFleetFlagStartsSomething gives impossible values: one line that names the flag's value, exit code 2,
// nothing written.
func TestABadFleetFlagStartsSomething(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "out")
	for _, known := range []struct{ arguments, names string }{
		{"--deployment prague", "prague"},
		{"--duration 1s", "1s"},
		{"--live-rate -1", "rates"},
		{"--log-level loud", "loud"},
		{"surplus", "surplus"},
		{"--fault", "fault"},
	} {
		var stdout, stderr bytes.Buffer
		arguments := append([]string{"fleet", "--report", folder}, strings.Fields(known.arguments)...)
		if code := Main(arguments, &stdout, &stderr); code != ExitUsage {
			t.Errorf("%s: exit code %d", known.arguments, code)
		}
		if text := strings.TrimSpace(stderr.String()); !strings.Contains(text, known.names) || strings.Contains(text, "\n") {
			t.Errorf("%s: %q is not one line that names it", known.arguments, text)
		}
		if _, err := os.Stat(folder); err == nil {
			t.Fatalf("%s: %s was made", known.arguments, folder)
		}
	}
}
