package credentials

import (
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/auth"
	"github.com/tamarindring/tamarindring/internal/credentials/credentialtest"
	"github.com/tamarindring/tamarindring/internal/logging"
)

func writeFile(t *testing.T, path, content string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
}

// forceCheck makes the next get check the files for changes.
func forceCheck[T any](r *reloader[T]) { r.lastCheck = time.Time{} }

// entryOf returns a new token and its entry in a tokens file.
func entryOf(t *testing.T, name string, role auth.Role) (token, entry string) {
	t.Helper()
	token, hash, err := auth.NewToken(rand.Reader, name)
	if err != nil {
		t.Fatal(err)
	}
	return token, fmt.Sprintf("  - {name: %s, role: %s, hash: %q}\n", name, role, hash)
}

// TestGuardFollowsItsFileAndKeepsTheOldTokensWhenItBreaks guards against replaced tokens that stay valid, and against
// a broken or deleted tokens file that locks everyone out of a running process.
func TestGuardFollowsItsFileAndKeepsTheOldTokensWhenItBreaks(t *testing.T) {
	path := filepath.Join(t.TempDir(), "tokens.yaml")
	first, firstEntry := entryOf(t, "a", auth.Caller)
	second, secondEntry := entryOf(t, "a", auth.Caller)
	writeFile(t, path, "tokens:\n"+firstEntry)
	guard, err := NewGuard(path, logging.Discard())
	if err != nil {
		t.Fatal(err)
	}
	expect := func(token string, want error, roles ...auth.Role) {
		t.Helper()
		if _, err := guard.Check(token, roles...); !errors.Is(err, want) {
			t.Fatalf("got %v, want %v", err, want)
		}
	}
	expect(first, nil, auth.Caller)
	expect(first, auth.ErrForbidden, auth.Node, auth.Operator)
	expect(second, auth.ErrUnauthenticated, auth.Caller)
	writeFile(t, path, "tokens:\n"+secondEntry+"# replaced\n")
	forceCheck(guard.keyring)
	expect(second, nil, auth.Caller)
	expect(first, auth.ErrUnauthenticated, auth.Caller)
	writeFile(t, path, "tokens: broken")
	forceCheck(guard.keyring)
	expect(second, nil, auth.Caller)
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	forceCheck(guard.keyring)
	expect(second, nil, auth.Caller)
	if _, err := NewGuard(path, logging.Discard()); err == nil || !strings.Contains(err.Error(), path) {
		t.Fatalf("got %v", err)
	}
}

// TestTokenFilesWithMoreThanATokenAreRefused guards against sending the content of a wrong file as a token.
func TestTokenFilesWithMoreThanATokenAreRefused(t *testing.T) {
	path := filepath.Join(t.TempDir(), "own.token")
	for content, valid := range map[string]bool{"a.b\n": true, "": false, "a.b\nc.d\n": false, "a b": false} {
		writeFile(t, path, content)
		client, err := NewClient(path, nil, logging.Discard())
		if (err == nil) != valid {
			t.Errorf("%q: %v", content, err)
		}
		if valid && client.Authorization() != "Bearer a.b" {
			t.Errorf("%q: %q", content, client.Authorization())
		}
	}
}

// nodeOf returns the TLS of a node with the given IP address and a certificate of a.
func nodeOf(t *testing.T, a *credentialtest.Authority, address string) *TLS {
	t.Helper()
	certificate, key, ca := a.WriteCertificate(t, t.TempDir(), net.ParseIP(address))
	nodeTLS, err := NewTLS(certificate, key, ca, logging.Discard())
	if err != nil {
		t.Fatal(err)
	}
	return nodeTLS
}

// greeting is long enough for a TLS listener to detect at once that it is not a handshake.
const greeting = "a greeting in the clear"

