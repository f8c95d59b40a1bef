// Package poison recognises requests that crash the back ends that run them (poison messages, queries of death), no
// matter how often and through which process they are sent again, and decides which of their runs are still permitted.
//
// A suspect is a request under which a back end crashed. The record is the set of rows of suspects in the table of the
// control group, which all processes follow. A request is condemned when a back end crashed under a run that it had by
// itself; see provenCrashes.
//
// The package uses no clock, goroutine or I/O. Times are durations since an arbitrary start.
package poison

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Field is one header field of a request.
type Field struct{ Name, Value string }

// Identity holds the parts of a request that are the same in each attempt: the caller, the target and the content. It
// does not include what changes between attempts, such as the attempt id, the deadline and the position at which a
// stream resumes. Nor does it include hints that repeat information from the body, such as the length of a prompt.
type Identity struct {
	Tenant string // empty for an anonymous caller
	Method string
	Host   string
	Path   string // including the query
	Header []Field
	Body   []byte
	// Owed is set if the deployment itself sends the request until it is answered: an item of a batch job, its reward call,
	// or a sample of a rollout. Its crashes are kept apart from those of callers' requests.
	Owed bool
}

// callerFields are the header fields that identify the caller, in lower case.
var callerFields = []string{"authorization", "cookie"}

// owedPart distinguishes the digests of owed requests from those of callers' requests.
const owedPart = "owed"

// Digest is a 64-bit hash of an identity. Requests with equal digests are treated as the same request. With 1,000
// digests on record, an unrelated request collides with one of them with a probability of about 1 in 10^16. The digest
// is not secret. A caller cannot reach the digest of another tenant's request.
type Digest uint64

// NoDigest is the zero value, which is never the digest of a request.
const NoDigest Digest = 0

// String returns the digest in hexadecimal, as in logs and in the table.
func (d Digest) String() string { return fmt.Sprintf("%016x", uint64(d)) }

// Digest computes the identity's digest; it is never NoDigest.
func (i *Identity) Digest() Digest {
	hash := xxhash.New()
	part := func(text string) {
		var length [8]byte
		for position := range length {
			length[position] = byte(len(text) >> (8 * position))
		}
		_, _ = hash.Write(length[:])
		_, _ = hash.WriteString(text)
	}
	part(i.Tenant)
	part(i.Method)
	part(strings.ToLower(i.Host))
	part(i.Path)
	for _, name := range callerFields {
		part(strings.Join(i.headerValues(name), "\x00"))
	}
	if i.Owed {
		part(owedPart)
	}
	part("")
	_, _ = hash.Write(i.Body)
	return max(Digest(hash.Sum64()), 1)
}

// headerValues returns the values of a header field, sorted because an intermediary may forward them in a different
// order.
func (i *Identity) headerValues(lowerName string) []string {
	var found []string
	for _, field := range i.Header {
		if strings.ToLower(field.Name) == lowerName {
			found = append(found, field.Value)
		}
	}
	slices.Sort(found)
	return found
}
