// Package replica calls one registered replica of a pool over HTTP/1.1: it sends a request, passes on the answer piece by
// piece, and determines whether the request may have run. The header names, which differ from site to site, are
// configuration (Names); packages that route, retry or schedule do not depend on them.
package replica

import (
	"context"
	"time"

	"github.com/tamarindring/tamarindring/internal/loadreport"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

// Target identifies the replica that a call is for. Another replica at the same address refuses the call without
// running it.
type Target struct {
	Instance string // text form of the replica's incarnation, which is unique for every start of a replica
	Address  string // IP:port
}

// Header is one header field of a request or an answer.
type Header struct {
	Name  string
	Value string
}

// Call is one request to one replica.
type Call struct {
	Target
	AttemptID string   // ID of the caller's attempt, which the replica echoes
	Method    string   // such as POST
	Path      string   // with the query, as the caller sent it
	Host      string   // Host field of the caller's request; empty: Address is sent
	Header    []Header // end-to-end fields, without those that this package sets itself
	Body      []byte
	Tenant    string        // tenant whose request it is; empty: no tenant is sent
	Deadline  time.Duration // remaining time; 0: no deadline is sent
	// Urgency is 0 (most urgent) to 9. If it is negative, none is sent.
	Urgency int
	// ResumeAfter is the ID of the last event that the caller has already received, after which the replica resumes a
	// stream. It is negative for a new stream.
	ResumeAfter int64
	// ExpectedVersion is the weight version without which the replica refuses the call. 0 allows any version.
	ExpectedVersion uint64
	// MaxConnections bounds this process's connections to the replica. 0 selects Options.MaxConnections.
	MaxConnections int
	// Admit is called directly before the first byte is sent. Its error ends the call as not run; a connection that was
	// opened for the call is kept for another one. Nil admits every call.
	Admit func() error
	// OnReceived is called once for a long request, when the replica's machine has acknowledged all of its bytes or its
	// answer has begun. Where acknowledgements can't be determined it is called when all bytes were handed to the
	// system. Nil if the caller does not need it.
	OnReceived func()
}

// Head is the status and header of an answer.
type Head struct {
	Status  int
	Header  []Header
	Length  int64  // bytes of the body; -1 if it is not known beforehand
	Version uint64 // weight version at the start of the answer; 0 if the replica does not send it
	Stream  bool   // the body is a series of events (text/event-stream)
	// Load is the replica's load report at the start of the answer, or nil if there is none that can be read. For a
	// stream it is available here long before the Outcome.
	Load *loadreport.Report
}

// Sink receives an answer piece by piece. An error from it ends the call and closes its connection. An answer that means
// that the request did not run is not passed to the sink.
type Sink interface {
	// Head is called once, before any call of Body.
	Head(head Head) error
	// Body receives the next bytes of the body, which are valid during the call only.
	Body(chunk []byte) error
}

// Outcome is the result of a call.
type Outcome struct {
	// Verdict is DidNotRun only if the replica said so or if not even the head of the request was sent whole.
	Verdict verdict.Verdict
	// Status is the HTTP status of the answer, or 0 if there was none.
	Status int
	// Complete is set if the complete answer was passed to the sink.
	Complete bool
	// Refused is the reason why the call did not run. It is RefusedNone if the call may have run, or if Admit refused it.
	Refused Refusal
	// Load is the load report in the answer or refusal, or nil if there is none that can be read.
	Load *loadreport.Report
	// Answered is the time of the client's clock at which the head of the answer, and with it Load, was read. It is zero
	// without an answer.
	Answered time.Time
	// Peer is the state of the replica after its connection broke off while the call may have run.
	Peer Peer
	Err  error // nil if Complete is set
}

// Peer is the state of a replica after one of its connections broke off, as far as it is known.
type Peer uint8

// The states of a replica after a connection broke off.
const (
	PeerUnknown   Peer = iota // the replica was not examined, or did not respond
	PeerListening             // the replica accepts connections: only the answer was lost
	PeerGone                  // nothing listens at the replica's address any more: it crashed or was stopped
)

// String returns the name of the state for logs, which is empty for PeerUnknown.
func (p Peer) String() string {
	return [...]string{PeerUnknown: "", PeerListening: "listening", PeerGone: "gone"}[p]
}

// Refusal is the reason why a call did not run.
type Refusal uint8

// The reasons why a call did not run.
const (
	RefusedNone        Refusal = iota
	RefusedFull                // no free slot, queue place or connection, or the replica leaves or executes an order
	RefusedWrongTarget         // another replica has the address, or the replica has other weights than expected
	RefusedUnreachable         // no connection could be opened, or it failed before the head of the request was sent
)

// Caller sends calls to replicas; *Client is the usual implementation. Do returns when the call has ended and the sink
// will not be called again. When ctx is done, the connection is closed, upon which the replica cancels the request.
type Caller interface {
	Do(ctx context.Context, call *Call, sink Sink) Outcome
}
