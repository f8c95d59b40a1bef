package explain

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/gravitational/trace"
)

// Write prints the story as text: one line for each event with the time since the first one, and a summary of the up to
// maxItems items of a job that finished last.
func (s *Story) Write(out io.Writer, maxItems int) error {
	var page strings.Builder
	for position, line := range s.Lines {
		if position == 0 {
			fmt.Fprintf(&page, "%s: %d lines from %s (times below are since then, by each machine's clock)\n",
				s.ID, len(s.Lines), line.Time.UTC().Format("2006-01-02T15:04:05.000Z"))
		}
		since := line.Time.Sub(s.Lines[0].Time)
		fmt.Fprintf(&page, "%+9.3fs %-8s %-24s %s%s\n", since.Seconds(), line.Level, line.Node, line.Event, line.formatFields())
	}
	s.writeItems(&page, maxItems)
	_, err := io.WriteString(out, page.String())
	return trace.Wrap(err)
}

// formatFields returns the fields as name=value pairs. Values that would be ambiguous stay quoted as in JSON.
func (l *Line) formatFields() string {
	var shown strings.Builder
	for _, field := range l.Fields {
		value := valueText(field.Value)
		if strings.ContainsAny(value, " \t\n=") && value != string(field.Value) {
			value = string(field.Value)
		}
		fmt.Fprintf(&shown, " %s=%s", field.Name, value)
	}
	return shown.String()
}

// writeItems prints the summary of the first maxItems items, if the story is that of a job.
func (s *Story) writeItems(page *strings.Builder, maxItems int) {
	if len(s.Items) == 0 {
		return
	}
	shown := s.Items[:min(maxItems, len(s.Items))]
	fmt.Fprintf(page, "%d items, the last to finish first (%d shown; explain one by its id):\n", len(s.Items), len(shown))
	for _, item := range shown {
		state := item.State
		if state == "" {
			state = "open"
		}
		fmt.Fprintf(page, "  %s %s", item.ID, state)
		if item.State != "" {
			fmt.Fprintf(page, " at %+.3fs", item.Finished.Sub(s.Lines[0].Time).Seconds())
		}
		fmt.Fprintf(page, " runs=%d", item.Runs)
		for _, ending := range slices.Sorted(maps.Keys(item.Endings)) {
			fmt.Fprintf(page, " %s=%d", ending, item.Endings[ending])
		}
		page.WriteByte('\n')
	}
}
