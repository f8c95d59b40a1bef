// Package answercheck decides whether the head of a message that arrived on a connection to a replica belongs to the
// answer to the request that was sent there. A faulty replica may send bytes that are no answer, or the answer to another request.
// All readers of replicas' answers take the decision from here.
//
// The package has no clock, goroutines or I/O.
package answercheck

import "net/http"

// Fault is the reason why a message is not the answer to a request. It is an error.
type Fault uint8

// The faults.
const (
	BadStatus Fault = iota + 1 // its status is none of a final answer
	Foreign                    // it belongs to another request
	Unnamed                    // it does not name the request
	Unsigned                   // a success without the signature of the replica that made it
	Endless                    // its head or body exceeds every size that an answer has
	Unframed                   // a signed success whose end nothing but the close of the connection marks
	BadField                   // its head has a line that is no field
)

// String returns the name of the fault in metrics.
func (f Fault) String() string {
	return [...]string{BadStatus: "status", Foreign: "foreign", Unnamed: "unnamed", Unsigned: "unsigned", Endless: "endless",
		Unframed: "unframed", BadField: "field"}[f]
}

// Error implements error.
func (f Fault) Error() string {
	return "not an answer: " + [...]string{BadStatus: "its status is not between 200 and 599",
		Foreign: "it belongs to another request", Unnamed: "it does not name the request",
		Unsigned: "a success without the replica's signature", Endless: "it goes on without an end",
		Unframed: "a success whose end is not marked", BadField: "its head has a line that is no field"}[f]
}

// Expected is what the answer to a request must carry.
type Expected struct {
	RequestID string // ID of the request, which the answer repeats; empty: the answer need not name a request
	Signed    bool   // a success carries the signature of the replica that made it, and marks its end
}

// Head is the part of a message's head that identifies it as an answer.
type Head struct {
	Status    int
	RequestID string // empty: none
	Signature string // empty: none
	// Unframed is set if the head announces neither a length nor chunks. A body that ends with its connection can't be
	// told from one that was cut.
	Unframed bool
}

// Check returns nil if a message with this head is the expected answer, and otherwise a Fault.
func (e Expected) Check(head Head) error {
	switch {
	case !isFinal(head.Status):
		return BadStatus
	case e.RequestID != "" && head.RequestID == "":
		return Unnamed
	case e.RequestID != "" && head.RequestID != e.RequestID:
		return Foreign
	case e.Signed && isSuccess(head.Status) && head.Signature == "":
		return Unsigned
	case e.Signed && isSuccess(head.Status) && head.Unframed:
		return Unframed
	}
	return nil
}

// The statuses of final answers.
const (
	minStatus = 200
	maxStatus = 599
)

// maxInterim bounds the interim answers before a final one. None of the protocols in use needs more than one.
const maxInterim = 8

// IsInterim reports whether a message with this status may come before the final answer, after number other interim
// answers. A switch of protocols (101) is never asked for.
func IsInterim(status, number int) bool {
	return status >= http.StatusContinue && status < minStatus && status != http.StatusSwitchingProtocols && number < maxInterim
}

// isFinal reports whether a final answer may have the status.
func isFinal(status int) bool { return status >= minStatus && status <= maxStatus }

func isSuccess(status int) bool {
	return status >= minStatus && status < http.StatusMultipleChoices
}
