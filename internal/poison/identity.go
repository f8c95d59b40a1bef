// Package poison recognises requests that crash the back ends that run them (poison messages, queries of death), however often and
// by whatever way they come again, and decides which of their runs are still permitted.
//
// The package is pure: no clock, goroutine or I/O. Times are durations since an arbitrary start.
package poison

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Field is one header field of a request.
type Field struct{ Name, Value string }

// Identity is what stays the same when a request comes again: who calls, what is asked and with which content. The id of an attempt,
// deadlines and the place where a stream goes on change with each attempt and are no part of it. Nor are hints that repeat what the
// body says, such as the length of a prompt.
type Identity struct {
	Tenant string // empty: anonymous
	Method string
	Host   string
	Path   string // with its query
	Header []Field
	Body   []byte
}

// callerFields are the header fields that tell callers apart, in lower case.
var callerFields = []string{"authorization", "cookie"}

// Digest names an identity. Two requests with one digest are taken for one: with 1,000 digests on record a further request meets one of
// them by chance once in 10^16 times. It is no secret, and a caller can reach no digest of another tenant's requests.
type Digest uint64

// NoDigest names no request.
const NoDigest Digest = 0

// String is the digest as logs and the table show it.
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
		part(strings.Join(i.values(name), "\x00"))
	}
	part("")
	_, _ = hash.Write(i.Body)
	return max(Digest(hash.Sum64()), 1)
}

// values are those of a header field, sorted: an intermediary may pass them on in another order.
func (i *Identity) values(lowerName string) []string {
	var found []string
	for _, field := range i.Header {
		if strings.ToLower(field.Name) == lowerName {
			found = append(found, field.Value)
		}
	}
	slices.Sort(found)
	return found
}
