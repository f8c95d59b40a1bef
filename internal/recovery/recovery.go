// Package recovery turns a panic in the work for one request into a failure of that request. Go ends the process on a
// panic in any goroutine that does not recover it, and with the process all other requests that it holds. Work that is
// started for a request therefore runs inside Do.
package recovery

import (
	"fmt"
	"runtime/debug"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
)

// PanicError is the failure of work that panicked.
type PanicError struct {
	Value any // the argument of panic
}

// Error implements error.
func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v", e.Value) }

// maxStackBytes bounds the stack in a log line.
const maxStackBytes = 4 << 10

// panics counts the panics of the whole process, whichever component the work belongs to.
var panics = prometheus.NewCounter(prometheus.CounterOpts{Namespace: "tamarindring", Name: "request_panics_total",
	Help: "Requests whose work panicked; each ended as a failure of that request."})

// Collector returns the metrics of this package.
func Collector() prometheus.Collector { return panics }

// Do runs work for a request. If work panics, Do logs the panic with its stack, counts it and returns a *PanicError.
// place names the work in the log. Deferred functions of work run as usual.
func Do(log *logrus.Entry, request, place string, work func()) (err error) {
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		panics.Inc()
		stack := debug.Stack()
		logging.Emit(log, &events.RequestPanicked{Request: request, Place: place, Value: fmt.Sprint(value),
			Stack: string(stack[:min(len(stack), maxStackBytes)])})
		err = &PanicError{Value: value}
	}()
	work()
	return nil
}
