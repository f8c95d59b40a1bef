package replica

import "strings"

// Names holds the names of the header fields that differ from site to site. A field with an empty name is neither sent
// nor read.
type Names struct {
	AttemptID       string // ID of the attempt, which the replica echoes in every answer
	Signature       string // the replica's signature, which every success carries
	Deadline        string // remaining time in milliseconds
	Target          string // instance that the call is for
	Urgency         string // 0 (most urgent) to 9
	ExpectedVersion string // weight version without which the call is refused
	Version         string // weight version at the start of an answer
	NotExecuted     string // marks an answer as a refusal: the request did not run
	Load            string // the replica's load report, see package loadreport
	Tenant          string // name of the tenant whose request it is
}

// lastEventID is the header field with which a client resumes a stream of server-sent events.
const lastEventID = "Last-Event-Id"

// connectionFields are the fields that belong to one connection or that this package computes. They are never copied from
// a call.
var connectionFields = [...]string{
	"Connection", "Content-Length", "Expect", "Host", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// IsReserved reports whether the client sets or omits the header field itself. A field of this name in a call is not
// sent.
func (n *Names) IsReserved(name string) bool {
	for _, field := range connectionFields {
		if strings.EqualFold(field, name) {
			return true
		}
	}
	for _, field := range [...]string{n.AttemptID, n.Deadline, n.Target, n.Urgency, n.ExpectedVersion, n.Tenant} {
		if field != "" && strings.EqualFold(field, name) {
			return true
		}
	}
	return false
}
