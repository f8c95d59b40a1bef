package cli

import (
	"bytes"
	"strings"
	"testing"
)

func TestUnknownFlagIsAUsageError(t *testing.T) {
	var stdout, stderr bytes.Buffer
	if code := Main([]string{"version", "--no-such-flag"}, &stdout, &stderr); code != ExitUsage {
		t.Fatalf("exit code %d, want %d", code, ExitUsage)
	}
	if !strings.Contains(stderr.String(), "no-such-flag") {
		t.Fatalf("the error does not name the flag: %q", stderr.String())
	}
}

func TestVersionPrints(t *testing.T) {
	var stdout, stderr bytes.Buffer
	if code := Main([]string{"version"}, &stdout, &stderr); code != ExitOK {
		t.Fatalf("exit code %d: %s", code, stderr.String())
	}
	if !strings.HasPrefix(stdout.String(), "tamarindring ") {
		t.Fatalf("unexpected output %q", stdout.String())
	}
}
