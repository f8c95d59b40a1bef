package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/auth"
)

// A new token must be accepted by the printed entry, which must not contain the secret. Its file must be readable by
// the owner only and never be overwritten.
func TestCreatedTokenIsAcceptedByItsEntry(t *testing.T) {
	path := filepath.Join(t.TempDir(), "alice.token")
	arguments := []string{"token", "create", "--name", "alice", "--role", "operator", "--out", path}
	var stdout, stderr bytes.Buffer
	if code := Main(arguments, &stdout, &stderr); code != ExitOK {
		t.Fatalf("exit code %d: %s", code, &stderr)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	info, err := os.Stat(path)
	if err != nil || info.Mode().Perm() != tokenFileMode {
		t.Fatalf("token file: got mode %v, error %v; want it readable by the owner only", info.Mode(), err)
	}
	token := strings.TrimSpace(string(content))
	if strings.Contains(stdout.String(), strings.TrimPrefix(token, "alice.")) {
		t.Fatal("the printed entry contains the secret")
	}
	keyring, err := auth.Parse("tokens.yaml", []byte("tokens:\n"+stdout.String()))
	if err != nil {
		t.Fatal(err)
	}
	if principal, err := keyring.Authenticate(token, time.Now()); err != nil || principal != (auth.Principal{Name: "alice", Role: auth.Operator}) {
		t.Fatalf("got principal %+v, error %v; want the operator alice", principal, err)
	}
	if code := Main(arguments, &stdout, &stderr); code != ExitUsage {
		t.Fatalf("existing token file: got exit code %d, want a usage error", code)
	}
}
