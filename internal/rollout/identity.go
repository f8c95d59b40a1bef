package rollout

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
)

// SampleID names one slot of a step; exactly one sample is delivered for it.
type SampleID struct {
	Trainer string // no slash
	Step    uint64
	Prompt  string // no slash
	Index   uint32 // within the prompt's group, from 0
}

// String returns trainer/step/prompt/index.
func (id SampleID) String() string {
	return fmt.Sprintf("%s/%d/%s/%d", id.Trainer, id.Step, id.Prompt, id.Index)
}

// ParseSampleID reads the form that String writes.
func ParseSampleID(text string) (SampleID, error) {
	parts := strings.Split(text, "/")
	if len(parts) != 4 {
		return SampleID{}, trace.BadParameter("sample id %q is not trainer/step/prompt/index", text)
	}
	step, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return SampleID{}, trace.BadParameter("sample id %q has no step number", text)
	}
	index, err := strconv.ParseUint(parts[3], 10, 32)
	if err != nil {
		return SampleID{}, trace.BadParameter("sample id %q has no index", text)
	}
	return SampleID{Trainer: parts[0], Step: step, Prompt: parts[2], Index: uint32(index)}, nil
}

// Prompt is one prompt of a step.
type Prompt struct {
	ID        string
	MaxTokens int // upper limit of a sample's length, in tokens; 0 when unknown
}

// Step is one training step's demand for samples.
type Step struct {
	Trainer          string
	Number           uint64
	Prompts          []Prompt
	SamplesPerPrompt int
}

// Start is one sample to generate now.
type Start struct {
	ID      SampleID
	Edition uint32
	// PrefixTokens is the number of tokens that an earlier attempt generated and that are kept; 0 starts
	// from the prompt.
	PrefixTokens int
	// PredictedTokens is the expected whole length, for the choice of a replica.
	PredictedTokens int
}

// Room is what a pool grants to rollouts at this moment.
type Room struct {
	Slots          int    // samples that may be in generation at once
	StalenessBound uint64 // in versions, from the table in force
}
