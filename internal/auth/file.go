package auth

import (
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/tamarindring/tamarindring/internal/strictyaml"
)

// tokensFile is the YAML structure of a file of accepted tokens.
type tokensFile struct {
	Tokens []tokenEntry `yaml:"tokens"`
}

// tokenEntry is one accepted token in a tokens file.
type tokenEntry struct {
	Name    string `yaml:"name"`
	Role    Role   `yaml:"role"`
	Hash    string `yaml:"hash"`
	Expires string `yaml:"expires"`
}

const hashPrefix = "sha256:"

// String returns the hash in the form used in a tokens file.
func (h Hash) String() string { return hashPrefix + hex.EncodeToString(h[:]) }

// Parse parses the content of a tokens file. file is the name used in errors. Errors: trace.BadParameter with file,
// line and field.
func Parse(file string, content []byte) (*Keyring, error) {
	var decoded tokensFile
	if err := strictyaml.Decode(file, content, &decoded); err != nil {
		return nil, err
	}
	keyring := &Keyring{byName: map[string][]credential{}}
	for i, entry := range decoded.Tokens {
		parsed, err := parseEntry(&entry)
		if err != nil {
			return nil, strictyaml.Locate(file, content, strictyaml.Within("tokens["+strconv.Itoa(i)+"]", err))
		}
		for _, other := range keyring.byName[entry.Name] {
			if other.role != parsed.role {
				return nil, strictyaml.Locate(file, content, strictyaml.Fieldf("tokens["+strconv.Itoa(i)+"].role",
					"%s has the role %s already; tokens of one name have one role", entry.Name, other.role))
			}
		}
		keyring.byName[entry.Name] = append(keyring.byName[entry.Name], parsed)
	}
	return keyring, nil
}

// parseEntry validates an entry. Errors are of type *strictyaml.FieldError, with paths relative to the entry.
func parseEntry(entry *tokenEntry) (credential, error) {
	if err := checkName(entry.Name); err != nil {
		return credential{}, strictyaml.Fieldf("name", "%v", err)
	}
	if !entry.Role.Valid() {
		return credential{}, strictyaml.Fieldf("role", "%q: want operator, trainer, caller or node", string(entry.Role))
	}
	parsed := credential{role: entry.Role}
	text, found := strings.CutPrefix(entry.Hash, hashPrefix)
	raw, err := hex.DecodeString(text)
	if !found || err != nil || len(raw) != len(parsed.hash) {
		return credential{}, strictyaml.Fieldf("hash", "want %s and %d hexadecimal digits, as 'tamarindring token create' prints", hashPrefix, 2*len(parsed.hash))
	}
	copy(parsed.hash[:], raw)
	if entry.Expires != "" {
		parsed.expires, err = time.Parse(time.RFC3339, entry.Expires)
		if err != nil {
			return credential{}, strictyaml.Fieldf("expires", "%q: want a time such as 2027-01-31T00:00:00Z", entry.Expires)
		}
	}
	return parsed, nil
}
