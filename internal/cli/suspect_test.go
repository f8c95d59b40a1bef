package cli

import (
	"bytes"
	"strings"
	"testing"
)

// TestSuspectsAtTheCommandLine: an operator can list condemned requests, condemn a request by its digest and release
// it. Invalid and unknown digests are refused.
func TestSuspectsAtTheCommandLine(t *testing.T) {
	t.Setenv("TAMARINDRING_CONTROL", startControl(t))
	t.Setenv("TAMARINDRING_OPERATOR", "ann")
	t.Setenv("XDG_STATE_HOME", t.TempDir())
	run := func(arguments string, code int, output string) {
		t.Helper()
		var stdout, stderr bytes.Buffer
		got := Main(strings.Fields(arguments), &stdout, &stderr)
		if printed := stdout.String() + stderr.String(); got != code || !strings.Contains(printed, output) {
			t.Fatalf("%s: exit code %d, want %d, and %q in:\n%s", arguments, got, code, output, printed)
		}
	}
	const digest = "8075a94e054cc5b0"
	run("suspect list", ExitOK, "digest  crashes")
	run("suspect condemn call-17", ExitUsage, "is no digest")
	run("suspect release "+digest, ExitUsage, "no request with the digest")
	run("suspect condemn "+strings.ToUpper(digest), ExitOK, "accepted version 1")
	run("suspect list", ExitOK, digest+"  3        rests")
	run("suspect release --dry-run "+digest, ExitOK, "suspect."+digest+": removed")
	run("suspect release "+digest, ExitOK, "accepted version 2")
	run("suspect release "+digest, ExitUsage, "no request with the digest")
}
