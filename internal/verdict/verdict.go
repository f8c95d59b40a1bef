// Package verdict says whether a request may have run at a back end. Every error that reaches a caller
// carries a verdict, and every retry decision is made on it.
package verdict

import (
	"errors"
	"fmt"

	"github.com/gravitational/trace"
)

// Verdict is what is known about a request's execution.
type Verdict uint8

// The verdicts. The zero value is the cautious one, so a forgotten verdict never permits a retry.
const (
	MayHaveRun Verdict = iota // it may run, have run, or be running
	DidNotRun                 // it did not run and never will
	Ran                       // it ran
)

// Header is the HTTP response header that carries the verdict's text form.
const Header = "Tamarindring-Verdict"

var texts = [...]string{MayHaveRun: "may-have-run", DidNotRun: "did-not-run", Ran: "ran"}

// String returns the verdict's text form, as in Header.
func (v Verdict) String() string {
	if int(v) < len(texts) {
		return texts[v]
	}
	return fmt.Sprintf("verdict(%d)", uint8(v))
}

// Parse reads the text form.
func Parse(text string) (Verdict, error) {
	for candidate, known := range texts {
		if known == text {
			return Verdict(candidate), nil
		}
	}
	return MayHaveRun, trace.BadParameter("unknown verdict %q", text)
}

// Error is an error with a verdict.
type Error struct {
	Verdict Verdict
	Reason  string // what happened and what to do next, for a person
	Cause   error  // may be nil
}

// New returns an error with a verdict.
func New(v Verdict, format string, arguments ...any) *Error {
	return &Error{Verdict: v, Reason: fmt.Sprintf(format, arguments...)}
}

// Wrap returns cause with a verdict and a reason.
func Wrap(v Verdict, cause error, format string, arguments ...any) *Error {
	return &Error{Verdict: v, Reason: fmt.Sprintf(format, arguments...), Cause: cause}
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("%s (%s)", e.Reason, e.Verdict)
	}
	return fmt.Sprintf("%s (%s): %v", e.Reason, e.Verdict, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Of returns the verdict that err carries; an error without one may have run.
func Of(err error) Verdict {
	var carrier *Error
	if errors.As(err, &carrier) {
		return carrier.Verdict
	}
	return MayHaveRun
}
