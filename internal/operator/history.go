package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// HistoryFilter selects history entries. Empty text matches any row or column; limit 0 returns all entries that are
// kept.
type HistoryFilter struct {
	Row    string
	Column string
	Limit  uint32
}

// ReadHistory returns the cells of accepted changes, newest first. Errors carry a verdict.
func ReadHistory(ctx context.Context, control Control, filter HistoryFilter) ([]*wire.HistoryEntry, error) {
	query := &wire.HistoryQuery{Row: filter.Row, Column: filter.Column, Limit: filter.Limit}
	view, err := control.Query(ctx, controlGroup, &wire.Query{Kind: &wire.Query_History{History: query}})
	if err != nil {
		return nil, err
	}
	if view.GetHistory() == nil {
		return nil, verdict.New(verdict.DidNotRun, "the control group answered without a history")
	}
	return view.GetHistory().Entries, nil
}

// WriteHistory prints entries. FormatJSON selects JSON; any other format prints aligned columns.
func WriteHistory(out io.Writer, entries []*wire.HistoryEntry, format Format) error {
	if format == FormatJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return trace.Wrap(encoder.Encode(entries))
	}
	records := [][]string{{"version", "at", "operator", "row", "column", "from", "to", "note"}}
	for _, entry := range entries {
		records = append(records, []string{
			strconv.FormatUint(entry.Version, 10), formatTime(entry.AtUnixMillis), entry.Operator,
			entry.Row, entry.Column, entry.From, entry.To, entry.Note,
		})
	}
	return trace.Wrap(writeAligned(out, records))
}

func formatTime(unixMillis int64) string {
	return time.UnixMilli(unixMillis).UTC().Format("2006-01-02T15:04:05Z")
}

// Watch prints each change of a cell as it is made, until ctx ends. The first read only finds the current version.
// Each read waits up to timeout for unreachable control nodes.
func Watch(ctx context.Context, control Control, out io.Writer, interval, timeout time.Duration) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var seen uint64
	for first := true; ctx.Err() == nil; first = false {
		entries, err := readSince(ctx, control, seen, timeout)
		if err != nil && ctx.Err() == nil {
			return err
		}
		for position := len(entries) - 1; position >= 0; position-- {
			entry := entries[position]
			seen = max(seen, entry.Version)
			if first {
				continue
			}
			edit := Edit{Row: entry.Row, Column: entry.Column, From: entry.From, To: entry.To}
			if _, err := fmt.Fprintf(out, "version %d by %s: %s\n", entry.Version, entry.Operator, edit); err != nil {
				return trace.Wrap(err)
			}
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	return nil
}

// readSince returns the entries of versions above the given one, newest first.
func readSince(ctx context.Context, control Control, version uint64, timeout time.Duration) ([]*wire.HistoryEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	entries, err := ReadHistory(ctx, control, HistoryFilter{})
	if err != nil {
		return nil, err
	}
	for position, entry := range entries {
		if entry.Version <= version {
			return entries[:position], nil
		}
	}
	return entries, nil
}

// ListLateProcesses describes the processes that may still act on a table version below the given one, with the time
// left of their leases.
func ListLateProcesses(ctx context.Context, control Control, version uint64) ([]string, error) {
	view, err := control.Query(ctx, controlGroup, &wire.Query{Kind: &wire.Query_Status{Status: &wire.StatusQuery{}}})
	if err != nil {
		return nil, err
	}
	var late []string
	for _, holder := range view.GetStatus().GetHolders() {
		if holder.ActedVersion < version {
			late = append(late, fmt.Sprintf("%s (version %d, lease for %d ms more)", holder.Name, holder.ActedVersion, holder.LeaseRemainingMillis))
		}
	}
	return late, nil
}
