package auth

import (
	"bytes"
	"crypto/rand"
	"fmt"
	"strings"
	"testing"
	"time"
)

func mustToken(t *testing.T, name string) (token string, hash Hash) {
	t.Helper()
	token, hash, err := NewToken(rand.Reader, name)
	if err != nil {
		t.Fatal(err)
	}
	return token, hash
}

// entry returns a line of a tokens file, with extraFields appended as written.
func entry(name string, role Role, hash Hash, extraFields string) string {
	return fmt.Sprintf("  - {name: %s, role: %s, hash: %q%s}\n", name, role, hash, extraFields)
}

// TestOnlyTheRightTokenIsAccepted guards against accepting a token that is expired, malformed, or of another name or
// secret.
func TestOnlyTheRightTokenIsAccepted(t *testing.T) {
	alice, aliceHash := mustToken(t, "alice")
	renewed, renewedHash := mustToken(t, "alice")
	push, pushHash := mustToken(t, "push-1")
	stranger, _ := mustToken(t, "alice")
	expiring, expiringHash := mustToken(t, "old")
	keyring, err := Parse("tokens.yaml", []byte("tokens:\n"+entry("alice", Operator, aliceHash, "")+entry("alice", Operator, renewedHash, "")+
		entry("push-1", Caller, pushHash, "")+entry("old", Node, expiringHash, ", expires: 2026-12-01T00:00:00Z")))
	if err != nil {
		t.Fatal(err)
	}
	before := time.Date(2026, 11, 30, 0, 0, 0, 0, time.UTC)
	after := before.Add(48 * time.Hour)
	for name, test := range map[string]struct {
		token string
		now   time.Time
		want  Principal
	}{
		"first":           {alice, after, Principal{"alice", Operator}},
		"second of name":  {renewed, after, Principal{"alice", Operator}},
		"other role":      {push, after, Principal{"push-1", Caller}},
		"not yet expired": {expiring, before, Principal{"old", Node}},
		"expired":         {expiring, after, Principal{}},
		"wrong secret":    {stranger, after, Principal{}},
		"other's secret":  {"alice." + strings.TrimPrefix(push, "push-1."), after, Principal{}},
		"unknown name":    {"bob." + strings.TrimPrefix(alice, "alice."), after, Principal{}},
		"no secret":       {"alice", after, Principal{}},
		"empty secret":    {"alice.", after, Principal{}},
		"empty":           {"", after, Principal{}},
		"the hash":        {"alice." + aliceHash.String(), after, Principal{}},
		"longer":          {alice + "x", after, Principal{}},
	} {
		got, err := keyring.Authenticate(test.token, test.now)
		if got != test.want || (err == nil) != (test.want != Principal{}) {
			t.Errorf("%s: got %+v, %v", name, got, err)
		}
	}
}

// TestBadTokensFilesAreRefusedWithLineAndRemedy checks that errors name the file, the line and the field, and what to
// do where that is not obvious.
func TestBadTokensFilesAreRefusedWithLineAndRemedy(t *testing.T) {
	_, hash := mustToken(t, "a")
	for name, test := range map[string]struct{ content, want string }{
		"role":       {"tokens:\n" + entry("a", "king", hash, ""), "tokens.yaml:2: tokens[0].role"},
		"hash":       {"tokens:\n  - {name: a, role: node, hash: secret}\n", "token create"},
		"short hash": {"tokens:\n  - {name: a, role: node, hash: \"sha256:00\"}\n", "tokens[0].hash"},
		"name":       {"tokens:\n" + entry("a.b", Node, hash, ""), "tokens[0].name"},
		"two roles":  {"tokens:\n" + entry("a", Node, hash, "") + entry("a", Caller, hash, ""), "tokens.yaml:3: tokens[1].role"},
		"expiry":     {"tokens:\n" + entry("a", Node, hash, ", expires: soon"), "tokens[0].expires"},
		"field":      {"tokens:\n" + entry("a", Node, hash, ", admin: true"), "admin"},
		"no list":    {"token: x\n", "token"},
	} {
		if _, err := Parse("tokens.yaml", []byte(test.content)); err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s: got %v, want %q in it", name, err, test.want)
		}
	}
}

// TestSecretsAreNotKept guards against tokens with too little randomness, a secret inside its hash, and invalid
// names.
func TestSecretsAreNotKept(t *testing.T) {
	token, hash := mustToken(t, "a")
	_, secret, _ := strings.Cut(token, separator)
	if len(secret) < 43 || strings.Contains(hash.String(), secret) {
		t.Fatalf("secret %q, hash %s", secret, hash)
	}
	if _, _, err := NewToken(bytes.NewReader([]byte("too short")), "a"); err == nil {
		t.Fatal("a token was made without enough randomness")
	}
	for _, name := range []string{"", "a.b", "a b", "ä", strings.Repeat("x", 200)} {
		if _, _, err := NewToken(rand.Reader, name); err == nil {
			t.Errorf("the name %q was accepted", name)
		}
	}
}

// TestHeaderForms checks which Authorization header values yield a token.
func TestHeaderForms(t *testing.T) {
	for header, want := range map[string]string{"Bearer a.b": "a.b", "bearer  a.b ": "a.b", "Basic YWxpY2U6YS5i": "a.b", "Basic a.b": "", "Basic YQ==": "", "Bearer": "", "": "", "a.b": ""} {
		if got := FromHeader(header); got != want {
			t.Errorf("%q: got %q", header, got)
		}
	}
}
