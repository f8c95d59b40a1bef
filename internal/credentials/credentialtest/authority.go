// Package credentialtest creates certificates and tokens files for tests.
package credentialtest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/auth"
)

// Authority is a certificate authority that issues certificates for nodes.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

// NewAuthority returns an authority with a new key.
func NewAuthority(t testing.TB) *Authority {
	t.Helper()
	a := &Authority{}
	a.certificate, a.key = a.sign(t, &x509.Certificate{IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign})
	return a
}

// sign issues a certificate that is valid for an hour. The first certificate is self-signed.
func (a *Authority) sign(t testing.TB, template *x509.Certificate) (*x509.Certificate, *ecdsa.PrivateKey) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	a.serial++
	template.SerialNumber, template.Subject = big.NewInt(a.serial), pkix.Name{CommonName: "test"}
	template.NotBefore, template.NotAfter = time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	parent, signer := a.certificate, a.key
	if parent == nil {
		parent, signer = template, key
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		t.Fatal(err)
	}
	issued, err := x509.ParseCertificate(raw)
	if err != nil {
		t.Fatal(err)
	}
	return issued, key
}

// WriteCertificate issues a certificate for a node with the given IP address, writes it to folder, and returns the
// paths of the certificate, its key and the certificate authority.
func (a *Authority) WriteCertificate(t testing.TB, folder string, address net.IP) (certificate, key, ca string) {
	t.Helper()
	issued, secret := a.sign(t, &x509.Certificate{IPAddresses: []net.IP{address},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}})
	raw, err := x509.MarshalECPrivateKey(secret)
	if err != nil {
		t.Fatal(err)
	}
	encode := func(name, kind string, content []byte) string {
		path := filepath.Join(folder, name)
		if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content}), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	return encode("node.crt", "CERTIFICATE", issued.Raw), encode("node.key", "EC PRIVATE KEY", raw), encode("ca.crt", "CERTIFICATE", a.certificate.Raw)
}

// WriteTokens writes a tokens file with one token for each holder to folder. It returns the path of the file and the
// tokens by name.
func WriteTokens(t testing.TB, folder string, holders map[string]auth.Role) (path string, tokens map[string]string) {
	t.Helper()
	tokens = map[string]string{}
	content := "tokens:\n"
	for name, role := range holders {
		token, hash, err := auth.NewToken(rand.Reader, name)
		if err != nil {
			t.Fatal(err)
		}
		tokens[name] = token
		content += fmt.Sprintf("  - {name: %s, role: %s, hash: %q}\n", name, role, hash)
	}
	path = filepath.Join(folder, "tokens.yaml")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path, tokens
}

// OneHolderPerRole returns one holder of each role, named after its role.
func OneHolderPerRole() map[string]auth.Role {
	holders := map[string]auth.Role{}
	for _, role := range []auth.Role{auth.Operator, auth.Trainer, auth.Caller, auth.Node} {
		holders[string(role)] = role
	}
	return holders
}
