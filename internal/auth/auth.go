// Package auth tells operators, trainers, callers and nodes apart by bearer tokens. A token is a name and a
// secret of 256 random bits; only the secret's hash is kept, in a file that operators write. The package is
// pure: files, reloading and listeners are in package credentials.
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

// RefusedCode is the drpc error code of a stream that was refused for its token.
const RefusedCode = 4010

// Role says what the holder of a token is.
type Role string

// The roles.
const (
	Operator Role = "operator" // changes the table and the group of control nodes
	Trainer  Role = "trainer"  // opens steps and fetches samples under its own name
	Caller   Role = "caller"   // sends requests to gateways
	Node     Role = "node"     // a process of ours
)

// Valid tells whether the role is one of the four.
func (r Role) Valid() bool { return r == Operator || r == Trainer || r == Caller || r == Node }

// Principal is whose token it was.
type Principal struct {
	Name string
	Role Role
}

// ErrUnauthenticated means that a token is missing, malformed, unknown, wrong or expired. It does not say
// which, so that names cannot be probed.
var ErrUnauthenticated = errors.New("a valid token is required: send 'Authorization: Bearer TOKEN'")

// ErrForbidden means that a valid token's role does not permit the request.
var ErrForbidden = errors.New("the token's role does not permit this")

// Hash is what is kept of a secret. Secrets are random, so that one round of SHA-256 is enough.
type Hash [sha256.Size]byte

// credential is one accepted token.
type credential struct {
	role    Role
	hash    Hash
	expires time.Time // zero: never
}

// Keyring is the accepted tokens. It is immutable. A name may have several, so that a token can be replaced
// while the old one still works.
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

// none stands in for an unknown name, so that the answer takes as long as for a known one.
var none = []credential{{}}

// Authenticate returns whose token it is, or ErrUnauthenticated.
func (k *Keyring) Authenticate(token string, now time.Time) (Principal, error) {
	name, secret, _ := strings.Cut(token, separator)
	hash := Hash(sha256.Sum256([]byte(secret)))
	candidates, known := k.byName[name]
	if !known {
		candidates = none
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

// separator stands between name and secret of a token. Names do not hold it.
const separator = "."

const (
	secretBytes      = 32
	maximumNameBytes = 128
)

// NewToken makes a token for a name from a source of random bytes, and what is kept of it.
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
	bearer = "bearer "
	basic  = "basic "
)

// FromHeader returns the token of an Authorization header's value: a bearer token, or the password of the
// basic form, which browsers ask their users for. It is "" when there is none.
func FromHeader(value string) string {
	if token, found := cutScheme(value, bearer); found {
		return token
	}
	encoded, found := cutScheme(value, basic)
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

func cutScheme(value, scheme string) (rest string, found bool) {
	if len(value) <= len(scheme) || !strings.EqualFold(value[:len(scheme)], scheme) {
		return "", false
	}
	return strings.TrimSpace(value[len(scheme):]), true
}
