package forward

import (
	"fmt"
	"time"

	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

// Request is a caller's request, including its whole body.
type Request struct {
	AttemptID string
	Method    string
	Path      string // including the query, unmodified
	Host      string
	Header    []replica.Header // end-to-end header fields, without the key
	Key       string           // presented by the caller; empty: none
	// Tenant is the name of the tenant if the caller was authenticated before. It takes precedence over Key.
	Tenant   string
	Body     []byte // must not change until Serve has returned and its context has ended
	Received time.Time
	// Deadline is how long the caller waits, counted from Received. 0: unknown.
	Deadline time.Duration
	// Work is the expected work in tokens. 0: unknown.
	Work float64
	// Owed is set for requests that the deployment itself sends until they are answered, such as reward calls.
	Owed bool
	// OnServerError is called before Serve returns with each back end that answered status 500. May be nil. Set it for
	// requests that may fail through their own fault: such an answer then counts as half a failure of the back end
	// instead of a whole one.
	OnServerError func(replica string)
}

// Reply receives the answer for the caller. Its methods return an error if the caller is gone.
type Reply interface {
	// Head is called once, before any Body.
	Head(head replica.Head) error
	// Body forwards a chunk at once. The chunk is valid only during the call.
	Body(chunk []byte) error
}

// Reason classifies why a request received no whole answer.
type Reason uint8

// Reasons of a Failure.
const (
	NoConfiguration Reason = iota + 1 // no configuration is known, or the lease on it does not hold
	NoRoute                           // no route of the configuration matches
	Unauthenticated                   // the key is missing, or no tenant of the configuration has it
	Overloaded                        // no slot or free space is available soon enough
	Unavailable                       // no back end accepted the request
	Broken                            // a back end accepted the request and its answer was lost
	TimedOut                          // the caller's deadline or the route's timeout passed
	CallerGone                        // the caller closed its connection
	Cut                               // part of an answer was forwarded; the connection must not look complete
	Suspected                         // back ends crashed while running the request, and it must not run now
	QuotaExceeded                     // the caller's tenant has used up its quota
)

var reasonTexts = [...]string{NoConfiguration: "no configuration is in force here", NoRoute: "no route matches",
	Unauthenticated: "no tenant is known by the key",
	Overloaded:      "no capacity", Unavailable: "no back end took the request", Broken: "the back end's answer was lost",
	TimedOut: "no answer in time", CallerGone: "the caller is gone", Cut: "the answer broke off",
	Suspected: "back ends crashed under the request", QuotaExceeded: "the tenant's quota is used up"}

// String returns the reason as text.
func (r Reason) String() string {
	if int(r) < len(reasonTexts) && r > 0 {
		return reasonTexts[r]
	}
	return fmt.Sprintf("reason %d", uint8(r))
}

// Failure describes why a request ended without a whole answer. It implements error.
type Failure struct {
	Reason  Reason
	Verdict verdict.Verdict
	// RetryAfter is when a retry becomes useful, from now. 0 if the request may have run.
	RetryAfter time.Duration
	// Condemned is set with Suspected if the request is considered the cause of crashes and is blocked for long.
	Condemned bool
	Cause     error // may be nil
}

// Error implements error.
func (f *Failure) Error() string {
	if f.Cause == nil {
		return fmt.Sprintf("%s (%s)", f.Reason, f.Verdict)
	}
	return fmt.Sprintf("%s (%s): %v", f.Reason, f.Verdict, f.Cause)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// Bounds of RetryAfter for requests that did not run.
const (
	minRetryAfter = 50 * time.Millisecond
	// maxRetryAfter applies even if capacity is expected to become free later. Such an estimate is of little use,
	// because replicas come and go within seconds.
	maxRetryAfter = 2 * time.Second
	// noLeaseRetryAfter is used while this process holds no lease. A lease returns after an election.
	noLeaseRetryAfter = time.Second
)

// notRun returns the failure of a request that was not sent, or that every back end rejected without running it.
func notRun(reason Reason, retryAfter time.Duration, cause error) *Failure {
	if reason == NoConfiguration {
		retryAfter = noLeaseRetryAfter
	}
	return &Failure{Reason: reason, Verdict: verdict.DidNotRun, RetryAfter: max(retryAfter, minRetryAfter), Cause: cause}
}

// prefillPerToken is the number of prompt tokens that cost as much as one generated token.
const prefillPerToken = 16

// Work returns the expected work of a generation in tokens, from its prompt tokens and the most tokens that it may
// generate.
func Work(prompt, generated float64) float64 { return prompt/prefillPerToken + generated }
