package forward

import (
	"fmt"
	"net/http"
)

// Callers take some statuses as the promise that their request did not run and never will, and send it again. Only a
// replica's refusal, which never arrives here as an answer, proves that. An answer with such a status leaves it open, and
// is therefore withheld from callers whose requests must not run twice.

// promisesNotRun reports whether callers take a status as the promise that their request did not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// unprovenRefusal is the error of an answer whose status promises that the request did not run, although the back end that
// sent it did not refuse the request.
type unprovenRefusal struct{ status int }

// Error implements error.
func (e unprovenRefusal) Error() string {
	return fmt.Sprintf("forward: the back end answered %d without saying that it did not run the request", e.status)
}
