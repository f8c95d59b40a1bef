package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestABadFleetFlagStartsSomething: an impossible value must give ExitUsage and one line that names it, before
// anything is started or written.
func TestABadFleetFlagStartsSomething(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "out")
	for _, test := range []struct{ arguments, names string }{
		{"--deployment prague", "prague"},
		{"--duration 1s", "1s"},
		{"--live-rate -1", "rates"},
		{"--log-level loud", "loud"},
		{"surplus", "surplus"},
		{"--fault", "fault"},
	} {
		var stdout, stderr bytes.Buffer
		arguments := append([]string{"fleet", "--report", folder}, strings.Fields(test.arguments)...)
		if code := Main(arguments, &stdout, &stderr); code != ExitUsage {
			t.Errorf("%s: got exit code %d, want a usage error", test.arguments, code)
		}
		if text := strings.TrimSpace(stderr.String()); !strings.Contains(text, test.names) || strings.Contains(text, "\n") {
			t.Errorf("%s: got error %q, want one line that names the value", test.arguments, text)
		}
		if _, err := os.Stat(folder); err == nil {
			t.Fatalf("%s: folder %s was created", test.arguments, folder)
		}
	}
}
