// Package logging makes the loggers of all parts. A process writes one line per event: JSON objects on its
// standard output, or text for a person. Events with a type of their own (see Event) are the usual case; other
// messages are short sentences.
//
// Writing never blocks the caller: lines go through a bounded queue to a goroutine of their own. Each kind of event
// has a rate of its own. What is left out, for either reason, is counted, and a line says so.
package logging

import (
	"io"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
)

// The formats of lines.
const (
	FormatText = "text"
	FormatJSON = "json"
)

// Config says where and how to log.
type Config struct {
	// Level is the lowest level written: debug, info, warning or error. Default info.
	Level string
	// Format is FormatText or FormatJSON. Default FormatText.
	Format string
	// Node names the process in JSON lines; may be empty.
	Node string
	// Output receives the lines. Required. A *Sink keeps a slow reader from blocking the callers.
	Output io.Writer
}

// New returns the process's logger.
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

// Part returns the logger of one part of the process, such as "gateway".
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
