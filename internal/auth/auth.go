// Package auth authenticates operators, trainers, callers and nodes by bearer tokens. A token consists of a name and
// a secret of 256 random bits. Only the hash of the secret is stored, in a file that operators maintain. The package
// does no I/O on files or networks: package credentials reads and reloads the file and guards listeners.
package auth

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// RejectedTokenCode is the drpc error code of a stream that was rejected because of its token.
const RejectedTokenCode = 4010

// Role determines what the holder of a token may do.
type Role string

// The roles.
const (
	Operator Role = "operator" // changes the table and the group of control nodes
	Trainer  Role = "trainer"  // opens steps and fetches samples under its own name
	Caller   Role = "caller"   // sends requests to gateways
	Node     Role = "node"     // a process of the deployment itself
)

// Valid reports whether r is one of the four roles.
func (r Role) Valid() bool { return r == Operator || r == Trainer || r == Caller || r == Node }

// Principal is the authenticated owner of a token.
type Principal struct {
	Name string
	Role Role
}

// ErrUnauthenticated is returned for a token that is missing, malformed, unknown, wrong or expired. It does not say
// which of these applies, so that names cannot be probed.
var ErrUnauthenticated = errors.New("a valid token is required: send 'Authorization: Bearer TOKEN'")

// ErrForbidden is returned for a valid token whose role does not permit the request.
var ErrForbidden = errors.New("the token's role does not permit this")

// Hash is the SHA-256 hash of a secret, the only form in which a secret is stored. One round is enough because
// secrets are random.
type Hash [sha256.Size]byte

// credential is one accepted token.
type credential struct {
	role    Role
	hash    Hash
	expires time.Time // zero means never
}

// Keyring is the immutable set of accepted tokens. A name may have several, so that a token can be replaced while the
// old one still works.
type Keyring struct {
	byName map[string][]credential
}

// Len returns the number of accepted tokens.
func (k *Keyring) Len() int {
	count := 0
	for _, list := range k.byName {
		count += len(list)
	}
	return count
}

// dummyCredentials are compared with the token if its name is unknown, so that the answer takes as long as for a
// known name.
var dummyCredentials = []credential{{}}

// Authenticate returns whose token it is, or ErrUnauthenticated.
func (k *Keyring) Authenticate(token string, now time.Time) (Principal, error) {
	name, secret, _ := strings.Cut(token, separator)
	hash := Hash(sha256.Sum256([]byte(secret)))
	candidates, known := k.byName[name]
	if !known {
		candidates = dummyCredentials
	}
	found := -1
	for i := range candidates {
		equal := subtle.ConstantTimeCompare(candidates[i].hash[:], hash[:]) == 1
		if equal && (candidates[i].expires.IsZero() || now.Before(candidates[i].expires)) {
			found = i
		}
	}
	if !known || found < 0 {
		return Principal{}, ErrUnauthenticated
	}
	return Principal{Name: name, Role: candidates[found].role}, nil
}

// separator separates the name and the secret of a token. Names cannot contain it.
const separator = "."

const (
	secretBytes      = 32
	maximumNameBytes = 128
)

// NewToken returns a new token for name and the hash of its secret. random must be a cryptographically secure source.
// Errors: trace.BadParameter for an invalid name, or the error of random.
func NewToken(random io.Reader, name string) (token string, hash Hash, err error) {
	if err := checkName(name); err != nil {
		return "", Hash{}, err
	}
	var raw [secretBytes]byte
	if _, err := io.ReadFull(random, raw[:]); err != nil {
		return "", Hash{}, trace.Wrap(err)
	}
	secret := base64.RawURLEncoding.EncodeToString(raw[:])
	return name + separator + secret, sha256.Sum256([]byte(secret)), nil
}

// checkName returns an error if name is not a valid token name.
func checkName(name string) error {
	if name == "" || len(name) > maximumNameBytes {
		return trace.BadParameter("a token's name has 1 to %d bytes", maximumNameBytes)
	}
	for _, r := range name {
		plain := r == '-' || r == '_' || (r >= '0' && r <= '9') || (r >= 'a' && r <= 'z') || (r >= 'A' && r <= 'Z')
		if !plain {
			return trace.BadParameter("a token's name %q: want letters, digits, - and _", name)
		}
	}
	return nil
}

const (
	bearerScheme = "bearer "
	basicScheme  = "basic "
)

// FromHeader returns the token in the value of an Authorization header, or "" if there is none. The token is a bearer
// token or the password of basic authentication, for which browsers prompt their users.
func FromHeader(value string) string {
	if token, found := cutScheme(value, bearerScheme); found {
		return token
	}
	encoded, found := cutScheme(value, basicScheme)
	if !found {
		return ""
	}
	decoded, err := base64.StdEncoding.DecodeString(encoded)
	if err != nil {
		return ""
	}
	_, password, _ := strings.Cut(string(decoded), ":")
	return password
}

// cutScheme returns what follows an authentication scheme. The case of the scheme is ignored.
func cutScheme(value, scheme string) (rest string, found bool) {
	if len(value) <= len(scheme) || !strings.EqualFold(value[:len(scheme)], scheme) {
		return "", false
	}
	return strings.TrimSpace(value[len(scheme):]), true
}
