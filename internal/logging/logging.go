// Package logging makes the loggers of all parts: short sentences behind a fixed prefix per part.
package logging

import (
	"fmt"
	"io"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
)

// Config says where and how to log.
type Config struct {
	// Level is the lowest level written: debug, info, warning or error. Default info.
	Level string
	// Format is text or json. Default text.
	Format string
	// Output receives the lines. Required.
	Output io.Writer
}

// prefixHook puts the part's prefix before each message.
type prefixHook struct{}

const partField = "part"

// Levels implements logrus.Hook.
func (prefixHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (prefixHook) Fire(entry *logrus.Entry) error {
	if part, ok := entry.Data[partField].(string); ok {
		entry.Message = fmt.Sprintf("%s: %s", part, entry.Message)
	}
	return nil
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
	logger.AddHook(prefixHook{})
	switch config.Format {
	case "", "text":
		logger.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true})
	case "json":
		logger.SetFormatter(&logrus.JSONFormatter{})
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
	return logrus.NewEntry(logger)
}
