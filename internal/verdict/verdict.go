// Package verdict classifies whether a request may have run at a back end. Every error that reaches a caller carries
// a verdict, and every retry decision is based on it.
package verdict

import (
	"errors"
	"fmt"

	"github.com/gravitational/trace"
)

// Verdict is the knowledge about a request's execution.
type Verdict uint8

// Verdicts. The zero value is the conservative one, so that a missing verdict never permits a retry.
const (
	MayHaveRun Verdict = iota // the request may have run, may be running or may still run
	DidNotRun                 // the request did not run and will not run
	Ran                       // the request ran
)

// Header is the HTTP response header that contains the verdict's text form.
const Header = "Tamarindring-Verdict"

var texts = [...]string{MayHaveRun: "may-have-run", DidNotRun: "did-not-run", Ran: "ran"}

// String returns the verdict's text form, as in Header.
func (v Verdict) String() string {
	if int(v) < len(texts) {
		return texts[v]
	}
	return fmt.Sprintf("verdict(%d)", uint8(v))
}

// Parse parses the text form of a verdict. It returns MayHaveRun and a BadParameter error for an unknown text.
func Parse(text string) (Verdict, error) {
	for candidate, known := range texts {
		if known == text {
			return Verdict(candidate), nil
		}
	}
	return MayHaveRun, trace.BadParameter("unknown verdict %q", text)
}

// Error is an error with a verdict on the request that failed.
type Error struct {
	Verdict Verdict
	Reason  string // what happened and what the caller can do next, in plain language
	Cause   error  // may be nil
}

// New returns an error with a verdict and a formatted reason.
func New(v Verdict, format string, arguments ...any) *Error {
	return &Error{Verdict: v, Reason: fmt.Sprintf(format, arguments...)}
}

// Wrap returns an error with a verdict, a formatted reason, and cause as its cause.
func Wrap(v Verdict, cause error, format string, arguments ...any) *Error {
	return &Error{Verdict: v, Reason: fmt.Sprintf(format, arguments...), Cause: cause}
}

// Error returns the reason, the verdict in parentheses, and the cause if there is one.
func (e *Error) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("%s (%s)", e.Reason, e.Verdict)
	}
	return fmt.Sprintf("%s (%s): %v", e.Reason, e.Verdict, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Of returns the verdict of the first *Error in err's chain, or MayHaveRun if there is none.
func Of(err error) Verdict {
	var carrier *Error
	if errors.As(err, &carrier) {
		return carrier.Verdict
	}
	return MayHaveRun
}