// greet sends greeting from client to server and back, and returns the error of the client.
func greet(t *testing.T, server, client *TLS) error {
	t.Helper()
	bound, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := server.Listen(bound)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.CopyN(conn, conn, int64(len(greeting)))
	}()
	plain, err := net.Dial("tcp", bound.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	shown, err := NewClient("", client, logging.Discard())
	if err != nil {
		t.Fatal(err)
	}
	conn := shown.Secure(plain)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(conn, greeting); err != nil {
		return err
	}
	answer := make([]byte, len(greeting))
	if _, err := io.ReadFull(conn, answer); err != nil {
		return err
	}
	if string(answer) != greeting {
		return fmt.Errorf("got %q", answer)
	}
	return nil
}

// TestOnlyCertificatesOfTheAuthorityConnect guards against connections with a certificate of another authority or
// another address, and between a secured and an unsecured side.
func TestOnlyCertificatesOfTheAuthorityConnect(t *testing.T) {
	ours, others := credentialtest.NewAuthority(t), credentialtest.NewAuthority(t)
	for name, test := range map[string]struct {
		server, client *TLS
		accepted       bool
	}{
		"ours":              {nodeOf(t, ours, "127.0.0.1"), nodeOf(t, ours, "127.0.0.1"), true},
		"plain":             {nil, nil, true},
		"foreign client":    {nodeOf(t, ours, "127.0.0.1"), nodeOf(t, others, "127.0.0.1"), false},
		"foreign server":    {nodeOf(t, others, "127.0.0.1"), nodeOf(t, ours, "127.0.0.1"), false},
		"other address":     {nodeOf(t, ours, "127.0.0.2"), nodeOf(t, ours, "127.0.0.1"), false},
		"plain client":      {nodeOf(t, ours, "127.0.0.1"), nil, false},
		"plain server":      {nil, nodeOf(t, ours, "127.0.0.1"), false},
		"client's own host": {nodeOf(t, ours, "127.0.0.1"), nodeOf(t, ours, "127.0.0.9"), true},
	} {
		t.Run(name, func(t *testing.T) {
			if err := greet(t, test.server, test.client); (err == nil) != test.accepted {
				t.Fatalf("got %v", err)
			}
		})
	}
}

// TestCertificatesAreReloaded guards against a listener that still accepts certificates of a replaced authority, or
// does not accept those of the new one.
func TestCertificatesAreReloaded(t *testing.T) {
	old, next := credentialtest.NewAuthority(t), credentialtest.NewAuthority(t)
	folder := t.TempDir()
	certificate, key, ca := old.WriteCertificate(t, folder, net.ParseIP("127.0.0.1"))
	server, err := NewTLS(certificate, key, ca, logging.Discard())
	if err != nil {
		t.Fatal(err)
	}
	if err := greet(t, server, nodeOf(t, next, "127.0.0.1")); err == nil {
		t.Fatal("a foreign certificate was accepted")
	}
	next.WriteCertificate(t, folder, net.ParseIP("127.0.0.1"))
	forceCheck(server.material)
	if err := greet(t, server, nodeOf(t, next, "127.0.0.1")); err != nil {
		t.Fatal(err)
	}
	if err := greet(t, server, nodeOf(t, old, "127.0.0.1")); err == nil {
		t.Fatal("a certificate of the replaced authority was accepted")
	}
}

// TestIncompleteCertificateSettingsAreRefused guards against starting without TLS, or failing later, when certificate
// files are missing, swapped or unreadable.
func TestIncompleteCertificateSettingsAreRefused(t *testing.T) {
	certificate, key, ca := credentialtest.NewAuthority(t).WriteCertificate(t, t.TempDir(), net.ParseIP("127.0.0.1"))
	for _, paths := range [][3]string{{certificate, key, ""}, {certificate, "", ca}, {"", key, ca}, {key, certificate, ca},
		{certificate, key, key}, {certificate + "x", key, ca}} {
		if _, err := NewTLS(paths[0], paths[1], paths[2], logging.Discard()); err == nil {
			t.Errorf("%v was accepted", paths)
		}
	}
}
