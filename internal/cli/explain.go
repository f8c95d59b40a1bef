package cli

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/explain"
)

// explainCommand prints the events that concern one request, batch job or item.
type explainCommand struct {
	Items int `long:"items" default:"10" description:"Most items of a batch job that are listed"`
}

// Run reads the logs named by arguments[1:], or standard input, and prints the events that concern the id in
// arguments[0].
func (c *explainCommand) Run(environment Environment, arguments []string) error {
	if len(arguments) == 0 {
		return &ExitError{Code: ExitUsage, Message: "explain: want ID FILE..., an id and the logs of the processes; without files standard input is read"}
	}
	logs := &explain.Logs{}
	if err := c.read(logs, arguments[1:]); err != nil {
		return err
	}
	story := logs.Explain(arguments[0])
	if len(story.Lines) == 0 && len(story.Items) == 0 {
		return &ExitError{Code: ExitFailure, Message: fmt.Sprintf("explain: no line names %q", arguments[0])}
	}
	if skipped := logs.Skipped(); skipped > 0 {
		fmt.Fprintf(environment.Stderr, "%d lines are no events and were passed over\n", skipped)
	}
	return story.Write(environment.Stdout, c.Items)
}

func (c *explainCommand) read(logs *explain.Logs, names []string) error {
	if len(names) == 0 {
		return logs.Add("standard input", os.Stdin)
	}
	for _, name := range names {
		file, err := os.Open(name)
		if err != nil {
			return &ExitError{Code: ExitUsage, Message: fmt.Sprintf("explain: %v", err)}
		}
		err = logs.Add(filepath.Base(name), file)
		if err = trace.NewAggregate(err, file.Close()); err != nil {
			return err
		}
	}
	return nil
}

// eventsCommand prints the reference page of the events in logs.
type eventsCommand struct{}

// Run prints the page in Markdown.
func (*eventsCommand) Run(environment Environment, _ []string) error {
	_, err := io.WriteString(environment.Stdout, events.Markdown())
	return trace.Wrap(err)
}
