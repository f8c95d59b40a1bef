// Package logging creates the loggers of all parts of a process. A process writes one line per event, as a JSON object on
// its standard output or as text for people. Most lines are events with a type of their own (see Event). The others are
// plain messages.
//
// Writing to a Sink never blocks the caller. Lines go through a bounded queue to a separate goroutine. Each kind of event
// has its own rate limit. Lines that are dropped because of the queue or the rate limit are counted, and LinesLeftOut
// reports them.
package logging

import (
	"io"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
)

// The formats of log lines.
const (
	FormatText = "text"
	FormatJSON = "json"
)

// Config configures a logger.
type Config struct {
	// Level is the lowest level written: debug, info, warning or error. Default info.
	Level string
	// Format is FormatText or FormatJSON. Default FormatText.
	Format string
	// Node is the name of the process in JSON lines. It may be empty.
	Node string
	// Output receives the lines. Required. With a *Sink, a slow reader of the output does not block the callers.
	Output io.Writer
}

// New returns the logger of a process. It returns an error for an unknown level or format.
func New(config Config) (*logrus.Logger, error) {
	if config.Level == "" {
		config.Level = "info"
	}
	level, err := logrus.ParseLevel(config.Level)
	if err != nil {
		return nil, trace.BadParameter("log level %q: want debug, info, warning or error", config.Level)
	}
	logger := logrus.New()
	logger.SetLevel(level)
	logger.SetOutput(config.Output)
	sink, _ := config.Output.(*Sink)
	switch config.Format {
	case "", FormatText:
		logger.SetFormatter(newFormatter(&textEncoder{logrus.TextFormatter{FullTimestamp: true, DisableColors: true}}, sink))
	case FormatJSON:
		logger.SetFormatter(newFormatter(&jsonEncoder{node: config.Node}, sink))
	default:
		return nil, trace.BadParameter("log format %q: want text or json", config.Format)
	}
	return logger, nil
}

// Part returns the logger of one part of the process, such as "gateway". Its lines name the part.
func Part(logger *logrus.Logger, part string) *logrus.Entry {
	return logger.WithField(partField, part)
}

// Discard returns a logger that writes nothing, for tests.
func Discard() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	logger.SetLevel(logrus.PanicLevel)
	return logrus.NewEntry(logger)
}
