package replica

import (
	"errors"

	"github.com/tamarindring/tamarindring/internal/answercheck"
)

// ErrInvalidCall is the error of a call that can't be sent as one request: a line break or a blank in it would begin another
// field or another request. It is sent to no replica, today or later.
var ErrInvalidCall = errors.New("replica: the request has bytes that can't stand in a request's head")

// isSendable reports whether the texts that a call puts into the head of its request leave it one request.
func (c *Call) isSendable() bool {
	if !answercheck.IsFieldName(c.Method) || !answercheck.IsRequestTarget(c.Path) || !answercheck.IsFieldValue(c.Host) ||
		!answercheck.IsFieldValue(c.AttemptID) || !answercheck.IsFieldValue(c.Tenant) {
		return false
	}
	for _, field := range c.Header {
		if !answercheck.IsFieldName(field.Name) || !answercheck.IsFieldValue(field.Value) {
			return false
		}
	}
	return true
}
