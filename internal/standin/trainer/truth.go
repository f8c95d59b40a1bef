package trainer

import (
	"fmt"

	"github.com/tamarindring/tamarindring/internal/engine/text"
	"github.com/tamarindring/tamarindring/internal/standin/engine"
)

// Engines is the truth of engine stand-ins that run in the same process.
type Engines struct {
	byName map[string]*engine.Server
}

// NewEngines returns the truth of engines whose names are their rows' names in the table.
func NewEngines(engines ...*engine.Server) *Engines {
	truth := &Engines{byName: make(map[string]*engine.Server)}
	for _, one := range engines {
		truth.byName[one.Name()] = one
	}
	return truth
}

// Check implements Truth: each segment must be part of an execution of this very answer on the replica
// that it names, under the version that it names.
func (e *Engines) Check(prompt string, sample Sample) error {
	for _, segment := range sample.Segments {
		server, known := e.byName[segment.Replica]
		if !known {
			return fmt.Errorf("segment names unknown replica %q", segment.Replica)
		}
		if !anyExecution(server.ExecutionsOf(prompt), sample.Text, segment) {
			return fmt.Errorf("replica %s has no execution of this answer with tokens %d to %d under %s",
				segment.Replica, segment.FirstToken, segment.FirstToken+segment.TokenCount, segment.WeightVersion)
		}
	}
	return nil
}

func anyExecution(executions []engine.Execution, answer string, segment Segment) bool {
	for _, execution := range executions {
		if !covers(execution.Segments, segment) {
			continue
		}
		request := text.Request{Prompt: execution.Prompt, Seed: execution.Seed, MaxTokens: execution.MaxTokens}
		if request.Text() == answer {
			return true
		}
	}
	return false
}

// covers says whether the tokens of wanted were all generated under its version.
func covers(actual []engine.Segment, wanted Segment) bool {
	for _, segment := range actual {
		if segment.Version == wanted.WeightVersion && segment.VersionNumber == wanted.VersionNumber &&
			segment.From <= wanted.FirstToken && segment.From+segment.Count >= wanted.FirstToken+wanted.TokenCount {
			return true
		}
	}
	return false
}
