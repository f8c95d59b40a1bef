package trainer

import (
	"fmt"
	"slices"

	"github.com/tamarindring/tamarindring/internal/engine/text"
	"github.com/tamarindring/tamarindring/internal/standin/engine"
)

// EngineLogs implements SampleChecker with the logs of engine stand-ins that run in the same process.
type EngineLogs struct {
	byName map[string]*engine.Server
}

// NewEngineLogs returns the SampleChecker of the given engines. Each engine must have the name of its replica in the
// table.
func NewEngineLogs(engines ...*engine.Server) *EngineLogs {
	logs := &EngineLogs{byName: make(map[string]*engine.Server)}
	for _, server := range engines {
		logs.byName[server.Name()] = server
	}
	return logs
}

// Check implements SampleChecker. Each token of a segment must come from an execution of the same answer on the replica
// and under the weight version that the segment names.
func (e *EngineLogs) Check(prompt string, sample Sample) error {
	for _, segment := range sample.Segments {
		server, known := e.byName[segment.Replica]
		if !known {
			return fmt.Errorf("segment names unknown replica %q", segment.Replica)
		}
		if !isGenerated(server.ExecutionsOf(prompt), sample.Text, segment) {
			return fmt.Errorf("replica %s did not generate tokens %d to %d of this answer under %s",
				segment.Replica, segment.FirstToken, segment.FirstToken+segment.TokenCount, segment.WeightVersion)
		}
	}
	return nil
}

// isGenerated reports whether executions of the answer cover the segment's tokens under its version. Several executions
// may be needed, because a cut request that was replayed on the same replica has two.
func isGenerated(executions []engine.Execution, answer string, segment Segment) bool {
	var parts []engine.Segment
	for _, execution := range executions {
		request := text.Request{Prompt: execution.Prompt, Seed: execution.Seed, MaxTokens: execution.MaxTokens}
		for _, part := range execution.Segments {
			if part.Version == segment.WeightVersion && part.VersionNumber == segment.VersionNumber && request.Text() == answer {
				parts = append(parts, part)
			}
		}
	}
	slices.SortFunc(parts, func(a, b engine.Segment) int { return a.From - b.From })
	next, end := segment.FirstToken, segment.FirstToken+segment.TokenCount
	for _, part := range parts {
		if part.From <= next {
			next = max(next, part.From+part.Count)
		}
	}
	return next >= end
}
