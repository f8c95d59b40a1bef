package cli

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/metrics"
)

// logOptions are the log flags of the long-running roles.
type logOptions struct {
	LogLevel  string `long:"log-level" default:"info" description:"Lowest level logged: debug, info, warning or error"`
	LogFormat string `long:"log-format" default:"json" description:"Log format on standard output: json, one object per line, or text"`
}

// processLog is the log of one process, from the event of its start to that of its end.
type processLog struct {
	*logrus.Entry
	role    string
	sink    *logging.Sink
	started time.Time
	// stopWatch cancels the event that is logged when a signal asks the process to stop.
	stopWatch func() bool
}

// stoppedBySignal is the reason in the event of a process that stops after SIGINT or SIGTERM.
const stoppedBySignal = "signal"

// open begins the log of a process with the given event, to which it adds the role and the version.
func (o logOptions) open(environment Environment, role, node string, started events.ProcessStarted) (*processLog, error) {
	sink := logging.NewSink(environment.Stdout)
	logger, err := logging.New(logging.Config{Level: o.LogLevel, Format: o.LogFormat, Node: node, Output: sink})
	if err != nil {
		return nil, &ExitError{Code: ExitUsage, Message: trace.UserMessage(err)}
	}
	log := &processLog{Entry: logging.Part(logger, role), role: role, sink: sink, started: time.Now()}
	started.Role = role
	started.Version, _ = metrics.Build()
	logging.Emit(log.Entry, &started)
	log.stopWatch = context.AfterFunc(environment.Context, func() {
		logging.Emit(log.Entry, &events.ProcessStopping{Role: role, Why: stoppedBySignal})
	})
	return log, nil
}

// serving logs the address that the process serves on.
func (l *processLog) serving(address string) {
	logging.Emit(l.Entry, &events.ProcessServing{Role: l.role, Address: address})
}

// end logs the last event with the error that the process ends with, and returns that error.
func (l *processLog) end(err error) error {
	l.stopWatch()
	logging.Emit(l.Entry, &events.ProcessStopped{Role: l.role, Cause: events.ErrorText(err), RanMs: events.Millis(time.Since(l.started))})
	_ = l.sink.Close()
	return err
}
